//! Which endpoint a request goes to. Pure: answers steady load with some
//! endpoints slow, full, failed or about to leave.

use std::time::{Duration, Instant};

use crate::facts::{Endpoint, Facts, Key};

/// For how long the load that an endpoint told counts: the time in which a
/// batch turns over.
const LOAD_AGE: Duration = Duration::from_millis(300);

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
/// others the least loaded one is taken, of those the nearest.
pub fn choose(facts: &Facts, need: Need<'_>, now: Instant) -> Option<Key> {
    let preferred = need
        .prefer
        .and_then(|key| Some((key, facts.endpoints.get(key)?)));
    if let Some((key, endpoint)) = preferred
        && is_usable(endpoint, need, now)
        && !endpoint.is_resting(now)
    {
        return Some(key);
    }
    let usable = facts
        .endpoints
        .iter()
        .filter(|(key, endpoint)| !need.tried.contains(key) && is_usable(endpoint, need, now));
    let best = usable.min_by_key(|(key, endpoint)| {
        let is_far = endpoint.record.domain != need.domain;
        let order = (endpoint.is_resting(now), load(endpoint, now), is_far);
        (order, spread(*key, need.domain))
    });
    best.map(|(key, _)| key)
}

fn is_usable(endpoint: &Endpoint, need: Need<'_>, now: Instant) -> bool {
    let record = &endpoint.record;
    if record.service != need.service || record.is_leaving {
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
    board::hash::of(&(key, domain))
}
