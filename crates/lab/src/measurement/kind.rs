//! What a file of results is of.

use std::fmt;

use serde_json::Value;

/// An experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Decisions of many VMs in simulated time, by the experiment's name.
    Decisions(String),
    /// What endpoints cost against the service they give.
    Spend,
    /// What an entry daemon adds to a call.
    Entry,
    /// Gossip between VMs without sockets.
    SwarmDecisions,
    /// Gossip between processes.
    SwarmProcesses,
    /// Calls of the daemons to the platform.
    ControlCalls,
    /// An outage of the platform, and a slow one.
    ControlFaults,
    /// Takeover of a lease.
    Takeover,
    /// Calls to the platform for the lots of a step.
    LotCalls,
    /// Stragglers in a step.
    Stragglers,
    /// Rollouts of weights.
    Weights,
}

/// Words of a command line, all of which tell one experiment.
const COMMANDS: [(&[&str], Kind); 9] = [
    (&["tarragonseam-experiment", "entry"], Kind::Entry),
    (&["tarragonseam-swarm", "decisions"], Kind::SwarmDecisions),
    (&["tarragonseam-swarm", "processes"], Kind::SwarmProcesses),
    (&["control_calls", "calls"], Kind::ControlCalls),
    (&["control_calls", "takeover"], Kind::Takeover),
    (&["control_faults"], Kind::ControlFaults),
    (&["measure_calls"], Kind::LotCalls),
    (&["measure_stragglers"], Kind::Stragglers),
    (&["measure_weights"], Kind::Weights),
];

impl Kind {
    /// Returns what `value` is of, if it says so.
    pub(crate) fn detect(value: &Value) -> Option<Self> {
        match value["experiment"].as_str() {
            Some("spend") => return Some(Self::Spend),
            Some(name) => return Some(Self::Decisions(name.to_string())),
            None => {}
        }
        let command = value["command"].as_str()?;
        let words: Vec<_> = command.split_whitespace().map(base_name).collect();
        let is_match = |needles: &[&str]| needles.iter().all(|needle| words.contains(needle));
        let entry = COMMANDS.into_iter().find(|(needles, _)| is_match(needles));
        entry.map(|(_, kind)| kind)
    }
}

/// Returns a word of a command line without the folders before a program.
fn base_name(word: &str) -> &str {
    word.rsplit('/').next().unwrap_or(word)
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Decisions(name) => name,
            Self::Spend => "spend",
            Self::Entry => "entry",
            Self::SwarmDecisions => "swarm decisions",
            Self::SwarmProcesses => "swarm processes",
            Self::ControlCalls => "control calls",
            Self::ControlFaults => "control faults",
            Self::Takeover => "control takeover",
            Self::LotCalls => "rollouts calls",
            Self::Stragglers => "rollouts stragglers",
            Self::Weights => "rollouts weights",
        })
    }
}
