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
    closing: Cell<bool>,
    leaving: Cell<bool>,
    refusing: Cell<bool>,
    pub(crate) busy: Cell<usize>,
    pub(crate) open: Cell<usize>,
    pub(crate) panics: Cell<u64>,
    /// Bytes of bodies that are being read or answered.
    pub(crate) held: Cell<usize>,
    /// Those that wait for the close.
    waiting: RefCell<SlotMap<slotmap::DefaultKey, Waker>>,
}

impl Drain {
    /// Asks callers to go elsewhere: each answer closes its connection from
    /// now on, and new connections are still taken.
    pub fn leave(&self) {
        self.0.leaving.set(true);
    }

    /// Closes idle connections now and busy ones after the request in hand,
    /// and takes no new ones once those in the backlog are answered.
    pub fn close(&self) {
        self.leave();
        self.0.closing.set(true);
        // Taken out first, since a waker may run code that waits again.
        let waiting = self.0.waiting.take();
        for (_, waker) in waiting {
            waker.wake();
        }
    }

    /// Sets whether new connections are closed as soon as they are accepted.
    pub fn refuse(&self, refuse: bool) {
        self.0.refusing.set(refuse);
    }

    /// Returns whether [`Drain::refuse`] is set.
    pub(crate) fn is_refusing(&self) -> bool {
        self.0.refusing.get()
    }

    /// Returns whether answers close their connection.
    pub(crate) fn is_leaving(&self) -> bool {
        self.0.leaving.get()
    }

    /// Returns whether [`Drain::close`] was called.
    pub fn is_closing(&self) -> bool {
        self.0.closing.get()
    }

    /// Waits until [`Drain::close`] is called.
    pub(crate) async fn closed(&self) {
        let mut place = Place {
            state: &self.0,
            key: None,
        };
        poll_fn(|cx| {
            if self.is_closing() {
                return Poll::Ready(());
            }
            place.hold(cx.waker());
            Poll::Pending
        })
        .await;
    }

    /// Returns how many requests are being answered.
    pub fn busy(&self) -> usize {
        self.0.busy.get()
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    /// Returns how many connections ended in a panic.
    pub fn panics(&self) -> u64 {
        self.0.panics.get()
    }

    /// Waits until no connection is open or `limit` has passed, and returns
    /// whether all were answered.
    pub async fn wait(&self, limit: Duration) -> bool {
        let start = std::time::Instant::now();
        while self.open() > 0 {
            if start.elapsed() > limit {
                return false;
            }
            monoio::time::sleep(DRAIN_POLL).await;
        }
        true
    }
}

const DRAIN_POLL: Duration = Duration::from_millis(10);

/// The place of one that waits, given up on drop.
struct Place<'a> {
    state: &'a State,
    key: Option<slotmap::DefaultKey>,
}

impl Place<'_> {
    fn hold(&mut self, waker: &Waker) {
        let mut waiting = self.state.waiting.borrow_mut();
        let known = self.key.and_then(|key| waiting.get_mut(key));
        match known {
            Some(held) => held.clone_from(waker),
            None => self.key = Some(waiting.insert(waker.clone())),
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let key = self.key.take();
        let waker = key.and_then(|key| self.state.waiting.borrow_mut().remove(key));
        drop(waker);
    }
}

/// One unit of a counter, taken back on drop.
pub(crate) struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    pub(crate) fn up(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The part of a server's memory for bodies that one request holds, given back
/// on drop.
pub(crate) struct Room<'a> {
    held: &'a Cell<usize>,
    most: usize,
    own: usize,
}

impl<'a> Room<'a> {
    /// Returns no room yet, of `most` bytes in all.
    pub(crate) fn new(held: &'a Cell<usize>, most: usize) -> Self {
        Self { held, most, own: 0 }
    }

    /// Takes room for `bytes` more, if there is.
    pub(crate) fn take(&mut self, bytes: usize) -> bool {
        if self.held.get().saturating_add(bytes) > self.most {
            return false;
        }
        self.held.set(self.held.get() + bytes);
        self.own += bytes;
        true
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.own);
    }
}
