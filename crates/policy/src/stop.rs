//! Which requests a VM that is being stopped still sends to endpoints.
//!
//! The process is killed at a fixed time, and a request without an answer by then is
//! lost to its caller if it may not be repeated. A request that has not been sent can
//! be rejected, and its caller reaches another VM at once. Requests still arrive late
//! from callers that use their connections as long as these are open, and send heads
//! or bodies slowly. Usual answers take a small part of the time that callers allow,
//! so soon after the signal all requests are sent; later ones only if their callers
//! stop waiting before the process ends.

use std::time::Duration;

/// The times of a planned stop, from the signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// When load balancers have stopped sending requests.
    pub late: Duration,
    /// When the last attempt may be sent.
    pub last_send: Duration,
    /// When the process ends at the latest.
    pub exit: Duration,
}

/// What decides whether a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// How long its caller still waits.
    pub time_left: Duration,
    /// Whether an endpoint has run it, or may have. Another attempt can only improve
    /// its outcome then.
    pub has_run: bool,
    /// Whether it is a stream that no other VM can resume. Streams use more of the time
    /// that their callers allow than other requests.
    pub is_unresumable_stream: bool,
}

impl Terms {
    /// Returns whether `request` may be sent to an endpoint at the time `elapsed` after
    /// the signal.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragonseam_policy::stop::{Request, Terms};
    ///
    /// let terms = Terms {
    ///     late: Duration::from_secs(3),
    ///     last_send: Duration::from_secs(6),
    ///     exit: Duration::from_secs(7),
    /// };
    /// let request = Request {
    ///     time_left: Duration::from_secs(5),
    ///     has_run: false,
    ///     is_unresumable_stream: false,
    /// };
    /// assert!(terms.may_send(request, Duration::from_secs(2)));
    /// assert!(!terms.may_send(request, Duration::from_secs(3)));
    /// ```
    pub fn may_send(&self, request: Request, elapsed: Duration) -> bool {
        if elapsed >= self.last_send {
            return false;
        }
        let ends_in_time = elapsed.saturating_add(request.time_left) <= self.exit;
        let is_early = elapsed < self.late && !request.is_unresumable_stream;
        ends_in_time || is_early || request.has_run
    }
}
