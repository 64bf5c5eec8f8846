//! Orders that start and stop endpoints, and the state that decisions on them
//! use.

use std::collections::BTreeSet;

use crate::{endpoint::CapacityClass, hash::Map, time::Time};

/// The kind of the objects that hold an [`Intent`], one for each failure
/// domain.
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
    /// An order in the form that the platform accepts.
    pub struct Order {
        /// Identifies the order. A repeated order has the same key.
        pub key: String,
        /// The epoch of the lease under which it is sent.
        pub epoch: u64,
        /// The failure domain of the endpoints.
        pub failure_domain: String,
        /// The model or plain service of the endpoints.
        pub service: String,
        /// The capacity class of the endpoints to start.
        #[serde(rename = "class", default, skip_serializing_if = "Option::is_none")]
        pub capacity_class: Option<CapacityClass>,
        /// Whether to start or to stop endpoints.
        pub action: Action,
        /// The number of endpoints.
        pub count: u32,
        /// The endpoint to stop.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub endpoint: Option<String>,
    }
}

crate::record! {
    /// The platform's response to an order that it accepted.
    pub struct Accepted {
        /// The key of the order.
        pub key: String,
        /// The endpoints that were started or stopped, which may be fewer than
        /// ordered.
        #[serde(default)]
        pub endpoints: Vec<String>,
    }
}

crate::record! {
    /// The order that the holder of a failure domain's lease is about to send.
    /// It is written before the order is sent, so that a successor can resolve
    /// an order whose outcome is unknown.
    pub struct Intent {
        /// The epoch of the lease.
        pub epoch: u64,
        /// The number of orders sent under this epoch, including this one.
        #[serde(default)]
        pub count: u64,
        /// The order, if any.
        pub order: Option<Order>,
        /// Other orders under this epoch whose outcome is unknown.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub unsettled: Vec<Order>,
    }
}

/// The endpoints of one capacity class for one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool {
    /// The model or plain service.
    pub service: String,
    /// The capacity class.
    pub capacity_class: CapacityClass,
}

impl Pool {
    /// Returns the pool of `capacity_class` for `service`.
    pub fn new(service: &str, capacity_class: CapacityClass) -> Self {
        Self {
            service: service.to_string(),
            capacity_class,
        }
    }
}

/// The backoff after the platform rejected orders for a pool.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The number of consecutive rejections.
    pub rejections: u32,
    /// When the next order may be sent.
    pub until: Time,
}

/// An endpoint that was ordered but is not listed yet.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Its name.
    pub endpoint: String,
    /// The pool that it is counted in.
    pub pool: Pool,
    /// When it is no longer counted if it is still not listed.
    pub until: Time,
}

/// The number of endpoints that the load of a service requires in one failure
/// domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Moving average of the number of requests that run or wait at endpoints.
    pub mean_requests: f64,
    /// When `mean_requests` was last updated.
    pub updated_at: Option<Time>,
    /// The required number of endpoints.
    pub endpoints: u32,
    /// Since when fewer endpoints would have been enough.
    pub low_since: Option<Time>,
}

/// The state of orders that one VM keeps.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The failure domains of the deployment.
    pub domains: BTreeSet<String>,
    /// The backoffs of pools whose orders were rejected.
    pub backoffs: Map<Pool, Backoff>,
    /// Endpoints that were ordered but are not listed yet.
    pub pending: Vec<Pending>,
    /// Since when a pool of a failure domain has had fewer endpoints than
    /// declared.
    pub shortage_since: Map<(String, Pool), Time>,
    /// The demand in this VM's failure domain, by service.
    pub demands: Map<String, Demand>,
    /// Since when a pool of this VM's failure domain has had more endpoints
    /// than it needs.
    pub surplus_since: Map<Pool, Time>,
}
