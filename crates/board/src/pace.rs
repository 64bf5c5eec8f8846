//! How fast a queue is served.

use std::time::Duration;

use crate::time::Time;

/// The pace at which a queue was served while work waited in it.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::{Time, pace::Pace};
///
/// let mut pace = Pace::default();
/// for millis in 0..=1000 {
///     pace.note(Time::from_millis(millis), 1, true);
/// }
/// let per_s = pace.at(Time::from_millis(1000)).unwrap();
/// assert!((950.0..1050.0).contains(&per_s));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    per_s: f64,
    measured: Option<Time>,
    since: Option<Time>,
    sent: u64,
    count: u32,
}

const MEASURE_TIME: Duration = Duration::from_millis(250);
const MEASURE_GAIN: f64 = 0.3;

/// A measurement older than this says nothing of the queue of now.
const LIFE_TIME: Duration = Duration::from_secs(5);

/// A measurement goes on until it covers this many requests, or this long.
const MEASURE_COUNT: u32 = 8;
const MEASURE_TIME_MAX: Duration = Duration::from_secs(2);

impl Pace {
    /// Returns the units of cost sent a second, or `None` when that was not
    /// measured of late.
    pub fn at(&self, now: Time) -> Option<f64> {
        let measured = self.measured?;
        (now - measured < LIFE_TIME).then_some(self.per_s)
    }

    /// Notes that `cost` was sent at `now`, and whether more work waits. A
    /// measurement covers only time in which work waited: an idle queue says
    /// nothing of how fast it could be served.
    pub fn note(&mut self, now: Time, cost: u64, is_busy: bool) {
        let Some(since) = self.since.filter(|_| is_busy) else {
            self.restart(is_busy.then_some(now));
            return;
        };
        self.sent += cost;
        self.count += u32::from(cost > 0);
        let span = now - since;
        let is_enough = span >= MEASURE_TIME && self.count >= MEASURE_COUNT;
        if is_enough || span >= MEASURE_TIME_MAX {
            self.measure(now, span);
        }
    }

    /// Forgets what was measured, for when it tells nothing of the pace to
    /// come.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_board::{Time, pace::Pace};
    ///
    /// let mut pace = Pace::default();
    /// for millis in 0..=1000 {
    ///     pace.note(Time::from_millis(millis), 1, true);
    /// }
    /// pace.forget();
    /// assert_eq!(pace.at(Time::from_millis(1000)), None);
    /// ```
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    fn measure(&mut self, now: Time, span: Duration) {
        let measured = self.sent as f64 / span.as_secs_f64();
        let before = self.at(now).unwrap_or(measured);
        self.per_s = before + MEASURE_GAIN * (measured - before);
        self.measured = Some(now);
        self.restart(Some(now));
    }

    fn restart(&mut self, since: Option<Time>) {
        self.since = since;
        self.sent = 0;
        self.count = 0;
    }
}
