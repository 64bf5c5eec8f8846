//! Following kinds of objects in the store: listed once, then watched, and
//! listed again when the history is gone.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use link::{clock, http::Pool};
use platform::{
    config::{self, Config},
    endpoint,
    order::{self, Version},
    store::{Error, Event, Object, Store},
};

use crate::{facts::Facts, lapse::Lapses, mirror::Mirror, notice::Notice};

/// The pause after a call that failed; doubles up to [`PAUSE_MAX`].
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause, so that a store that returns is noticed at once.
const PAUSE_MAX: Duration = Duration::from_millis(500);
/// How long kinds that nobody waits for are listed after the others at the
/// start: VMs start within 0.3 s of each other, and listen by then.
const START_PAUSE: Duration = Duration::from_millis(400);
/// The pause of the kinds that wait for another one's success.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1500);
/// How long the records of endpoints may be missing after an outage of the
/// store: they return within about two seconds if the endpoint lives.
const RETURN_TIME: Duration = Duration::from_millis(2000);
/// How long they may be missing after an outage that was not noticed here: an
/// endpoint that did leave must be left alone after 2 s, and its removal is
/// heard of within some tenths of a second.
const LAPSE_TIME: Duration = Duration::from_millis(1400);

/// The configuration must be in force 2 s after the operator wrote it.
const CONFIG: Plan = Plan {
    kind: config::KIND,
    wait: Duration::from_millis(900),
    gather: Duration::ZERO,
    is_probe: true,
    is_urgent: true,
};
/// Endpoints that leave must be left alone 2 s after they said so. Their
/// records change with each load of weights, many times a second.
const ENDPOINTS: Plan = Plan {
    kind: endpoint::KIND,
    wait: Duration::from_millis(1000),
    gather: Duration::from_millis(120),
    is_probe: false,
    is_urgent: true,
};
/// A version is named every few seconds, and never in a hurry.
const VERSIONS: Plan = Plan {
    kind: order::VERSION_KIND,
    wait: Duration::from_millis(3000),
    gather: Duration::ZERO,
    is_probe: false,
    is_urgent: false,
};

/// What a kind's follower hears.
pub enum Change {
    /// All objects of the kind.
    All(Vec<Object>),
    /// Changes that were heard of together.
    Some(Vec<Event>),
}

impl Change {
    /// Returns the objects that stand now, of those that are told.
    pub fn into_objects(self) -> Vec<Object> {
        match self {
            Self::All(objects) => objects,
            Self::Some(events) => {
                let put = events.into_iter().filter_map(|event| match event {
                    Event::Put(object) => Some(object),
                    Event::Removed(_) => None,
                });
                put.collect()
            }
        }
    }
}

/// How a VM stands with the store.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// Since when no call has failed.
    since: Rc<Cell<Option<Instant>>>,
    /// What was in the store then is known.
    as_of: Rc<Cell<Option<Instant>>>,
    /// Raised when the history of a kind is gone.
    gone: Notice,
    /// Raised when the store answers.
    back: Notice,
    /// What is heard is kept here for other VMs.
    mirror: Mirror,
}

impl Contact {
    /// Returns for how long no call of a follower has failed.
    pub fn steady(&self, now: Instant) -> Duration {
        self.since.get().map_or(Duration::ZERO, |since| now - since)
    }

    /// Returns a contact that keeps what is heard in `mirror`.
    pub fn new(mirror: Mirror) -> Self {
        Self {
            mirror,
            ..Self::default()
        }
    }

    /// Returns the contact of other kinds, with failures of their own.
    pub fn other(&self) -> Self {
        Self {
            since: Rc::default(),
            as_of: Rc::default(),
            gone: self.gone.clone(),
            back: self.back.clone(),
            mirror: self.mirror.clone(),
        }
    }

    /// Returns how old what is known is; `None` before anything is.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.as_of.get()?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Notes that what is known now is `age` old.
    fn note_age(&self, age: Duration) {
        let as_of = clock::ago(age);
        // One answer may be older than the one before it, from another way.
        self.as_of.set(self.as_of.get().max(Some(as_of)));
    }

    /// Notes that nothing is followed any more.
    pub fn forget(&self) {
        self.as_of.set(None);
        self.lost();
    }

    fn lost(&self) {
        self.since.set(None);
    }

    fn held(&self) {
        if self.since.get().is_none() {
            self.since.set(Some(Instant::now()));
        }
    }
}

/// How one kind is followed.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The kind.
    pub kind: &'static str,
    /// How long a watch waits. It bounds how late a change is heard of that
    /// the store does not tell those that wait.
    pub wait: Duration,
    /// How long changes are gathered, so that several come in one call.
    pub gather: Duration,
    /// Whether a VM serves nobody before it has this kind: then it is listed
    /// from the store itself, whoever else may know it.
    pub is_urgent: bool,
    /// Whether it is this kind that tries whether the store is back.
    pub is_probe: bool,
}

/// Follows a kind for ever.
pub async fn follow(store: Store, plan: Plan, contact: Contact, apply: impl Fn(Change, bool)) {
    let Plan { kind, gather, .. } = plan;
    if !plan.is_urgent && store.is_awaiting_mirror() {
        monoio::time::sleep(START_PAUSE).await;
    }
    let mut pause = PAUSE;
    let mut revision = None;
    // Whether the store could not be reached since the last change that was applied.
    let mut was_unreachable = false;
    loop {
        // Losses of history that this kind has not been listed after.
        let gone = contact.gone.count();
        let outcome = match revision {
            None => list(&store, plan, was_unreachable, &contact, &apply).await,
            Some(from) => {
                let woken = async {
                    contact.gone.past(gone).await;
                    Err(Error::HistoryExpired)
                };
                monoio::select! {
                    outcome = watch(&store, plan, from, was_unreachable, &contact, &apply) => outcome,
                    // Another kind's history is gone: what this watch waits
                    // for may have happened already.
                    outcome = woken => outcome,
                }
            }
        };
        match outcome {
            Ok(at) => {
                if was_unreachable {
                    spdlog::info!("store reached again", kv: { kind, revision = at });
                }
                contact.held();
                contact.back.raise();
                (revision, pause, was_unreachable) = (Some(at), PAUSE, false);
                monoio::time::sleep(gather).await;
            }
            Err(Error::HistoryExpired) => {
                spdlog::info!("history gone, listing again", kv: { kind });
                // Those that were woken do not wake the others again.
                if contact.gone.count() == gone {
                    contact.gone.raise();
                }
                revision = None;
            }
            Err(e) => {
                if !was_unreachable {
                    let problem = e.to_string();
                    spdlog::warn!("store not reached", kv: { kind, problem });
                }
                contact.lost();
                was_unreachable = true;
                // One kind tries often; the others wait for its success.
                let back = contact.back.count();
                let wait = if plan.is_probe {
                    pause
                } else {
                    UNREACHABLE_PAUSE
                };
                contact.back.past_or(back, wait).await;
                pause = PAUSE_MAX.min(pause * 2);
            }
        }
    }
}

async fn list(
    store: &Store,
    plan: Plan,
    was_unreachable: bool,
    contact: &Contact,
    apply: &impl Fn(Change, bool),
) -> Result<u64, Error> {
    let heard = match plan.is_urgent {
        true => store.list_after(plan.kind, "").await?,
        false => store.list(plan.kind).await?,
    };
    contact.note_age(heard.age);
    contact.mirror.reset(&plan, &heard);
    apply(Change::All(heard.value), was_unreachable);
    Ok(heard.revision)
}

async fn watch(
    store: &Store,
    plan: Plan,
    from: u64,
    was_unreachable: bool,
    contact: &Contact,
    apply: &impl Fn(Change, bool),
) -> Result<u64, Error> {
    let heard = store.watch(plan.kind, from, plan.wait).await?;
    contact.note_age(heard.age);
    contact.mirror.extend(plan.kind, &heard);
    if !heard.value.is_empty() {
        apply(Change::Some(heard.value), was_unreachable);
    }
    Ok(heard.revision)
}

/// Follows the configuration.
pub async fn config(store: Store, contact: Contact, facts: Rc<RefCell<Facts>>) {
    let apply = |change: Change, _| {
        for object in change.into_objects() {
            if object.name == config::NAME {
                take_config(&object, &facts);
            }
        }
    };
    follow(store, CONFIG, contact, apply).await;
}

fn take_config(object: &Object, facts: &RefCell<Facts>) {
    let Some(config) = object.read::<Config>() else {
        let revision = object.revision;
        spdlog::error!("configuration cannot be read", kv: { revision });
        return;
    };
    let version = config.version;
    if facts.borrow_mut().set_config(config) {
        spdlog::info!("configuration in force", kv: { version });
    }
}

/// Follows the versions that trainers name.
pub async fn versions(store: Store, contact: Contact, facts: Rc<RefCell<Facts>>) {
    let apply = |change: Change, _| {
        for object in change.into_objects() {
            let Some(named) = object.read::<Version>() else {
                continue;
            };
            let (model, version) = (named.model, named.version);
            let mut facts = facts.borrow_mut();
            let known = facts.versions.entry(model.clone()).or_default();
            if version > *known {
                *known = version;
                spdlog::info!("weights named", kv: { model = model.as_str(), version });
            }
        }
    };
    follow(store, VERSIONS, contact, apply).await;
}

/// Follows the endpoints, and gives those up whose records do not return.
pub async fn endpoints(store: Store, contact: Contact, facts: Rc<RefCell<Facts>>, pool: Pool) {
    let lapses = RefCell::default();
    let apply = |change: Change, was_unreachable: bool| {
        let mut gone = Vec::new();
        match change {
            Change::All(objects) => {
                let known = facts.borrow().endpoint_ids();
                let mut known: BTreeSet<String> = known.into_iter().collect();
                for object in &objects {
                    if put_endpoint(object, &facts, &pool) {
                        known.remove(&object.name);
                    }
                }
                gone.extend(known);
            }
            Change::Some(events) => {
                for event in events {
                    match event {
                        Event::Put(object) if put_endpoint(&object, &facts, &pool) => {
                            gone.retain(|id| *id != object.name);
                        }
                        Event::Put(object) => gone.push(object.name),
                        Event::Removed(id) => gone.push(id),
                    }
                }
            }
        }
        remove_endpoints(gone, was_unreachable, &facts, &pool, &lapses);
    };
    let following = follow(store, ENDPOINTS, contact, apply);
    monoio::select! {
        () = following => {}
        () = give_up_missing(&facts, &pool) => {}
    }
}

/// How often endpoints are looked over that are missing.
const MISSING_PERIOD: Duration = Duration::from_millis(250);

async fn give_up_missing(facts: &RefCell<Facts>, pool: &Pool) {
    loop {
        monoio::time::sleep(MISSING_PERIOD).await;
        let overdue = facts.borrow().overdue(Instant::now());
        for id in overdue {
            forget(&id, facts, pool);
        }
    }
}

/// Takes a record; returns false where it names no endpoint to use.
fn put_endpoint(object: &Object, facts: &RefCell<Facts>, pool: &Pool) -> bool {
    let id = object.name.as_str();
    let record = object.spec.as_deref().and_then(endpoint::decode);
    let Some(record) = record else {
        spdlog::warn!("endpoint record cannot be used", kv: { endpoint = id });
        return false;
    };
    let (address, is_leaving) = (record.address, record.is_draining);
    let service = record.service.clone();
    let is_new = facts.borrow_mut().put_endpoint(id, record);
    if is_new {
        pool.forget(address);
        let address = address.to_string();
        spdlog::info!("endpoint seen", kv: { endpoint = id, service, address });
    }
    if is_leaving {
        spdlog::info!("endpoint leaves", kv: { endpoint = id });
        pool.forget(address);
    }
    true
}

/// Removes the endpoints `gone`, but for a while those whose records lapsed
/// while the store could not be reached, whether that was noticed here or not.
fn remove_endpoints(
    gone: Vec<String>,
    was_unreachable: bool,
    facts: &RefCell<Facts>,
    pool: &Pool,
    lapses: &RefCell<Lapses>,
) {
    let now = Instant::now();
    let mut silent: Map<String, Vec<String>> = Map::default();
    for id in gone {
        let service = facts.borrow().silent_service(&id);
        match service {
            Some(service) => silent.entry(service).or_default().push(id),
            None => forget(&id, facts, pool),
        }
    }
    for (service, ids) in silent {
        let left = facts.borrow().count(&service).saturating_sub(ids.len());
        let is_lapse = lapses.borrow_mut().note(&service, ids.len(), left, now);
        for id in ids {
            if !was_unreachable && !is_lapse {
                forget(&id, facts, pool);
                continue;
            }
            let time = if was_unreachable {
                RETURN_TIME
            } else {
                LAPSE_TIME
            };
            facts.borrow_mut().miss_endpoint(&id, now + time);
            let id = id.as_str();
            spdlog::info!("endpoint missing", kv: { endpoint = id, was_unreachable });
        }
    }
}

fn forget(id: &str, facts: &RefCell<Facts>, pool: &Pool) {
    if let Some(endpoint) = facts.borrow_mut().remove_endpoint(id) {
        pool.forget(endpoint.record.address);
        spdlog::info!("endpoint gone", kv: { endpoint = id });
    }
}
