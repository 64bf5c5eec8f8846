//! The orders of this process that the platform may have accepted, or may yet.
//!
//! An order in transit may arrive after its sender has given it up, or after
//! the sender's epoch. Only its key, accepted once, or a higher epoch that the
//! platform has seen makes sure that it has no effect then. Until one of them
//! does, it is sent again under its key, and no order with another key replaces
//! it.

use board::capacity::Order;

/// The orders whose outcome is unknown, with the epoch in which each was last
/// sent.
#[derive(Debug, Default)]
pub(crate) struct Unsettled(Vec<Order>);

impl Unsettled {
    /// Records that `order` is being sent, or may be in transit. It stays
    /// recorded until its outcome is known or its epoch has ended for the
    /// platform.
    pub(crate) fn begin(&mut self, order: &Order) {
        self.settle(&order.key);
        self.0.push(order.clone());
    }

    /// Records that the outcome of the order `key` is known.
    pub(crate) fn settle(&mut self, key: &str) {
        self.0.retain(|order| order.key != key);
    }

    /// Records that the platform has seen `epoch`, so that it rejects the orders
    /// of earlier epochs.
    pub(crate) fn settle_before(&mut self, epoch: u64) {
        self.0.retain(|order| order.epoch >= epoch);
    }

    /// Returns whether the outcome of the order `key` is unknown.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.0.iter().any(|order| order.key == key)
    }

    /// Returns the orders whose outcome is unknown.
    pub(crate) fn orders(&self) -> &[Order] {
        &self.0
    }

    /// Returns `order`, under the key of the order whose outcome is unknown that
    /// it would replace, if any: one that differs from it in key, count and epoch
    /// at most.
    pub(crate) fn or_repeated(&self, order: Order) -> Order {
        let replaces = |other: &&Order| {
            let other_of_same_pool = Order {
                key: order.key.clone(),
                count: order.count,
                epoch: order.epoch,
                ..(*other).clone()
            };
            other_of_same_pool == order
        };
        let repeated = self.0.iter().find(replaces);
        match repeated.map(|other| other.key.clone()) {
            Some(key) => Order { key, ..order },
            None => order,
        }
    }
}
