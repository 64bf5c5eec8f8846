//! What a VM knows of the configuration, the endpoints and the versions of
//! the weights, and how it fares with each endpoint.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use platform::{config::Config, endpoint::Record};
use slotmap::SlotMap;

use crate::pace::{self, Paces};

slotmap::new_key_type! {
    /// An endpoint that this VM knows.
    pub struct Key;
}

/// An endpoint: its record, and what this VM saw of it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The id under which it announced itself.
    pub id: String,
    /// What it announced.
    pub record: Record,
    /// Requests that this VM has there now.
    pub in_flight: u32,
    /// Running and waiting requests of all callers, as it told last.
    pub load: Option<(u32, Instant)>,
    /// How fast it makes events.
    pub paces: Paces,
    /// Until when it is not asked, after it failed.
    pub resting_until: Option<Instant>,
    /// How many times it failed in a row.
    pub failures: u32,
    /// Until when its absence from the store is not taken as its end.
    pub missing_until: Option<Instant>,
}

/// The first rest of an endpoint that failed; it doubles with each failure.
const REST: Duration = Duration::from_millis(250);
/// The rest of an endpoint that is full or loads weights: a place is free
/// again within some tens of ms, a load takes 0.9 s.
const REST_FULL: Duration = Duration::from_millis(150);
/// The longest rest: a crashed endpoint is back within seconds.
const REST_MAX: Duration = Duration::from_secs(2);

impl Endpoint {
    fn new(id: &str, record: Record) -> Self {
        Self {
            id: id.to_string(),
            record,
            in_flight: 0,
            load: None,
            paces: Paces::default(),
            resting_until: None,
            failures: 0,
            missing_until: None,
        }
    }

    /// Returns the version of `model` that it serves.
    pub fn version(&self, model: &str) -> Option<u64> {
        let mut versions = self.record.versions.iter();
        versions.find(|(name, _)| name == model).map(|(_, v)| *v)
    }

    /// Returns whether it rests after failures.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.resting_until.is_some_and(|until| until > now)
    }
}

/// What a VM knows.
#[derive(Default)]
pub struct Facts {
    /// The configuration in force, once there is one.
    pub config: Option<Rc<Config>>,
    /// The account of each key.
    pub keys: Map<String, String>,
    /// The endpoints.
    pub endpoints: SlotMap<Key, Endpoint>,
    /// The key of each endpoint by its id.
    by_id: Map<String, Key>,
    /// The version that was named last for each model.
    pub versions: Map<String, u64>,
}

impl Facts {
    /// Takes a configuration, unless a newer one is in force.
    pub fn set_config(&mut self, config: Config) -> bool {
        let current = self.config.as_ref().map_or(0, |config| config.version);
        if self.config.is_some() && config.version <= current {
            return false;
        }
        self.keys = config.keys();
        self.config = Some(Rc::new(config));
        true
    }

    /// Takes the record of the endpoint `id`. Returns whether it is another
    /// start of an endpoint than the one known under this id.
    pub fn put_endpoint(&mut self, id: &str, record: Record) -> bool {
        if let Some(key) = self.by_id.get(id)
            && let Some(known) = self.endpoints.get_mut(*key)
        {
            known.missing_until = None;
            let is_same = known.record.started_ms == record.started_ms
                && known.record.address == record.address;
            if is_same {
                known.record = record;
                return false;
            }
            let key = *key;
            self.endpoints.remove(key);
        }
        let key = self.endpoints.insert(Endpoint::new(id, record));
        self.by_id.insert(id.to_string(), key);
        true
    }

    /// Forgets the endpoint `id` and returns it.
    pub fn remove_endpoint(&mut self, id: &str) -> Option<Endpoint> {
        let key = self.by_id.remove(id)?;
        self.endpoints.remove(key)
    }

    /// Keeps the endpoint `id` until `until`, although its record is gone.
    pub fn miss_endpoint(&mut self, id: &str, until: Instant) {
        if let Some(key) = self.by_id.get(id)
            && let Some(known) = self.endpoints.get_mut(*key)
        {
            known.missing_until.get_or_insert(until);
        }
    }

    /// Returns the service of the endpoint `id` if it did not say that it
    /// leaves.
    pub fn silent_service(&self, id: &str) -> Option<String> {
        let known = self.endpoints.get(*self.by_id.get(id)?)?;
        (!known.record.is_draining).then(|| known.record.service.clone())
    }

    /// Returns how many endpoints of `service` are known that do not leave.
    pub fn count(&self, service: &str) -> usize {
        let records = self.endpoints.values().map(|endpoint| &endpoint.record);
        records
            .filter(|record| record.service == service && !record.is_draining)
            .count()
    }

    /// Returns the ids of all endpoints.
    pub fn endpoint_ids(&self) -> Vec<String> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the ids of the endpoints whose records did not come back.
    pub fn overdue(&self, now: Instant) -> Vec<String> {
        let is_overdue = |e: &&Endpoint| e.missing_until.is_some_and(|until| until <= now);
        let overdue = self.endpoints.values().filter(is_overdue);
        overdue.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Notes that the endpoint `key` answered.
    pub fn answered(&mut self, key: Key, load: Option<(u32, u32, u32)>, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.failures = 0;
            endpoint.resting_until = None;
            if let Some((running, waiting, _)) = load {
                endpoint.load = Some((running + waiting, now));
            }
        }
    }

    /// Notes that the endpoint `key` took this long for an event of `model`.
    pub fn note_pace(&mut self, key: Key, model: &str, event: Duration, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.paces.note(model, event, now);
        }
    }

    /// Returns the ids of the endpoints that are slower than others at a model.
    pub fn slow(&self, now: Instant) -> Vec<String> {
        let is_slow = |endpoint: &&Endpoint| {
            let service = endpoint.record.service.as_str();
            endpoint.record.versions.iter().any(|(model, _)| {
                let best = self.best_pace(service, model);
                pace::slowness(endpoint.paces.of(model), best, now) > 0
            })
        };
        let slow = self.endpoints.values().filter(is_slow);
        slow.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Returns the seconds that the fastest endpoint of `service` takes for an
    /// event of `model`.
    pub fn best_pace(&self, service: &str, model: &str) -> Option<f64> {
        let of_service = self.endpoints.values();
        let of_service = of_service.filter(|endpoint| endpoint.record.service == service);
        let paces = of_service.filter_map(|endpoint| endpoint.paces.of(model));
        paces.map(|pace| pace.seconds()).min_by(f64::total_cmp)
    }

    /// Notes that the endpoint `key` turned a request away, and returns for
    /// how long it rests.
    pub fn turned_away(&mut self, key: Key, now: Instant) -> Duration {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.resting_until = Some(now + REST_FULL);
        }
        REST_FULL
    }

    /// Notes that the endpoint `key` failed a request, and returns for how
    /// long it rests.
    pub fn failed(&mut self, key: Key, now: Instant) -> Duration {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return Duration::ZERO;
        };
        let rest = REST_MAX.min(REST * 2_u32.saturating_pow(endpoint.failures));
        endpoint.failures += 1;
        endpoint.resting_until = Some(now + rest);
        rest
    }
}
