//! How much of a VM's memory and descriptors its callers may use.

use platform::settings::Limits;

/// The largest request body that is read, which is the limit that the platform
/// documents. The limit in the configuration is not known at the start.
pub const BODY_BYTES_MAX: usize = 32 * 1024 * 1024;
/// The memory of a VM divided by this is the limit for the requests of all
/// callers together, unless one body of the largest size needs more, and as much
/// again is for answers. The rest is for the jobs, the copies of the store's
/// objects and the buffers of connections.
const MEMORY_DIVISOR: u64 = 4;
/// The part of the memory for answers that their heads and events may hold in addition
/// while they are not complete. Those of endpoints that work need nearly none.
const UNFINISHED_DIVISOR: usize = 4;
/// What a request of the largest size needs beside its body: its head, and the
/// heads of others.
const HEADS_BYTES: usize = 1024 * 1024;
/// The descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Callers may use this part of the other descriptors, since each request that is
/// forwarded needs one more for its endpoint.
const CALLERS_DIVISOR: usize = 2;
/// Other VMs may use this part of them.
const PEERS_DIVISOR: usize = 5;

/// The limits for the callers of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// The memory for requests, in bytes.
    pub requests_bytes: usize,
    /// The memory for requests and answers, in bytes.
    pub total_bytes: usize,
    /// The memory for heads and events of answers that are not complete, in bytes.
    pub unfinished_bytes: usize,
    /// The number of connections from callers.
    pub callers: usize,
    /// The number of connections from other VMs.
    pub peers: usize,
}

impl Room {
    /// Returns the limits for the callers of a VM with `limits`.
    ///
    /// # Examples
    ///
    /// ```
    /// use platform::settings::Limits;
    /// use tarragonseam_site::room::{BODY_BYTES_MAX, Room};
    ///
    /// let limits = Limits {
    ///     memory_mb: 120,
    ///     link_mbps: 45.0,
    ///     cpu_share: 1.0,
    ///     descriptors: Some(3075),
    /// };
    /// let room = Room::new(&limits);
    /// assert!(room.requests_bytes > BODY_BYTES_MAX);
    /// assert!(room.total_bytes < 70 * 1024 * 1024);
    /// assert!(room.callers + room.peers < 2200);
    /// ```
    pub fn new(limits: &Limits) -> Self {
        let share = limits.memory_mb.saturating_mul(1024 * 1024) / MEMORY_DIVISOR;
        let share = usize::try_from(share).unwrap_or(usize::MAX);
        let requests_bytes = share.max(BODY_BYTES_MAX + HEADS_BYTES);
        let connections = |divisor: usize| {
            limits.descriptors.map_or(usize::MAX, |count| {
                let count = usize::try_from(count).unwrap_or(usize::MAX);
                (count.saturating_sub(FILE_DESCRIPTORS) / divisor).max(1)
            })
        };
        Self {
            requests_bytes,
            total_bytes: requests_bytes.saturating_add(share),
            unfinished_bytes: share / UNFINISHED_DIVISOR,
            callers: connections(CALLERS_DIVISOR),
            peers: connections(PEERS_DIVISOR),
        }
    }
}
