//! The facts that a VM knows: the configuration, the endpoints, the versions
//! of the weights, and its own observations of each endpoint.

use std::{
    rc::Rc,
    sync::OnceLock,
    time::{Duration, Instant},
};

use board::{
    Time,
    hash::{Map, Set},
};
use link::HeaderMap;
use platform::{config::Config, endpoint::Record, header};
use policy::{
    cold::{self, Refusal},
    estimate,
    prompt::{Kept, Part},
};
use slotmap::{SecondaryMap, SlotMap};

use crate::latency::{self, Conditions, Estimates, RequestTimes};

slotmap::new_key_type! {
    /// The key of an endpoint in [`Facts::endpoints`].
    pub struct Key;
}

/// An endpoint: its record, and the observations of this VM.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The id, which is the name of its record in the store.
    pub id: String,
    /// The record in which it announced itself.
    pub record: Record,
    /// The number of requests that this VM has at the endpoint now.
    pub in_flight: u32,
    /// The number of running and waiting requests of all callers that it last
    /// reported, and when.
    pub load: Option<(u32, Instant)>,
    /// What it last reported about its load and its machine.
    pub report: Option<Report>,
    /// Whether it ever reported how long work takes on its machine.
    pub reports_factor: bool,
    /// The rate limit, if its last response named one.
    pub rate_limit: Option<RateLimit>,
    /// When it last responded.
    responded_at: Option<Instant>,
    /// When a permit is expected, after none was granted.
    pub denied_until: Option<Instant>,
    /// Estimates of its time per event.
    pub latencies: Estimates,
    /// The times of its requests, if it is of a plain service.
    pub request_times: RequestTimes,
    /// The end of its backoff after a failure or a rejection.
    pub backoff_until: Option<Instant>,
    /// The number of consecutive failures.
    pub failures: u32,
    /// Set while its record is missing from the store: when the endpoint is
    /// removed unless the record returns.
    pub missing_until: Option<Instant>,
    /// Whether its failure domain is evacuated.
    is_evacuated: bool,
    /// When it first stated in a response that it leaves.
    leaving_since: Option<Instant>,
    /// Whether it is cold, and what this VM has sent to it lately.
    cold: cold::Endpoint,
    /// What its service states about cold endpoints.
    cold_terms: cold::Terms,
}

/// Returns `now` as the time of decisions.
fn time_of(now: Instant) -> Time {
    static START: OnceLock<Instant> = OnceLock::new();
    // The first time is not the start, so that earlier instants differ from it.
    let start = START.get_or_init(|| now.checked_sub(START_AGE).unwrap_or(now));
    Time::from_micros(now.saturating_duration_since(*start).as_micros() as u64)
}

/// The age of the instant from which times of decisions are counted.
const START_AGE: Duration = Duration::from_secs(3600);

/// Why an attempt must not be sent to the endpoint that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// Its failure domain is evacuated.
    Evacuated,
    /// It has stated in its responses for too long that it leaves.
    Leaving,
    /// It is cold, and there is no valid permit.
    NoPermit,
    /// It has got too much from this VM within the last second.
    OwnBound,
}

impl Withheld {
    /// Returns the reason in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::NoPermit => "no-permit",
            Self::OwnBound => "own-bound",
        }
    }
}

/// What decides how many permits there are for an endpoint.
#[derive(Clone, Debug)]
pub struct PermitTerms {
    /// The id of the endpoint.
    pub endpoint: String,
    /// The rate limit, if the endpoint names one.
    pub limit: Option<RateLimit>,
    /// The requests per second that it bears while it is cold, if it is.
    pub cold_per_s: Option<f64>,
}

/// What an endpoint reported about its load and its machine.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The running and waiting requests of all callers.
    pub requests: u32,
    /// The requests that wait among them.
    pub waiting: u32,
    /// The requests that this VM had there.
    pub own: u32,
    /// The mean number of other VMs' requests in its reports.
    pub usual_others: f64,
    /// How long work takes on its machine; 1 is as usual.
    pub factor: Option<f64>,
    /// When the report arrived.
    pub at: Instant,
}

/// The rate limit that an endpoint named.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// The requests per second that it accepts from all VMs together.
    pub per_s: f64,
    /// When it last named the limit.
    pub named_at: Instant,
}

/// The weight of the newest report in the mean number of other VMs' requests.
const OTHERS_WEIGHT: f64 = 0.1;

/// How long a cold endpoint is left out after this VM had no valid permit for it, or
/// had sent enough to it. The coordinators grant one in some tens of ms.
const COLD_PAUSE: Duration = Duration::from_millis(50);
/// The backoff after the first failure. It doubles with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
/// The backoff after a rejection, when the endpoint is full or loads weights. A
/// slot becomes free within some tens of ms, and a load takes 0.9 s.
const BACKOFF_REJECTED: Duration = Duration::from_millis(150);
/// The longest backoff. A crashed endpoint restarts within seconds.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

impl Endpoint {
    fn new(id: &str, record: Record) -> Self {
        Self {
            id: id.to_string(),
            record,
            in_flight: 0,
            load: None,
            report: None,
            reports_factor: false,
            rate_limit: None,
            responded_at: None,
            denied_until: None,
            latencies: Estimates::default(),
            request_times: RequestTimes::default(),
            backoff_until: None,
            failures: 0,
            missing_until: None,
            is_evacuated: false,
            leaving_since: None,
            cold: cold::Endpoint::default(),
            cold_terms: cold::Terms::default(),
        }
    }

    /// Returns whether this VM takes the endpoint for cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_cold(self.cold_terms, time_of(now))
    }

    /// Returns whether each request to the endpoint needs a permit at `now`.
    pub fn needs_permit(&self, now: Instant) -> bool {
        self.rate_limit.is_some() || self.is_cold(now)
    }

    /// Records for how much longer the endpoint states that it is cold.
    fn record_stated_cold(&mut self, left: Duration, now: Instant) {
        let was_cold = self.is_cold(now);
        self.cold.record_stated(left, time_of(now));
        self.log_cold(was_cold, "stated", now);
    }

    /// Records an event after which the endpoint is cold for a time.
    fn record_start(&mut self, cause: &str, now: Instant) {
        let was_cold = self.is_cold(now);
        self.cold.record_start(time_of(now));
        self.log_cold(was_cold, cause, now);
    }

    fn log_cold(&self, was_cold: bool, cause: &str, now: Instant) {
        if !was_cold && self.is_cold(now) {
            let (id, per_s) = (self.id.as_str(), self.cold_terms.per_s);
            let stated_ms = self.record.cold_left.as_millis() as u64;
            spdlog::info!("endpoint is cold", kv: { endpoint = id, cause, per_s, stated_ms });
        }
    }

    /// Returns whether nothing may be sent to the endpoint, since its failure domain
    /// is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Returns whether the endpoint stops soon, by its record or by its responses.
    pub fn is_stopping(&self) -> bool {
        self.record.is_draining || self.leaving_since.is_some()
    }

    /// Returns whether the endpoint may get new work: it neither stops soon nor is
    /// evacuated.
    pub fn is_open(&self) -> bool {
        !self.is_stopping() && !self.is_evacuated
    }

    /// Returns whether only its responses state that the endpoint stops, and since
    /// when they do.
    fn last_resort_since(&self) -> Option<Instant> {
        let since = self.leaving_since?;
        (!self.record.is_draining && !self.is_evacuated).then_some(since)
    }

    /// Returns the version of `model` that the endpoint serves.
    pub fn version(&self, model: &str) -> Option<u64> {
        let mut versions = self.record.versions.iter();
        versions.find(|(name, _)| name == model).map(|(_, v)| *v)
    }

    /// Returns its last report with its age at `now`.
    pub fn report_at(&self, now: Instant) -> Option<estimate::Report> {
        let report = self.report?;
        Some(estimate::Report {
            requests: report.requests,
            own: report.own,
            usual_others: report.usual_others,
            factor: report.factor,
            age: now.saturating_duration_since(report.at),
        })
    }

    /// Returns the requests that are expected there at `now` in relation to its
    /// slots.
    fn occupancy(&self, now: Instant) -> f64 {
        let known = estimate::Endpoint {
            kind: estimate::Kind::Service { request_s: 0.0 },
            slots: self.record.slots,
            in_flight: self.in_flight,
            report: self.report_at(now),
            usual_factor: 1.0,
            is_far: false,
        };
        estimate::requests(&known) / f64::from(self.record.slots.max(1))
    }

    fn set_rate_limit(&mut self, per_s: f64, now: Instant) {
        if self.rate_limit.is_none_or(|limit| limit.per_s != per_s) {
            let id = self.id.as_str();
            spdlog::info!("endpoint names a rate limit", kv: { endpoint = id, per_s });
        }
        let named_at = now;
        self.rate_limit = Some(RateLimit { per_s, named_at });
    }

    fn end_rate_limit(&mut self) {
        if self.rate_limit.take().is_some() {
            self.denied_until = None;
            let id = self.id.as_str();
            spdlog::info!("rate limit of an endpoint ended", kv: { endpoint = id });
        }
    }

    /// Returns whether the endpoint gets no requests of this VM at `now`, since
    /// no permit was granted.
    pub fn is_denied(&self, now: Instant) -> bool {
        self.denied_until.is_some_and(|until| until > now)
    }

    /// Returns whether the endpoint is backing off at `now`.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }
}

/// What a VM knows of the evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Evacuations {
    /// The platform evacuates none.
    #[default]
    Unused,
    /// They have not been listed yet, so any failure domain may be evacuated.
    Unknown,
    /// Exactly these failure domains are evacuated, as far as this VM knows.
    Known(Set<String>),
}

impl Evacuations {
    fn has(&self, domain: &str) -> bool {
        match self {
            Self::Unused => false,
            Self::Unknown => true,
            Self::Known(domains) => domains.contains(domain),
        }
    }
}

/// One start of an endpoint that stated in a response that it leaves.
#[derive(Clone, Debug)]
struct Departure {
    /// Its record when it stated this.
    record: Record,
    /// When it first stated this.
    since: Instant,
}

/// Returns whether two records of an id are those of the same start of an endpoint.
fn is_same_start(a: &Record, b: &Record) -> bool {
    a.started_ms == b.started_ms && a.address == b.address && a.software == b.software
}

/// How long a departure is remembered after the endpoint announced it. Endpoints
/// serve for seconds after that, and a mirror of the store may still list them.
const DEPARTURE_AGE_MAX: Duration = Duration::from_secs(600);

/// The facts that a VM knows.
#[derive(Default)]
pub struct Facts {
    /// The configuration in force, once there is one.
    pub config: Option<Rc<Config>>,
    /// The client account of each API key.
    pub accounts: Map<String, String>,
    /// The endpoints.
    pub endpoints: SlotMap<Key, Endpoint>,
    /// When the endpoints were first listed, also if there were none.
    pub endpoints_known_since: Option<Instant>,
    /// When the last endpoint of a service and a version of its software was
    /// removed or replaced.
    departures: Map<(String, String), Instant>,
    /// The key of each endpoint by its id.
    by_id: Map<String, Key>,
    /// The newest version that a trainer named for each model.
    pub versions: Map<String, u64>,
    evacuations: Evacuations,
    /// The logarithm of how many times longer an event takes at a full endpoint, by
    /// model.
    crowding: Map<String, f64>,
    /// The events of a run for each expected token, by model.
    event_rates: Map<String, f64>,
    /// The parts of prompts that this VM has sent to each endpoint.
    kept: SecondaryMap<Key, Kept>,
    /// How far requests to cold endpoints may exceed the rate of their service.
    pub cold_bounds: cold::Bounds,
    /// The endpoints that stated in a response that they leave, by id, also after
    /// their records were removed.
    leaving: Map<String, Departure>,
    /// How long such an endpoint may still get requests for which there is no other.
    pub leaving_grace: Duration,
}

/// The occupancy from which the time for an event shows what a full batch costs.
const FULL_OCCUPANCY: f64 = 0.8;
/// The occupancy below which requests do not slow each other down.
const LIGHT_OCCUPANCY: f64 = 0.5;
/// The ratio between the times for an event in a full batch and in a nearly empty
/// one until it is measured. Most engines take little longer.
const CROWDING_DEFAULT: f64 = 1.25;
/// The weight of the newest measurement of this ratio. Single ones depend on the
/// requests of other VMs, which are known from reports only.
const CROWDING_WEIGHT: f64 = 0.05;
/// The weight of the newest run in the events for each expected token. Estimates
/// of tokens are often far off for one run.
const EVENT_RATE_WEIGHT: f64 = 0.05;

impl Facts {
    /// Returns what `service` states about cold endpoints.
    fn cold_terms(&self, service: &str) -> cold::Terms {
        let services = self.config.iter().flat_map(|config| &config.services);
        let mut named = services.filter(|known| known.name == service);
        named
            .next()
            .map_or(cold::Terms::default(), |service| cold::Terms {
                cold_time: service.cold_time(),
                per_s: service.cold_per_s(),
            })
    }

    /// Returns the number of endpoints that this VM takes for cold.
    pub fn count_cold(&self, now: Instant) -> usize {
        let endpoints = self.endpoints.values();
        endpoints.filter(|endpoint| endpoint.is_cold(now)).count()
    }

    /// Returns what decides how many permits there are for the endpoint `key`, or
    /// `None` if it needs none.
    pub fn permit_terms(&self, key: Key, now: Instant) -> Option<PermitTerms> {
        let endpoint = self.endpoints.get(key)?;
        endpoint.needs_permit(now).then(|| PermitTerms {
            endpoint: endpoint.id.clone(),
            limit: endpoint.rate_limit,
            cold_per_s: endpoint.is_cold(now).then_some(endpoint.cold_terms.per_s),
        })
    }

    /// Returns the requests per second that the endpoint `id` bears, if this VM
    /// takes it for cold.
    pub fn cold_per_s(&self, id: &str, now: Instant) -> Option<f64> {
        self.permit_terms(self.key(id)?, now)?.cold_per_s
    }

    /// Records that a permit to send one request to the endpoint `key` was granted.
    pub fn record_permit(&mut self, key: Key, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.cold.grant(time_of(now));
        }
    }

    /// Records that a request is sent now to `endpoint`, whose key is `key`.
    ///
    /// # Errors
    ///
    /// The reason if it must not be sent.
    pub fn record_sent(
        &mut self,
        key: Key,
        endpoint: &Endpoint,
        now: Instant,
    ) -> Result<(), Withheld> {
        if self.is_evacuated(key, endpoint) {
            return Err(Withheld::Evacuated);
        }
        if self.has_left(endpoint, now) {
            return Err(Withheld::Leaving);
        }
        let bounds = self.cold_bounds;
        let Some(known) = self.endpoints.get_mut(key) else {
            return Ok(());
        };
        let sent = known.cold.send(known.cold_terms, bounds, time_of(now));
        sent.map_err(|refusal| {
            known.denied_until = Some(now + COLD_PAUSE);
            match refusal {
                Refusal::NoPermit => Withheld::NoPermit,
                Refusal::OwnBound => Withheld::OwnBound,
            }
        })
    }

    /// Records that `endpoint`, whose key is `key`, stated in a response that it leaves.
    /// It gets no new work from then on, whatever its record states, until it starts
    /// again. Returns whether this was not known before.
    pub fn record_leaving(&mut self, key: Key, endpoint: &Endpoint, now: Instant) -> bool {
        // The response may be that of an earlier start.
        let known = self.leaving.get(&endpoint.id);
        if known.is_some_and(|known| known.record.started_ms >= endpoint.record.started_ms) {
            return false;
        }
        self.leaving
            .retain(|_, known| now.saturating_duration_since(known.since) < DEPARTURE_AGE_MAX);
        let departure = Departure {
            record: endpoint.record.clone(),
            since: now,
        };
        self.leaving.insert(endpoint.id.clone(), departure);
        // A key is never that of another start.
        if let Some(known) = self.endpoints.get_mut(key) {
            known.leaving_since = Some(now);
        }
        true
    }

    fn departure_of(&self, endpoint: &Endpoint) -> Option<&Departure> {
        let departure = self.leaving.get(&endpoint.id)?;
        is_same_start(&departure.record, &endpoint.record).then_some(departure)
    }

    /// Returns whether `endpoint` must get nothing more, since it has stated for
    /// [`leaving_grace`](Self::leaving_grace) that it leaves. It may have been removed.
    fn has_left(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let departure = self.departure_of(endpoint);
        departure.is_some_and(|departure| now >= departure.since + self.leaving_grace)
    }

    /// Returns whether a request for which there is no other endpoint may be sent to
    /// `endpoint`, although that has stated that it leaves.
    pub fn is_last_resort(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let since = endpoint.last_resort_since();
        since.is_some_and(|since| now < since + self.leaving_grace)
    }

    /// Makes all failure domains count as evacuated until
    /// [`set_evacuated`](Self::set_evacuated) is called for the first time.
    pub fn await_evacuations(&mut self) {
        if self.evacuations == Evacuations::Unused {
            self.replace_evacuations(Evacuations::Unknown);
        }
    }

    /// Returns whether this VM knows which failure domains are evacuated, or the
    /// platform evacuates none.
    pub fn are_evacuations_known(&self) -> bool {
        self.evacuations != Evacuations::Unknown
    }

    /// Replaces the set of evacuated failure domains.
    pub fn set_evacuated(&mut self, domains: Set<String>) {
        self.replace_evacuations(Evacuations::Known(domains));
    }

    /// Returns the evacuated failure domains that this VM knows.
    pub fn evacuated(&self) -> Set<String> {
        match &self.evacuations {
            Evacuations::Known(domains) => domains.clone(),
            Evacuations::Unused | Evacuations::Unknown => Set::default(),
        }
    }

    fn replace_evacuations(&mut self, evacuations: Evacuations) {
        let were_known = matches!(self.evacuations, Evacuations::Known(_));
        self.evacuations = evacuations;
        let now = Instant::now();
        for endpoint in self.endpoints.values_mut() {
            let was_evacuated = endpoint.is_evacuated;
            endpoint.is_evacuated = self.evacuations.has(&endpoint.record.failure_domain);
            if were_known && was_evacuated && !endpoint.is_evacuated {
                endpoint.record_start("evacuation ended", now);
            }
        }
    }

    /// Returns whether nothing may be sent to `endpoint`, whose key is `key`. The
    /// endpoint may have been removed, or have another failure domain by now.
    pub fn is_evacuated(&self, key: Key, endpoint: &Endpoint) -> bool {
        let current = self.endpoints.get(key).unwrap_or(endpoint);
        self.evacuations.has(&current.record.failure_domain)
    }

    /// Returns whether `service` has endpoints, and all that do not stop soon are
    /// evacuated.
    pub fn is_service_evacuated(&self, service: &str) -> bool {
        let endpoints = self.endpoints.values();
        let mut active = endpoints.filter(|e| e.record.service == service && !e.is_stopping());
        let mut has_any = false;
        active.all(|endpoint| {
            has_any = true;
            endpoint.is_evacuated
        }) && has_any
    }

    /// Records that an attempt was not sent to the endpoint `key`, since this VM or a
    /// gateway withheld it. A gateway may know of an evacuation before this VM does, so
    /// the other endpoints there back off too.
    pub fn record_withheld(&mut self, key: Key, now: Instant) {
        let Some(known) = self.endpoints.get(key) else {
            return;
        };
        // It is cold or leaves, and is left out by itself.
        if known.is_denied(now) || known.leaving_since.is_some() {
            return;
        }
        let domain = known.record.failure_domain.clone();
        for endpoint in self.endpoints.values_mut() {
            if endpoint.record.failure_domain == domain {
                endpoint.backoff_until = Some(now + BACKOFF_REJECTED);
            }
        }
    }

    /// Puts a configuration in force, unless this version or a newer one is in
    /// force already. Returns whether it was put in force.
    pub fn set_config(&mut self, config: Config) -> bool {
        let current = self.config.as_ref().map_or(0, |config| config.version);
        if self.config.is_some() && config.version <= current {
            return false;
        }
        self.accounts = config.keys();
        self.config = Some(Rc::new(config));
        let services = self.endpoints.values().map(|e| e.record.service.clone());
        let terms: Vec<_> = services.map(|service| self.cold_terms(&service)).collect();
        for (endpoint, terms) in self.endpoints.values_mut().zip(terms) {
            endpoint.cold_terms = terms;
        }
        true
    }

    /// Adds or replaces the record of the endpoint `id`. Returns whether the
    /// endpoint is new or was restarted.
    pub fn put_endpoint(&mut self, id: &str, record: Record) -> bool {
        let now = Instant::now();
        let cold_terms = self.cold_terms(&record.service);
        if let Some(key) = self.by_id.get(id)
            && let Some(known) = self.endpoints.get_mut(*key)
        {
            known.missing_until = None;
            if is_same_start(&known.record, &record) {
                known.is_evacuated = self.evacuations.has(&record.failure_domain);
                if known.record.versions != record.versions {
                    // Loading weights discards what the endpoint held.
                    self.kept.remove(*key);
                }
                known.cold_terms = cold_terms;
                known.record = record;
                known.record_stated_cold(known.record.cold_left, now);
                return false;
            }
            let key = *key;
            self.remove_key(key);
        }
        let mut endpoint = Endpoint::new(id, record);
        endpoint.is_evacuated = self.evacuations.has(&endpoint.record.failure_domain);
        // An older list of a mirror may name it again.
        endpoint.leaving_since = self.departure_of(&endpoint).map(|known| known.since);
        endpoint.cold_terms = cold_terms;
        endpoint.record_stated_cold(endpoint.record.cold_left, now);
        // An endpoint of the first list may have run for long. Its record states
        // whether it is cold.
        if self.endpoints_known_since.is_some() {
            endpoint.record_start("started", now);
        }
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(id.to_string(), key);
        true
    }

    /// Removes the endpoint `id` and returns it.
    pub fn remove_endpoint(&mut self, id: &str) -> Option<Endpoint> {
        let key = self.by_id.remove(id)?;
        self.remove_key(key)
    }

    fn remove_key(&mut self, key: Key) -> Option<Endpoint> {
        self.kept.remove(key);
        let removed = self.endpoints.remove(key)?;
        let record = &removed.record;
        let version = (record.service.clone(), record.software.clone());
        self.departures.insert(version, Instant::now());
        Some(removed)
    }

    /// Returns the version of the software that all endpoints of `service` had
    /// during the last `history`, or `None` if there were several, or this VM has
    /// not known the endpoints for so long.
    pub fn only_software(&self, service: &str, history: Duration, now: Instant) -> Option<String> {
        let since = self.endpoints_known_since?;
        if now.saturating_duration_since(since) < history {
            return None;
        }
        let records = self.endpoints.values().map(|endpoint| &endpoint.record);
        let present = records
            .filter(|record| record.service == service)
            .map(|record| &record.software);
        let departed = self.departures.iter().filter(|((departed, _), at)| {
            departed == service && now.saturating_duration_since(**at) < history
        });
        let mut versions = present.chain(departed.map(|((_, software), _)| software));
        let first = versions.next()?;
        versions
            .all(|software| software == first)
            .then(|| first.clone())
    }

    /// Marks the record of the endpoint `id` as missing. The endpoint is kept
    /// until `until`.
    pub fn mark_missing(&mut self, id: &str, until: Instant) {
        if let Some(key) = self.by_id.get(id)
            && let Some(known) = self.endpoints.get_mut(*key)
        {
            known.missing_until.get_or_insert(until);
        }
    }

    /// Returns the key of the endpoint `id`.
    pub fn key(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Ends the backoffs of all endpoints, after failures that were not theirs.
    pub fn end_backoffs(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.failures = 0;
            endpoint.backoff_until = None;
        }
    }

    /// Returns the service of the endpoint `id`, or `None` if the endpoint stops soon
    /// or is not known.
    pub fn service_unless_stopping(&self, id: &str) -> Option<String> {
        let known = self.endpoints.get(*self.by_id.get(id)?)?;
        (!known.is_stopping()).then(|| known.record.service.clone())
    }

    /// Returns the number of endpoints of `service` that do not stop soon.
    pub fn count_active(&self, service: &str) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.record.service == service && !endpoint.is_stopping())
            .count()
    }

    /// Returns the ids of all endpoints.
    pub fn endpoint_ids(&self) -> Vec<String> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the ids of the endpoints whose records have been missing for
    /// too long.
    pub fn overdue_endpoints(&self, now: Instant) -> Vec<String> {
        let is_overdue = |e: &&Endpoint| e.missing_until.is_some_and(|until| until <= now);
        let overdue = self.endpoints.values().filter(is_overdue);
        overdue.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Records that the endpoint `key` answered, which ends its backoff.
    pub fn record_success(&mut self, key: Key) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.failures = 0;
            endpoint.backoff_until = None;
        }
    }

    /// Records what the endpoint `key` stated about itself in the headers of a
    /// response, whether or not it ran the request.
    pub fn record_headers(&mut self, key: Key, headers: &HeaderMap, now: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        if let Some(load) = header::parse_load(headers) {
            let requests = load.running.saturating_add(load.waiting);
            endpoint.load = Some((requests, now));
            let others = f64::from(requests.saturating_sub(endpoint.in_flight));
            let usual = endpoint.report.map_or(others, |known| known.usual_others);
            endpoint.reports_factor |= load.factor.is_some();
            endpoint.report = Some(Report {
                requests,
                waiting: load.waiting,
                own: endpoint.in_flight,
                usual_others: usual + OTHERS_WEIGHT * (others - usual),
                factor: load.factor,
                at: now,
            });
        }
        endpoint.responded_at = Some(now);
        if let Some(left) = header::parse_cold(headers) {
            endpoint.record_stated_cold(left, now);
        }
        match header::parse_rate_limit(headers) {
            Ok(Some(per_s)) => endpoint.set_rate_limit(per_s, now),
            Ok(None) => endpoint.end_rate_limit(),
            Err(value) => {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                let id = endpoint.id.as_str();
                spdlog::warn!("rate limit of an endpoint cannot be decoded", kv: { endpoint = id, value });
            }
        }
    }

    /// Records that the endpoint `key` names no rate limit any more.
    pub fn end_rate_limit(&mut self, key: Key) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.end_rate_limit();
        }
    }

    /// Records that the endpoint `key` gets no requests of this VM before
    /// `until`, since no permit was granted.
    pub fn record_denial(&mut self, key: Key, until: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.denied_until = Some(until);
        }
    }

    /// Returns whether each request to the endpoint `key` needs a permit.
    pub fn needs_permit(&self, key: Key, now: Instant) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.is_some_and(|endpoint| endpoint.needs_permit(now))
    }

    /// Returns the requests per second in the last response of the endpoint
    /// `id`, if it named a limit, and when the response arrived. Returns `None`
    /// if this VM has received none.
    pub fn newest_rate_limit(&self, id: &str) -> Option<(Option<f64>, Instant)> {
        let endpoint = self.endpoints.get(*self.by_id.get(id)?)?;
        let per_s = endpoint.rate_limit.map(|limit| limit.per_s);
        Some((per_s, endpoint.responded_at?))
    }

    /// Returns when the first permit is expected for an endpoint of `service`
    /// for which none was granted.
    pub fn next_permit(&self, service: &str, now: Instant) -> Option<Instant> {
        let endpoints = self.endpoints.values();
        let open = endpoints.filter(|e| e.record.service == service && e.is_open());
        let denied = open.filter(|endpoint| endpoint.is_denied(now));
        denied.filter_map(|endpoint| endpoint.denied_until).min()
    }

    /// Records that the endpoint `key` took `event_time` for an event of
    /// `model`.
    pub fn observe_latency(&mut self, key: Key, model: &str, event_time: Duration, now: Instant) {
        let crowding = self.crowding(model);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let usual = endpoint
            .latencies
            .get(model)
            .map_or(1.0, |e| e.usual_factor());
        let report = endpoint.report_at(now);
        let factor = usual * estimate::relative_factor(report.as_ref(), usual);
        let occupancy = endpoint.occupancy(now);
        let conditions = Conditions {
            factor,
            slowdown: estimate::slowdown(occupancy, crowding),
            is_light: occupancy <= LIGHT_OCCUPANCY,
        };
        let latencies = &mut endpoint.latencies;
        let measured = latencies
            .get(model)
            .and_then(|known| known.crowding(event_time, factor))
            .filter(|_| occupancy >= FULL_OCCUPANCY);
        latencies.observe_under(model, event_time, conditions, now);
        if let Some(measured) = measured {
            let (_, most) = estimate::CROWDING_RANGE;
            // The logarithm is averaged, since the mean of the ratio of two times
            // that vary alike is above 1.
            let newest = measured.clamp(1.0 / most, most).ln();
            let average = self
                .crowding
                .entry(model.to_string())
                .or_insert(CROWDING_DEFAULT.ln());
            *average += CROWDING_WEIGHT * (newest - *average);
        }
    }

    /// Records that the endpoint `key` of a plain service took `time` for a
    /// request. Times with a queue say nothing about its speed.
    pub fn observe_request(&mut self, key: Key, time: Duration, now: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let is_engine = !endpoint.record.versions.is_empty();
        let Some(report) = endpoint.report_at(now).filter(|_| !is_engine) else {
            return;
        };
        if endpoint.report.is_some_and(|report| report.waiting > 0) {
            return;
        }
        let factor = estimate::relative_factor(Some(&report), 1.0);
        endpoint.request_times.observe(time, factor, now);
    }

    /// Returns the mean seconds of a request at the endpoints of the plain service
    /// `service`, or `None` if there was none.
    pub fn mean_request_s(&self, service: &str) -> Option<f64> {
        let endpoints = self.endpoints.values();
        let times = endpoints.filter(|endpoint| endpoint.record.service == service);
        let times = times.map(|endpoint| endpoint.request_times);
        let (sum, count) = times
            .filter(|times| times.count() > 0)
            .fold((0.0, 0_u32), |(sum, count), times| {
                (sum + times.mean_s(), count + 1)
            });
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Returns how many times longer an event of `model` takes in a full batch
    /// than in a nearly empty one.
    pub fn crowding(&self, model: &str) -> f64 {
        let known = self.crowding.get(model).map(|logarithm| logarithm.exp());
        known.unwrap_or(CROWDING_DEFAULT).max(1.0)
    }

    /// Records that a run of `model` had `events` events, where `tokens` tokens
    /// were expected.
    pub fn record_length(&mut self, model: &str, tokens: u64, events: u64) {
        let newest = events as f64 / tokens.max(1) as f64;
        let rate = self.event_rates.entry(model.to_string()).or_insert(newest);
        *rate += EVENT_RATE_WEIGHT * (newest - *rate);
    }

    /// Returns the events that a run of `model` is expected to have for `tokens`
    /// expected tokens, or `None` if no run has ended yet.
    pub fn expected_events(&self, model: &str, tokens: u64) -> Option<f64> {
        let rate = self.event_rates.get(model)?;
        Some(rate * tokens as f64)
    }

    /// Returns whether an endpoint of `service` has reported how long work takes
    /// on its machine.
    pub fn has_factors(&self, service: &str) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|e| e.reports_factor && e.record.service == service)
    }

    /// Records that a prompt with these parts was sent to the endpoint `key`.
    pub fn record_prompt(&mut self, key: Key, parts: &[Part]) {
        let Some(endpoint) = self.endpoints.get(key).filter(|_| !parts.is_empty()) else {
            return;
        };
        let services = self.config.iter().flat_map(|config| &config.services);
        let mut engines = services
            .filter(|service| service.name == endpoint.record.service)
            .filter_map(|service| service.engine.as_ref());
        let Some(engine) = engines.next() else {
            return;
        };
        if let Some(kept) = self.kept.entry(key) {
            let kept = kept.or_default();
            kept.record(parts, engine.kv_capacity_tokens);
        }
    }

    /// Returns the tokens of the prompt with these parts that the endpoint `key`
    /// need not read, as far as this VM knows.
    pub fn held_tokens(&self, key: Key, parts: &[Part]) -> u64 {
        self.kept.get(key).map_or(0, |kept| kept.held(parts))
    }

    /// Returns the ids of the endpoints that are slower than the fastest one at
    /// one of their models.
    pub fn slow_endpoints(&self, now: Instant) -> Vec<String> {
        let is_slow = |endpoint: &&Endpoint| {
            let service = endpoint.record.service.as_str();
            endpoint.record.versions.iter().any(|(model, _)| {
                let best = self.best_latency(service, model);
                latency::slowness(endpoint.latencies.get(model), best, now) > 0
            })
        };
        let slow = self.endpoints.values().filter(is_slow);
        slow.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Returns the seconds that the fastest endpoint of `service` takes for an
    /// event of `model`.
    pub fn best_latency(&self, service: &str, model: &str) -> Option<f64> {
        let endpoints = self.endpoints.values();
        let endpoints = endpoints
            .filter(|endpoint| endpoint.record.service == service && !endpoint.is_evacuated);
        let latencies = endpoints.filter_map(|endpoint| endpoint.latencies.get(model));
        latencies
            .map(|estimate| estimate.seconds())
            .min_by(f64::total_cmp)
    }

    /// Records that the endpoint `key` rejected a request, and returns its
    /// backoff.
    pub fn record_rejection(&mut self, key: Key, now: Instant) -> Duration {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.backoff_until = Some(now + BACKOFF_REJECTED);
        }
        BACKOFF_REJECTED
    }

    /// Records that a request to the endpoint `key` failed, and returns the
    /// backoff of the endpoint.
    pub fn record_failure(&mut self, key: Key, now: Instant) -> Duration {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return Duration::ZERO;
        };
        let backoff = BACKOFF_MAX.min(BACKOFF_MIN * 2_u32.saturating_pow(endpoint.failures));
        endpoint.failures += 1;
        endpoint.backoff_until = Some(now + backoff);
        backoff
    }
}
