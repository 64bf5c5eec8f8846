//! The pace of calls to a peer that limits their rate.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

/// A token bucket that also stops while the peer asks for it.
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
    filled: Instant,
    held_until: Instant,
}

/// The longest time that a peer can make calls wait.
const HOLD_MAX: Duration = Duration::from_secs(30);

impl Limiter {
    /// Returns a full bucket for `rate` calls a second.
    pub fn new(rate: u32) -> Self {
        let now = Instant::now();
        Self(Rc::new(RefCell::new(Bucket {
            rate: f64::from(rate.max(1)),
            tokens: f64::from(rate.max(1)),
            filled: now,
            held_until: now,
        })))
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// How long to wait first.
    pub fn try_acquire(&self) -> Result<(), Duration> {
        let mut bucket = self.0.borrow_mut();
        let now = Instant::now();
        if now < bucket.held_until {
            return Err(bucket.held_until - now);
        }
        let gained = (now - bucket.filled).as_secs_f64() * bucket.rate;
        bucket.tokens = (bucket.tokens + gained).min(bucket.rate);
        bucket.filled = now;
        if bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / bucket.rate;
            return Err(Duration::from_secs_f64(wait));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Lets no call go for `span`.
    pub fn pause(&self, span: Duration) {
        let until = Instant::now() + span.min(HOLD_MAX);
        let mut bucket = self.0.borrow_mut();
        bucket.held_until = bucket.held_until.max(until);
    }

    /// Waits for a call's turn up to `limit` and returns whether it came.
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
