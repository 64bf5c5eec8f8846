//! Which endpoint a request goes to. Pure: answers steady load with some
//! endpoints slow, full, failed or about to leave.

use std::time::{Duration, Instant};

use crate::{
    facts::{Endpoint, Facts, Key},
    latency,
};

/// For how long the load that an endpoint told counts: the time in which a
/// batch turns over.
const LOAD_AGE_MAX: Duration = Duration::from_millis(300);

/// Up to which load, in thousandths of its slots, the endpoint that a group
/// shares its prompt at is preferred: some endpoints make each event in four
/// times the time when they are nearly full.
const PREFERRED_LOAD_PERMILLE: u32 = 500;

/// What is asked of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// The service it must belong to.
    pub service: &'a str,
    /// The failure domain that is nearest.
    pub domain: &'a str,
    /// The model, with the oldest version that will do.
    pub model: Option<(&'a str, u64)>,
    /// Whether the request can wait: then this VM has no more of them at an
    /// endpoint than that has slots, and none at one that rests.
    pub may_wait: bool,
    /// The endpoint that is taken if it is usable.
    pub preferred: Option<Key>,
    /// Endpoints that were asked before.
    pub tried: &'a [Key],
}

/// Returns the endpoint to ask, if there is one.
///
/// Endpoints that rest after failures are asked only when all do. Among the
/// others the fastest at the model are taken, of those the least loaded one,
/// and of those the nearest: a batch hardly slows its requests down as long as
/// none waits.
pub fn choose(facts: &Facts, criteria: Criteria<'_>, now: Instant) -> Option<Key> {
    let best = criteria
        .model
        .and_then(|(model, _)| facts.best_latency(criteria.service, model));
    let preferred = criteria
        .preferred
        .and_then(|key| Some((key, facts.endpoints.get(key)?)));
    if let Some((key, endpoint)) = preferred
        && is_usable(endpoint, criteria, now)
        && !endpoint.is_backing_off(now)
        && slowness(endpoint, criteria, best, now) == 0
        && load_permille(endpoint, now) < PREFERRED_LOAD_PERMILLE
    {
        return Some(key);
    }
    let usable = facts.endpoints.iter().filter(|(key, endpoint)| {
        !criteria.tried.contains(key) && is_usable(endpoint, criteria, now)
    });
    let best = usable.min_by_key(|(key, endpoint)| {
        let is_far = endpoint.record.domain != criteria.domain;
        let slowness = slowness(endpoint, criteria, best, now);
        let order = (
            endpoint.is_backing_off(now),
            slowness,
            load_permille(endpoint, now),
            is_far,
        );
        (order, tie_break(*key, criteria.domain))
    });
    best.map(|(key, _)| key)
}

/// By which factor an endpoint must be slower than another one with places for
/// a run to move there. It reads its prompt and events again, which takes about
/// the time of one event.
const MOVE_SPEEDUP_MIN: f64 = 1.5;

/// Returns whether a run at the endpoint `key`, which takes `event` for each
/// event now, is to go on elsewhere. Answers endpoints that turn slow under a
/// run, and long items that found no better place when they began.
pub fn should_move(
    facts: &Facts,
    key: Key,
    criteria: Criteria<'_>,
    event: Duration,
    now: Instant,
) -> bool {
    let Some((model, _)) = criteria.model else {
        return false;
    };
    let limit = event.as_secs_f64() / MOVE_SPEEDUP_MIN;
    let others = facts.endpoints.iter().filter(|(other, _)| *other != key);
    let mut faster = others.filter(|(_, other)| {
        let pace = other.latencies.get(model).map(|pace| pace.seconds());
        pace.is_some_and(|pace| pace <= limit)
    });
    faster.any(|(_, other)| {
        is_usable(other, criteria, now) && load_permille(other, now) < PREFERRED_LOAD_PERMILLE
    })
}

/// Returns by how many steps an endpoint is slower than the fastest one at
/// the model that is needed.
fn slowness(endpoint: &Endpoint, criteria: Criteria<'_>, best: Option<f64>, now: Instant) -> u32 {
    let own = criteria
        .model
        .and_then(|(model, _)| endpoint.latencies.get(model));
    latency::slowness(own, best, now)
}

fn is_usable(endpoint: &Endpoint, criteria: Criteria<'_>, now: Instant) -> bool {
    let record = &endpoint.record;
    if record.service != criteria.service || record.is_leaving {
        return false;
    }
    let is_unavailable = endpoint.in_flight >= record.slots || endpoint.is_backing_off(now);
    if criteria.may_wait && is_unavailable {
        return false;
    }
    match criteria.model {
        Some((model, oldest)) => endpoint.version(model).is_some_and(|v| v >= oldest),
        None => true,
    }
}

/// Returns the requests at an endpoint in thousandths of its slots.
pub fn load_permille(endpoint: &Endpoint, now: Instant) -> u32 {
    let reported = match endpoint.load {
        Some((load, at)) if now - at < LOAD_AGE_MAX => load,
        _ => 0,
    };
    reported.max(endpoint.in_flight) * 1000 / endpoint.record.slots
}

/// Orders equals differently on each VM, so that VMs do not all ask the same.
fn tie_break(key: Key, domain: &str) -> u64 {
    board::hash::hash_value(&(key, domain))
}
