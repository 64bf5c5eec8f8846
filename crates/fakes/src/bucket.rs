//! Rate limits for calls.

use std::time::Instant;

use link::{StatusCode, http::Reply};

/// A token bucket that holds the tokens of [`BURST_S`] seconds, and at least
/// one.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

/// The time for which a full bucket covers calls at its rate, in seconds.
const BURST_S: f64 = 0.25;

impl Bucket {
    /// Returns a full bucket for `rate_per_s`.
    pub(crate) fn new(rate_per_s: u32) -> Self {
        Self {
            tokens: burst(rate_per_s),
            refilled_at: Instant::now(),
        }
    }

    /// Refills the bucket at `rate_per_s`, and takes one token if there is one;
    /// returns whether there was.
    pub(crate) fn try_acquire(&mut self, rate_per_s: u32) -> bool {
        let now = Instant::now();
        let refilled = (now - self.refilled_at).as_secs_f64() * f64::from(rate_per_s);
        self.tokens = (self.tokens + refilled).min(burst(rate_per_s));
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn burst(rate_per_s: u32) -> f64 {
    (f64::from(rate_per_s) * BURST_S).max(1.0)
}

/// Returns the answer to a call that exceeds the rate limit.
pub(crate) fn too_many_requests() -> Reply {
    let status = StatusCode::TOO_MANY_REQUESTS;
    Reply::error(status, "too-many-calls", "the rate limit is exceeded").header("retry-after", "1")
}
