//! A counter of changes that tasks can wait on.

use std::{
    cell::RefCell,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

/// A counter of changes that tasks can wait on. Clones share the counter.
#[derive(Clone, Debug, Default)]
pub struct Notifier(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    count: u64,
    waiting: Vec<Waker>,
}

impl Notifier {
    /// Returns the current count.
    pub fn count(&self) -> u64 {
        self.0.borrow().count
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        let mut state = self.0.borrow_mut();
        state.count += 1;
        let waiting = std::mem::take(&mut state.waiting);
        // The borrow ends first, since a waker may run code that waits again.
        drop(state);
        for waker in waiting {
            waker.wake();
        }
    }

    /// Waits until the count exceeds `seen`, for at most `limit`. The caller
    /// checks its condition again in both cases.
    pub async fn wait_timeout(&self, seen: u64, limit: Duration) {
        let _ = monoio::time::timeout(limit, self.wait(seen)).await;
    }

    /// Waits until the count exceeds `seen`.
    pub async fn wait(&self, seen: u64) {
        poll_fn(|cx| {
            let mut state = self.0.borrow_mut();
            if state.count > seen {
                return Poll::Ready(());
            }
            let is_known = state
                .waiting
                .iter()
                .any(|known| known.will_wake(cx.waker()));
            if !is_known {
                state.waiting.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
