//! The expected time until a request would finish at an endpoint, for steady
//! load over endpoints of different speed that share their machines with other
//! work.
//!
//! Two kinds of endpoints are told apart. An engine runs its requests in a
//! batch, which hardly slows them down until it is nearly full. A plain service
//! runs one request in each slot. On both, further requests wait.

use std::time::Duration;

/// How long a momentary factor keeps about a third of its meaning. The load of
/// the other work on a machine changes every few hundred milliseconds.
const FACTOR_FADE_S: f64 = 0.3;
/// How long a reported load keeps about a third of its meaning. A batch turns
/// over in about this time.
const LOAD_FADE_S: f64 = 0.3;
/// The bounds of a momentary factor relative to the usual one. Reports beyond
/// them are nonsense rather than a measurement.
const FACTOR_RANGE: (f64, f64) = (0.1, 10.0);
/// The bounds of the time for an event or a request.
const PACE_RANGE_S: (f64, f64) = (0.000_1, 60.0);
/// The bounds of the ratio between the time for an event in a full batch and in
/// a nearly empty one. Full engines were seen to take up to four times as long.
pub const CROWDING_RANGE: (f64, f64) = (1.0, 4.0);
/// The share of the slots up to which requests do not slow each other down.
const CROWDING_START: f64 = 0.5;
/// How much longer a request of a plain service with all slots in use is
/// expected to take. Requests of other VMs, which the last report does not
/// contain, may come first.
const CONTENTION: f64 = 0.5;
/// The prompt tokens that an engine reads in a second.
const PROMPT_TOKENS_PER_S: f64 = 340_000.0;
/// The time that a request spends on the way to another failure domain and back.
const DISTANCE_S: f64 = 0.001;
/// The most events or requests that are taken into account, so that sums stay
/// in range for any input.
const COUNT_MAX: f64 = 1e6;

/// The relative difference up to which two expected times count as equal.
/// Endpoints of the same speed differ by a few hundredths, and endpoints of
/// different speed by a quarter or more.
pub const TOLERANCE: f64 = 0.15;
/// The difference up to which two expected times count as equal: what the
/// network and the scheduling of processes add.
pub const TOLERANCE_S: f64 = 0.002;

/// What an endpoint reported about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// The requests of all callers that it runs or that wait there.
    pub requests: u32,
    /// The requests of this VM among them.
    pub own: u32,
    /// The mean number of other requests in its reports.
    pub usual_others: f64,
    /// How long work takes there at the moment; 1 is as usual.
    pub factor: Option<f64>,
    /// How old the report is.
    pub age: Duration,
}

/// How an endpoint runs requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// In one batch.
    Engine {
        /// The measured time for one event.
        event_s: f64,
        /// The ratio between the times for an event in a full batch and in a
        /// nearly empty one.
        crowding: f64,
    },
    /// Each in its own slot.
    Service {
        /// The time for one request.
        request_s: f64,
    },
}

/// An endpoint as one VM knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// How it runs requests.
    pub kind: Kind,
    /// The requests that it runs concurrently.
    pub slots: u32,
    /// The requests that this VM has there.
    pub in_flight: u32,
    /// Its last report.
    pub report: Option<Report>,
    /// The mean factor under which its times were measured.
    pub usual_factor: f64,
    /// Whether it is in another failure domain.
    pub is_far: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// The events that are expected, at an engine.
    pub events: f64,
    /// The tokens of the prompt, and of an earlier text, that the endpoint has
    /// to read.
    pub tokens: u64,
}

/// Returns the weight, from 0 to 1, that a report of this age has if it keeps
/// about a third of its meaning for `fade_s`.
fn weight(age: Duration, fade_s: f64) -> f64 {
    (-age.as_secs_f64() / fade_s).exp()
}

/// Returns `value` within `range`, or `otherwise` if it is not a number.
fn bounded(value: f64, (least, most): (f64, f64), otherwise: f64) -> f64 {
    if value.is_nan() {
        otherwise
    } else {
        value.clamp(least, most)
    }
}

/// Returns the momentary factor of an endpoint relative to the usual one, as far
/// as the age of its report gives it weight. It is 1 without a report.
pub fn relative_factor(report: Option<&Report>, usual_factor: f64) -> f64 {
    let Some((report, factor)) = report.and_then(|r| Some((r, r.factor?))) else {
        return 1.0;
    };
    let usual = bounded(usual_factor, FACTOR_RANGE, 1.0);
    let relative = bounded(factor / usual, FACTOR_RANGE, 1.0);
    1.0 + (relative - 1.0) * weight(report.age, FACTOR_FADE_S)
}

/// Returns how many times longer an event takes with `occupancy` of the slots in
/// use than with few, at an engine whose full batch takes `crowding` times as
/// long.
pub fn slowdown(occupancy: f64, crowding: f64) -> f64 {
    let crowding = bounded(crowding, CROWDING_RANGE, 1.0);
    let excess = (occupancy.clamp(0.0, 1.0) - CROWDING_START).max(0.0) / (1.0 - CROWDING_START);
    1.0 + (crowding - 1.0) * excess * excess
}

/// Returns the number of requests that are expected at `endpoint`: those of this
/// VM, and those of others by the last report, which fades to their mean.
pub fn requests(endpoint: &Endpoint) -> f64 {
    let others = endpoint.report.map_or(0.0, |report| {
        let usual = bounded(report.usual_others, (0.0, COUNT_MAX), 0.0);
        let others = f64::from(report.requests.saturating_sub(report.own));
        usual + (others - usual) * weight(report.age, LOAD_FADE_S)
    });
    f64::from(endpoint.in_flight) + others
}

/// Returns the seconds until `work` would finish at `endpoint`.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::estimate::{self, Endpoint, Kind, Report, Work};
///
/// let endpoint = Endpoint {
///     kind: Kind::Engine { event_s: 0.045, crowding: 1.0 },
///     slots: 6,
///     in_flight: 0,
///     report: None,
///     usual_factor: 1.0,
///     is_far: false,
/// };
/// let work = Work { events: 10.0, tokens: 340 };
/// assert!((estimate::finish_s(&endpoint, work) - 0.451).abs() < 1e-9);
/// let report = Some(Report { factor: Some(2.0), ..Report::default() });
/// let slow = Endpoint { report, ..endpoint };
/// assert!(estimate::finish_s(&slow, work) > 0.6);
/// ```
pub fn finish_s(endpoint: &Endpoint, work: Work) -> f64 {
    let slots = f64::from(endpoint.slots.max(1));
    let others = requests(endpoint);
    let run_s = match endpoint.kind {
        Kind::Engine { event_s, crowding } => {
            let occupancy = (others + 1.0) / slots;
            let event_s = bounded(event_s, PACE_RANGE_S, PACE_RANGE_S.1);
            let events = bounded(work.events, (0.0, COUNT_MAX), 0.0);
            events * event_s * slowdown(occupancy, crowding)
        }
        Kind::Service { request_s } => {
            let occupancy = (others / slots).min(1.0);
            let request_s = bounded(request_s, PACE_RANGE_S, PACE_RANGE_S.1);
            request_s * (1.0 + CONTENTION * occupancy * occupancy)
        }
    };
    let factor = relative_factor(endpoint.report.as_ref(), endpoint.usual_factor);
    let run_s = run_s * mean_factor(factor, run_s);
    // With `slots` runs at a time, one ends in each `slots`th part of a run.
    let ahead = (others + 1.0 - slots).clamp(0.0, COUNT_MAX);
    let wait_s = ahead / slots * run_s;
    let read_s = work.tokens as f64 / PROMPT_TOKENS_PER_S;
    let distance_s = if endpoint.is_far { DISTANCE_S } else { 0.0 };
    wait_s + run_s + read_s + distance_s
}

/// Returns the mean of a factor that is `factor` now and fades to 1, over
/// `time_s`. A long run hardly depends on what the factor is at its start.
fn mean_factor(factor: f64, time_s: f64) -> f64 {
    let spans = (time_s / FACTOR_FADE_S).max(f64::EPSILON);
    let share = (-(-spans).exp_m1() / spans).clamp(0.0, 1.0);
    1.0 + (factor - 1.0) * share
}

/// Returns whether the expected time `other_s` counts as equal to the least one,
/// `best_s`.
pub fn is_equal(best_s: f64, other_s: f64) -> bool {
    other_s <= best_s * (1.0 + TOLERANCE) + TOLERANCE_S
}
