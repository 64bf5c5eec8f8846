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

use crate::{follow::Plan, notice::Notice};

/// How old what a mirror knows may be, in waits of a watch: one of its own
/// mirror's, and a half of its own.
const FRESH_WAITS: f64 = 1.5;
/// How much older it may be. It covers the gathering of changes and a slow
/// store.
const FRESH_SLACK: Duration = Duration::from_millis(700);
/// How many changes of a kind are kept: several seconds of the busiest kind.
const LOG_MAX: usize = 4000;
/// How long a VM that has just started waits for its mirror's first list:
/// under the time of a call.
const FIRST_WAIT: Duration = Duration::from_millis(800);

/// The kinds that were heard of; copies share them.
#[derive(Clone, Debug, Default)]
pub struct Mirror(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    /// Whether other VMs may ask; nothing is kept otherwise.
    is_asked: Cell<bool>,
    kinds: RefCell<Map<String, Kind>>,
    notice: Notice,
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
    /// Returns an empty mirror that keeps what is heard if `is_asked`.
    pub fn new(is_asked: bool) -> Self {
        let mirror = Self::default();
        mirror.set_asked(is_asked);
        mirror
    }

    /// Sets whether other VMs may ask.
    pub fn set_asked(&self, is_asked: bool) {
        self.0.is_asked.set(is_asked);
        if !is_asked {
            self.0.kinds.borrow_mut().clear();
        }
    }

    /// Takes all objects of the kind that is followed by `plan`.
    pub fn reset(&self, plan: &Plan, heard: &Update<Vec<Object>>) {
        if !self.0.is_asked.get() {
            return;
        }
        let objects = heard.value.iter();
        let objects = objects.map(|object| (object.name.clone(), object.clone()));
        let kind = Kind {
            objects: objects.collect(),
            log: VecDeque::new(),
            floor: heard.revision,
            revision: heard.revision,
            as_of: clock::ago(heard.age),
            wait: plan.wait,
        };
        let mut kinds = self.0.kinds.borrow_mut();
        kinds.insert(plan.kind.to_string(), kind);
        drop(kinds);
        self.0.notice.raise();
    }

    /// Takes changes of `kind`.
    pub fn extend(&self, kind: &str, heard: &Update<Vec<Event>>) {
        let mut kinds = self.0.kinds.borrow_mut();
        let Some(known) = kinds.get_mut(kind) else {
            return;
        };
        known.as_of = known.as_of.max(clock::ago(heard.age));
        known.revision = known.revision.max(heard.revision);
        for event in &heard.value {
            known.apply(event, heard.revision);
        }
        drop(kinds);
        if !heard.value.is_empty() {
            self.0.notice.raise();
        }
    }

    /// Answers another VM that asks for the whole kind or for changes.
    pub async fn answer(&self, kind: &str, watch: Option<Watch>) -> Reply {
        let wait = watch.map_or(FIRST_WAIT, |watch| watch.wait);
        let until = Instant::now() + wait;
        loop {
            let seen = self.0.notice.count();
            let now = Instant::now();
            let is_over = now >= until;
            if let Some(reply) = self.look(kind, watch, is_over, now) {
                return reply;
            }
            let left = until.saturating_duration_since(now);
            self.0.notice.past_or(seen, left).await;
        }
    }

    /// Returns the answer, if it is not to be waited for.
    fn look(&self, kind: &str, watch: Option<Watch>, is_over: bool, now: Instant) -> Option<Reply> {
        let kinds = self.0.kinds.borrow();
        let known = kinds.get(kind).filter(|known| known.is_fresh(now));
        match (known, watch) {
            // Soon after its start a mirror has not heard of all kinds.
            (None, _) => is_over.then(unsure),
            (Some(known), None) => Some(known.reply(known.list(), now)),
            (Some(known), Some(watch)) if watch.from < known.floor => {
                Some(Reply::new(StatusCode::GONE, ""))
            }
            (Some(known), Some(watch)) => {
                let is_news = known.log.back().is_some_and(|(at, _)| *at > watch.from);
                (is_news || is_over).then(|| known.reply(known.events(watch.from), now))
            }
        }
    }
}

impl Kind {
    fn is_fresh(&self, now: Instant) -> bool {
        let most = self.wait.mul_f64(FRESH_WAITS) + FRESH_SLACK;
        now.saturating_duration_since(self.as_of) < most
    }

    fn reply(&self, body: Vec<u8>, now: Instant) -> Reply {
        let age = now.saturating_duration_since(self.as_of).as_millis();
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
        while self.log.len() > LOG_MAX {
            if let Some((revision, _)) = self.log.pop_front() {
                self.floor = self.floor.max(revision);
            }
        }
    }

    fn list(&self) -> Vec<u8> {
        store::encode_list(self.objects.values(), self.revision)
    }

    fn events(&self, from: u64) -> Vec<u8> {
        let news = self.log.iter().filter(|(at, _)| *at > from);
        let revision = self.revision.max(from);
        store::encode_events(news.map(|(_, event)| event), revision)
    }
}

fn unsure() -> Reply {
    Reply::new(StatusCode::SERVICE_UNAVAILABLE, "")
}
