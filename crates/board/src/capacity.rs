//! Orders for endpoints, and what is known of how they went.

use std::collections::BTreeSet;

use crate::{endpoint::CapacityClass, hash::Map, time::Time};

/// The kind of the objects that hold what a failure domain is ordering.
pub const KIND: &str = "order-intent";

crate::record! {
    /// What an order does.
    #[serde(rename_all = "kebab-case")]
    copy pub enum Action {
        /// Starts endpoints.
        Start,
        /// Stops one endpoint.
        Stop,
    }
}

crate::record! {
    /// An order as the platform takes it.
    pub struct Order {
        /// Tells this order from every other: a repeat has the same key.
        pub key: String,
        /// The epoch of the lease under which it is sent.
        pub epoch: u64,
        /// Where.
        pub failure_domain: String,
        /// For which model or plain service.
        pub service: String,
        /// How long endpoints to start can be counted on.
        #[serde(rename = "class", default, skip_serializing_if = "Option::is_none")]
        pub capacity_class: Option<CapacityClass>,
        /// What to do.
        pub action: Action,
        /// How many endpoints.
        pub count: u32,
        /// The endpoint to stop.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub endpoint: Option<String>,
    }
}

crate::record! {
    /// The platform's answer to an order.
    pub struct Accepted {
        /// The key of the order.
        pub key: String,
        /// The endpoints that it moved, which may be fewer than were asked for.
        #[serde(default)]
        pub endpoints: Vec<String>,
    }
}

crate::record! {
    /// What the holder of a failure domain's lease is about to order. It is
    /// written before the order is sent, so that a successor can settle it.
    pub struct Intent {
        /// The epoch of the lease.
        pub epoch: u64,
        /// Orders of this epoch so far, with this one.
        #[serde(default)]
        pub count: u64,
        /// The order, or none.
        pub order: Option<Order>,
    }
}

/// Endpoints of one tenure for one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool {
    /// The model or plain service.
    pub service: String,
    /// How long the endpoints can be counted on.
    pub capacity_class: CapacityClass,
}

impl Pool {
    /// Returns the line of `capacity_class` for `service`.
    pub fn new(service: &str, capacity_class: CapacityClass) -> Self {
        Self {
            service: service.to_string(),
            capacity_class,
        }
    }
}

/// When a refused kind of order may be sent again.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Refusals in a row.
    pub rejections: u32,
    /// Not before this.
    pub until: Time,
}

/// An endpoint that was ordered and is not listed yet.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Its name.
    pub endpoint: String,
    /// What it counts for.
    pub pool: Pool,
    /// When it no longer counts without being listed.
    pub until: Time,
}

/// How many endpoints the load of a service asks for in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Requests that run or wait at endpoints, as a moving average.
    pub mean_requests: f64,
    /// When `mean_requests` was last brought up to date.
    pub updated_at: Option<Time>,
    /// Endpoints asked for.
    pub endpoints: u32,
    /// Since when fewer would do.
    pub low_since: Option<Time>,
}

/// What a VM knows of orders.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The failure domains of the deployment.
    pub domains: BTreeSet<String>,
    /// Kinds of orders that were refused.
    pub backoffs: Map<Pool, Backoff>,
    /// Endpoints that were ordered and are not listed yet.
    pub pending: Vec<Pending>,
    /// Since when a failure domain has had fewer endpoints than declared.
    pub shortage_since: Map<(String, Pool), Time>,
    /// What load asks for here, by service.
    pub demands: Map<String, Demand>,
    /// Since when this failure domain has had more than it needs.
    pub surplus_since: Map<Pool, Time>,
}
