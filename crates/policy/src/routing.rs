//! Load balancing: which endpoint serves a request.
//!
//! A request whose prompt prefix an engine is likely to have cached goes to
//! that engine, unless its load is well above the average. Otherwise two random
//! endpoints of the VM's own failure domain and two of the others are compared,
//! and the one with the lowest expected time is picked. The expected time adds
//! the load, the network distance, and a penalty if the endpoint's capacity
//! class does not suit the request. The power of two random choices is almost
//! as good as the least loaded endpoint, and keeps the VMs from all choosing
//! the same endpoint between two load reports.

use std::time::Duration;

use board::{
    Board, Time,
    config::Class,
    endpoint::{self, CapacityClass, Endpoint, State},
    hash,
    ticket::{self, Ticket},
};
use rand::Rng;

use crate::limit;

/// Extra latency of an answer from another failure domain.
const CROSS_DOMAIN_LATENCY: Duration = Duration::from_millis(1);

/// Assumed latency per unit of cost until an answer has been measured.
const UNIT_LATENCY_DEFAULT: Duration = Duration::from_millis(20);

/// Load, as a fraction of the slots, up to which an endpoint is as fast as an
/// idle one.
const LOAD_KNEE: f64 = 0.5;

/// Penalty for a capacity class that does not suit the request, as a fraction
/// of the latency.
const MISMATCH_LATENCY_FRACTION: f64 = 0.25;

/// Load, relative to the average, up to which requests follow a cached prefix.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// How many endpoints the requests of one prefix are sent to.
const AFFINITY_ENDPOINTS_MAX: usize = 2;

/// Penalty of a fully loaded endpoint in seconds. It only breaks ties.
const LOAD_TIE_BREAK_S: f64 = 1e-6;

/// How many random endpoints of the VM's own failure domain are compared, and
/// how many of the other failure domains.
const RANDOM_CHOICES: usize = 2;

/// Picks an endpoint with a free slot for the ticket.
pub fn pick(board: &mut Board, now: Time, key: ticket::Key) -> Option<endpoint::Key> {
    let ticket = board.tickets.get(key)?;
    let eligible = eligible(board, now, ticket);
    if eligible.is_empty() {
        return None;
    }
    if let Some(key) = prefix_endpoint(board, now, ticket, &eligible) {
        return Some(key);
    }
    let (local, remote): (Vec<_>, Vec<_>) =
        eligible.into_iter().partition(|key| is_local(board, *key));
    let mut choices = sample_two(board, &local);
    choices.extend(sample_two(board, &remote));
    let ticket = board.tickets.get(key)?;
    let time = |key: &endpoint::Key| expected_time(board, now, ticket, *key);
    choices
        .into_iter()
        .min_by(|a, b| time(a).total_cmp(&time(b)))
}

/// Returns the endpoint that should have cached the ticket's prefix, if it has
/// a free slot and its load is within bounds.
pub fn pick_cached(board: &Board, now: Time, key: ticket::Key) -> Option<endpoint::Key> {
    let ticket = board.tickets.get(key)?;
    let eligible = eligible(board, now, ticket);
    prefix_endpoint(board, now, ticket, &eligible)
}

/// Returns whether the endpoints of `service` have a free slot for this VM.
pub fn has_capacity(board: &Board, now: Time, service: &str) -> bool {
    let keys = board.endpoints.of_service(service).iter();
    let usable = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| is_usable(endpoint, now));
    limit::headroom(usable, now) > 0
}

/// Returns how many more requests can be sent now to endpoints of the ticket's
/// service, or zero if no endpoint is eligible for the ticket.
pub fn free_slots(board: &Board, now: Time, ticket: &Ticket) -> u32 {
    if eligible(board, now, ticket).is_empty() {
        return 0;
    }
    let keys = board.endpoints.of_service(&ticket.service).iter();
    let usable = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| is_usable(endpoint, now));
    limit::headroom(usable, now)
}

/// Returns how long it takes until the first ready endpoint of `service` ends
/// its backoff; zero if one is not backing off or none is ready.
pub fn backoff_remaining(board: &Board, now: Time, service: &str) -> Duration {
    let keys = board.endpoints.of_service(service).iter();
    let ready = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| endpoint.record.state == State::Ready);
    let earliest = ready.map(|endpoint| endpoint.backoff_until).min();
    earliest.map_or(Duration::ZERO, |until| until - now)
}

/// Records at every usable endpoint of `service` that requests are queued.
pub fn record_shortage(board: &mut Board, now: Time, service: &str) {
    for key in board.endpoints.of_service(service).to_vec() {
        if let Some(endpoint) = board.endpoints.get_mut(key)
            && is_usable(endpoint, now)
        {
            limit::record_shortage(endpoint, now);
        }
    }
}

/// Returns how many requests this VM has at endpoints of `service`.
pub fn in_flight(board: &Board, service: &str) -> u32 {
    let keys = board.endpoints.of_service(service).iter();
    keys.filter_map(|key| board.endpoints.get(*key))
        .map(|endpoint| endpoint.in_flight)
        .sum()
}

fn eligible(board: &Board, now: Time, ticket: &Ticket) -> Vec<endpoint::Key> {
    let is_eligible = |key: &endpoint::Key| {
        let endpoint = board.endpoints.get(*key);
        endpoint.is_some_and(|e| !ticket.avoid.contains(key) && is_eligible(e, ticket, now))
    };
    let keys = board.endpoints.of_service(&ticket.service).iter().copied();
    keys.filter(is_eligible).collect()
}

fn is_usable(endpoint: &Endpoint, now: Time) -> bool {
    endpoint.record.state == State::Ready && endpoint.backoff_until <= now
}

fn is_eligible(endpoint: &Endpoint, ticket: &Ticket, now: Time) -> bool {
    let is_class_allowed =
        ticket.may_use_cheap || endpoint.record.capacity_class == CapacityClass::Stable;
    let is_version_allowed = ticket.oldest_version == 0
        || endpoint
            .version(&ticket.service)
            .is_some_and(|version| version >= ticket.oldest_version);
    let is_available = is_usable(endpoint, now) && limit::is_below_limit(endpoint, now);
    is_available && is_class_allowed && is_version_allowed
}

fn is_local(board: &Board, key: endpoint::Key) -> bool {
    let endpoint = board.endpoints.get(key);
    endpoint.is_some_and(|e| e.record.failure_domain == board.failure_domain)
}

/// Returns the endpoint that should have cached the ticket's prefix, if it is
/// among `eligible` and its load is within bounds. All ready endpoints are
/// ranked, not only the eligible ones, so an endpoint that is full for a moment
/// does not scatter its prefixes over many others.
fn prefix_endpoint(
    board: &Board,
    now: Time,
    ticket: &Ticket,
    eligible: &[endpoint::Key],
) -> Option<endpoint::Key> {
    if ticket.prefix == 0 {
        return None;
    }
    let mut ranked: Vec<_> = board
        .endpoints
        .of_service(&ticket.service)
        .iter()
        .filter_map(|key| Some((*key, board.endpoints.get(*key)?)))
        .filter(|(_, endpoint)| endpoint.record.state == State::Ready)
        .map(|(key, e)| (hash::rendezvous(ticket.prefix, &e.record.id), key, e))
        .collect();
    let mean = ranked.iter().map(|(.., e)| load(e, now)).sum::<f64>() / ranked.len() as f64;
    ranked.sort_unstable_by(|(a, ..), (b, ..)| b.cmp(a));
    let is_within_bound = |endpoint: &Endpoint| {
        let slot = 1.0 / f64::from(limit::slots(endpoint));
        load(endpoint, now) <= mean * AFFINITY_LOAD_FACTOR + slot
    };
    ranked
        .into_iter()
        .take(AFFINITY_ENDPOINTS_MAX)
        .find(|(_, key, endpoint)| eligible.contains(key) && is_within_bound(endpoint))
        .map(|(_, key, _)| key)
}

fn sample_two(board: &mut Board, keys: &[endpoint::Key]) -> Vec<endpoint::Key> {
    if keys.len() <= RANDOM_CHOICES {
        return keys.to_vec();
    }
    let first = board.rng.random_range(0..keys.len());
    // Drawn from one index fewer and shifted, so the two choices always differ.
    let second = board.rng.random_range(0..keys.len() - 1);
    let second = if second >= first { second + 1 } else { second };
    vec![keys[first], keys[second]]
}

/// Returns the requests of all VMs at `endpoint`, as a fraction of its slots.
fn load(endpoint: &Endpoint, now: Time) -> f64 {
    let total = f64::from(endpoint.in_flight) + limit::others_in_flight(endpoint, now);
    total / f64::from(limit::slots(endpoint))
}

/// Returns how many seconds longer an answer is expected to take than from an
/// idle local endpoint. The load breaks ties.
fn expected_time(board: &Board, now: Time, ticket: &Ticket, key: endpoint::Key) -> f64 {
    let Some(endpoint) = board.endpoints.get(key) else {
        return f64::INFINITY;
    };
    let latency = median_latency(board, ticket).as_secs_f64();
    let load = load(endpoint, now);
    let wait = latency * (load - LOAD_KNEE).max(0.0) / (1.0 - LOAD_KNEE);
    let network = if is_local(board, key) {
        0.0
    } else {
        CROSS_DOMAIN_LATENCY.as_secs_f64()
    };
    let mismatch = if is_preferred_class(ticket, endpoint) {
        0.0
    } else {
        latency * MISMATCH_LATENCY_FRACTION
    };
    wait + network + mismatch + load * LOAD_TIE_BREAK_S
}

fn median_latency(board: &Board, ticket: &Ticket) -> Duration {
    let service = board.services.get(&ticket.service);
    let median = service.and_then(|service| service.latency.quantile(ticket.cost, 0.5));
    median.unwrap_or(UNIT_LATENCY_DEFAULT * ticket.cost)
}

/// Interactive requests prefer endpoints that are not reclaimed. Work that can
/// be resumed, or that no caller waits for, prefers cheap ones, which may be.
fn is_preferred_class(ticket: &Ticket, endpoint: &Endpoint) -> bool {
    let preferred = match ticket.class {
        Class::Caller => CapacityClass::Stable,
        Class::Trainer | Class::Bulk => CapacityClass::Cheap,
    };
    endpoint.record.capacity_class == preferred
}
