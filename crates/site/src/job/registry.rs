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
    Job, Shared,
    record::{Beat, Claim, Head, Name, Part},
    sample::Text,
};
use crate::notify::Notifier;

/// For how long the text of an item is kept: groups that were not whole come
/// again with one of the next steps.
const TEXT_TIME: Duration = Duration::from_secs(40);
/// For how long a sign of life tells which endpoints are slow: three periods.
const BEAT_TIME: Duration = Duration::from_secs(3);
/// The weight of the newest item in what a token takes: a job has dozens, and
/// they differ by a factor of ten.
const NEWEST: f64 = 0.02;
/// For how long items and samples of a job are kept in memory that is not run
/// here and that nobody asks for: a trainer reads twice a second while its job
/// is open. They are read from the store again when they are wanted.
const CONTENT_TIME: Duration = Duration::from_secs(10);

/// The jobs that this VM knows; copies share them.
#[derive(Clone, Default)]
pub struct Registry(Rc<Inner>);

#[derive(Default)]
struct Inner {
    jobs: RefCell<Map<String, Shared>>,
    /// What items have made, by their ids: a job that is taken over goes on
    /// from it, and so does a later job with the same items.
    texts: RefCell<Map<String, (Text, Instant)>>,
    /// The sign of life of each VM that was heard of last.
    beats: RefCell<Map<String, (Beat, Instant)>>,
    /// The milliseconds that endpoints took for a token that was expected, by
    /// model.
    rates: RefCell<Map<String, f64>>,
}

impl Registry {
    /// Returns the job `id`.
    pub fn get(&self, id: &str) -> Option<Shared> {
        self.0.jobs.borrow().get(id).cloned()
    }

    /// Returns all jobs.
    pub fn all(&self) -> Vec<Shared> {
        self.0.jobs.borrow().values().cloned().collect()
    }

    /// Returns the milliseconds for which endpoints work for the jobs of each
    /// model that were submitted within `age`.
    pub fn demand(&self, age: Duration, now: Instant) -> Map<String, u64> {
        let mut demand: Map<String, u64> = Map::default();
        for job in self.0.jobs.borrow().values() {
            let job = job.borrow();
            let is_recent = now.saturating_duration_since(job.submitted) < age;
            if let Some(model) = job.head.model.as_ref().filter(|_| is_recent) {
                *demand.entry(model.clone()).or_default() += job.head.work_ms;
            }
        }
        demand
    }

    /// Takes the head of a job, and returns the job.
    pub fn put_head(&self, id: &str, head: Head) -> Shared {
        let mut jobs = self.0.jobs.borrow_mut();
        if let Some(known) = jobs.get(id) {
            return known.clone();
        }
        let now = Instant::now();
        let age = clock::wall_millis().saturating_sub(head.submitted_ms);
        let submitted = clock::ago(Duration::from_millis(age));
        let job = Job {
            id: id.to_string(),
            holder: head.vm.clone(),
            holder_address: head.address,
            head: Rc::new(head),
            submitted,
            items: None,
            samples: Vec::new(),
            listed: Set::default(),
            pages: 0,
            early: BTreeMap::new(),
            claims: 0,
            is_ended: false,
            was_whole: false,
            held_since: now,
            used: now,
            is_running: false,
            is_current: false,
            open: Map::default(),
            notice: Notifier::default(),
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
        let is_more = texts
            .get(id)
            .is_none_or(|(known, _)| known.last() < text.last());
        if is_more || text.is_whole() {
            texts.insert(id.to_string(), (text, Instant::now()));
        }
    }

    /// Forgets texts that no job can ask for any more, and what jobs hold that
    /// nobody asks for.
    pub fn forget_unused(&self, now: Instant) {
        let is_young = |at: Instant| now.saturating_duration_since(at) < TEXT_TIME;
        self.0.texts.borrow_mut().retain(|_, (_, at)| is_young(*at));
        for job in self.0.jobs.borrow().values() {
            let mut job = job.borrow_mut();
            let is_unused = now.saturating_duration_since(job.used) >= CONTENT_TIME;
            if is_unused && !job.is_running {
                job.forget_content();
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
        job.notice.notify();
    }

    /// Notes that the job was ended.
    pub fn put_end(&self, id: &str) {
        if let Some(job) = self.get(id) {
            let mut job = job.borrow_mut();
            job.is_ended = true;
            job.notice.notify();
        }
    }

    /// Takes a sign of life of `vm`.
    fn put_beat(&self, vm: &str, beat: Beat) {
        let mut beats = self.0.beats.borrow_mut();
        let is_known = beats
            .get(vm)
            .is_some_and(|(known, _)| known.number == beat.number);
        if !is_known {
            beats.insert(vm.to_string(), (beat, Instant::now()));
        }
    }

    /// Returns the endpoints that VMs which run jobs found slow.
    pub fn slow(&self, now: Instant) -> Set<String> {
        let beats = self.0.beats.borrow();
        let recent = beats
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < BEAT_TIME);
        recent
            .flat_map(|(beat, _)| beat.slow.iter().cloned())
            .collect()
    }

    /// Takes the time that an endpoint took for an item of `model` of which
    /// `tokens` were expected.
    pub fn note_work(&self, model: &str, tokens: u64, time: Duration) {
        let newest = time.as_secs_f64() * 1000.0 / tokens.max(1) as f64;
        let mut rates = self.0.rates.borrow_mut();
        let rate = rates.entry(model.to_string()).or_insert(newest);
        *rate += NEWEST * (newest - *rate);
    }

    /// Returns the milliseconds for which endpoints will work for `tokens` that
    /// are expected of `model`.
    pub fn work_ms(&self, model: Option<&str>, tokens: u64) -> u64 {
        let rates = self.0.rates.borrow();
        let own = model.and_then(|model| rates.get(model)).copied();
        let mean = || rates.values().sum::<f64>() / rates.len() as f64;
        // A model that was not seen yet is taken for one like the others.
        let rate = own.unwrap_or_else(|| if rates.is_empty() { 1.0 } else { mean() });
        (tokens as f64 * rate) as u64
    }

    /// Returns when a sign of life of `vm` was heard of last.
    pub fn beat(&self, vm: &str) -> Option<Instant> {
        self.0.beats.borrow().get(vm).map(|(_, at)| *at)
    }

    /// Forgets all jobs, none of which is run here.
    pub fn clear(&self) {
        self.0.jobs.borrow_mut().clear();
        self.0.texts.borrow_mut().clear();
        self.0.beats.borrow_mut().clear();
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
    pub fn put(&self, object: &Object) {
        let is_read = match Name::decode(&object.name) {
            None => return,
            Some(Name::Beat(vm)) => {
                let beat: Option<Beat> = object.read();
                beat.map(|beat| self.put_beat(&vm, beat))
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
