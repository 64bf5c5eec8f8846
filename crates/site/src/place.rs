//! Which endpoint a request goes to. Pure: answers steady load with some
//! endpoints slow, full, failed or about to leave.

use std::time::{Duration, Instant};

use crate::{
    facts::{Endpoint, Facts, Key},
    pace,
};

/// For how long the load that an endpoint told counts: the time in which a
/// batch turns over.
const LOAD_AGE: Duration = Duration::from_millis(300);

/// Up to which load, in thousandths of its slots, the endpoint that a group
/// shares its prompt at is preferred: some endpoints make each event in four
/// times the time when they are nearly full.
const PREFER_LOAD: u32 = 500;

/// What is asked of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need<'a> {
    /// The service it must belong to.
    pub service: &'a str,
    /// The failure domain that is nearest.
    pub domain: &'a str,
    /// The model, with the oldest version that will do.
    pub model: Option<(&'a str, u64)>,
    /// Whether the request can wait: then this VM has no more of them at an
    /// endpoint than that has slots, and none at one that rests.
    pub is_bounded: bool,
    /// The endpoint that is taken if it is usable.
    pub prefer: Option<Key>,
    /// Endpoints that were asked before.
    pub tried: &'a [Key],
}

/// Returns the endpoint to ask, if there is one.
///
/// Endpoints that rest after failures are asked only when all do. Among the
/// others the fastest at the model are taken, of those the least loaded one,
/// and of those the nearest: a batch hardly slows its requests down as long as
/// none waits.
pub fn choose(facts: &Facts, need: Need<'_>, now: Instant) -> Option<Key> {
    let best = need
        .model
        .and_then(|(model, _)| facts.best_pace(need.service, model));
    let preferred = need
        .prefer
        .and_then(|key| Some((key, facts.endpoints.get(key)?)));
    if let Some((key, endpoint)) = preferred
        && is_usable(endpoint, need, now)
        && !endpoint.is_resting(now)
        && slowness(endpoint, need, best, now) == 0
        && load(endpoint, now) < PREFER_LOAD
    {
        return Some(key);
    }
    let usable = facts
        .endpoints
        .iter()
        .filter(|(key, endpoint)| !need.tried.contains(key) && is_usable(endpoint, need, now));
    let found = usable.min_by_key(|(key, endpoint)| {
        let is_far = endpoint.record.failure_domain != need.domain;
        let slowness = slowness(endpoint, need, best, now);
        let order = (
            endpoint.is_resting(now),
            slowness,
            load(endpoint, now),
            is_far,
        );
        (order, spread(*key, need.domain))
    });
    found.map(|(key, _)| key)
}

/// By which factor an endpoint must be slower than another one with places for
/// a run to move there. It reads its prompt and events again, which takes about
/// the time of one event.
const MOVE_FACTOR: f64 = 1.5;

/// Returns whether a run at the endpoint `key`, which takes `event` for each
/// event now, is to go on elsewhere. Answers endpoints that turn slow under a
/// run, and long items that found no better place when they began.
pub fn should_move(facts: &Facts, key: Key, need: Need<'_>, event: Duration, now: Instant) -> bool {
    let Some((model, _)) = need.model else {
        return false;
    };
    let limit = event.as_secs_f64() / MOVE_FACTOR;
    let others = facts.endpoints.iter().filter(|(other, _)| *other != key);
    let mut faster = others.filter(|(_, other)| {
        let pace = other.paces.of(model).map(|pace| pace.seconds());
        pace.is_some_and(|pace| pace <= limit)
    });
    faster.any(|(_, other)| is_usable(other, need, now) && load(other, now) < PREFER_LOAD)
}

/// Returns by how many steps an endpoint is slower than the fastest one at
/// the model that is needed.
fn slowness(endpoint: &Endpoint, need: Need<'_>, best: Option<f64>, now: Instant) -> u32 {
    let own = need.model.and_then(|(model, _)| endpoint.paces.of(model));
    pace::slowness(own, best, now)
}

fn is_usable(endpoint: &Endpoint, need: Need<'_>, now: Instant) -> bool {
    let record = &endpoint.record;
    if record.service != need.service || record.is_draining {
        return false;
    }
    let is_held_back = endpoint.in_flight >= record.slots || endpoint.is_resting(now);
    if need.is_bounded && is_held_back {
        return false;
    }
    match need.model {
        Some((model, oldest)) => endpoint.version(model).is_some_and(|v| v >= oldest),
        None => true,
    }
}

/// Returns the requests at an endpoint in thousandths of its slots.
pub fn load(endpoint: &Endpoint, now: Instant) -> u32 {
    let told = match endpoint.load {
        Some((load, at)) if now - at < LOAD_AGE => load,
        _ => 0,
    };
    told.max(endpoint.in_flight) * 1000 / endpoint.record.slots
}

/// Orders equals differently on each VM, so that VMs do not all ask the same.
fn spread(key: Key, domain: &str) -> u64 {
    board::hash::hash_value(&(key, domain))
}
