//! A change signal that tasks wait on.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// Counts changes and wakes the tasks that wait for the next one.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Counts one change and wakes all waiting tasks.
    pub(crate) fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Returns the number of changes so far.
    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Waits until the number of changes exceeds `seen`.
    pub(crate) async fn wait(&self, seen: u64) {
        poll_fn(|cx| {
            if self.count.get() > seen {
                return Poll::Ready(());
            }
            self.wakers.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
