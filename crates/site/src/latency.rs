//! Estimates of the time that an endpoint takes per event of a model, from the
//! runs of this VM. The module does no I/O.
//!
//! A step waits for its longest item, so slow endpoints must be found. Some
//! endpoints are always slower than others, and some are slow for seconds.

use std::time::{Duration, Instant};

use board::hash::Map;

/// The number of events that are measured together. Endpoints send events in
/// batches, so the time between two events alone is not meaningful.
const EVENTS_PER_MEASUREMENT: u64 = 8;
/// The weight of the newest measurement in the EWMA. An endpoint that becomes
/// slow is recognized after three measurements.
const EWMA_WEIGHT: f64 = 0.3;
/// The relative difference in latency that makes one step of slowness.
/// Endpoints of the same speed differ by a few hundredths. Endpoints of
/// different speed differ by a quarter or more.
const SLOWNESS_STEP: f64 = 0.15;

/// How many times slower than the fastest one an endpoint must be to count as
/// temporarily disturbed rather than as slow hardware.
const DISTURBED_FACTOR: f64 = 2.0;
/// How long after its last measurement a disturbed endpoint is tried again.
/// Disturbances last 5 to 10 s.
const DISTURBED_RETRY_TIME: Duration = Duration::from_secs(4);

/// An estimate of the time that an endpoint takes for one event.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    event_s: f64,
    /// When the newest measurement was made.
    measured_at: Instant,
}

/// The estimates for one endpoint, by model.
#[derive(Clone, Debug, Default)]
pub struct Estimates(Map<String, Estimate>);

impl Estimates {
    /// Adds a measurement of the time for one event to the estimate of
    /// `model`.
    pub fn observe(&mut self, model: &str, event_time: Duration, measured_at: Instant) {
        let newest = event_time.as_secs_f64();
        let known = self
            .0
            .get(model)
            .map_or(newest, |estimate| estimate.event_s);
        let event_s = known + EWMA_WEIGHT * (newest - known);
        self.0.insert(
            model.to_string(),
            Estimate {
                event_s,
                measured_at,
            },
        );
    }

    /// Returns the estimate for `model`, if there is one.
    pub fn get(&self, model: &str) -> Option<Estimate> {
        self.0.get(model).copied()
    }
}

impl Estimate {
    /// Returns the estimated seconds for one event.
    pub fn seconds(&self) -> f64 {
        self.event_s
    }
}

/// Returns by how many steps an endpoint with the estimate `own` is slower
/// than the fastest one, whose events take `best` seconds. An endpoint without
/// an estimate counts as fast, so that it is used and measured.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use tarragonseam_site::latency::{Estimates, slowness};
///
/// let (mut estimates, now) = (Estimates::default(), Instant::now());
/// assert_eq!(slowness(estimates.get("m"), Some(0.045), now), 0);
/// estimates.observe("m", Duration::from_millis(60), now);
/// assert_eq!(slowness(estimates.get("m"), Some(0.045), now), 2);
/// ```
pub fn slowness(own: Option<Estimate>, best: Option<f64>, now: Instant) -> u32 {
    let (Some(own), Some(best)) = (own, best) else {
        return 0;
    };
    let factor = own.event_s / best.max(f64::MIN_POSITIVE);
    let is_old = now.saturating_duration_since(own.measured_at) >= DISTURBED_RETRY_TIME;
    if factor >= DISTURBED_FACTOR && is_old {
        return 0;
    }
    ((factor - 1.0) / SLOWNESS_STEP).max(0.0) as u32
}

/// Measures the time per event of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    since: Option<Instant>,
    events: u64,
}

impl Meter {
    /// Counts an event, and returns the time per event if this event completes
    /// a measurement.
    pub fn count(&mut self, now: Instant) -> Option<Duration> {
        let Some(since) = self.since else {
            // The time before the first event is spent in the queue and on
            // reading the prompt.
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
