//! How fast an endpoint makes the events of a model, as this VM sees it. Pure:
//! answers steps that wait for their longest item, on endpoints of which some
//! are slower than others all the time, and some for seconds.

use std::time::{Duration, Instant};

use board::hash::Map;

/// How many events are measured together. Endpoints make them in batches, so
/// that single gaps tell little.
const EVENTS_PER_MEASUREMENT: u64 = 8;
/// The weight of the newest measurement: an endpoint that turns slow shows
/// after three of them.
const EWMA_WEIGHT: f64 = 0.3;
/// By which part an endpoint must be slower to be taken after others. Those of
/// like speed differ by a few hundredths, those of the users' deployments that
/// differ by a quarter and more.
const SLOWNESS_STEP: f64 = 0.15;

/// By which factor an endpoint is slower that is disturbed rather than built
/// so.
const DISTURBED_FACTOR: f64 = 2.0;
/// After how long without a measurement a disturbed endpoint is tried again:
/// disturbances last 5 to 10 s.
const DISTURBED_RETRY_TIME: Duration = Duration::from_secs(4);

/// The time that an endpoint takes for one event.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// In seconds.
    event_s: f64,
    at: Instant,
}

/// The estimates of an endpoint by model.
#[derive(Clone, Debug, Default)]
pub struct Estimates(Map<String, Estimate>);

impl Estimates {
    /// Takes a measurement.
    pub fn observe(&mut self, model: &str, event: Duration, at: Instant) {
        let newest = event.as_secs_f64();
        let known = self
            .0
            .get(model)
            .map_or(newest, |estimate| estimate.event_s);
        let event_s = known + EWMA_WEIGHT * (newest - known);
        self.0.insert(model.to_string(), Estimate { event_s, at });
    }

    /// Returns the pace at `model`, if that is known.
    pub fn get(&self, model: &str) -> Option<Estimate> {
        self.0.get(model).copied()
    }
}

impl Estimate {
    /// Returns the seconds that one event takes.
    pub fn seconds(&self) -> f64 {
        self.event_s
    }
}

/// Returns by how many steps an endpoint with the pace `own` is slower than the
/// fastest one, whose events take `best` seconds. One that is not known counts
/// as fast, so that it becomes known.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use tarragonseam_site::latency::{Paces, slowness};
///
/// let (mut estimates, now) = (Paces::default(), Instant::now());
/// assert_eq!(slowness(estimates.get("m"), Some(0.045), now), 0);
/// estimates.observe("m", Duration::from_millis(60), now);
/// assert_eq!(slowness(estimates.get("m"), Some(0.045), now), 2);
/// ```
pub fn slowness(own: Option<Estimate>, best: Option<f64>, now: Instant) -> u32 {
    let (Some(own), Some(best)) = (own, best) else {
        return 0;
    };
    let factor = own.event_s / best.max(f64::MIN_POSITIVE);
    let is_old = now.saturating_duration_since(own.at) >= DISTURBED_RETRY_TIME;
    if factor >= DISTURBED_FACTOR && is_old {
        return 0;
    }
    ((factor - 1.0) / SLOWNESS_STEP).max(0.0) as u32
}

/// Measures one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    since: Option<Instant>,
    events: u64,
}

impl Meter {
    /// Counts an event, and returns the time of one if that was measured now.
    pub fn count(&mut self, now: Instant) -> Option<Duration> {
        let Some(since) = self.since else {
            // What comes before the first one is waiting and reading.
            self.since = Some(now);
            return None;
        };
        self.events += 1;
        if self.events < EVENTS_PER_MEASUREMENT {
            return None;
        }
        let time = now.saturating_duration_since(since) / self.events as u32;
        *self = Self {
            since: Some(now),
            events: 0,
        };
        Some(time)
    }
}
