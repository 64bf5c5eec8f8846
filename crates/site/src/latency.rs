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
/// The least weight of the newest measurement in the usual time, which shows the
/// speed of the hardware.
const USUAL_WEIGHT_MIN: f64 = 0.05;
/// How long the newest measurements keep about a third of their weight against the
/// usual time.
const NEWEST_FADE_S: f64 = 2.0;
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
    /// The mean momentary factor of the endpoint during the measurements.
    factor: f64,
    /// The mean slowdown by other requests during the measurements.
    slowdown: f64,
    /// The mean time for one event over many measurements, without the slowdown.
    usual_event_s: f64,
    /// The mean momentary factor over as many measurements.
    usual_factor: f64,
    /// The number of measurements.
    count: u32,
    /// The time for one event while less than half of the slots are in use.
    light_event_s: Option<f64>,
    /// When the newest measurement was made.
    measured_at: Instant,
}

/// The conditions at an endpoint during a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// How long work took on its machine; 1 is as usual.
    pub factor: f64,
    /// How many times longer an event was expected to take because of other
    /// requests.
    pub slowdown: f64,
    /// Whether less than half of the slots were in use.
    pub is_light: bool,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            factor: 1.0,
            slowdown: 1.0,
            is_light: false,
        }
    }
}

fn average(known: f64, newest: f64) -> f64 {
    known + EWMA_WEIGHT * (newest - known)
}

/// The estimates for one endpoint, by model.
#[derive(Clone, Debug, Default)]
pub struct Estimates(Map<String, Estimate>);

impl Estimates {
    /// Adds a measurement of the time for one event to the estimate of
    /// `model`.
    pub fn observe(&mut self, model: &str, event_time: Duration, measured_at: Instant) {
        self.observe_under(model, event_time, Conditions::default(), measured_at);
    }

    /// As [`observe`](Self::observe), with the conditions of the measurement.
    pub fn observe_under(
        &mut self,
        model: &str,
        event_time: Duration,
        conditions: Conditions,
        measured_at: Instant,
    ) {
        let newest = event_time.as_secs_f64();
        let known = self.0.get(model).copied().unwrap_or(Estimate {
            event_s: newest,
            factor: conditions.factor,
            slowdown: conditions.slowdown,
            usual_event_s: 0.0,
            usual_factor: 0.0,
            count: 0,
            light_event_s: None,
            measured_at,
        });
        let light_event_s = match known.light_event_s {
            known if !conditions.is_light => known,
            Some(known) => Some(average(known, newest / conditions.factor)),
            None => Some(newest / conditions.factor),
        };
        let count = known.count.saturating_add(1);
        let weight = (1.0 / f64::from(count)).max(USUAL_WEIGHT_MIN);
        let usual = |known: f64, newest: f64| known + weight * (newest - known);
        let estimate = Estimate {
            usual_event_s: usual(known.usual_event_s, newest / conditions.slowdown),
            usual_factor: usual(known.usual_factor, conditions.factor),
            count,
            event_s: average(known.event_s, newest),
            factor: average(known.factor, conditions.factor),
            slowdown: average(known.slowdown, conditions.slowdown),
            light_event_s,
            measured_at,
        };
        self.0.insert(model.to_string(), estimate);
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

    /// Returns the estimated seconds for one event at `now` without other
    /// requests, under the usual factor. The newest measurements lose their weight
    /// with age: an endpoint that gets no requests because of them would never be
    /// measured again.
    pub fn undisturbed_seconds(&self, now: Instant) -> f64 {
        let newest = self.event_s / self.slowdown.max(1.0);
        let newest = newest * self.usual_factor / self.factor.max(f64::MIN_POSITIVE);
        let age = now.saturating_duration_since(self.measured_at);
        let weight = (-age.as_secs_f64() / NEWEST_FADE_S).exp();
        self.usual_event_s + (newest - self.usual_event_s) * weight
    }

    /// Returns the usual momentary factor.
    pub fn usual_factor(&self) -> f64 {
        self.usual_factor
    }

    /// Returns how many times longer `event_time` is than that of an event while
    /// less than half of the slots are in use, if that was measured.
    pub fn crowding(&self, event_time: Duration, factor: f64) -> Option<f64> {
        let light_event_s = self.light_event_s?.max(f64::MIN_POSITIVE);
        Some(event_time.as_secs_f64() / factor.max(f64::MIN_POSITIVE) / light_event_s)
    }

    /// Returns whether the estimate is of a disturbance that may have ended,
    /// where the fastest endpoint takes `best_s` for an event.
    pub fn is_outdated(&self, best_s: f64, now: Instant) -> bool {
        let factor = self.event_s / best_s.max(f64::MIN_POSITIVE);
        let age = now.saturating_duration_since(self.measured_at);
        factor >= DISTURBED_FACTOR && age >= DISTURBED_RETRY_TIME
    }
}

/// The weight of the newest request in the mean time of requests, once there are
/// many. Requests of a plain service take 20 to 80 ms each.
const REQUEST_WEIGHT_MIN: f64 = 0.03;

/// How long the mean time of an endpoint's requests keeps about a third of its
/// weight. An endpoint that seems slow gets no requests by which this could be
/// found wrong, so it has to be tried again.
const REQUEST_TIME_FADE_S: f64 = 5.0;

/// The mean time of requests at an endpoint of a plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestTimes {
    mean_s: f64,
    count: u32,
    /// When the newest one ended.
    measured_at: Option<Instant>,
}

impl RequestTimes {
    /// Adds a request that took `time` while work took `factor` times the usual.
    pub fn observe(&mut self, time: Duration, factor: f64, now: Instant) {
        self.measured_at = Some(now);
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(REQUEST_WEIGHT_MIN);
        let newest_s = time.as_secs_f64() / factor.max(f64::MIN_POSITIVE);
        self.mean_s += weight * (newest_s - self.mean_s);
    }

    /// Returns the mean of their seconds under the usual factor.
    pub fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// Returns the number of requests.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the number of requests that the mean stands for at `now`.
    pub fn weight(&self, now: Instant) -> f64 {
        let age = self.measured_at.map(|at| now.saturating_duration_since(at));
        let fading = (-age.unwrap_or_default().as_secs_f64() / REQUEST_TIME_FADE_S).exp();
        f64::from(self.count) * fading
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
    if own.is_outdated(best, now) {
        return 0;
    }
    let factor = own.event_s / best.max(f64::MIN_POSITIVE);
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
