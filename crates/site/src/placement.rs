//! The choice of the endpoint that a request is sent to, for steady load where
//! some endpoints are slow, full, failed or draining. The module does no I/O.
//!
//! Where endpoints report how long work takes on their machines, or a request
//! names the parts of its prompt, the expected time to finish decides
//! ([`policy::estimate`]). Elsewhere the order is speed, load, distance.

use std::{
    cmp::Reverse,
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use policy::{
    estimate,
    prompt::{self, Part},
};

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
    /// The version of the weights that the endpoint must have, since it continues what
    /// another endpoint began and the whole text has to come from one version.
    pub version: Option<u64>,
    /// Whether the request may wait for a free slot. If so, an endpoint that
    /// is backing off or whose slots are all used by this VM is not chosen.
    pub may_wait: bool,
    /// The endpoint to choose if it is usable, fast and not heavily loaded.
    pub preferred: Option<Key>,
    /// Whether the endpoint must be one that has stated that it leaves, since there is
    /// no other.
    pub is_last_resort: bool,
    /// Whether endpoints with a rate limit are left out. The permit for one may
    /// be denied.
    pub avoids_limits: bool,
    /// Endpoints that this request was sent to before.
    pub tried: &'a [Key],
    /// What the request needs.
    pub work: Work<'a>,
    /// Whether an idle connection to an endpoint exists.
    pub connections: Connections<'a>,
    /// The name of this VM, by which VMs choose differently among equals.
    pub vm: &'a str,
    /// The id of the request, by which requests are spread over equals.
    pub request: &'a str,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work<'a> {
    /// The model that runs it, if its headers name one.
    pub model: Option<&'a str>,
    /// The parts of its prompt, as far as they are known.
    pub prompt: &'a [Part],
    /// The tokens of an earlier text that have to be read too.
    pub text_tokens: u64,
    /// The events that are expected, if this is known.
    pub events: Option<f64>,
}

/// A query for idle connections to an address.
#[derive(Clone, Copy, Default)]
pub struct Connections<'a>(pub Option<&'a dyn Fn(SocketAddr) -> bool>);

impl Connections<'_> {
    fn has_idle(self, address: SocketAddr) -> bool {
        self.0.is_some_and(|has_idle| has_idle(address))
    }
}

impl fmt::Debug for Connections<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Connections")
    }
}

/// The time for an event of an engine that no run has measured yet, if no other
/// endpoint has been measured either.
const EVENT_DEFAULT_S: f64 = 0.045;
/// The time for a request of a plain service that has answered none yet. They
/// take 20 to 80 ms.
const REQUEST_DEFAULT_S: f64 = 0.05;
/// The events of a run whose length is not known. Runs have 9 to 21 on average.
pub const EVENTS_DEFAULT: f64 = 15.0;
/// The number of requests whose mean counts as much as that of the service's
/// other endpoints. Single requests differ by a factor of four, endpoints by two.
const REQUESTS_OF_PRIOR: f64 = 8.0;

/// What was known of the chosen endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub key: Key,
    /// The expected time to finish, if it decided.
    pub expected: Option<Duration>,
    /// The tokens of the prompt that the endpoint is expected to hold.
    pub held_tokens: u64,
    /// Whether an idle connection to it exists.
    pub has_idle_connection: bool,
}

impl Choice {
    /// Returns the expected milliseconds to finish, or 0 if they did not decide.
    pub fn expected_ms(&self) -> u64 {
        let ms = self.expected.unwrap_or_default().as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX)
    }

    /// Returns what the endpoint offers the request beyond its speed, as the
    /// label of a metric.
    pub fn benefit(&self) -> &'static str {
        if self.held_tokens > 0 {
            "prompt"
        } else if self.has_idle_connection {
            "connection"
        } else {
            "none"
        }
    }
}

/// Returns the endpoint to send a request to, if there is one.
///
/// Endpoints that are backing off are chosen only when all endpoints are.
pub fn choose(facts: &Facts, criteria: Criteria<'_>, now: Instant) -> Option<Key> {
    decide(facts, criteria, now).map(|choice| choice.key)
}

/// As [`choose`], with what was known of the endpoint.
pub fn decide(facts: &Facts, criteria: Criteria<'_>, now: Instant) -> Option<Choice> {
    let expected = uses_estimate(facts, criteria).then(|| choose_earliest(facts, criteria, now));
    let (key, expected) = match expected {
        Some(chosen) => chosen.map(|(key, finish_s)| (key, Some(finish_s)))?,
        None => (choose_by_rank(facts, criteria, now)?, None),
    };
    let address = facts.endpoints.get(key)?.record.address;
    Some(Choice {
        key,
        expected: expected.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        held_tokens: facts.held_tokens(key, criteria.work.prompt),
        has_idle_connection: criteria.connections.has_idle(address),
    })
}

/// As [`decide`]. If `service` has no endpoint that may get new work, but one that
/// stated only just now that it leaves, that one is chosen: it still serves for a
/// while, and short requests end before it stops.
pub fn decide_with_last_resort(
    facts: &Facts,
    criteria: Criteria<'_>,
    now: Instant,
) -> Option<Choice> {
    let is_last_resort = !has_suitable(facts, criteria);
    let criteria = Criteria {
        is_last_resort,
        ..criteria
    };
    decide(facts, criteria, now)
}

/// Returns whether the expected time to finish decides: if the endpoints report
/// how long work takes on their machines, or the request names the parts of its
/// prompt.
fn uses_estimate(facts: &Facts, criteria: Criteria<'_>) -> bool {
    !criteria.work.prompt.is_empty() || facts.has_factors(criteria.service)
}

/// Returns the endpoint at which the request would finish first, and the seconds
/// until then.
///
/// Among endpoints that are equal within the tolerance, the order is: one that
/// holds most of the prompt, one with an idle connection, and a hash that differs
/// by VM and request, so that VMs that see the same reports choose differently.
fn choose_earliest(facts: &Facts, criteria: Criteria<'_>, now: Instant) -> Option<(Key, f64)> {
    let paces = Paces::new(facts, criteria);
    let usable = facts.endpoints.iter().filter(|(key, endpoint)| {
        !criteria.tried.contains(key) && is_usable(facts, endpoint, criteria, now)
    });
    let candidates = usable.map(|(key, endpoint)| {
        let known = paces.known(endpoint, criteria, now);
        Candidate {
            key,
            endpoint,
            order: (endpoint.is_backing_off(now), cold_rank(endpoint, now)),
            finish_s: estimate::finish_s(&known, needed(facts, key, criteria)),
            has_free_slot: estimate::requests(&known) < f64::from(known.slots),
        }
    });
    let candidates: Vec<Candidate<'_>> = candidates.collect();
    let best = candidates.iter().min_by(|a, b| {
        let by_order = a.order.cmp(&b.order);
        by_order.then(a.finish_s.total_cmp(&b.finish_s))
    })?;
    let equal = candidates.iter().filter(|candidate| {
        candidate.order == best.order && estimate::is_equal(best.finish_s, candidate.finish_s)
    });
    let chosen = equal.min_by_key(|candidate| {
        let held = match candidate.has_free_slot {
            true => held_quarters(facts, candidate.key, criteria),
            false => 0,
        };
        let endpoint = candidate.endpoint;
        let has_idle = criteria.connections.has_idle(endpoint.record.address);
        let spread = (criteria.vm, criteria.domain, criteria.request, &endpoint.id);
        (Reverse(held), !has_idle, board::hash::hash_value(&spread))
    });
    chosen.map(|candidate| (candidate.key, candidate.finish_s))
}

/// An endpoint that a request may be sent to.
struct Candidate<'a> {
    key: Key,
    endpoint: &'a Endpoint,
    /// Whether it is backing off, and its [`cold_rank`]. The least come first,
    /// whatever the expected time.
    order: (bool, u8),
    finish_s: f64,
    has_free_slot: bool,
}

/// Returns what the request of `criteria` needs at the endpoint `key`.
fn needed(facts: &Facts, key: Key, criteria: Criteria<'_>) -> estimate::Work {
    let work = criteria.work;
    let held = facts.held_tokens(key, work.prompt);
    let unread = prompt::total(work.prompt).saturating_sub(held);
    estimate::Work {
        events: work.events.unwrap_or(EVENTS_DEFAULT),
        tokens: unread.saturating_add(work.text_tokens),
    }
}

/// Returns how much of the prompt's shared parts the endpoint `key` holds. Where
/// the parts are not named, the preferred endpoint counts as holding it.
fn held_quarters(facts: &Facts, key: Key, criteria: Criteria<'_>) -> u8 {
    let parts = criteria.work.prompt;
    if parts.is_empty() {
        return u8::from(criteria.preferred == Some(key));
    }
    prompt::quarters(facts.held_tokens(key, parts), parts)
}

/// What is known of the speed of a service's endpoints.
struct Paces<'a> {
    /// The model, for engines.
    model: Option<&'a str>,
    /// The time for an event at the fastest endpoint.
    best_event_s: f64,
    /// The mean time for a request at the endpoints of a plain service.
    mean_request_s: f64,
    crowding: f64,
}

impl<'a> Paces<'a> {
    fn new(facts: &Facts, criteria: Criteria<'a>) -> Self {
        let model = criteria.model.map(|(model, _)| model);
        let model = model.or(criteria.work.model);
        let best = model.and_then(|model| facts.best_latency(criteria.service, model));
        Self {
            model,
            best_event_s: best.unwrap_or(EVENT_DEFAULT_S),
            mean_request_s: facts
                .mean_request_s(criteria.service)
                .unwrap_or(REQUEST_DEFAULT_S),
            crowding: model.map_or(1.0, |model| facts.crowding(model)),
        }
    }

    /// Returns what is known of `endpoint`, for a request of `criteria`.
    fn known(
        &self,
        endpoint: &Endpoint,
        criteria: Criteria<'_>,
        now: Instant,
    ) -> estimate::Endpoint {
        let is_engine = self.model.is_some() || !endpoint.record.versions.is_empty();
        let (kind, usual_factor) = if is_engine {
            self.engine(endpoint, now)
        } else {
            self.service(endpoint, now)
        };
        estimate::Endpoint {
            kind,
            slots: endpoint.record.slots,
            in_flight: endpoint.in_flight,
            report: endpoint.report_at(now),
            usual_factor,
            is_far: endpoint.record.failure_domain != criteria.domain,
        }
    }

    fn engine(&self, endpoint: &Endpoint, now: Instant) -> (estimate::Kind, f64) {
        let own = self
            .model
            .and_then(|model| endpoint.latencies.get(model))
            .filter(|own| !own.is_outdated(self.best_event_s, now));
        let event_s = own.map_or(self.best_event_s, |own| own.undisturbed_seconds(now));
        let kind = estimate::Kind::Engine {
            event_s,
            crowding: self.crowding,
        };
        (kind, own.map_or(1.0, |own| own.usual_factor()))
    }

    fn service(&self, endpoint: &Endpoint, now: Instant) -> (estimate::Kind, f64) {
        let times = &endpoint.request_times;
        let count = times.weight(now);
        let sum = times.mean_s() * count + self.mean_request_s * REQUESTS_OF_PRIOR;
        let request_s = sum / (count + REQUESTS_OF_PRIOR);
        (estimate::Kind::Service { request_s }, 1.0)
    }
}

/// Chooses by the order: the fastest at the model, then the least loaded, then
/// the nearest. Speed comes before load because a batch hardly slows its requests
/// down as long as none of them is queued.
fn choose_by_rank(facts: &Facts, criteria: Criteria<'_>, now: Instant) -> Option<Key> {
    let best_latency = criteria
        .model
        .and_then(|(model, _)| facts.best_latency(criteria.service, model));
    let preferred = criteria
        .preferred
        .and_then(|key| Some((key, facts.endpoints.get(key)?)));
    if let Some((key, endpoint)) = preferred
        && is_usable(facts, endpoint, criteria, now)
        && !endpoint.is_backing_off(now)
        && !endpoint.is_cold(now)
        && slowness(endpoint, criteria, best_latency, now) == 0
        && load_permille(endpoint, now) < PREFERRED_LOAD_PERMILLE
    {
        return Some(key);
    }
    let usable = facts.endpoints.iter().filter(|(key, endpoint)| {
        !criteria.tried.contains(key) && is_usable(facts, endpoint, criteria, now)
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
    if uses_estimate(facts, criteria) {
        return should_move_by_estimate(facts, key, criteria, event_time, now);
    }
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
        is_usable(facts, other, criteria, now)
            && !other.is_cold(now)
            && load_permille(other, now) < PREFERRED_LOAD_PERMILLE
    })
}

/// The least time that a move has to save. Besides the time of the move it costs a
/// connection, and the prompt and the text are read again. With 0.25 s there were
/// nearly twice as many moves, and groups ended 1 to 4 % sooner.
const MOVE_GAIN_MIN_S: f64 = 0.5;

/// Returns whether a run would end much sooner elsewhere: the time left at this
/// endpoint against that of connecting, reading the prompt and the text so far,
/// and the events left at the other one with one more request in its batch.
fn should_move_by_estimate(
    facts: &Facts,
    key: Key,
    criteria: Criteria<'_>,
    event_time: Duration,
    now: Instant,
) -> bool {
    let events = criteria.work.events.unwrap_or(EVENTS_DEFAULT);
    let paces = Paces::new(facts, criteria);
    let measured_s = event_time.as_secs_f64();
    // Of a single measurement it is not known whether it will last.
    let usual_s = paces
        .model
        .and_then(|model| facts.endpoints.get(key)?.latencies.get(model));
    let usual_s = usual_s.map_or(measured_s, |usual| usual.seconds());
    let stay_s = events * (measured_s + usual_s) / 2.0;
    facts.endpoints.iter().any(|(other, endpoint)| {
        if other == key || !is_usable(facts, endpoint, criteria, now) || endpoint.is_cold(now) {
            return false;
        }
        // The new endpoint begins with the batch that follows.
        let begin_s = paces.best_event_s;
        let known = paces.known(endpoint, criteria, now);
        let move_s = begin_s + estimate::finish_s(&known, needed(facts, other, criteria));
        stay_s >= move_s * MOVE_SPEEDUP_MIN && stay_s - move_s >= MOVE_GAIN_MIN_S
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

/// Returns the number of free slots at the endpoints that accept requests with
/// `criteria` now.
pub fn free_slots(facts: &Facts, criteria: Criteria<'_>, now: Instant) -> usize {
    let endpoints = facts.endpoints.values();
    let usable = endpoints.filter(|endpoint| is_usable(facts, endpoint, criteria, now));
    let free = |endpoint: &Endpoint| endpoint.record.slots.saturating_sub(endpoint.in_flight);
    usable.map(|endpoint| free(endpoint) as usize).sum()
}

fn is_suitable(endpoint: &Endpoint, criteria: Criteria<'_>) -> bool {
    let record = &endpoint.record;
    let has_software = |software| software == record.software;
    if record.service != criteria.service
        || !(endpoint.is_open() || criteria.is_last_resort)
        || !criteria.software.is_none_or(has_software)
    {
        return false;
    }
    match criteria.model {
        Some((model, oldest)) => endpoint.version(model).is_some_and(|version| {
            version >= oldest && criteria.version.is_none_or(|only| only == version)
        }),
        None => true,
    }
}

fn is_usable(facts: &Facts, endpoint: &Endpoint, criteria: Criteria<'_>, now: Instant) -> bool {
    if !is_suitable(endpoint, criteria) || endpoint.is_denied(now) {
        return false;
    }
    if criteria.is_last_resort && !facts.is_last_resort(endpoint, now) {
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
