//! A rate limiter for calls to a peer that accepts a limited rate.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

/// A token bucket that can also be paused when the peer asks for fewer calls.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tarragonseam_link::rate::Limiter;
///
/// let limiter = Limiter::new(1);
/// assert_eq!(limiter.try_acquire(), Ok(()));
/// assert!(limiter.try_acquire().is_err(), "the second call of a second waits");
/// ```
#[derive(Clone, Debug)]
pub struct Limiter(Rc<RefCell<Bucket>>);

#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
    paused_until: Instant,
}

/// The longest pause that a peer can impose.
const PAUSE_MAX: Duration = Duration::from_secs(30);

impl Limiter {
    /// Returns a limiter for `rate` calls per second that starts with a full
    /// bucket.
    pub fn new(rate: u32) -> Self {
        let now = Instant::now();
        Self(Rc::new(RefCell::new(Bucket {
            rate: f64::from(rate.max(1)),
            tokens: f64::from(rate.max(1)),
            refilled_at: now,
            paused_until: now,
        })))
    }

    /// Spends a token for one call.
    ///
    /// # Errors
    ///
    /// How long to wait before the next attempt.
    pub fn try_acquire(&self) -> Result<(), Duration> {
        let mut bucket = self.0.borrow_mut();
        let now = Instant::now();
        if now < bucket.paused_until {
            return Err(bucket.paused_until - now);
        }
        let refill = (now - bucket.refilled_at).as_secs_f64() * bucket.rate;
        bucket.tokens = (bucket.tokens + refill).min(bucket.rate);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / bucket.rate;
            return Err(Duration::from_secs_f64(wait));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Admits no call for `span`.
    pub fn pause(&self, span: Duration) {
        let until = Instant::now() + span.min(PAUSE_MAX);
        let mut bucket = self.0.borrow_mut();
        bucket.paused_until = bucket.paused_until.max(until);
    }

    /// Waits up to `limit` for a token and returns whether one was spent.
    pub async fn acquire(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while let Err(wait) = self.try_acquire() {
            if start.elapsed() + wait > limit {
                return false;
            }
            monoio::time::sleep(wait).await;
        }
        true
    }
}
