//! Which endpoint a request goes to.
//!
//! A prompt whose prefix an engine is likely to have cached goes to that
//! engine, unless it is loaded well above the others. Otherwise two endpoints
//! are taken at random from the VM's failure domain and two from the others,
//! and the one that costs least time is picked: its load, the way there, and
//! the risk of a tenure that does not suit the request. Two random choices do
//! almost as well as the least loaded of all, and do not send every VM to the
//! same endpoint between two reports.

use std::time::Duration;

use board::{
    Board, Time,
    config::Class,
    endpoint::{self, Endpoint, State, Tenure},
    hash,
    ticket::{self, Ticket},
};
use rand::Rng;

use crate::limit;

/// Added time of an answer from another failure domain.
const CROSS_DOMAIN_LATENCY: Duration = Duration::from_millis(1);

/// Latency assumed for a unit of cost before any answer.
const UNIT_LATENCY_DEFAULT: Duration = Duration::from_millis(20);

/// Up to this part of its slots, an endpoint is as fast as an idle one.
const LOAD_KNEE: f64 = 0.5;

/// What a tenure that does not suit costs, as a part of the latency.
const MISMATCH_LATENCY_FRACTION: f64 = 0.25;

/// How much more than the average a cached prefix may load an endpoint.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// How many endpoints may hold the same prefix.
const AFFINITY_ENDPOINTS_MAX: usize = 2;

/// What a full load costs among endpoints that are equal otherwise, in
/// seconds.
const LOAD_TIE_BREAK_S: f64 = 1e-6;

const RANDOM_CHOICES: usize = 2;

/// Picks an endpoint with room for the ticket.
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

/// Returns the endpoint with room that should hold the ticket's prefix, if
/// there is one.
pub fn pick_cached(board: &Board, now: Time, key: ticket::Key) -> Option<endpoint::Key> {
    let ticket = board.tickets.get(key)?;
    let eligible = eligible(board, now, ticket);
    prefix_endpoint(board, now, ticket, &eligible)
}

/// Returns whether the endpoints of `service` have room for one more request.
pub fn has_capacity(board: &Board, now: Time, service: &str) -> bool {
    let keys = board.endpoints.of_service(service).iter();
    let usable = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| is_usable(endpoint, now));
    limit::headroom(usable, now) > 0
}

/// Returns how many more requests can be sent now to endpoints of the ticket's
/// service, or zero if none of these fits the ticket.
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

/// Returns how long every ready endpoint of `service` still rests, or zero if
/// one takes work or none is ready.
pub fn backoff_remaining(board: &Board, now: Time, service: &str) -> Duration {
    let keys = board.endpoints.of_service(service).iter();
    let ready = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| endpoint.record.state == State::Ready);
    let earliest = ready.map(|endpoint| endpoint.rest_until).min();
    earliest.map_or(Duration::ZERO, |until| until - now)
}

/// Notes that work of `service` waits though its endpoints are fit for it.
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
    endpoint.record.state == State::Ready && endpoint.rest_until <= now
}

fn is_eligible(endpoint: &Endpoint, ticket: &Ticket, now: Time) -> bool {
    let is_class_allowed = ticket.takes_cheap || endpoint.record.tenure == Tenure::Stable;
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

/// Returns the endpoint that should hold the ticket's prefix, if its load is
/// within bounds. All ready endpoints are ranked, so that one without room for
/// a moment does not move its prefixes to many others.
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
    // Drawn from one place fewer and shifted, so that the two always differ.
    let second = board.rng.random_range(0..keys.len() - 1);
    let second = if second >= first { second + 1 } else { second };
    vec![keys[first], keys[second]]
}

/// Returns the requests at `endpoint`, of all VMs, as a part of its slots.
fn load(endpoint: &Endpoint, now: Time) -> f64 {
    let total = f64::from(endpoint.in_flight) + limit::others_in_flight(endpoint, now);
    total / f64::from(limit::slots(endpoint))
}

/// Returns the seconds that an answer is expected to take beyond those of an
/// idle endpoint nearby, with the load as a tie-breaker.
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

/// Work that can be resumed or waits for nobody suits endpoints that may be
/// reclaimed; a call that someone waits for suits those that stay.
fn is_preferred_class(ticket: &Ticket, endpoint: &Endpoint) -> bool {
    let preferred = match ticket.class {
        Class::Caller => Tenure::Stable,
        Class::Trainer | Class::Bulk => Tenure::Cheap,
    };
    endpoint.record.tenure == preferred
}
