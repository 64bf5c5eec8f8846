//! Counts of the requests of each account, by the window of wall-clock time in
//! which they began.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use link::clock;

use crate::notify::Notifier;

/// The number of requests of each account.
pub type Counts = BTreeMap<String, u64>;

/// The counts of this VM that are not known to be stored. Clones share them.
#[derive(Clone)]
pub struct Usage(Rc<Inner>);

struct Inner {
    window_ms: u64,
    counts: RefCell<BTreeMap<u64, Counts>>,
    /// The counts whose submission has no outcome yet. Requests that are counted
    /// meanwhile are in `counts`.
    submitting: RefCell<BTreeMap<u64, Counts>>,
    /// The counts of the newest windows that are stored. Counts of a process are
    /// merged by maximum, so a later submission of a window includes these.
    stored: RefCell<BTreeMap<u64, Counts>>,
    submission_ended: Notifier,
}

impl Usage {
    /// Returns empty counts for windows of length `window`.
    pub fn new(window: Duration) -> Self {
        Self(Rc::new(Inner {
            window_ms: (window.as_millis() as u64).max(1),
            counts: RefCell::default(),
            submitting: RefCell::default(),
            stored: RefCell::default(),
            submission_ended: Notifier::default(),
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

    /// Returns the entry of a request that is billed to `account`, if any. The
    /// request is not counted yet.
    pub fn entry(&self, account: Option<&str>) -> Entry {
        Entry(Rc::new(EntryInner {
            usage: self.clone(),
            account: account.map(str::to_string),
            window: Cell::new(None),
        }))
    }

    fn add(&self, window: u64, account: &str) {
        let mut counts = self.0.counts.borrow_mut();
        let counts = counts.entry(window).or_default();
        *counts.entry(account.to_string()).or_default() += 1;
    }

    /// Subtracts a request, unless the counts of `window` are being submitted.
    fn subtract(&self, window: u64, account: &str) {
        let mut all = self.0.counts.borrow_mut();
        let Some(counts) = all.get_mut(&window) else {
            return;
        };
        if let Some(count) = counts.get_mut(account) {
            *count = count.saturating_sub(1);
        }
        counts.retain(|_, count| *count > 0);
        if counts.is_empty() {
            all.remove(&window);
        }
    }

    /// Begins the submission of the oldest window that ended at least `age` ago
    /// and is not being submitted, and returns all its counts, including those
    /// that are stored. The caller calls
    /// [`end_submission`](Self::end_submission).
    pub fn begin_submission(&self, age: Duration) -> Option<(u64, Counts)> {
        let mut counts = self.0.counts.borrow_mut();
        let mut submitting = self.0.submitting.borrow_mut();
        let mut waiting = counts
            .keys()
            .filter(|window| !submitting.contains_key(window));
        let window = *waiting.next()?;
        if self.elapsed_since_end(window) < age {
            return None;
        }
        let submitted = counts.remove(&window)?;
        submitting.insert(window, submitted.clone());
        let stored = self.0.stored.borrow().get(&window).cloned();
        let mut total = stored.unwrap_or_default();
        add_all(&mut total, submitted);
        Some((window, total))
    }

    /// Ends the submission of `window`. Counts that are not known to be stored
    /// will be submitted again.
    pub fn end_submission(&self, window: u64, is_stored: bool) {
        let submitted = self.0.submitting.borrow_mut().remove(&window);
        if let Some(submitted) = submitted {
            let counts = if is_stored {
                &self.0.stored
            } else {
                &self.0.counts
            };
            let mut counts = counts.borrow_mut();
            add_all(counts.entry(window).or_default(), submitted);
        }
        let mut stored = self.0.stored.borrow_mut();
        while stored.len() > STORED_WINDOWS_MAX {
            stored.pop_first();
        }
        drop(stored);
        self.0.submission_ended.notify();
    }

    /// Returns the number of requests whose counts are not known to be stored.
    pub fn unconfirmed_requests(&self) -> u64 {
        let sum = |counts: &BTreeMap<u64, Counts>| -> u64 {
            counts.values().flat_map(Counts::values).sum()
        };
        sum(&self.0.counts.borrow()) + sum(&self.0.submitting.borrow())
    }

    /// Waits until a submission ends, or returns at once if there is none.
    pub async fn wait_for_submission(&self) {
        let seen = self.0.submission_ended.count();
        if !self.0.submitting.borrow().is_empty() {
            self.0.submission_ended.wait(seen).await;
        }
    }
}

/// The number of windows whose stored counts are remembered. Requests are counted
/// in the current window, which only a stopping VM submits before its end.
const STORED_WINDOWS_MAX: usize = 4;

fn add_all(counts: &mut Counts, more: Counts) {
    for (account, count) in more {
        *counts.entry(account).or_default() += count;
    }
}

/// The entry of one request at one endpoint. Clones are the same entry.
///
/// A request counts from its sending on: the endpoint may run it whether or not
/// its answer is awaited.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tarragonseam_site::usage::Usage;
///
/// let usage = Usage::new(Duration::from_millis(1));
/// let (rejected, abandoned) = (usage.entry(Some("acme")), usage.entry(Some("acme")));
/// rejected.record_sent();
/// abandoned.record_sent();
/// rejected.cancel();
/// drop(abandoned);
/// std::thread::sleep(Duration::from_millis(5));
/// let counts = std::iter::from_fn(|| usage.begin_submission(Duration::ZERO));
/// assert_eq!(counts.map(|(_, counts)| counts["acme"]).sum::<u64>(), 1);
/// ```
#[derive(Clone)]
pub struct Entry(Rc<EntryInner>);

struct EntryInner {
    usage: Usage,
    account: Option<String>,
    /// The window in which the request is counted.
    window: Cell<Option<u64>>,
}

impl Entry {
    /// Counts the request in the current window, unless it is counted already.
    pub fn record_sent(&self) {
        let Some(account) = &self.0.account else {
            return;
        };
        if self.0.window.get().is_none() {
            let window = self.0.usage.window();
            self.0.window.set(Some(window));
            self.0.usage.add(window, account);
        }
    }

    /// Records that the endpoint did not run the request and will not run it.
    pub fn cancel(&self) {
        if let (Some(window), Some(account)) = (self.0.window.take(), &self.0.account) {
            self.0.usage.subtract(window, account);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A request that is counted after its window was stored was lost, since the
    /// later submission had only the new counts.
    #[test]
    fn later_submission_includes_stored_counts() {
        let usage = Usage::new(Duration::from_secs(600));
        let send = || usage.entry(Some("acme")).record_sent();
        let submit = |is_stored| {
            let (window, counts) = usage.begin_submission(Duration::ZERO).unwrap();
            send();
            assert_eq!(usage.begin_submission(Duration::ZERO), None);
            usage.end_submission(window, is_stored);
            counts["acme"]
        };
        send();
        assert_eq!(submit(true), 1);
        assert_eq!(submit(false), 2);
        assert_eq!(usage.unconfirmed_requests(), 2);
        assert_eq!(submit(true), 3);
        assert_eq!(usage.unconfirmed_requests(), 1);
    }
}
