//! The jobs known to a VM, the texts of their items, and measurements of their
//! runs.

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

/// How long the text of an item is kept in memory. Trainers submit the items
/// of incomplete groups again with one of the next steps, which reuses it.
const TEXT_RETENTION: Duration = Duration::from_secs(40);
/// How long the slow endpoints that a heartbeat reports are used: three
/// heartbeat periods.
const HEARTBEAT_AGE_MAX: Duration = Duration::from_secs(3);
/// The EWMA weight of a new item in the time per token. It is small because a
/// job has dozens of items, whose times per token differ by a factor of ten.
const TOKEN_TIME_WEIGHT: f64 = 0.02;
/// How long the items and samples of a job that this process does not run stay
/// in memory without being read. A trainer reads twice a second while its job
/// is open; later reads load them from the store again.
const CONTENT_IDLE_MAX: Duration = Duration::from_secs(10);

/// The jobs known to this VM. Clones share the same state.
#[derive(Clone, Default)]
pub struct Registry(Rc<Inner>);

#[derive(Default)]
struct Inner {
    jobs: RefCell<Map<String, Handle>>,
    /// The texts of items by item id, each with the time when it was stored.
    /// A job that is taken over resumes from them, and so does a later job
    /// with the same items.
    texts: RefCell<Map<String, (Text, Instant)>>,
    /// The last heartbeat of each VM, with the time when it was received.
    heartbeats: RefCell<Map<String, (Heartbeat, Instant)>>,
    /// The moving average of the milliseconds that endpoints spend per expected
    /// token, by model.
    token_times: RefCell<Map<String, f64>>,
}

impl Registry {
    /// Returns the job `id`, if this VM knows it.
    pub fn get(&self, id: &str) -> Option<Handle> {
        self.0.jobs.borrow().get(id).cloned()
    }

    /// Returns all jobs known to this VM.
    pub fn all(&self) -> Vec<Handle> {
        self.0.jobs.borrow().values().cloned().collect()
    }

    /// Returns the demand of each model: the estimated milliseconds of endpoint
    /// time for the jobs submitted within the last `age`.
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

    /// Adds the job with `head` unless it is known already, and returns it.
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
            is_sole_writer: false,
            partial_texts: Map::default(),
            changes: Notifier::default(),
        };
        let job = Rc::new(RefCell::new(job));
        jobs.insert(id.to_string(), job.clone());
        job
    }

    /// Returns the text that the item `id` has so far in any job.
    pub fn text(&self, id: &str) -> Option<Text> {
        let texts = self.0.texts.borrow();
        texts.get(id).map(|(text, _)| text.clone())
    }

    /// Stores the text of the item `id`, unless a longer one is stored. A
    /// complete text is always stored.
    pub fn put_text(&self, id: &str, text: Text) {
        let mut texts = self.0.texts.borrow_mut();
        let is_longer = texts
            .get(id)
            .is_none_or(|(known, _)| known.last_event() < text.last_event());
        if is_longer || text.is_complete() {
            texts.insert(id.to_string(), (text, Instant::now()));
        }
    }

    /// Removes texts older than [`TEXT_RETENTION`], and the content of jobs
    /// that this process does not run and that were not read within
    /// [`CONTENT_IDLE_MAX`].
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

    /// Applies the claim `number`, unless a later one is known. A claim with an
    /// empty VM name releases the job.
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

    /// Marks the job `id` as ended.
    pub fn put_end(&self, id: &str) {
        if let Some(job) = self.get(id) {
            let mut job = job.borrow_mut();
            job.is_ended = true;
            job.changes.notify();
        }
    }

    /// Records a heartbeat of `vm` and the current time. A known heartbeat is
    /// ignored, since listing the store returns old ones again.
    fn put_heartbeat(&self, vm: &str, heartbeat: Heartbeat) {
        let mut heartbeats = self.0.heartbeats.borrow_mut();
        let is_known = heartbeats
            .get(vm)
            .is_some_and(|(known, _)| known.number == heartbeat.number);
        if !is_known {
            heartbeats.insert(vm.to_string(), (heartbeat, Instant::now()));
        }
    }

    /// Returns the endpoints that recent heartbeats report as slow.
    pub fn slow_endpoints(&self, now: Instant) -> Set<String> {
        let heartbeats = self.0.heartbeats.borrow();
        let recent = heartbeats
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < HEARTBEAT_AGE_MAX);
        recent
            .flat_map(|(heartbeat, _)| heartbeat.slow.iter().cloned())
            .collect()
    }

    /// Records that an endpoint took `time` for an item of `model` of which
    /// `tokens` tokens were expected.
    pub fn record_work(&self, model: &str, tokens: u64, time: Duration) {
        let measured_ms = time.as_secs_f64() * 1000.0 / tokens.max(1) as f64;
        let mut token_times = self.0.token_times.borrow_mut();
        let token_ms = token_times.entry(model.to_string()).or_insert(measured_ms);
        *token_ms += TOKEN_TIME_WEIGHT * (measured_ms - *token_ms);
    }

    /// Returns the estimated milliseconds of endpoint time for `tokens`
    /// expected tokens of `model`.
    pub fn work_ms(&self, model: Option<&str>, tokens: u64) -> u64 {
        let token_times = self.0.token_times.borrow();
        let own = model.and_then(|model| token_times.get(model)).copied();
        let mean = || token_times.values().sum::<f64>() / token_times.len() as f64;
        // A model without measurements gets the mean of the other models.
        let token_ms = own.unwrap_or_else(|| if token_times.is_empty() { 1.0 } else { mean() });
        (tokens as f64 * token_ms) as u64
    }

    /// Returns when the last heartbeat of `vm` was received.
    pub fn last_heartbeat(&self, vm: &str) -> Option<Instant> {
        self.0.heartbeats.borrow().get(vm).map(|(_, at)| *at)
    }

    /// Removes all jobs, texts and heartbeats. Must only be called while this
    /// process runs no job.
    pub fn clear(&self) {
        self.0.jobs.borrow_mut().clear();
        self.0.texts.borrow_mut().clear();
        self.0.heartbeats.borrow_mut().clear();
    }

    /// Returns whether this process runs any job.
    pub fn is_busy(&self) -> bool {
        let jobs = self.0.jobs.borrow();
        jobs.values().any(|job| job.borrow().is_running)
    }

    /// Removes the job `id`, whose objects were removed from the store.
    pub fn remove(&self, id: &str) {
        self.0.jobs.borrow_mut().remove(id);
    }

    /// Applies an object of the kind [`KIND`](super::record::KIND). Objects
    /// with other names are ignored.
    pub fn apply(&self, object: &Object) {
        let is_parsed = match Name::decode(&object.name) {
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
        if is_parsed.is_none() {
            let name = object.name.as_str();
            spdlog::error!("cannot parse object of a job in the store", kv: { name });
        }
    }
}
