//! A bounded queue between the producer of a body and its connection.
//!
//! Either end may be dropped while it waits, for example when a caller
//! disconnects. The channels of `local-sync` are not used, since they panic
//! when a sender is dropped after it was granted capacity and before it ran
//! again.

use std::{
    cell::RefCell,
    collections::VecDeque,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
};

#[derive(Debug)]
struct State<T> {
    queue: VecDeque<T>,
    capacity: usize,
    senders: usize,
    has_receiver: bool,
    receiver: Option<Waker>,
    waiting_senders: Vec<Waker>,
}

/// The error of a send whose receiver was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// The sending end of the queue.
#[derive(Debug)]
pub struct Sender<T>(Rc<RefCell<State<T>>>);

/// The receiving end of the queue.
#[derive(Debug)]
pub(crate) struct Receiver<T>(Rc<RefCell<State<T>>>);

/// Returns the two ends of a queue that holds up to `capacity` items.
pub(crate) fn pair<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let state = Rc::new(RefCell::new(State {
        queue: VecDeque::new(),
        capacity,
        senders: 1,
        has_receiver: true,
        receiver: None,
        waiting_senders: Vec::new(),
    }));
    (Sender(state.clone()), Receiver(state))
}

impl<T> Sender<T> {
    /// Waits until the queue has capacity and appends `item`.
    ///
    /// # Errors
    ///
    /// [`Closed`] when the receiver was dropped.
    pub async fn send(&self, item: T) -> Result<(), Closed> {
        let mut item = Some(item);
        poll_fn(|cx| {
            let mut state = self.0.borrow_mut();
            if !state.has_receiver {
                return Poll::Ready(Err(Closed));
            }
            if state.queue.len() >= state.capacity {
                if !state
                    .waiting_senders
                    .iter()
                    .any(|waiting| waiting.will_wake(cx.waker()))
                {
                    state.waiting_senders.push(cx.waker().clone());
                }
                return Poll::Pending;
            }
            state.queue.extend(item.take());
            let receiver = state.receiver.take();
            drop(state);
            wake(receiver);
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Returns whether the receiver was dropped.
    pub fn is_closed(&self) -> bool {
        !self.0.borrow().has_receiver
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        self.0.borrow_mut().senders += 1;
        Self(self.0.clone())
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        let mut state = self.0.borrow_mut();
        state.senders -= 1;
        let receiver = state.receiver.take();
        drop(state);
        wake(receiver);
    }
}

impl<T> Receiver<T> {
    /// Waits for an item. Returns `None` when the queue is empty and all
    /// senders were dropped.
    pub(crate) async fn recv(&mut self) -> Option<T> {
        poll_fn(|cx| {
            let mut state = self.0.borrow_mut();
            if let Some(item) = state.queue.pop_front() {
                // All waiting senders are woken: if only one were and it had
                // been dropped, the others would wait indefinitely.
                let waiting_senders = std::mem::take(&mut state.waiting_senders);
                drop(state);
                wake(waiting_senders);
                return Poll::Ready(Some(item));
            }
            if state.senders == 0 {
                return Poll::Ready(None);
            }
            state.receiver = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        let mut state = self.0.borrow_mut();
        state.has_receiver = false;
        let queue = std::mem::take(&mut state.queue);
        let waiting_senders = std::mem::take(&mut state.waiting_senders);
        drop(state);
        drop(queue);
        wake(waiting_senders);
    }
}

/// Wakes `wakers`. No borrow of the state may be active, since waking may run
/// code that borrows it.
fn wake(wakers: impl IntoIterator<Item = Waker>) {
    for waker in wakers {
        waker.wake();
    }
}
