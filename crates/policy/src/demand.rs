//! How many endpoints of a service its load asks for in one failure domain.
//!
//! Requests that run or wait at the endpoints of the VM's own failure domain
//! are averaged over some seconds. Above [`HIGH`] of what the ready endpoints
//! can run at once, enough are asked for to bring the load to [`TARGET`].
//! Below [`LOW`] for [`LOW_FOR`], fewer are. Between the two nothing changes:
//! the hysteresis keeps endpoints from coming and going with each wave of
//! requests.
//!
//! Failure domains need not agree on this. Requests go where endpoints are
//! free, so what one failure domain cannot add shows as load in the others.

use std::time::Duration;

use board::{
    Board, Time,
    capacity::Demand,
    endpoint::{Endpoint, State},
};

/// Load above this part of what can run at once asks for more endpoints.
pub const HIGH: f64 = 0.85;

/// The part to which added endpoints are to bring the load.
pub const TARGET: f64 = 0.7;

/// Load below this part asks for fewer endpoints.
pub const LOW: f64 = 0.5;

/// How long load stays low before fewer endpoints are asked for.
pub const LOW_FOR: Duration = Duration::from_secs(60);

/// How long a report of an endpoint counts.
const REPORT_LIFE: Duration = Duration::from_secs(5);

/// The time over which load is averaged.
const SMOOTHING: Duration = Duration::from_secs(5);

/// One step multiplies the ready endpoints by no more than this: endpoints that
/// are full cannot tell how much more there is.
const GROWTH_MAX: u32 = 2;

/// Returns how many endpoints of `service` load asks for in the VM's failure
/// domain, up to `most`; 0 if `most` is.
///
/// While no endpoint reports, the last answer stands.
///
/// # Examples
///
/// ```
/// use board::{Board, Time};
/// use tarragonseam_policy::demand;
///
/// let mut board = Board::new("vm-1", "a", 7);
/// assert_eq!(demand::endpoints(&mut board, Time::ZERO, "notes", 8), 0);
/// ```
pub fn endpoints(board: &mut Board, now: Time, service: &str, most: u32) -> u32 {
    if most == 0 {
        board.capacity.demands.remove(service);
        return 0;
    }
    let sum = sum(board, now, service);
    let demand = board.capacity.demands.entry(service.to_string());
    let demand = demand.or_default();
    if sum.reported > 0 && sum.slots > 0 {
        follow(demand, now, sum);
    }
    demand.endpoints = demand.endpoints.min(most);
    demand.endpoints
}

/// What the ready endpoints of one failure domain report.
#[derive(Clone, Copy, Default)]
struct Sum {
    ready: u32,
    reported: u32,
    slots: u32,
    busy: u32,
}

fn sum(board: &Board, now: Time, service: &str) -> Sum {
    let keys = board.endpoints.of_service(service).iter();
    let ready = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| endpoint.record.state == State::Ready)
        .filter(|endpoint| endpoint.record.failure_domain == board.failure_domain);
    ready.fold(Sum::default(), |sum, endpoint| add(sum, endpoint, now))
}

fn add(mut sum: Sum, endpoint: &Endpoint, now: Time) -> Sum {
    sum.ready += 1;
    if let Some((at, load)) = &endpoint.load
        && now - *at < REPORT_LIFE
    {
        sum.reported += 1;
        sum.slots += load.slots;
        sum.busy += load.in_flight + load.queued;
    }
    sum
}

fn follow(demand: &mut Demand, now: Time, sum: Sum) {
    // Endpoints that do not report are taken to be as busy as the others.
    let scale = f64::from(sum.ready) / f64::from(sum.reported);
    smooth(demand, now, f64::from(sum.busy) * scale);
    let slots = f64::from(sum.slots) / f64::from(sum.reported);
    let part = demand.mean_requests / (slots * f64::from(sum.ready));
    let enough = (demand.mean_requests / (slots * TARGET)).ceil() as u32;
    if part > HIGH {
        let next = enough.min(sum.ready * GROWTH_MAX);
        demand.endpoints = demand.endpoints.max(next);
    }
    if part >= LOW || enough >= demand.endpoints {
        demand.low_since = None;
        return;
    }
    let since = *demand.low_since.get_or_insert(now);
    if now - since >= LOW_FOR {
        demand.endpoints = enough;
        demand.low_since = None;
    }
}

fn smooth(demand: &mut Demand, now: Time, busy: f64) {
    let gain = match demand.updated_at {
        Some(at) => 1.0 - (-(now - at).div_duration_f64(SMOOTHING)).exp(),
        None => 1.0,
    };
    demand.mean_requests += (busy - demand.mean_requests) * gain;
    demand.updated_at = Some(now);
}
