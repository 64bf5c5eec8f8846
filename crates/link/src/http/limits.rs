//! Limits on the memory and time that a peer can use.

use std::time::Duration;

/// The limits for the connections of a server or a client.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tarragonseam_link::http::Limits;
///
/// let limits = Limits::new().body_bytes(1024).head_time(Duration::from_secs(1));
/// assert_eq!(limits.max_body_bytes(), 1024);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub(crate) head_bytes: usize,
    pub(crate) body_bytes: usize,
    pub(crate) total_body_bytes: usize,
    pub(crate) head_time: Duration,
    pub(crate) body_time: Duration,
    pub(crate) idle_time: Duration,
    pub(crate) write_time: Duration,
    pub(crate) connections: usize,
    pub(crate) account_header: Option<&'static str>,
}

const HEAD_BYTES_DEFAULT: usize = 32 * 1024;
const BODY_BYTES_DEFAULT: usize = 1024 * 1024;
/// 64 of the largest bodies at once, so that no daemon depends on its settings
/// for a bound.
const TOTAL_BODY_BYTES_DEFAULT: usize = 64 * BODY_BYTES_DEFAULT;
const HEAD_TIME_DEFAULT: Duration = Duration::from_secs(5);
const BODY_TIME_DEFAULT: Duration = Duration::from_secs(10);
const IDLE_TIME_DEFAULT: Duration = Duration::from_secs(60);
const WRITE_TIME_DEFAULT: Duration = Duration::from_secs(10);

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: HEAD_BYTES_DEFAULT,
            body_bytes: BODY_BYTES_DEFAULT,
            total_body_bytes: TOTAL_BODY_BYTES_DEFAULT,
            head_time: HEAD_TIME_DEFAULT,
            body_time: BODY_TIME_DEFAULT,
            idle_time: IDLE_TIME_DEFAULT,
            write_time: WRITE_TIME_DEFAULT,
            connections: usize::MAX,
            account_header: None,
        }
    }
}

impl Limits {
    /// Returns the default limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the maximum size of a head, in bytes.
    pub fn head_bytes(mut self, bytes: usize) -> Self {
        self.head_bytes = bytes;
        self
    }

    /// Sets the maximum size of a body, in bytes.
    pub fn body_bytes(mut self, bytes: usize) -> Self {
        self.body_bytes = bytes;
        self
    }

    /// Sets the maximum size of all bodies that a server holds at once, in
    /// bytes. Requests that exceed it are rejected with a retry delay. A server
    /// with a [`Memory`](super::Memory) of its own uses the limits of that one.
    pub fn total_body_bytes(mut self, bytes: usize) -> Self {
        self.total_body_bytes = bytes;
        self
    }

    /// Sets how long a head may take to arrive after its first byte.
    pub fn head_time(mut self, time: Duration) -> Self {
        self.head_time = time;
        self
    }

    /// Sets how long a body may take to arrive.
    pub fn body_time(mut self, time: Duration) -> Self {
        self.body_time = time;
        self
    }

    /// Sets how long a connection may stay open without a request.
    pub fn idle_time(mut self, time: Duration) -> Self {
        self.idle_time = time;
        self
    }

    /// Sets how long one write to the peer may take.
    pub fn write_time(mut self, time: Duration) -> Self {
        self.write_time = time;
        self
    }

    /// Sets how many connections a server holds open. For one more, it closes a
    /// connection that waits for a request.
    pub fn connections(mut self, count: usize) -> Self {
        self.connections = count;
        self
    }

    /// Sets the header with the key of the client account. Unfinished bodies
    /// share the memory by it.
    pub fn account_header(mut self, name: &'static str) -> Self {
        self.account_header = Some(name);
        self
    }

    /// Returns the maximum size of a body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.body_bytes
    }
}
