//! Leases: one object for each job, held by one process at a time.

use std::time::Duration;

use crate::time::Time;

/// The kind of the objects that hold leases.
pub const KIND: &str = "lease";

crate::record! {
    /// A lease as it stands on the platform.
    pub struct Record {
        /// The process that holds it.
        pub holder: String,
        /// Grows by one each time that the holder changes.
        pub epoch: u64,
        /// How long the lease lasts from its last renewal, in milliseconds.
        pub ttl_ms: u64,
    }
}

/// What a process knows of one lease. Times are its own monotonic ones.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The object's version and value, with when this version was first seen.
    pub seen: Option<(u64, Record, Time)>,
    /// The epoch held, and until when orders may be sent under it.
    pub held: Option<(u64, Time)>,
    /// When a write was sent whose outcome is unknown.
    pub unsettled: bool,
    /// When to look at the lease again.
    pub next: Time,
}

/// The lengths that make a lease safe.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a lease lasts after its renewal.
    pub ttl: Duration,
    /// How long before its end the holder stops: the longest time that an
    /// order takes to reach its receiver.
    pub margin: Duration,
    /// How often it is renewed, or looked at.
    pub period: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            margin: Duration::from_secs(2),
            period: Duration::from_millis(1500),
        }
    }
}
