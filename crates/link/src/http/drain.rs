//! The end of a server: no connection is cut while it is being answered.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use slotmap::SlotMap;

/// Tells connections to end, and counts those that are busy.
#[derive(Clone, Debug, Default)]
pub struct Drain(pub(crate) Rc<State>);

#[derive(Debug, Default)]
pub(crate) struct State {
    is_closing: Cell<bool>,
    is_draining: Cell<bool>,
    is_rejecting: Cell<bool>,
    pub(crate) busy_requests: Cell<usize>,
    pub(crate) open_connections: Cell<usize>,
    pub(crate) panics: Cell<u64>,
    /// Bytes of bodies that are being read or answered.
    pub(crate) body_bytes: Cell<usize>,
    /// Those that wait for the close.
    waiters: RefCell<SlotMap<slotmap::DefaultKey, Waker>>,
}

impl Drain {
    /// Asks callers to go elsewhere: each answer closes its connection from
    /// now on, and new connections are still taken.
    pub fn begin(&self) {
        self.0.is_draining.set(true);
    }

    /// Closes idle connections now and busy ones after the request in hand,
    /// and takes no new ones once those in the backlog are answered.
    pub fn close(&self) {
        self.begin();
        self.0.is_closing.set(true);
        // Taken out first, since a waker may run code that waits again.
        let waiters = self.0.waiters.take();
        for (_, waker) in waiters {
            waker.wake();
        }
    }

    /// Sets whether new connections are closed as soon as they are accepted.
    pub fn set_rejecting(&self, is_rejecting: bool) {
        self.0.is_rejecting.set(is_rejecting);
    }

    /// Returns whether [`Drain::set_rejecting`] is set.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.0.is_rejecting.get()
    }

    /// Returns whether answers close their connection.
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

    /// Returns how many requests are being answered.
    pub fn busy_requests(&self) -> usize {
        self.0.busy_requests.get()
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        self.0.open_connections.get()
    }

    /// Returns how many connections ended in a panic.
    pub fn panics(&self) -> u64 {
        self.0.panics.get()
    }

    /// Waits until no connection is open or `limit` has passed, and returns
    /// whether all were answered.
    pub async fn wait(&self, limit: Duration) -> bool {
        let start = std::time::Instant::now();
        while self.open_connections() > 0 {
            if start.elapsed() > limit {
                return false;
            }
            monoio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        true
    }
}

const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// The place of one that waits, given up on drop.
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

/// One unit of a counter, taken back on drop.
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

/// The part of a server's memory for bodies that one request holds, given back
/// on drop.
pub(crate) struct BodyReservation<'a> {
    total_bytes: &'a Cell<usize>,
    max_bytes: usize,
    reserved_bytes: usize,
}

impl<'a> BodyReservation<'a> {
    /// Returns no room yet, of `max_bytes` bytes in all.
    pub(crate) fn new(total_bytes: &'a Cell<usize>, max_bytes: usize) -> Self {
        Self {
            total_bytes,
            max_bytes,
            reserved_bytes: 0,
        }
    }

    /// Takes room for `bytes` more, if there is.
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
