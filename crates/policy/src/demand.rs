//! Autoscaling: how many endpoints the load of a service requires in one
//! failure domain.
//!
//! The load is the number of requests that run or are queued at the endpoints
//! of the VM's own failure domain, averaged over a few seconds, relative to
//! what the ready endpoints can run concurrently. Above [`LOAD_HIGH`], as many
//! endpoints are requested as bring the load to [`LOAD_TARGET`]. Below
//! [`LOAD_LOW`] for [`LOW_LOAD_TIME`], fewer are requested. In between nothing
//! changes; this hysteresis keeps endpoints from starting and stopping with
//! every short peak.
//!
//! Failure domains need no coordination for this: requests are routed to free
//! endpoints, so capacity that one failure domain cannot add shows up as load
//! in the others.

use std::time::Duration;

use board::{
    Board, Time,
    capacity::Demand,
    endpoint::{Endpoint, State},
};

/// The load above which more endpoints are requested, as a fraction of the
/// slots.
pub const LOAD_HIGH: f64 = 0.85;

/// The load that added endpoints should result in, as a fraction of the slots.
pub const LOAD_TARGET: f64 = 0.7;

/// The load below which fewer endpoints are requested, as a fraction of the
/// slots.
pub const LOAD_LOW: f64 = 0.5;

/// How long the load stays low before fewer endpoints are requested.
pub const LOW_LOAD_TIME: Duration = Duration::from_secs(60);

/// How long a load report is used.
const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

/// Time constant of the moving average of the load.
const SMOOTHING_TIME: Duration = Duration::from_secs(5);

/// The largest factor by which one update raises the number of ready endpoints.
/// The factor is bounded because the reports of full endpoints do not show how
/// many more requests there are.
const GROWTH_FACTOR_MAX: u32 = 2;

/// Returns how many endpoints of `service` its load requires in the VM's
/// failure domain, up to `endpoints_max`. If `endpoints_max` is 0, the result
/// is 0.
///
/// While no endpoint reports, the previous result is kept.
///
/// # Examples
///
/// ```
/// use board::{Board, Time};
/// use tarragonseam_policy::demand;
///
/// let mut board = Board::new("vm-1", "a", 7);
/// assert_eq!(demand::desired_endpoints(&mut board, Time::ZERO, "notes", 8), 0);
/// ```
pub fn desired_endpoints(board: &mut Board, now: Time, service: &str, endpoints_max: u32) -> u32 {
    if endpoints_max == 0 {
        board.capacity.demands.remove(service);
        return 0;
    }
    let totals = totals(board, now, service);
    let demand = board.capacity.demands.entry(service.to_string());
    let demand = demand.or_default();
    if totals.reported > 0 && totals.slots > 0 {
        update_demand(demand, now, totals);
    }
    demand.endpoints = demand.endpoints.min(endpoints_max);
    demand.endpoints
}

/// The sum of the reports of the ready endpoints of one failure domain.
#[derive(Clone, Copy, Default)]
struct Totals {
    ready: u32,
    /// The number of ready endpoints with a recent report.
    reported: u32,
    slots: u32,
    /// The number of running and queued requests.
    requests: u32,
}

fn totals(board: &Board, now: Time, service: &str) -> Totals {
    let keys = board.endpoints.of_service(service).iter();
    let ready = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| endpoint.record.state == State::Ready)
        .filter(|endpoint| endpoint.record.failure_domain == board.failure_domain);
    ready.fold(Totals::default(), |sum, endpoint| add(sum, endpoint, now))
}

fn add(mut totals: Totals, endpoint: &Endpoint, now: Time) -> Totals {
    totals.ready += 1;
    if let Some((at, load)) = &endpoint.load
        && now - *at < REPORT_AGE_MAX
    {
        totals.reported += 1;
        totals.slots += load.slots;
        totals.requests += load.in_flight + load.queued;
    }
    totals
}

fn update_demand(demand: &mut Demand, now: Time, totals: Totals) {
    // Endpoints without a report are assumed to be as busy as the others.
    let scale = f64::from(totals.ready) / f64::from(totals.reported);
    smooth(demand, now, f64::from(totals.requests) * scale);
    let slots = f64::from(totals.slots) / f64::from(totals.reported);
    let load = demand.mean_requests / (slots * f64::from(totals.ready));
    let sufficient = (demand.mean_requests / (slots * LOAD_TARGET)).ceil() as u32;
    if load > LOAD_HIGH {
        let grown = sufficient.min(totals.ready * GROWTH_FACTOR_MAX);
        demand.endpoints = demand.endpoints.max(grown);
    }
    if load >= LOAD_LOW || sufficient >= demand.endpoints {
        demand.low_since = None;
        return;
    }
    let since = *demand.low_since.get_or_insert(now);
    if now - since >= LOW_LOAD_TIME {
        demand.endpoints = sufficient;
        demand.low_since = None;
    }
}

fn smooth(demand: &mut Demand, now: Time, requests: f64) {
    let gain = match demand.updated_at {
        Some(at) => 1.0 - (-(now - at).div_duration_f64(SMOOTHING_TIME)).exp(),
        None => 1.0,
    };
    demand.mean_requests += (requests - demand.mean_requests) * gain;
    demand.updated_at = Some(now);
}
