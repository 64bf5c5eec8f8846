//! The jobs that a VM knows.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::{Map, Set};
use link::clock;
use platform::store::Object;

use super::{
    Handle, Job,
    record::{Claim, Head, Heartbeat, Name, Part},
    text::Text,
};
use crate::notify::Notifier;

/// For how long the text of an item is kept: groups that were not whole come
/// again with one of the next steps.
const TEXT_RETENTION: Duration = Duration::from_secs(40);
/// For how long a sign of life tells which endpoints are slow: three periods.
const HEARTBEAT_AGE_MAX: Duration = Duration::from_secs(3);
/// The weight of the newest item in what a token takes: a job has dozens, and
/// they differ by a factor of ten.
const TOKEN_TIME_WEIGHT: f64 = 0.02;
/// For how long items and samples of a job are kept in memory that is not run
/// here and that nobody asks for: a trainer reads twice a second while its job
/// is open. They are read from the store again when they are wanted.
const CONTENT_IDLE_MAX: Duration = Duration::from_secs(10);

/// The jobs that this VM knows; copies share them.
#[derive(Clone, Default)]
pub struct Registry(Rc<Inner>);

#[derive(Default)]
struct Inner {
    jobs: RefCell<Map<String, Handle>>,
    /// What items have made, by their ids: a job that is taken over goes on
    /// from it, and so does a later job with the same items.
    texts: RefCell<Map<String, (Text, Instant)>>,
    /// The sign of life of each VM that was heard of last.
    heartbeats: RefCell<Map<String, (Heartbeat, Instant)>>,
    /// The milliseconds that endpoints took for a token that was expected, by
    /// model.
    token_times: RefCell<Map<String, f64>>,
}

impl Registry {
    /// Returns the job `id`.
    pub fn get(&self, id: &str) -> Option<Handle> {
        self.0.jobs.borrow().get(id).cloned()
    }

    /// Returns all jobs.
    pub fn all(&self) -> Vec<Handle> {
        self.0.jobs.borrow().values().cloned().collect()
    }

    /// Returns the milliseconds for which endpoints work for the jobs of each
    /// model that were submitted within `age`.
    pub fn demand(&self, age: Duration, now: Instant) -> Map<String, u64> {
        let mut demand: Map<String, u64> = Map::default();
        for job in self.0.jobs.borrow().values() {
            let job = job.borrow();
            let is_recent = now.saturating_duration_since(job.submitted_at) < age;
            if let Some(model) = job.head.model.as_ref().filter(|_| is_recent) {
                *demand.entry(model.clone()).or_default() += job.head.work_ms;
            }
        }
        demand
    }

    /// Takes the head of a job, and returns the job.
    pub fn put_head(&self, id: &str, head: Head) -> Handle {
        let mut jobs = self.0.jobs.borrow_mut();
        if let Some(known) = jobs.get(id) {
            return known.clone();
        }
        let now = Instant::now();
        let age = clock::wall_millis().saturating_sub(head.submitted_ms);
        let submitted_at = clock::ago(Duration::from_millis(age));
        let job = Job {
            id: id.to_string(),
            holder: head.vm.clone(),
            holder_address: head.address,
            head: Rc::new(head),
            submitted_at,
            items: None,
            samples: Vec::new(),
            published: Set::default(),
            pages: 0,
            early_pages: BTreeMap::new(),
            claims: 0,
            is_ended: false,
            was_complete: false,
            held_since: now,
            used_at: now,
            is_running: false,
            is_loaded: false,
            partial_texts: Map::default(),
            changes: Notifier::default(),
        };
        let job = Rc::new(RefCell::new(job));
        jobs.insert(id.to_string(), job.clone());
        job
    }

    /// Returns what the item `id` has made, wherever that was.
    pub fn text(&self, id: &str) -> Option<Text> {
        let texts = self.0.texts.borrow();
        texts.get(id).map(|(text, _)| text.clone())
    }

    /// Keeps what the item `id` has made, unless more of it is known.
    pub fn put_text(&self, id: &str, text: Text) {
        let mut texts = self.0.texts.borrow_mut();
        let is_longer = texts
            .get(id)
            .is_none_or(|(known, _)| known.last_event() < text.last_event());
        if is_longer || text.is_complete() {
            texts.insert(id.to_string(), (text, Instant::now()));
        }
    }

    /// Forgets texts that no job can ask for any more, and what jobs hold that
    /// nobody asks for.
    pub fn evict_unused(&self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < TEXT_RETENTION;
        self.0
            .texts
            .borrow_mut()
            .retain(|_, (_, at)| is_recent(*at));
        for job in self.0.jobs.borrow().values() {
            let mut job = job.borrow_mut();
            let is_unused = now.saturating_duration_since(job.used_at) >= CONTENT_IDLE_MAX;
            if is_unused && !job.is_running {
                job.evict_content();
            }
        }
    }

    /// Takes the claim with `number`; an empty name gives the job up.
    pub fn put_claim(&self, id: &str, number: u32, claim: Claim) {
        let Some(job) = self.get(id) else {
            return;
        };
        let mut job = job.borrow_mut();
        if number < job.claims {
            return;
        }
        job.claims = number.saturating_add(1);
        job.holder = claim.vm;
        job.holder_address = claim.address;
        job.held_since = Instant::now();
        job.changes.notify();
    }

    /// Notes that the job was ended.
    pub fn put_end(&self, id: &str) {
        if let Some(job) = self.get(id) {
            let mut job = job.borrow_mut();
            job.is_ended = true;
            job.changes.notify();
        }
    }

    /// Takes a sign of life of `vm`.
    fn put_heartbeat(&self, vm: &str, heartbeat: Heartbeat) {
        let mut heartbeats = self.0.heartbeats.borrow_mut();
        let is_known = heartbeats
            .get(vm)
            .is_some_and(|(known, _)| known.number == heartbeat.number);
        if !is_known {
            heartbeats.insert(vm.to_string(), (heartbeat, Instant::now()));
        }
    }

    /// Returns the endpoints that VMs which run jobs found slow.
    pub fn slow_endpoints(&self, now: Instant) -> Set<String> {
        let heartbeats = self.0.heartbeats.borrow();
        let recent = heartbeats
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < HEARTBEAT_AGE_MAX);
        recent
            .flat_map(|(heartbeat, _)| heartbeat.slow.iter().cloned())
            .collect()
    }

    /// Takes the time that an endpoint took for an item of `model` of which
    /// `tokens` were expected.
    pub fn record_work(&self, model: &str, tokens: u64, time: Duration) {
        let measured_ms = time.as_secs_f64() * 1000.0 / tokens.max(1) as f64;
        let mut token_times = self.0.token_times.borrow_mut();
        let token_ms = token_times.entry(model.to_string()).or_insert(measured_ms);
        *token_ms += TOKEN_TIME_WEIGHT * (measured_ms - *token_ms);
    }

    /// Returns the milliseconds for which endpoints will work for `tokens` that
    /// are expected of `model`.
    pub fn work_ms(&self, model: Option<&str>, tokens: u64) -> u64 {
        let token_times = self.0.token_times.borrow();
        let own = model.and_then(|model| token_times.get(model)).copied();
        let mean = || token_times.values().sum::<f64>() / token_times.len() as f64;
        // A model that was not seen yet is taken for one like the others.
        let token_ms = own.unwrap_or_else(|| if token_times.is_empty() { 1.0 } else { mean() });
        (tokens as f64 * token_ms) as u64
    }

    /// Returns when a sign of life of `vm` was heard of last.
    pub fn last_heartbeat(&self, vm: &str) -> Option<Instant> {
        self.0.heartbeats.borrow().get(vm).map(|(_, at)| *at)
    }

    /// Forgets all jobs, none of which is run here.
    pub fn clear(&self) {
        self.0.jobs.borrow_mut().clear();
        self.0.texts.borrow_mut().clear();
        self.0.heartbeats.borrow_mut().clear();
    }

    /// Returns whether this process runs a job.
    pub fn is_busy(&self) -> bool {
        let jobs = self.0.jobs.borrow();
        jobs.values().any(|job| job.borrow().is_running)
    }

    /// Forgets a job whose objects were removed.
    pub fn remove(&self, id: &str) {
        self.0.jobs.borrow_mut().remove(id);
    }

    /// Takes an object of the kind that is followed.
    pub fn apply(&self, object: &Object) {
        let is_read = match Name::decode(&object.name) {
            None => return,
            Some(Name::Heartbeat(vm)) => {
                let heartbeat: Option<Heartbeat> = object.read();
                heartbeat.map(|heartbeat| self.put_heartbeat(&vm, heartbeat))
            }
            Some(Name::Job { job, part }) => match part {
                Part::Head => object.read().map(|head| drop(self.put_head(&job, head))),
                Part::Claim(number) => {
                    let claim: Option<Claim> = object.read();
                    claim.map(|claim| self.put_claim(&job, number, claim))
                }
                Part::End => {
                    self.put_end(&job);
                    Some(())
                }
            },
        };
        if is_read.is_none() {
            let name = object.name.as_str();
            spdlog::error!("object of a job cannot be read", kv: { name });
        }
    }
}
