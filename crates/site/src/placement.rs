//! The choice of the endpoint that a request is sent to, for steady load where
//! some endpoints are slow, full, failed or draining. The module does no I/O.

use std::time::{Duration, Instant};

use crate::{
    facts::{Endpoint, Facts, Key},
    latency,
};

/// How long a load that an endpoint reported is used. A batch turns over in
/// about this time.
const LOAD_AGE_MAX: Duration = Duration::from_millis(300);

/// The load, in thousandths of its slots, below which an endpoint may be
/// preferred because it has read the same prompt, or a run may move to it. Some
/// endpoints take four times as long per event when they are nearly full.
const PREFERRED_LOAD_PERMILLE: u32 = 500;

/// The requirements and preferences for the endpoint of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// The service that the endpoint must belong to.
    pub service: &'a str,
    /// The version of its software that the endpoint must have, since it
    /// continues what another endpoint began.
    pub software: Option<&'a str>,
    /// The failure domain of this VM. Endpoints in it are nearer than others.
    pub domain: &'a str,
    /// The model and the oldest acceptable version of its weights.
    pub model: Option<(&'a str, u64)>,
    /// Whether the request may wait for a free slot. If so, an endpoint that
    /// is backing off or whose slots are all used by this VM is not chosen.
    pub may_wait: bool,
    /// The endpoint to choose if it is usable, fast and not heavily loaded.
    pub preferred: Option<Key>,
    /// Whether endpoints with a rate limit are left out. The permit for one may
    /// be denied.
    pub avoids_limits: bool,
    /// Endpoints that this request was sent to before.
    pub tried: &'a [Key],
}

/// Returns the endpoint to send a request to, if there is one.
///
/// Endpoints that are backing off are chosen only when all endpoints are.
/// Among the others, the order is: the fastest at the model, then the least
/// loaded, then the nearest. While some are cold, [`cold_rank`] comes first. Speed comes before load because a batch hardly
/// slows its requests down as long as none of them is queued.
pub fn choose(facts: &Facts, criteria: Criteria<'_>, now: Instant) -> Option<Key> {
    let best_latency = criteria
        .model
        .and_then(|(model, _)| facts.best_latency(criteria.service, model));
    let preferred = criteria
        .preferred
        .and_then(|key| Some((key, facts.endpoints.get(key)?)));
    if let Some((key, endpoint)) = preferred
        && is_usable(endpoint, criteria, now)
        && !endpoint.is_backing_off(now)
        && !endpoint.is_cold(now)
        && slowness(endpoint, criteria, best_latency, now) == 0
        && load_permille(endpoint, now) < PREFERRED_LOAD_PERMILLE
    {
        return Some(key);
    }
    let usable = facts.endpoints.iter().filter(|(key, endpoint)| {
        !criteria.tried.contains(key) && is_usable(endpoint, criteria, now)
    });
    let has_cold = facts
        .endpoints
        .values()
        .any(|endpoint| endpoint.record.service == criteria.service && endpoint.is_cold(now));
    let chosen = usable.min_by_key(|(key, endpoint)| {
        let is_far = endpoint.record.failure_domain != criteria.domain;
        let slowness = slowness(endpoint, criteria, best_latency, now);
        let rank = (
            endpoint.is_backing_off(now),
            if has_cold {
                cold_rank(endpoint, now)
            } else {
                0
            },
            slowness,
            load_permille(endpoint, now),
            is_far,
        );
        (rank, tie_break(*key, criteria.domain))
    });
    chosen.map(|(key, _)| key)
}

/// How many times faster another endpoint with free slots must be for a run to
/// move there. A move costs about the time of one event, in which the new
/// endpoint reads the prompt and the events so far.
const MOVE_SPEEDUP_MIN: f64 = 1.5;

/// Returns whether a run at the endpoint `key`, which now takes `event_time`
/// for each event, should continue at another endpoint. This helps runs whose
/// endpoint becomes slow, and long items that started when no fast endpoint
/// had a free slot.
pub fn should_move(
    facts: &Facts,
    key: Key,
    criteria: Criteria<'_>,
    event_time: Duration,
    now: Instant,
) -> bool {
    let Some((model, _)) = criteria.model else {
        return false;
    };
    let limit = event_time.as_secs_f64() / MOVE_SPEEDUP_MIN;
    let others = facts.endpoints.iter().filter(|(other, _)| *other != key);
    let mut faster = others.filter(|(_, other)| {
        let seconds = other
            .latencies
            .get(model)
            .map(|estimate| estimate.seconds());
        seconds.is_some_and(|seconds| seconds <= limit)
    });
    faster.any(|(_, other)| {
        is_usable(other, criteria, now)
            && !other.is_cold(now)
            && load_permille(other, now) < PREFERRED_LOAD_PERMILLE
    })
}

/// Returns by how many steps an endpoint is slower than the fastest one at
/// the model of `criteria`.
fn slowness(
    endpoint: &Endpoint,
    criteria: Criteria<'_>,
    best_latency: Option<f64>,
    now: Instant,
) -> u32 {
    let own = criteria
        .model
        .and_then(|(model, _)| endpoint.latencies.get(model));
    latency::slowness(own, best_latency, now)
}

/// Returns whether an endpoint meets the requirements of `criteria`, whether or
/// not it accepts requests now.
pub fn has_suitable(facts: &Facts, criteria: Criteria<'_>) -> bool {
    let mut endpoints = facts.endpoints.values();
    endpoints.any(|endpoint| is_suitable(endpoint, criteria))
}

fn is_suitable(endpoint: &Endpoint, criteria: Criteria<'_>) -> bool {
    let record = &endpoint.record;
    let has_software = |software| software == record.software;
    if record.service != criteria.service
        || !endpoint.is_open()
        || !criteria.software.is_none_or(has_software)
    {
        return false;
    }
    match criteria.model {
        Some((model, oldest)) => endpoint.version(model).is_some_and(|v| v >= oldest),
        None => true,
    }
}

fn is_usable(endpoint: &Endpoint, criteria: Criteria<'_>, now: Instant) -> bool {
    if !is_suitable(endpoint, criteria) || endpoint.is_denied(now) {
        return false;
    }
    if criteria.avoids_limits && endpoint.needs_permit(now) {
        return false;
    }
    let is_full = endpoint.in_flight >= endpoint.record.slots;
    !criteria.may_wait || !(is_full || endpoint.is_backing_off(now))
}

/// Returns the rank of an endpoint while some endpoints are cold: warm ones with free
/// slots come first, then cold ones, which bear few requests, then full ones.
fn cold_rank(endpoint: &Endpoint, now: Instant) -> u8 {
    match (load_permille(endpoint, now) < 1000, endpoint.is_cold(now)) {
        (true, false) => 0,
        (true, true) => 1,
        (false, _) => 2,
    }
}

/// Returns the number of requests at an endpoint in thousandths of its slots.
pub fn load_permille(endpoint: &Endpoint, now: Instant) -> u32 {
    let reported = match endpoint.load {
        Some((load, at)) if now - at < LOAD_AGE_MAX => load,
        _ => 0,
    };
    let requests = reported.max(endpoint.in_flight);
    requests.saturating_mul(1000) / endpoint.record.slots
}

/// Returns a rank among equal endpoints that differs by failure domain, so
/// that VMs do not all choose the same endpoint.
fn tie_break(key: Key, domain: &str) -> u64 {
    board::hash::hash_value(&(key, domain))
}
