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
}

const MEASURE_TIME: Duration = Duration::from_millis(250);
const MEASURE_GAIN: f64 = 0.3;

/// A measurement older than this says nothing of the queue of now.
const LIFE_TIME: Duration = Duration::from_secs(2);

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
        if !is_busy {
            self.since = None;
            self.sent = 0;
            return;
        }
        let Some(since) = self.since else {
            self.since = Some(now);
            self.sent = 0;
            return;
        };
        self.sent += cost;
        if now - since >= MEASURE_TIME {
            self.measure(now, now - since);
        }
    }

    fn measure(&mut self, now: Time, span: Duration) {
        let measured = self.sent as f64 / span.as_secs_f64();
        let before = self.at(now).unwrap_or(measured);
        self.per_s = before + MEASURE_GAIN * (measured - before);
        self.measured = Some(now);
        self.since = Some(now);
        self.sent = 0;
    }
}
