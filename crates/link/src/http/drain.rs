//! Graceful shutdown of a server, which answers running requests before their
//! connections close, and the counts of its connections, requests and body
//! memory.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use slotmap::SlotMap;

use super::{
    memory::Memory,
    refusal::{IdleConnections, Refusals},
};

/// Makes the connections of a server close, and counts connections and
/// requests.
#[derive(Clone, Debug, Default)]
pub struct Drain(pub(crate) Rc<State>);

#[derive(Debug, Default)]
pub(crate) struct State {
    is_closing: Cell<bool>,
    is_draining: Cell<bool>,
    is_rejecting: Cell<bool>,
    pub(crate) busy_requests: Cell<usize>,
    pub(crate) open_connections: Cell<usize>,
    /// The servers that still accept connections, at the latest from their
    /// backlogs.
    pub(crate) accepting_servers: Cell<usize>,
    pub(crate) panics: Cell<u64>,
    /// The connections that were answered, and whose unread bytes are being
    /// discarded.
    pub(crate) lingering_connections: Cell<usize>,
    pub(crate) memory: Memory,
    pub(crate) idle: IdleConnections,
    pub(crate) refusals: Refusals,
    /// The wakers of the tasks that wait for the close.
    waiters: RefCell<SlotMap<slotmap::DefaultKey, Waker>>,
}

impl Drain {
    /// Returns a drain whose server uses `memory`.
    pub fn with_memory(memory: Memory) -> Self {
        Self(Rc::new(State {
            memory,
            ..State::default()
        }))
    }

    /// Returns the budget of the server's memory.
    pub fn memory(&self) -> &Memory {
        &self.0.memory
    }

    /// Returns how many requests and connections were refused, by reason.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        self.0.refusals.counts()
    }

    /// Makes each response close its connection from now on, so that callers
    /// move to other VMs. New connections are still accepted.
    pub fn begin(&self) {
        self.0.is_draining.set(true);
    }

    /// Closes idle connections now and the others after their running request.
    /// The server stops accepting connections once it has accepted those in the
    /// backlog.
    pub fn close(&self) {
        self.begin();
        self.0.is_closing.set(true);
        // The wakers are taken out first, since waking one may run code that
        // registers another.
        let waiters = self.0.waiters.take();
        for (_, waker) in waiters {
            waker.wake();
        }
    }

    /// Sets whether new connections are closed as soon as they are accepted.
    pub fn set_rejecting(&self, is_rejecting: bool) {
        self.0.is_rejecting.set(is_rejecting);
    }

    /// Returns whether new connections are closed as soon as they are accepted.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.0.is_rejecting.get()
    }

    /// Returns whether responses close their connection.
    pub(crate) fn is_draining(&self) -> bool {
        self.0.is_draining.get()
    }

    /// Returns whether [`Drain::close`] was called.
    pub fn is_closing(&self) -> bool {
        self.0.is_closing.get()
    }

    /// Waits until [`Drain::close`] is called.
    pub(crate) async fn wait_for_close(&self) {
        let mut waiter = Waiter {
            state: &self.0,
            key: None,
        };
        poll_fn(|cx| {
            if self.is_closing() {
                return Poll::Ready(());
            }
            waiter.register(cx.waker());
            Poll::Pending
        })
        .await;
    }

    /// Returns the number of requests that are being read or answered.
    pub fn busy_requests(&self) -> usize {
        self.0.busy_requests.get()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.0.open_connections.get()
    }

    /// Returns the number of connections that ended with a panic.
    pub fn panics(&self) -> u64 {
        self.0.panics.get()
    }

    /// Counts a request or connection that was refused.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        let (memory, connections) = (self.memory().used_bytes(), self.open_connections());
        self.0.refusals.record(reason, memory, connections);
    }

    /// Returns whether one more of at most `max` connections may open. Closes a
    /// connection that waits for a request to make room for it.
    pub(crate) fn admit_connection(&self, max: usize) -> bool {
        let open = self.open_connections() + self.0.lingering_connections.get();
        open < max || self.0.idle.close_first()
    }

    /// Waits until no connection is open and none is accepted any more, or `limit`
    /// has passed. Returns whether all connections are closed.
    pub async fn wait(&self, limit: Duration) -> bool {
        let start = std::time::Instant::now();
        while self.open_connections() > 0 || self.0.accepting_servers.get() > 0 {
            if start.elapsed() > limit {
                return false;
            }
            monoio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        true
    }
}

const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// The registration of one waiting task, removed on drop.
struct Waiter<'a> {
    state: &'a State,
    key: Option<slotmap::DefaultKey>,
}

impl Waiter<'_> {
    fn register(&mut self, waker: &Waker) {
        let mut waiters = self.state.waiters.borrow_mut();
        let registered = self.key.and_then(|key| waiters.get_mut(key));
        match registered {
            Some(current) => current.clone_from(waker),
            None => self.key = Some(waiters.insert(waker.clone())),
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let key = self.key.take();
        let waker = key.and_then(|key| self.state.waiters.borrow_mut().remove(key));
        drop(waker);
    }
}

/// A connection that was accepted, which counts as open until it is dropped.
pub(crate) struct OpenConnection(Drain);

impl OpenConnection {
    pub(crate) fn new(drain: &Drain) -> Self {
        let count = &drain.0.open_connections;
        count.set(count.get() + 1);
        Self(drain.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let count = &self.0.0.open_connections;
        count.set(count.get() - 1);
    }
}

/// Counts one unit until it is dropped.
pub(crate) struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    pub(crate) fn increment(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
