//! The end of a server: no connection is cut while it is being answered.

use std::{cell::Cell, rc::Rc, time::Duration};

use local_sync::semaphore::Semaphore;

/// Tells connections to end, and counts those that are busy.
#[derive(Clone, Debug, Default)]
pub struct Drain(pub(crate) Rc<State>);

#[derive(Debug)]
pub(crate) struct State {
    /// Never has a permit; its close wakes all that wait for the end.
    closing: Semaphore,
    leaving: Cell<bool>,
    refusing: Cell<bool>,
    pub(crate) busy: Cell<usize>,
    pub(crate) open: Cell<usize>,
    pub(crate) panics: Cell<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            closing: Semaphore::new(0),
            leaving: Cell::new(false),
            refusing: Cell::new(false),
            busy: Cell::new(0),
            open: Cell::new(0),
            panics: Cell::new(0),
        }
    }
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
        self.0.closing.close();
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
        self.0.closing.is_closed()
    }

    /// Waits until [`Drain::close`] is called.
    pub(crate) async fn closed(&self) {
        // There are no permits, so only the close ends the wait.
        let _ = self.0.closing.acquire().await;
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
