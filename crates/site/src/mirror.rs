//! What a VM has heard of the store, for other VMs to hear of it without a
//! call to the store.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use link::{StatusCode, clock, http::server::Reply};
use platform::store::{self, Event, Object, Update, Watch};

use crate::{follow::Plan, notify::Notifier};

/// How old what a mirror knows may be, in waits of a watch: one of its own
/// mirror's, and a half of its own.
const AGE_MAX_WAITS: f64 = 1.5;
/// How much older it may be. It covers the gathering of changes and a slow
/// store.
const AGE_MAX_SLACK: Duration = Duration::from_millis(700);
/// How many changes of a kind are kept: several seconds of the busiest kind.
const LOG_EVENTS_MAX: usize = 4000;
/// How long a VM that has just started waits for its mirror's first list:
/// under the time of a call.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(800);

/// The kinds that were heard of; copies share them.
#[derive(Clone, Debug, Default)]
pub struct Mirror(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    /// Whether other VMs may ask; nothing is kept otherwise.
    is_enabled: Cell<bool>,
    kinds: RefCell<Map<String, Kind>>,
    changed: Notifier,
}

/// One kind as it was heard of.
#[derive(Debug)]
struct Kind {
    objects: BTreeMap<String, Object>,
    /// Changes with the revision up to which they were heard together.
    log: VecDeque<(u64, Event)>,
    /// The revision after which the log is whole.
    floor: u64,
    revision: u64,
    /// What was in the store then is known.
    as_of: Instant,
    /// How long a watch of it waits.
    wait: Duration,
}

impl Mirror {
    /// Returns an empty mirror that keeps what is heard if `is_enabled`.
    pub fn new(is_enabled: bool) -> Self {
        let mirror = Self::default();
        mirror.set_enabled(is_enabled);
        mirror
    }

    /// Sets whether other VMs may ask.
    pub fn set_enabled(&self, is_enabled: bool) {
        self.0.is_enabled.set(is_enabled);
        if !is_enabled {
            self.0.kinds.borrow_mut().clear();
        }
    }

    /// Takes all objects of the kind that is followed by `plan`.
    pub fn replace(&self, plan: &Plan, update: &Update<Vec<Object>>) {
        if !self.0.is_enabled.get() {
            return;
        }
        let objects = update.what.iter();
        let objects = objects.map(|object| (object.name.clone(), object.clone()));
        let kind = Kind {
            objects: objects.collect(),
            log: VecDeque::new(),
            floor: update.revision,
            revision: update.revision,
            as_of: clock::ago(update.age),
            wait: plan.wait,
        };
        let mut kinds = self.0.kinds.borrow_mut();
        kinds.insert(plan.kind.to_string(), kind);
        drop(kinds);
        self.0.changed.notify();
    }

    /// Takes changes of `kind`.
    pub fn apply(&self, kind: &str, update: &Update<Vec<Event>>) {
        let mut kinds = self.0.kinds.borrow_mut();
        let Some(known) = kinds.get_mut(kind) else {
            return;
        };
        known.as_of = known.as_of.max(clock::ago(update.age));
        known.revision = known.revision.max(update.revision);
        for event in &update.what {
            known.apply(event, update.revision);
        }
        drop(kinds);
        if !update.what.is_empty() {
            self.0.changed.notify();
        }
    }

    /// Answers another VM that asks for the whole kind or for changes.
    pub async fn answer(&self, kind: &str, watch: Option<Watch>) -> Reply {
        let wait = watch.map_or(FIRST_LIST_WAIT, |watch| watch.wait);
        let deadline = Instant::now() + wait;
        loop {
            let seen = self.0.changed.count();
            let now = Instant::now();
            let is_timed_out = now >= deadline;
            if let Some(reply) = self.try_answer(kind, watch, is_timed_out, now) {
                return reply;
            }
            let remaining = deadline.saturating_duration_since(now);
            self.0.changed.wait_timeout(seen, remaining).await;
        }
    }

    /// Returns the answer, if it is not to be waited for.
    fn try_answer(
        &self,
        kind: &str,
        watch: Option<Watch>,
        is_timed_out: bool,
        now: Instant,
    ) -> Option<Reply> {
        let kinds = self.0.kinds.borrow();
        let known = kinds.get(kind).filter(|known| known.is_fresh(now));
        match (known, watch) {
            // Soon after its start a mirror has not heard of all kinds.
            (None, _) => is_timed_out.then(unavailable),
            (Some(known), None) => Some(known.reply(known.list(), now)),
            (Some(known), Some(watch)) if watch.from < known.floor => {
                Some(Reply::new(StatusCode::GONE, ""))
            }
            (Some(known), Some(watch)) => {
                let has_events = known.log.back().is_some_and(|(at, _)| *at > watch.from);
                (has_events || is_timed_out).then(|| known.reply(known.events(watch.from), now))
            }
        }
    }
}

impl Kind {
    fn is_fresh(&self, now: Instant) -> bool {
        let age_max = self.wait.mul_f64(AGE_MAX_WAITS) + AGE_MAX_SLACK;
        now.saturating_duration_since(self.as_of) < age_max
    }

    fn reply(&self, body: Vec<u8>, now: Instant) -> Reply {
        let age = now.saturating_duration_since(self.as_of).as_millis();
        Reply::new(StatusCode::OK, body)
            .header("content-type", "application/json")
            .header(store::AGE, age.to_string())
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
