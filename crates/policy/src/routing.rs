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
    endpoint::{self, CapacityClass, Endpoint, State},
    hash,
    ticket::{self, Ticket},
};
use rand::Rng;

use crate::limit;

/// Added time of an answer from another failure domain.
const HOP_TIME: Duration = Duration::from_millis(1);

/// Latency assumed for a unit of cost before any answer.
const LATENCY_DEFAULT: Duration = Duration::from_millis(20);

/// Up to this part of its slots, an endpoint is as fast as an idle one.
const LOAD_KNEE: f64 = 0.5;

/// What a tenure that does not suit costs, as a part of the latency.
const TENURE_COST: f64 = 0.25;

/// How much more than the average a cached prefix may load an endpoint.
const AFFINITY_BOUND: f64 = 1.25;

/// How many endpoints may hold the same prefix.
const AFFINITY_PLACES: usize = 2;

/// What a full load costs among endpoints that are equal otherwise, in
/// seconds.
const LOAD_TIE_S: f64 = 1e-6;

const CHOICES: usize = 2;

/// Picks an endpoint with room for the ticket.
pub fn pick(board: &mut Board, now: Time, key: ticket::Key) -> Option<endpoint::Key> {
    let ticket = board.tickets.get(key)?;
    let fit = fit(board, now, ticket);
    if fit.is_empty() {
        return None;
    }
    if let Some(key) = affine(board, now, ticket, &fit) {
        return Some(key);
    }
    let (near, far): (Vec<_>, Vec<_>) = fit.into_iter().partition(|key| is_near(board, *key));
    let mut choices = choose(board, &near);
    choices.extend(choose(board, &far));
    let ticket = board.tickets.get(key)?;
    let time = |key: &endpoint::Key| expected_time(board, now, ticket, *key);
    choices
        .into_iter()
        .min_by(|a, b| time(a).total_cmp(&time(b)))
}

/// Returns the endpoint with room that should hold the ticket's prefix, if
/// there is one.
pub fn cached(board: &Board, now: Time, key: ticket::Key) -> Option<endpoint::Key> {
    let ticket = board.tickets.get(key)?;
    let fit = fit(board, now, ticket);
    affine(board, now, ticket, &fit)
}

/// Returns whether the endpoints of `service` have room for one more request.
pub fn has_room(board: &Board, now: Time, service: &str) -> bool {
    let keys = board.endpoints.of_service(service).iter();
    let usable = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| is_usable(endpoint, now));
    limit::room(usable, now) > 0
}

/// Returns how many more requests can be sent now to endpoints of the ticket's
/// service, or zero if none of these fits the ticket.
pub fn free(board: &Board, now: Time, ticket: &Ticket) -> u32 {
    if fit(board, now, ticket).is_empty() {
        return 0;
    }
    let keys = board.endpoints.of_service(&ticket.service).iter();
    let usable = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| is_usable(endpoint, now));
    limit::room(usable, now)
}

/// Returns how long every ready endpoint of `service` still rests, or zero if
/// one takes work or none is ready.
pub fn rest(board: &Board, now: Time, service: &str) -> Duration {
    let keys = board.endpoints.of_service(service).iter();
    let ready = keys
        .filter_map(|key| board.endpoints.get(*key))
        .filter(|endpoint| endpoint.record.state == State::Ready);
    let first = ready.map(|endpoint| endpoint.backoff_until).min();
    first.map_or(Duration::ZERO, |until| until - now)
}

/// Notes that work of `service` waits though its endpoints are fit for it.
pub fn note_short(board: &mut Board, now: Time, service: &str) {
    for key in board.endpoints.of_service(service).to_vec() {
        if let Some(endpoint) = board.endpoints.get_mut(key)
            && is_usable(endpoint, now)
        {
            limit::short(endpoint, now);
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

fn fit(board: &Board, now: Time, ticket: &Ticket) -> Vec<endpoint::Key> {
    let is_fit = |key: &endpoint::Key| {
        let endpoint = board.endpoints.get(*key);
        endpoint.is_some_and(|e| !ticket.avoid.contains(key) && is_fit(e, ticket, now))
    };
    let keys = board.endpoints.of_service(&ticket.service).iter().copied();
    keys.filter(is_fit).collect()
}

fn is_usable(endpoint: &Endpoint, now: Time) -> bool {
    endpoint.record.state == State::Ready && endpoint.backoff_until <= now
}

fn is_fit(endpoint: &Endpoint, ticket: &Ticket, now: Time) -> bool {
    let tenure_fits =
        ticket.may_use_cheap || endpoint.record.capacity_class == CapacityClass::Stable;
    let version_fits = ticket.oldest_version == 0
        || endpoint
            .version(&ticket.service)
            .is_some_and(|version| version >= ticket.oldest_version);
    let is_open = is_usable(endpoint, now) && limit::is_open(endpoint, now);
    is_open && tenure_fits && version_fits
}

fn is_near(board: &Board, key: endpoint::Key) -> bool {
    let endpoint = board.endpoints.get(key);
    endpoint.is_some_and(|e| e.record.failure_domain == board.failure_domain)
}

/// Returns the endpoint that should hold the ticket's prefix, if its load is
/// within bounds. All ready endpoints are ranked, so that one without room for
/// a moment does not move its prefixes to many others.
fn affine(
    board: &Board,
    now: Time,
    ticket: &Ticket,
    fit: &[endpoint::Key],
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
    let within = |endpoint: &Endpoint| {
        let slot = 1.0 / f64::from(limit::slots(endpoint));
        load(endpoint, now) <= mean * AFFINITY_BOUND + slot
    };
    ranked
        .into_iter()
        .take(AFFINITY_PLACES)
        .find(|(_, key, endpoint)| fit.contains(key) && within(endpoint))
        .map(|(_, key, _)| key)
}

fn choose(board: &mut Board, keys: &[endpoint::Key]) -> Vec<endpoint::Key> {
    if keys.len() <= CHOICES {
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
    let total = f64::from(endpoint.in_flight) + limit::elsewhere(endpoint, now);
    total / f64::from(limit::slots(endpoint))
}

/// Returns the seconds that an answer is expected to take beyond those of an
/// idle endpoint nearby, with the load as a tie-breaker.
fn expected_time(board: &Board, now: Time, ticket: &Ticket, key: endpoint::Key) -> f64 {
    let Some(endpoint) = board.endpoints.get(key) else {
        return f64::INFINITY;
    };
    let latency = latency(board, ticket).as_secs_f64();
    let load = load(endpoint, now);
    let wait = latency * (load - LOAD_KNEE).max(0.0) / (1.0 - LOAD_KNEE);
    let hop = if is_near(board, key) {
        0.0
    } else {
        HOP_TIME.as_secs_f64()
    };
    let capacity_class = if suits(ticket, endpoint) {
        0.0
    } else {
        latency * TENURE_COST
    };
    wait + hop + capacity_class + load * LOAD_TIE_S
}

fn latency(board: &Board, ticket: &Ticket) -> Duration {
    let service = board.services.get(&ticket.service);
    let median = service.and_then(|service| service.latency.quantile(ticket.cost, 0.5));
    median.unwrap_or(LATENCY_DEFAULT * ticket.cost)
}

/// Work that can be resumed or waits for nobody suits endpoints that may be
/// reclaimed; a call that someone waits for suits those that stay.
fn suits(ticket: &Ticket, endpoint: &Endpoint) -> bool {
    let wanted = match ticket.class {
        Class::Caller => CapacityClass::Stable,
        Class::Trainer | Class::Bulk => CapacityClass::Cheap,
    };
    endpoint.record.capacity_class == wanted
}
