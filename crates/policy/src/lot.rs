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
//! assert!(lot.score(0, 5));
//! assert!(!lot.score(0, 6));
//! lot.fail(1);
//! assert_eq!(lot.start_missing(8), [1]);
//! assert!(lot.score(1, 6));
//! assert!(lot.is_whole());
//! assert_eq!(lot.discard_older(6), [0]);
//! assert!(!lot.is_whole());
//! ```

/// The state of one sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
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
    places: Vec<Place>,
    running: usize,
    discarded: u64,
}

impl Production {
    /// Returns the production of a lot of `samples`, all missing.
    pub fn new(samples: usize) -> Self {
        Self {
            places: vec![Place::Missing; samples],
            running: 0,
            discarded: 0,
        }
    }

    /// Marks missing samples as running while fewer than `running_max` run,
    /// and returns their places.
    pub fn start_missing(&mut self, running_max: usize) -> Vec<usize> {
        let room = running_max.saturating_sub(self.running);
        let is_missing = |place: &usize| self.places[*place] == Place::Missing;
        let started: Vec<_> = (0..self.places.len())
            .filter(is_missing)
            .take(room)
            .collect();
        for place in &started {
            self.places[*place] = Place::Running;
        }
        self.running += started.len();
        started
    }

    /// Notes a valid sample and returns whether it is the first one for this
    /// place.
    pub fn score(&mut self, place: usize, oldest: u64) -> bool {
        match self.places.get(place) {
            None | Some(Place::Scored { .. }) => return false,
            Some(Place::Running) => self.running -= 1,
            Some(Place::Missing) => {}
        }
        self.places[place] = Place::Scored { oldest };
        true
    }

    /// Notes that the work on a place failed, so that it is missing again.
    pub fn fail(&mut self, place: usize) {
        if self.places.get(place) == Some(&Place::Running) {
            self.places[place] = Place::Missing;
            self.running -= 1;
        }
    }

    /// Discards samples with tokens older than version `oldest_allowed` and
    /// returns their places, which are missing again.
    pub fn discard_older(&mut self, oldest_allowed: u64) -> Vec<usize> {
        let is_old = |place: &usize| match self.places[*place] {
            Place::Scored { oldest } => oldest < oldest_allowed,
            Place::Missing | Place::Running => false,
        };
        let old: Vec<_> = (0..self.places.len()).filter(is_old).collect();
        for place in &old {
            self.places[*place] = Place::Missing;
        }
        self.discarded += old.len() as u64;
        old
    }

    /// Returns whether every sample, and so every group, is done.
    pub fn is_whole(&self) -> bool {
        self.places
            .iter()
            .all(|place| matches!(place, Place::Scored { .. }))
    }

    /// Returns the state of a place.
    pub fn place(&self, place: usize) -> Option<Place> {
        self.places.get(place).copied()
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
