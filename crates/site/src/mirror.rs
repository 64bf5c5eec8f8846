//! A copy of followed kinds, from which a VM serves other VMs so that they need
//! not call the store.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use link::{StatusCode, clock::Moment, http::server::Reply};
use platform::store::{self, Event, Object, Update, Watch};

use crate::{follow::Plan, notify::Notifier};

/// The largest age of a copy that is served, as a multiple of the time that a
/// watch waits: one wait for the mirror that this VM reads from, and half a
/// wait for its own watch.
const AGE_MAX_WAITS: f64 = 1.5;
/// An addition to the largest age. It covers the batching of changes and a
/// slow store.
const AGE_MAX_SLACK: Duration = Duration::from_millis(700);
/// The number of events of a kind that are retained. They cover several seconds
/// of the kind that changes most often.
const LOG_EVENTS_MAX: usize = 4000;
/// How long a list request waits until this mirror has listed the kind. It is
/// less than the timeout of the request.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(800);

/// The copies of the followed kinds. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Mirror(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    /// Whether other VMs may read from this mirror. If not, it stays empty.
    is_enabled: Cell<bool>,
    kinds: RefCell<Map<String, Kind>>,
    changed: Notifier,
}

/// The copy of one kind.
#[derive(Debug)]
struct Kind {
    objects: BTreeMap<String, Object>,
    /// The latest events, each with the revision of the response that it
    /// arrived in.
    log: VecDeque<(u64, Event)>,
    /// The revision after which the log is complete.
    floor: u64,
    revision: u64,
    /// The copy holds all changes in the store up to this time.
    as_of: Moment,
    /// How long this VM's own watch of the kind waits.
    wait: Duration,
}

impl Mirror {
    /// Returns an empty mirror, which stays empty unless `is_enabled`.
    pub fn new(is_enabled: bool) -> Self {
        let mirror = Self::default();
        mirror.set_enabled(is_enabled);
        mirror
    }

    /// Sets whether other VMs may read from this mirror.
    pub fn set_enabled(&self, is_enabled: bool) {
        self.0.is_enabled.set(is_enabled);
        if !is_enabled {
            self.0.kinds.borrow_mut().clear();
        }
    }

    /// Replaces the copy of the kind of `plan` by the listed objects.
    pub fn replace(&self, plan: &Plan, update: &Update<Vec<Object>>) {
        if !self.0.is_enabled.get() {
            return;
        }
        let objects = update.value.iter();
        let objects = objects.map(|object| (object.name.clone(), object.clone()));
        let kind = Kind {
            objects: objects.collect(),
            log: VecDeque::new(),
            floor: update.revision,
            revision: update.revision,
            as_of: Moment::ago(update.age),
            wait: plan.wait,
        };
        let mut kinds = self.0.kinds.borrow_mut();
        kinds.insert(plan.kind.to_string(), kind);
        drop(kinds);
        self.0.changed.notify();
    }

    /// Applies events to the copy of `kind`.
    pub fn apply(&self, kind: &str, update: &Update<Vec<Event>>) {
        let mut kinds = self.0.kinds.borrow_mut();
        let Some(known) = kinds.get_mut(kind) else {
            return;
        };
        known.as_of = known.as_of.max(Moment::ago(update.age));
        known.revision = known.revision.max(update.revision);
        for event in &update.value {
            known.apply(event, update.revision);
        }
        drop(kinds);
        if !update.value.is_empty() {
            self.0.changed.notify();
        }
    }

    /// Answers another VM's request to list `kind`, or to `watch` it.
    pub async fn answer(&self, kind: &str, watch: Option<Watch>) -> Reply {
        let wait = watch.map_or(FIRST_LIST_WAIT, |watch| watch.wait);
        let deadline = Instant::now() + wait;
        loop {
            let seen = self.0.changed.count();
            let now = Instant::now();
            let is_timed_out = now >= deadline;
            if let Some(reply) = self.try_answer(kind, watch, is_timed_out) {
                return reply;
            }
            let remaining = deadline.saturating_duration_since(now);
            self.0.changed.wait_timeout(seen, remaining).await;
        }
    }

    /// Returns the reply, or `None` if the request still has to wait.
    fn try_answer(&self, kind: &str, watch: Option<Watch>, is_timed_out: bool) -> Option<Reply> {
        let kinds = self.0.kinds.borrow();
        let known = kinds.get(kind).filter(|known| known.is_recent());
        match (known, watch) {
            // A mirror that was just started does not have all kinds yet.
            (None, _) => is_timed_out.then(unavailable),
            (Some(known), None) => Some(known.reply(known.list())),
            (Some(known), Some(watch)) if watch.from < known.floor => {
                Some(Reply::new(StatusCode::GONE, ""))
            }
            (Some(known), Some(watch)) => {
                let has_events = known.log.back().is_some_and(|(at, _)| *at > watch.from);
                (has_events || is_timed_out).then(|| known.reply(known.events(watch.from)))
            }
        }
    }
}

impl Kind {
    fn is_recent(&self) -> bool {
        let age_max = self.wait.mul_f64(AGE_MAX_WAITS) + AGE_MAX_SLACK;
        self.as_of.elapsed() < age_max
    }

    fn reply(&self, body: Vec<u8>) -> Reply {
        let age = self.as_of.elapsed().as_millis();
        Reply::new(StatusCode::OK, body)
            .header("content-type", "application/json")
            .header(store::AGE_HEADER, age.to_string())
    }

    fn apply(&mut self, event: &Event, revision: u64) {
        match event {
            Event::Put(object) => {
                self.objects.insert(object.name.clone(), object.clone());
            }
            Event::Removed(name) => {
                self.objects.remove(name);
            }
        }
        self.log.push_back((revision, event.clone()));
        while self.log.len() > LOG_EVENTS_MAX {
            if let Some((revision, _)) = self.log.pop_front() {
                self.floor = self.floor.max(revision);
            }
        }
    }

    fn list(&self) -> Vec<u8> {
        store::encode_list(self.objects.values(), self.revision)
    }

    fn events(&self, from: u64) -> Vec<u8> {
        let events = self.log.iter().filter(|(at, _)| *at > from);
        let revision = self.revision.max(from);
        store::encode_events(events.map(|(_, event)| event), revision)
    }
}

fn unavailable() -> Reply {
    Reply::new(StatusCode::SERVICE_UNAVAILABLE, "")
}
