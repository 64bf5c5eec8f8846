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

use crate::{expiry::Detector, facts::Facts, mirror::Mirror, notify::Notifier};

/// The pause after a call that failed; doubles up to [`RETRY_PAUSE_MAX`].
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause, so that a store that returns is noticed at once.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(500);
/// How long kinds that nobody waits for are listed after the others at the
/// start: VMs start within 0.3 s of each other, and listen by then.
const START_DELAY: Duration = Duration::from_millis(400);
/// The pause of the kinds that wait for another one's success.
const FOLLOWER_RETRY_PAUSE: Duration = Duration::from_millis(1500);
/// How long the records of endpoints may be missing after an outage of the
/// store: they return within about two seconds if the endpoint lives.
const OUTAGE_GRACE: Duration = Duration::from_millis(2000);
/// How long they may be missing after an outage that was not noticed here: an
/// endpoint that did leave must be left alone after 2 s, and its removal is
/// heard of within some tenths of a second.
const EXPIRY_GRACE: Duration = Duration::from_millis(1400);

/// The configuration must be in force 2 s after the operator wrote it.
const CONFIG: Plan = Plan {
    kind: config::KIND,
    wait: Duration::from_millis(900),
    batch_time: Duration::ZERO,
    is_probe: true,
    is_required: true,
};
/// Endpoints that leave must be left alone 2 s after they said so. Their
/// records change with each load of weights, many times a second.
const ENDPOINTS: Plan = Plan {
    kind: endpoint::KIND,
    wait: Duration::from_millis(1000),
    batch_time: Duration::from_millis(120),
    is_probe: false,
    is_required: true,
};
/// A version is named every few seconds, and never in a hurry.
const VERSIONS: Plan = Plan {
    kind: order::VERSIONS,
    wait: Duration::from_millis(3000),
    batch_time: Duration::ZERO,
    is_probe: false,
    is_required: false,
};

/// What a kind's follower hears.
pub enum Change {
    /// All objects of the kind.
    Snapshot(Vec<Object>),
    /// Changes that were heard of together.
    Events(Vec<Event>),
}

impl Change {
    /// Returns the objects that stand now, of those that are told.
    pub fn into_objects(self) -> Vec<Object> {
        match self {
            Self::Snapshot(objects) => objects,
            Self::Events(events) => {
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
pub struct View {
    /// Since when no call has failed.
    connected_since: Rc<Cell<Option<Instant>>>,
    /// What was in the store then is known.
    as_of: Rc<Cell<Option<Instant>>>,
    /// Raised when the history of a kind is gone.
    history_lost: Notifier,
    /// Raised when the store answers.
    recovered: Notifier,
    /// What is heard is kept here for other VMs.
    mirror: Mirror,
}

impl View {
    /// Returns for how long no call of a follower has failed.
    pub fn connected_for(&self, now: Instant) -> Duration {
        self.connected_since
            .get()
            .map_or(Duration::ZERO, |since| now - since)
    }

    /// Returns a contact that keeps what is heard in `mirror`.
    pub fn new(mirror: Mirror) -> Self {
        Self {
            mirror,
            ..Self::default()
        }
    }

    /// Returns the contact of other kinds, with failures of their own.
    pub fn sibling(&self) -> Self {
        Self {
            connected_since: Rc::default(),
            as_of: Rc::default(),
            history_lost: self.history_lost.clone(),
            recovered: self.recovered.clone(),
            mirror: self.mirror.clone(),
        }
    }

    /// Returns how old what is known is; `None` before anything is.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.as_of.get()?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Notes that what is known now is `age` old.
    fn record_age(&self, age: Duration) {
        let as_of = clock::ago(age);
        // One answer may be older than the one before it, from another way.
        self.as_of.set(self.as_of.get().max(Some(as_of)));
    }

    /// Notes that nothing is followed any more.
    pub fn reset(&self) {
        self.as_of.set(None);
        self.record_failure();
    }

    fn record_failure(&self) {
        self.connected_since.set(None);
    }

    fn record_success(&self) {
        if self.connected_since.get().is_none() {
            self.connected_since.set(Some(Instant::now()));
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
    pub batch_time: Duration,
    /// Whether a VM serves nobody before it has this kind: then it is listed
    /// from the store itself, whoever else may know it.
    pub is_required: bool,
    /// Whether it is this kind that tries whether the store is back.
    pub is_probe: bool,
}

/// Follows a kind for ever.
pub async fn follow(store: Store, plan: Plan, view: View, apply: impl Fn(Change, bool)) {
    let Plan {
        kind, batch_time, ..
    } = plan;
    if !plan.is_required && store.is_mirror_new() {
        monoio::time::sleep(START_DELAY).await;
    }
    let mut pause = RETRY_PAUSE_MIN;
    let mut revision = None;
    // Whether the store could not be reached since the last change that was applied.
    let mut was_unreachable = false;
    loop {
        // Losses of history that this kind has not been listed after.
        let losses = view.history_lost.count();
        let outcome = match revision {
            None => list(&store, plan, was_unreachable, &view, &apply).await,
            Some(from) => {
                let relist = async {
                    view.history_lost.wait(losses).await;
                    Err(Error::Gone)
                };
                monoio::select! {
                    outcome = watch(&store, plan, from, was_unreachable, &view, &apply) => outcome,
                    // Another kind's history is gone: what this watch waits
                    // for may have happened already.
                    outcome = relist => outcome,
                }
            }
        };
        match outcome {
            Ok(at) => {
                if was_unreachable {
                    spdlog::info!("store reached again", kv: { kind, revision = at });
                }
                view.record_success();
                view.recovered.notify();
                (revision, pause, was_unreachable) = (Some(at), RETRY_PAUSE_MIN, false);
                monoio::time::sleep(batch_time).await;
            }
            Err(Error::Gone) => {
                spdlog::info!("history gone, listing again", kv: { kind });
                // Those that were relist do not wake the others again.
                if view.history_lost.count() == losses {
                    view.history_lost.notify();
                }
                revision = None;
            }
            Err(e) => {
                if !was_unreachable {
                    let problem = e.to_string();
                    spdlog::warn!("store not reached", kv: { kind, problem });
                }
                view.record_failure();
                was_unreachable = true;
                // One kind tries often; the others wait for its success.
                let recoveries = view.recovered.count();
                let wait = if plan.is_probe {
                    pause
                } else {
                    FOLLOWER_RETRY_PAUSE
                };
                view.recovered.wait_timeout(recoveries, wait).await;
                pause = RETRY_PAUSE_MAX.min(pause * 2);
            }
        }
    }
}

async fn list(
    store: &Store,
    plan: Plan,
    was_unreachable: bool,
    view: &View,
    apply: &impl Fn(Change, bool),
) -> Result<u64, Error> {
    let update = match plan.is_required {
        true => store.list_after(plan.kind, "").await?,
        false => store.list(plan.kind).await?,
    };
    view.record_age(update.age);
    view.mirror.replace(&plan, &update);
    apply(Change::Snapshot(update.what), was_unreachable);
    Ok(update.revision)
}

async fn watch(
    store: &Store,
    plan: Plan,
    from: u64,
    was_unreachable: bool,
    view: &View,
    apply: &impl Fn(Change, bool),
) -> Result<u64, Error> {
    let update = store.watch(plan.kind, from, plan.wait).await?;
    view.record_age(update.age);
    view.mirror.apply(plan.kind, &update);
    if !update.what.is_empty() {
        apply(Change::Events(update.what), was_unreachable);
    }
    Ok(update.revision)
}

/// Follows the configuration.
pub async fn config(store: Store, view: View, facts: Rc<RefCell<Facts>>) {
    let apply = |change: Change, _| {
        for object in change.into_objects() {
            if object.name == config::NAME {
                apply_config(&object, &facts);
            }
        }
    };
    follow(store, CONFIG, view, apply).await;
}

fn apply_config(object: &Object, facts: &RefCell<Facts>) {
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
pub async fn versions(store: Store, view: View, facts: Rc<RefCell<Facts>>) {
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
    follow(store, VERSIONS, view, apply).await;
}

/// Follows the endpoints, and gives those up whose records do not return.
pub async fn endpoints(store: Store, view: View, facts: Rc<RefCell<Facts>>, pool: Pool) {
    let detector = RefCell::default();
    let apply = |change: Change, was_unreachable: bool| {
        let mut removed = Vec::new();
        match change {
            Change::Snapshot(objects) => {
                let known = facts.borrow().endpoint_ids();
                let mut known: BTreeSet<String> = known.into_iter().collect();
                for object in &objects {
                    if put_endpoint(object, &facts, &pool) {
                        known.remove(&object.name);
                    }
                }
                removed.extend(known);
            }
            Change::Events(events) => {
                for event in events {
                    match event {
                        Event::Put(object) if put_endpoint(&object, &facts, &pool) => {
                            removed.retain(|id| *id != object.name);
                        }
                        Event::Put(object) => removed.push(object.name),
                        Event::Removed(id) => removed.push(id),
                    }
                }
            }
        }
        remove_endpoints(removed, was_unreachable, &facts, &pool, &detector);
    };
    let follow = follow(store, ENDPOINTS, view, apply);
    monoio::select! {
        () = follow => {}
        () = remove_overdue(&facts, &pool) => {}
    }
}

/// How often endpoints are looked over that are missing.
const MISSING_CHECK_PERIOD: Duration = Duration::from_millis(250);

async fn remove_overdue(facts: &RefCell<Facts>, pool: &Pool) {
    loop {
        monoio::time::sleep(MISSING_CHECK_PERIOD).await;
        let overdue = facts.borrow().overdue_endpoints(Instant::now());
        for id in overdue {
            remove_endpoint(&id, facts, pool);
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
    let (address, is_leaving) = (record.address, record.is_leaving);
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
    removed: Vec<String>,
    was_unreachable: bool,
    facts: &RefCell<Facts>,
    pool: &Pool,
    detector: &RefCell<Detector>,
) {
    let now = Instant::now();
    let mut undrained: Map<String, Vec<String>> = Map::default();
    for id in removed {
        let service = facts.borrow().service_unless_draining(&id);
        match service {
            Some(service) => undrained.entry(service).or_default().push(id),
            None => remove_endpoint(&id, facts, pool),
        }
    }
    for (service, ids) in undrained {
        let remaining = facts
            .borrow()
            .count_active(&service)
            .saturating_sub(ids.len());
        let is_burst = detector
            .borrow_mut()
            .record_removals(&service, ids.len(), remaining, now);
        for id in ids {
            if !was_unreachable && !is_burst {
                remove_endpoint(&id, facts, pool);
                continue;
            }
            let grace = if was_unreachable {
                OUTAGE_GRACE
            } else {
                EXPIRY_GRACE
            };
            facts.borrow_mut().mark_missing(&id, now + grace);
            let id = id.as_str();
            spdlog::info!("endpoint missing", kv: { endpoint = id, was_unreachable });
        }
    }
}

fn remove_endpoint(id: &str, facts: &RefCell<Facts>, pool: &Pool) {
    if let Some(endpoint) = facts.borrow_mut().remove_endpoint(id) {
        pool.forget(endpoint.record.address);
        spdlog::info!("endpoint gone", kv: { endpoint = id });
    }
}
