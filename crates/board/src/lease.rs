//! Leases: one object for each job, held by one process at a time.

use std::time::Duration;

use crate::time::Time;

/// The kind of the objects that hold leases.
pub const KIND: &str = "lease";

/// The longest time from the check of an epoch until the order under it has
/// reached its receiver or never will.
pub const ORDER_DELIVERY_MAX: Duration = Duration::from_secs(3);

crate::record! {
    /// A lease as it stands on the platform.
    pub struct Record {
        /// The VM whose process holds it.
        pub holder: String,
        /// Grows by one each time that the lease is taken.
        pub epoch: u64,
        /// How long the lease lasts from its last renewal, in milliseconds.
        pub ttl_ms: u64,
        /// The process that wrote it: differs after a restart on the same VM.
        #[serde(default)]
        pub nonce: u64,
        /// Counts the writes of that process, so that it knows each again.
        #[serde(default)]
        pub serial: u64,
    }
}

/// What a process knows of one lease. Times are its own monotonic ones.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Tells this process from every other one, also on the same VM.
    pub nonce: u64,
    /// The number of the last write.
    pub serial: u64,
    /// The object's version and value, with when this version was first seen.
    pub seen: Option<(u64, Record, Time)>,
    /// The epoch held, and until when orders may be sent under it.
    pub held: Option<(u64, Time)>,
    /// When the object was last read.
    pub read_at: Time,
    /// A write whose outcome is not known, with when it was sent.
    pub pending_write: Option<(Record, Time)>,
    /// When to look at the lease again.
    pub next_check: Time,
}

impl Lease {
    /// Returns the lease as a process that was just started knows it.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_board::lease::Lease;
    ///
    /// let lease = Lease::new(7);
    /// assert!(lease.held.is_none());
    /// ```
    pub fn new(nonce: u64) -> Self {
        Self {
            nonce,
            ..Self::default()
        }
    }
}

/// The lengths that make a lease safe.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a lease lasts after its renewal.
    pub ttl: Duration,
    /// How long before its end the holder stops, and how long after it the
    /// successor still waits. Twice this covers [`ORDER_DELIVERY_MAX`] and the
    /// difference of two clocks over one term.
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
