//! Requests of each account that began, by window of wall-clock time.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use link::clock;

/// Counts of each account.
pub type Counts = BTreeMap<String, u64>;

/// The counts of this VM.
#[derive(Clone)]
pub struct Usage(Rc<Inner>);

struct Inner {
    window_ms: u64,
    counts: RefCell<BTreeMap<u64, Counts>>,
}

impl Usage {
    /// Returns empty counts for windows of this length.
    pub fn new(window: Duration) -> Self {
        Self(Rc::new(Inner {
            window_ms: (window.as_millis() as u64).max(1),
            counts: RefCell::default(),
        }))
    }

    /// Returns the window that the present is in.
    pub fn window(&self) -> u64 {
        clock::wall_millis() / self.0.window_ms
    }

    /// Returns how long ago `window` ended; zero if it has not.
    pub fn since_end(&self, window: u64) -> Duration {
        let end = (window + 1) * self.0.window_ms;
        Duration::from_millis(clock::wall_millis().saturating_sub(end))
    }

    /// Counts a request of `account` that began in `window`.
    pub fn count(&self, window: u64, account: &str) {
        let mut counts = self.0.counts.borrow_mut();
        let counts = counts.entry(window).or_default();
        *counts.entry(account.to_string()).or_default() += 1;
    }

    /// Takes the counts of the oldest window that ended at least `age` ago.
    pub fn take_ended(&self, age: Duration) -> Option<(u64, Counts)> {
        let mut counts = self.0.counts.borrow_mut();
        let oldest = *counts.keys().next()?;
        (self.since_end(oldest) >= age)
            .then(|| (oldest, counts.remove(&oldest).unwrap_or_default()))
    }

    /// Puts counts back that could not be handed on.
    pub fn put_back(&self, window: u64, counts: Counts) {
        let mut all = self.0.counts.borrow_mut();
        let known = all.entry(window).or_default();
        for (account, count) in counts {
            *known.entry(account).or_default() += count;
        }
    }
}
