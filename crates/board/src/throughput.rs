//! The rate at which a queue is served.

use std::time::Duration;

use crate::time::Time;

/// The rate at which a queue was served while requests waited in it.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::{Time, throughput::Throughput};
///
/// let mut throughput = Throughput::default();
/// for millis in 0..=1000 {
///     throughput.record(Time::from_millis(millis), 1, true);
/// }
/// let per_s = throughput.rate(Time::from_millis(1000)).unwrap();
/// assert!((950.0..1050.0).contains(&per_s));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    rate_per_s: f64,
    measured_at: Option<Time>,
    /// The start of the current measurement window, or `None` while no request
    /// waits.
    started: Option<Time>,
    sent_cost: u64,
    sent_requests: u32,
}

const WINDOW_MIN: Duration = Duration::from_millis(250);
const EWMA_GAIN: f64 = 0.3;

/// A rate that was measured longer ago than this is ignored.
const RATE_AGE_MAX: Duration = Duration::from_secs(5);

/// A measurement window ends once it has lasted [`WINDOW_MIN`] and covers this
/// many requests, or once it has lasted [`WINDOW_MAX`].
const WINDOW_REQUESTS_MIN: u32 = 8;
const WINDOW_MAX: Duration = Duration::from_secs(2);

impl Throughput {
    /// Returns the cost sent per second, or `None` without a recent
    /// measurement.
    pub fn rate(&self, now: Time) -> Option<f64> {
        let measured_at = self.measured_at?;
        (now - measured_at < RATE_AGE_MAX).then_some(self.rate_per_s)
    }

    /// Records that `cost` was sent at `now`, and whether more requests wait.
    /// Only time in which requests wait is measured, since an idle queue does
    /// not show how fast it could be served.
    pub fn record(&mut self, now: Time, cost: u64, is_busy: bool) {
        let Some(started) = self.started.filter(|_| is_busy) else {
            self.start_window(is_busy.then_some(now));
            return;
        };
        self.sent_cost += cost;
        self.sent_requests += u32::from(cost > 0);
        let elapsed = now - started;
        let is_complete = elapsed >= WINDOW_MIN && self.sent_requests >= WINDOW_REQUESTS_MIN;
        if is_complete || elapsed >= WINDOW_MAX {
            self.finish_window(now, elapsed);
        }
    }

    /// Discards all measurements, for changes after which they no longer
    /// predict the rate.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_board::{Time, throughput::Throughput};
    ///
    /// let mut throughput = Throughput::default();
    /// for millis in 0..=1000 {
    ///     throughput.record(Time::from_millis(millis), 1, true);
    /// }
    /// throughput.reset();
    /// assert_eq!(throughput.rate(Time::from_millis(1000)), None);
    /// ```
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn finish_window(&mut self, now: Time, elapsed: Duration) {
        let rate = self.sent_cost as f64 / elapsed.as_secs_f64();
        let before = self.rate(now).unwrap_or(rate);
        self.rate_per_s = before + EWMA_GAIN * (rate - before);
        self.measured_at = Some(now);
        self.start_window(Some(now));
    }

    fn start_window(&mut self, started: Option<Time>) {
        self.started = started;
        self.sent_cost = 0;
        self.sent_requests = 0;
    }
}
