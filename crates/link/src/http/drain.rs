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
    /// Bytes reserved for the bodies of requests that are being read or
    /// answered.
    pub(crate) body_bytes: Cell<usize>,
    /// The wakers of the tasks that wait for the close.
    waiters: RefCell<SlotMap<slotmap::DefaultKey, Waker>>,
}

impl Drain {
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

/// A request's share of the memory that a server allows for bodies, released on
/// drop.
pub(crate) struct BodyReservation<'a> {
    total_bytes: &'a Cell<usize>,
    max_bytes: usize,
    reserved_bytes: usize,
}

impl<'a> BodyReservation<'a> {
    /// Returns an empty reservation. `total_bytes` counts the bytes reserved by
    /// all requests, which may not exceed `max_bytes`.
    pub(crate) fn new(total_bytes: &'a Cell<usize>, max_bytes: usize) -> Self {
        Self {
            total_bytes,
            max_bytes,
            reserved_bytes: 0,
        }
    }

    /// Reserves `bytes` more, and returns whether the limit allowed it.
    pub(crate) fn try_reserve(&mut self, bytes: usize) -> bool {
        if self.total_bytes.get().saturating_add(bytes) > self.max_bytes {
            return false;
        }
        self.total_bytes.set(self.total_bytes.get() + bytes);
        self.reserved_bytes += bytes;
        true
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.total_bytes
            .set(self.total_bytes.get() - self.reserved_bytes);
    }
}
