//! Which endpoint a request goes to.

use board::{
    Board, Time,
    endpoint::{self, Endpoint, State, Tenure},
    ticket::{self, Ticket},
};
use rand::Rng;

const DEFAULT_SLOTS: u32 = 4;

/// Picks an endpoint with room for the ticket: the less loaded of two taken at
/// random.
pub fn pick(board: &mut Board, now: Time, key: ticket::Key) -> Option<endpoint::Key> {
    let ticket = board.tickets.get(key)?;
    let fit: Vec<_> = board
        .endpoints
        .of_service(&ticket.service)
        .iter()
        .copied()
        .filter(|key| {
            let endpoint = board.endpoints.get(*key);
            endpoint.is_some_and(|e| !ticket.avoid.contains(key) && is_fit(e, ticket, now))
        })
        .collect();
    if fit.is_empty() {
        return None;
    }
    let first = fit[board.rng.random_range(0..fit.len())];
    let second = fit[board.rng.random_range(0..fit.len())];
    let load = |key| board.endpoints.get(key).map_or(u32::MAX, load_of);
    Some(if load(first) <= load(second) {
        first
    } else {
        second
    })
}

/// Returns whether any endpoint of `service` has room.
pub fn has_room(board: &Board, now: Time, service: &str) -> bool {
    let keys = board.endpoints.of_service(service).iter();
    keys.filter_map(|key| board.endpoints.get(*key))
        .any(|endpoint| is_open(endpoint, now))
}

fn is_open(endpoint: &Endpoint, now: Time) -> bool {
    let has_room = endpoint.in_flight < slots(endpoint);
    let is_ready = endpoint.record.state == State::Ready && endpoint.rest_until <= now;
    has_room && is_ready
}

fn is_fit(endpoint: &Endpoint, ticket: &Ticket, now: Time) -> bool {
    let tenure_fits = ticket.takes_cheap || endpoint.record.tenure == Tenure::Stable;
    let version_fits = ticket.oldest_version == 0
        || endpoint
            .version(&ticket.service)
            .is_some_and(|version| version >= ticket.oldest_version);
    is_open(endpoint, now) && tenure_fits && version_fits
}

fn slots(endpoint: &Endpoint) -> u32 {
    match &endpoint.load {
        Some((_, load)) if load.slots > 0 => load.slots,
        _ => DEFAULT_SLOTS,
    }
}

fn load_of(endpoint: &Endpoint) -> u32 {
    let reported = endpoint.load.as_ref();
    let elsewhere = reported.map_or(0, |(_, load)| load.in_flight + load.queued);
    endpoint.in_flight.max(elsewhere)
}
