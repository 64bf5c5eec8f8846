//! Counts of the requests of each account, by the window of wall-clock time in
//! which they began.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use link::clock;

/// The number of requests of each account.
pub type Counts = BTreeMap<String, u64>;

/// The counts of this VM that have not been submitted. Clones share them.
#[derive(Clone)]
pub struct Usage(Rc<Inner>);

struct Inner {
    window_ms: u64,
    counts: RefCell<BTreeMap<u64, Counts>>,
}

impl Usage {
    /// Returns empty counts for windows of length `window`.
    pub fn new(window: Duration) -> Self {
        Self(Rc::new(Inner {
            window_ms: (window.as_millis() as u64).max(1),
            counts: RefCell::default(),
        }))
    }

    /// Returns the number of the current window.
    pub fn window(&self) -> u64 {
        clock::wall_millis() / self.0.window_ms
    }

    /// Returns how long ago `window` ended, or zero if it has not ended.
    pub fn elapsed_since_end(&self, window: u64) -> Duration {
        let end = (window + 1) * self.0.window_ms;
        Duration::from_millis(clock::wall_millis().saturating_sub(end))
    }

    /// Counts a request of `account` that began in `window`.
    pub fn count(&self, window: u64, account: &str) {
        let mut counts = self.0.counts.borrow_mut();
        let counts = counts.entry(window).or_default();
        *counts.entry(account.to_string()).or_default() += 1;
    }

    /// Removes and returns the counts of the oldest window if it ended at least
    /// `age` ago.
    pub fn take_ended(&self, age: Duration) -> Option<(u64, Counts)> {
        let mut counts = self.0.counts.borrow_mut();
        let oldest = *counts.keys().next()?;
        (self.elapsed_since_end(oldest) >= age)
            .then(|| (oldest, counts.remove(&oldest).unwrap_or_default()))
    }

    /// Adds back counts that could not be submitted.
    pub fn restore(&self, window: u64, counts: Counts) {
        let mut all = self.0.counts.borrow_mut();
        let known = all.entry(window).or_default();
        for (account, count) in counts {
            *known.entry(account).or_default() += count;
        }
    }
}
