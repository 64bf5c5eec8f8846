//! The state of the production of one lot.
//!
//! A lot consists of complete groups, with one slot per sample. A slot is
//! missing, running or scored. A lot may be sealed only when every slot is
//! scored, so a group is never split. A result for a slot that is already
//! scored is dropped: the first valid result wins.
//!
//! # Examples
//!
//! ```
//! use tarragonseam_policy::lot::Production;
//!
//! let mut lot = Production::new(2);
//! assert_eq!(lot.start_missing(8), [0, 1]);
//! assert!(lot.record_score(0, 5));
//! assert!(!lot.record_score(0, 6));
//! lot.record_failure(1);
//! assert_eq!(lot.start_missing(8), [1]);
//! assert!(lot.record_score(1, 6));
//! assert!(lot.is_complete());
//! assert_eq!(lot.discard_older(6), [0]);
//! assert!(!lot.is_complete());
//! ```

/// The state of one sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The sample is neither running nor scored.
    Missing,
    /// The sample is being generated or scored.
    Running,
    /// The sample is generated and scored.
    Scored {
        /// The oldest model version that produced one of its tokens.
        oldest: u64,
    },
}

/// The production of one lot.
#[derive(Clone, Debug)]
pub struct Production {
    states: Vec<State>,
    running: usize,
    discarded: u64,
}

impl Production {
    /// Returns the production of a lot of `samples` slots, all missing.
    pub fn new(samples: usize) -> Self {
        Self {
            states: vec![State::Missing; samples],
            running: 0,
            discarded: 0,
        }
    }

    /// Marks missing samples as running, up to `running_max` running ones, and
    /// returns their slots.
    pub fn start_missing(&mut self, running_max: usize) -> Vec<usize> {
        let free = running_max.saturating_sub(self.running);
        let is_missing = |slot: &usize| self.states[*slot] == State::Missing;
        let started: Vec<_> = (0..self.states.len())
            .filter(is_missing)
            .take(free)
            .collect();
        for slot in &started {
            self.states[*slot] = State::Running;
        }
        self.running += started.len();
        started
    }

    /// Records a valid sample. Returns whether it is the first one for this
    /// slot.
    pub fn record_score(&mut self, slot: usize, oldest: u64) -> bool {
        match self.states.get(slot) {
            None | Some(State::Scored { .. }) => return false,
            Some(State::Running) => self.running -= 1,
            Some(State::Missing) => {}
        }
        self.states[slot] = State::Scored { oldest };
        true
    }

    /// Records that a running sample failed. Its slot becomes missing again.
    pub fn record_failure(&mut self, slot: usize) {
        if self.states.get(slot) == Some(&State::Running) {
            self.states[slot] = State::Missing;
            self.running -= 1;
        }
    }

    /// Discards scored samples with tokens older than version `oldest_allowed`.
    /// Returns their slots, which become missing again.
    pub fn discard_older(&mut self, oldest_allowed: u64) -> Vec<usize> {
        let is_old = |slot: &usize| match self.states[*slot] {
            State::Scored { oldest } => oldest < oldest_allowed,
            State::Missing | State::Running => false,
        };
        let old: Vec<_> = (0..self.states.len()).filter(is_old).collect();
        for slot in &old {
            self.states[*slot] = State::Missing;
        }
        self.discarded += old.len() as u64;
        old
    }

    /// Returns whether every slot is scored.
    pub fn is_complete(&self) -> bool {
        self.states
            .iter()
            .all(|slot| matches!(slot, State::Scored { .. }))
    }

    /// Returns the state of a slot, or `None` if there is no such slot.
    pub fn state(&self, slot: usize) -> Option<State> {
        self.states.get(slot).copied()
    }

    /// Returns how many samples are running.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns how many samples were discarded as too stale.
    pub fn discarded(&self) -> u64 {
        self.discarded
    }
}
