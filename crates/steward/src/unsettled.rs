//! The orders of this process that the platform may have accepted, or may yet.
//!
//! An order in transit may arrive after its sender has given it up. Only its
//! key, accepted once, or a higher epoch makes sure that it has no effect then.
//! Within an epoch it is therefore sent again under its key, and no order with
//! another key replaces it.

use board::capacity::Order;

/// The orders of one epoch whose outcome is unknown.
#[derive(Debug, Default)]
pub(crate) struct Unsettled(Vec<Order>);

impl Unsettled {
    /// Records that `order` is being sent. It stays recorded until
    /// [`settle`](Self::settle) is called for its key.
    pub(crate) fn begin(&mut self, order: &Order) {
        if !self.contains(&order.key) {
            self.0.push(order.clone());
        }
    }

    /// Records that the outcome of the order `key` is known.
    pub(crate) fn settle(&mut self, key: &str) {
        self.0.retain(|order| order.key != key);
    }

    /// Returns whether the outcome of the order `key` is unknown.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.0.iter().any(|order| order.key == key)
    }

    /// Returns the orders whose outcome is unknown.
    pub(crate) fn orders(&self) -> &[Order] {
        &self.0
    }

    /// Returns `order`, or the order whose outcome is unknown that `order` would
    /// replace: one that differs from it in key and count at most.
    pub(crate) fn or_repeated(&self, order: Order) -> Order {
        let replaces = |other: &&Order| {
            let other_of_same_pool = Order {
                key: order.key.clone(),
                count: order.count,
                ..(*other).clone()
            };
            other_of_same_pool == order
        };
        self.0.iter().find(replaces).cloned().unwrap_or(order)
    }
}
