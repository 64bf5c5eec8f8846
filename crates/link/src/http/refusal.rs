//! What a server refuses to protect itself: counts for metrics, a bounded log,
//! and which connection closes when there are too many.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

/// At most one line about refusals is logged in this time.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Counts of refused requests and connections, by reason.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    logged_at: Cell<Option<Instant>>,
    unlogged: Cell<u64>,
}

impl Refusals {
    /// Counts a refusal. `used_bytes` is the memory in use, and `connections` the
    /// number of open connections.
    pub(crate) fn record(&self, reason: &'static str, used_bytes: usize, connections: usize) {
        *self.counts.borrow_mut().entry(reason).or_default() += 1;
        let count = self.unlogged.get() + 1;
        self.unlogged.set(count);
        let is_due = self
            .logged_at
            .get()
            .is_none_or(|at| at.elapsed() >= LOG_PERIOD);
        if is_due {
            self.logged_at.set(Some(Instant::now()));
            self.unlogged.set(0);
            spdlog::warn!("callers refused", kv: { reason, count, used_bytes, connections });
        }
    }

    pub(crate) fn counts(&self) -> Vec<(&'static str, u64)> {
        let counts = self.counts.borrow();
        counts
            .iter()
            .map(|(reason, count)| (*reason, *count))
            .collect()
    }
}

/// The connections that wait for a request or for the rest of its head. Clones share
/// the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdleConnections {
    waiting: Rc<RefCell<Queue>>,
    next: Rc<Cell<u64>>,
}

/// Connections by whether they have had a request, and by age: those without any come
/// first, and then the oldest.
type Queue = BTreeMap<(bool, u64), Rc<Waiting>>;

#[derive(Debug, Default)]
struct Waiting {
    must_close: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl IdleConnections {
    /// Makes the first connection close, and returns whether there is one.
    pub(crate) fn close_first(&self) -> bool {
        let first = self.waiting.borrow_mut().pop_first();
        let Some((_, waiting)) = first else {
            return false;
        };
        waiting.must_close.set(true);
        let waker = waiting.waker.take();
        waker.into_iter().for_each(Waker::wake);
        true
    }

    /// Adds a connection, which may have to close from now on. `is_used` is whether it
    /// has had a request.
    pub(crate) fn register(&self, is_used: bool) -> Registration {
        let key = (is_used, self.next.get());
        self.next.set(key.1 + 1);
        let waiting = Rc::new(Waiting::default());
        self.waiting.borrow_mut().insert(key, waiting.clone());
        Registration {
            connections: self.clone(),
            key,
            waiting,
        }
    }
}

/// The entry of a connection that waits for a request. Dropping it removes the entry.
#[derive(Debug)]
pub(crate) struct Registration {
    connections: IdleConnections,
    key: (bool, u64),
    waiting: Rc<Waiting>,
}

impl Registration {
    /// Waits until the connection has to close.
    pub(crate) async fn wait_for_close(&self) {
        poll_fn(|cx| {
            if self.waiting.must_close.get() {
                return Poll::Ready(());
            }
            *self.waiting.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.waiting.borrow_mut().remove(&self.key);
    }
}
