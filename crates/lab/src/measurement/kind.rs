//! Kinds of results files.

use std::fmt;

use serde_json::Value;

/// The experiment whose results a file holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A simulated comparison of routing decisions, with its name.
    Decisions(String),
    /// The cost of endpoints and the work that they serve.
    Spend,
    /// Latency and processor time that an entry daemon adds to a call.
    Entry,
    /// Simulated gossip between VMs, without sockets.
    SwarmDecisions,
    /// Gossip between real processes.
    SwarmProcesses,
    /// Calls of the daemons to the platform.
    ControlCalls,
    /// Faults of the platform: an outage and slow answers.
    ControlFaults,
    /// Takeover of a lease after its holder stops.
    Takeover,
    /// Calls to the platform while a step's lots are produced.
    LotCalls,
    /// Stragglers of a step.
    Stragglers,
    /// Rollouts of new weights to engines.
    Weights,
}

/// Words of a command line that, all together, identify an experiment.
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
    /// Detects the experiment of a results file by its `experiment` or `command`
    /// member.
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

/// Returns the part of a command-line word after its last slash.
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
