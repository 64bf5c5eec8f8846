//! The producers of which the store has endpoints, read on demand.
//!
//! A VM follows the endpoints, but it may be cut off from the store, or its process
//! may have stood still, and not know it yet. Only a read that begins after a
//! question answers for the time of the question. Questions that arrive during a
//! read share the next one.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use platform::{endpoint, store::Store};

use super::Producer;
use crate::notify::Notifier;

/// Reads producers from the store. Clones share the reads.
#[derive(Clone)]
pub(super) struct Census(Rc<Inner>);

struct Inner {
    store: Store,
    is_reading: Cell<bool>,
    /// The last result, with the time when its read began. It is `None` if the
    /// store could not be read.
    latest: RefCell<Option<(Instant, Option<Producers>)>>,
    read: Notifier,
}

/// The producers of all endpoints, one for each.
type Producers = Rc<Vec<Producer>>;

impl Census {
    /// Returns a census of the endpoints in `store`.
    pub(super) fn new(store: Store) -> Self {
        Self(Rc::new(Inner {
            store,
            is_reading: Cell::new(false),
            latest: RefCell::default(),
            read: Notifier::default(),
        }))
    }

    /// Returns the producers of the endpoints in the store as of now or later, or
    /// `None` if they are not known at `deadline`.
    pub(super) async fn producers(&self, deadline: Instant) -> Option<Producers> {
        let asked = Instant::now();
        loop {
            if let Some((began, producers)) = &*self.0.latest.borrow()
                && *began >= asked
            {
                return producers.clone();
            }
            let seen = self.0.read.count();
            self.start_read();
            let now = Instant::now();
            if now >= deadline {
                return None;
            }
            self.0.read.wait_timeout(seen, deadline - now).await;
        }
    }

    /// Reads the endpoints, unless a read is in progress.
    fn start_read(&self) {
        if self.0.is_reading.replace(true) {
            return;
        }
        let census = self.clone();
        // A task of its own, since a caller may leave while others wait.
        monoio::spawn(async move {
            let began = Instant::now();
            let producers = census.read().await;
            *census.0.latest.borrow_mut() = Some((began, producers));
            census.0.is_reading.set(false);
            census.0.read.notify();
        });
    }

    async fn read(&self) -> Option<Producers> {
        match self.0.store.list_after(endpoint::KIND, "").await {
            Ok(listed) => {
                let specs = listed.value.iter();
                let specs = specs.filter_map(|object| object.spec.as_deref());
                let records = specs.filter_map(endpoint::decode);
                let producers = records.map(|record| Producer::new(&record));
                Some(Rc::new(producers.collect()))
            }
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("software of the endpoints cannot be confirmed", kv: { problem });
                None
            }
        }
    }
}
