//! A shared rate limit: how many requests per second all VMs together send to
//! an endpoint.
//!
//! The limit is divided among the coordinators, and each grants permits from a
//! token bucket of its own. The sum of the shares never exceeds the limit,
//! whichever coordinators a VM reaches and whatever it believes of the others.
//! The price is that the share of a coordinator that is down is not used. One
//! coordinator with the whole limit would need an agreement on which one it is.

use std::time::Duration;

use board::Time;

/// The lowest rate that is granted for an endpoint, in requests per second. An
/// endpoint that accepts no requests is still asked now and then, since only a
/// response ends its limit.
const RATE_MIN: f64 = 0.25;

/// The time for which a bucket saves unused permits.
const BURST_TIME_S: f64 = 0.5;

/// One coordinator's permits for one endpoint.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use board::Time;
/// use tarragonseam_policy::rate::Bucket;
///
/// // One of two coordinators, for an endpoint that accepts 4 requests per second.
/// let mut bucket = Bucket::new(Time::ZERO);
/// assert_eq!(bucket.take(4.0, 2, Time::ZERO), Err(Duration::from_millis(500)));
/// assert_eq!(bucket.take(4.0, 2, Time::from_millis(500)), Ok(()));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    permits: f64,
    refilled_at: Time,
}

impl Bucket {
    /// Returns an empty bucket. A coordinator that was restarted does not know
    /// which permits it granted before.
    pub fn new(now: Time) -> Self {
        Self {
            permits: 0.0,
            refilled_at: now,
        }
    }

    /// Takes a permit from the share of one of `coordinators` coordinators of
    /// `limit` requests per second.
    ///
    /// # Errors
    ///
    /// The time until there is a permit.
    pub fn take(&mut self, limit: f64, coordinators: usize, now: Time) -> Result<(), Duration> {
        self.take_with(limit, coordinators, BURST_TIME_S, now)
    }

    /// As [`take`](Self::take), for an endpoint that bears no bursts: no permits are
    /// saved beyond the next one.
    ///
    /// # Errors
    ///
    /// The time until there is a permit.
    pub fn take_unsaved(
        &mut self,
        limit: f64,
        coordinators: usize,
        now: Time,
    ) -> Result<(), Duration> {
        self.take_with(limit, coordinators, 0.0, now)
    }

    fn take_with(
        &mut self,
        limit: f64,
        coordinators: usize,
        burst_time_s: f64,
        now: Time,
    ) -> Result<(), Duration> {
        let rate = limit.max(RATE_MIN) / coordinators.max(1) as f64;
        let elapsed = (now - self.refilled_at).as_secs_f64();
        let burst = (rate * burst_time_s).max(1.0);
        self.permits = (self.permits + rate * elapsed).min(burst);
        self.refilled_at = now;
        let missing = 1.0 - self.permits;
        if missing > ROUNDING_MAX {
            return Err(Duration::from_secs_f64(missing / rate));
        }
        self.permits = (self.permits - 1.0).max(0.0);
        Ok(())
    }

    /// Returns when permits were last taken or asked for.
    pub fn used_at(&self) -> Time {
        self.refilled_at
    }
}

/// The part of a permit that may be missing because of rounding.
const ROUNDING_MAX: f64 = 1e-6;
