//! Where the production of one lot stands.
//!
//! A lot holds whole groups, and each sample has one place. A place is
//! missing, running or scored; a lot may be sealed only when every place is
//! scored, so a group is never split. Results for a place that is scored
//! already are dropped: the first valid one wins.
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
    /// Nobody works on it.
    Missing,
    /// It is generated or scored.
    Running,
    /// It is done.
    Scored {
        /// The oldest version that produced one of its tokens.
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
    /// Returns the production of a lot of `samples`, all missing.
    pub fn new(samples: usize) -> Self {
        Self {
            states: vec![State::Missing; samples],
            running: 0,
            discarded: 0,
        }
    }

    /// Marks missing samples as running while fewer than `running_max` run,
    /// and returns their places.
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

    /// Notes a valid sample and returns whether it is the first one for this
    /// place.
    pub fn record_score(&mut self, slot: usize, oldest: u64) -> bool {
        match self.states.get(slot) {
            None | Some(State::Scored { .. }) => return false,
            Some(State::Running) => self.running -= 1,
            Some(State::Missing) => {}
        }
        self.states[slot] = State::Scored { oldest };
        true
    }

    /// Notes that the work on a place failed, so that it is missing again.
    pub fn record_failure(&mut self, slot: usize) {
        if self.states.get(slot) == Some(&State::Running) {
            self.states[slot] = State::Missing;
            self.running -= 1;
        }
    }

    /// Discards samples with tokens older than version `oldest_allowed` and
    /// returns their places, which are missing again.
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

    /// Returns whether every sample, and so every group, is done.
    pub fn is_complete(&self) -> bool {
        self.states
            .iter()
            .all(|slot| matches!(slot, State::Scored { .. }))
    }

    /// Returns the state of a place.
    pub fn state(&self, slot: usize) -> Option<State> {
        self.states.get(slot).copied()
    }

    /// Returns how many samples run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns how many samples were discarded as too old.
    pub fn discarded(&self) -> u64 {
        self.discarded
    }
}
