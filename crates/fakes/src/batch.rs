//! A bounded number of slots, with a priority queue of waiting requests.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use local_sync::oneshot;

/// The slots of a fake and the queue for them.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    queue: usize,
    active: Cell<usize>,
    next_id: Cell<u64>,
    waiting: RefCell<Vec<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    id: u64,
    priority: i64,
    granted: oneshot::Sender<Slot>,
}

/// An occupied slot, released on drop.
#[derive(Debug)]
pub(crate) struct Slot(Rc<Batch>);

/// A position in the queue; dropping it removes the request from the queue.
pub(crate) struct Ticket {
    batch: Rc<Batch>,
    id: u64,
    granted: oneshot::Receiver<Slot>,
}

impl Batch {
    /// Returns a batch of `slots` free slots with a queue for at most `queue`
    /// requests.
    pub(crate) fn new(slots: usize, queue: usize) -> Rc<Self> {
        Rc::new(Self {
            slots: slots.max(1),
            queue,
            active: Cell::new(0),
            next_id: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Returns the number of occupied slots.
    pub(crate) fn active(&self) -> usize {
        self.active.get()
    }

    /// Returns the number of requests that wait for a slot.
    pub(crate) fn queued(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns whether all slots are occupied and the queue is full.
    pub(crate) fn is_full(&self) -> bool {
        self.active() >= self.slots && self.queued() >= self.queue
    }

    /// Adds a request to the queue. Requests of a higher `priority` get a slot
    /// first, and requests of equal priority in the order of their arrival.
    pub(crate) fn join(self: &Rc<Self>, priority: i64) -> Ticket {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (granted, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(Waiter {
            id,
            priority,
            granted,
        });
        self.grant();
        Ticket {
            batch: self.clone(),
            id,
            granted: receiver,
        }
    }

    fn grant(self: &Rc<Self>) {
        while self.active() < self.slots {
            let Some(waiter) = self.pop() else {
                return;
            };
            self.active.set(self.active() + 1);
            // If the receiver has been dropped, dropping the slot releases it.
            drop(waiter.granted.send(Slot(self.clone())));
        }
    }

    fn pop(&self) -> Option<Waiter> {
        let mut waiting = self.waiting.borrow_mut();
        let rank = |waiter: &Waiter| (std::cmp::Reverse(waiter.priority), waiter.id);
        let (first, _) = waiting.iter().enumerate().min_by_key(|(_, w)| rank(w))?;
        Some(waiting.swap_remove(first))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.active.set(self.0.active() - 1);
        self.0.grant();
    }
}

impl Ticket {
    /// Waits for a slot; `None` if the batch has been dropped.
    pub(crate) async fn slot(&mut self) -> Option<Slot> {
        (&mut self.granted).await.ok()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut waiting = self.batch.waiting.borrow_mut();
        waiting.retain(|waiter| waiter.id != self.id);
    }
}
