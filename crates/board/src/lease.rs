//! Leases: objects on the platform, each of which one process at a time holds.

use std::time::Duration;

use crate::time::Time;

/// The kind of the objects that hold leases.
pub const KIND: &str = "lease";

/// The longest time from the check that the lease is held until an order sent
/// after that check reaches its receiver.
pub const ORDER_DELIVERY_MAX: Duration = Duration::from_secs(3);

crate::record! {
    /// A lease as stored on the platform.
    pub struct Record {
        /// The VM whose process holds it.
        pub holder: String,
        /// Increases by one each time the lease is acquired.
        pub epoch: u64,
        /// How long the lease lasts from its last renewal, in milliseconds.
        pub ttl_ms: u64,
        /// Identifies the process that wrote the record. It differs after a
        /// restart on the same VM.
        #[serde(default)]
        pub nonce: u64,
        /// The number of the write among those of that process, by which the
        /// process recognizes its own writes.
        #[serde(default)]
        pub serial: u64,
    }
}

/// One process's view of a lease. Times are monotonic times of this process.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Identifies this process among all others, including those on the same
    /// VM.
    pub nonce: u64,
    /// The number of this process's last write.
    pub serial: u64,
    /// The object's version and value, and when this version was first seen.
    pub seen: Option<(u64, Record, Time)>,
    /// The epoch held, and until when orders may be sent under it.
    pub held: Option<(u64, Time)>,
    /// The epoch that was held last, and when its first write was sent.
    pub acquired: Option<(u64, Time)>,
    /// When the object was last read.
    pub read_at: Time,
    /// Writes whose outcome is unknown, and when each was sent. Any of them may
    /// yet take effect, but not two, since all require the version seen.
    pub pending_writes: Vec<(Record, Time)>,
    /// Whether the object must be read before it is written again.
    pub must_read: bool,
    /// When to check the lease again.
    pub next_check: Time,
}

impl Lease {
    /// Returns the view of a process that has just started.
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

/// The durations of a lease and of its renewal.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a lease lasts after its renewal.
    pub ttl: Duration,
    /// How long before the end of the lease its holder stops sending orders,
    /// and how long after the end a successor waits. Twice this time covers
    /// [`ORDER_DELIVERY_MAX`] and the drift of two clocks during one lease.
    pub margin: Duration,
    /// How often the holder renews the lease, and others check it.
    pub period: Duration,
    /// Whether receivers reject orders of a lower epoch than they have seen. If
    /// they do not, a lease changes hands by waiting alone: orders of a process
    /// that was restarted are given time to arrive, and a lease that was just
    /// acquired is not released early, so that the orders of two holders do not
    /// alternate within one lease.
    pub is_epoch_checked: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            margin: Duration::from_secs(2),
            period: Duration::from_millis(1500),
            is_epoch_checked: true,
        }
    }
}
