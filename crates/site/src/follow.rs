//! Follows kinds of objects in the store. A kind is listed once and then
//! watched, and is listed again when the store has lost its history.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use link::{clock::Moment, http::Pool};
use platform::{
    config::{self, Config},
    endpoint, evacuation,
    order::{self, Version},
    store::{Error, Event, Object, Store},
};

use crate::{
    crash::Crashes, expiry::Detector, facts::Facts, metrics::Metrics, mirror::Mirror,
    notify::Notifier,
};

/// The pause after a failed call while an unreachable store is probed
/// ([`Plan::is_probe`]). It doubles up to [`PROBE_PAUSE_MAX`].
const PROBE_PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two probes of an unreachable store. It is short so
/// that the end of an outage is detected soon.
const PROBE_PAUSE_MAX: Duration = Duration::from_millis(500);
/// How long after the start of this VM the kinds that are not required are
/// listed. VMs start within 0.3 s of each other, so the VM that mirrors these
/// kinds is listening by then.
const START_DELAY: Duration = Duration::from_millis(400);
/// How long a VM that has just started waits for a mirror before it lists a required
/// kind at the store. It is not ready until then.
const FIRST_LIST_TIME: Duration = Duration::from_millis(400);
/// The pause after a failed call for kinds without [`Plan::is_probe`]. It ends
/// earlier if a call for another kind succeeds.
const RECOVERY_WAIT_MAX: Duration = Duration::from_millis(1500);
/// How long the record of an endpoint may be missing after an outage of the
/// store. A live endpoint writes its record again within about two seconds.
const OUTAGE_GRACE: Duration = Duration::from_millis(2000);
/// How long the record of an endpoint may be missing after an outage that this
/// VM did not notice. An endpoint that was really removed must get no requests
/// after 2 s, and its removal is reported within some tenths of a second.
const EXPIRY_GRACE: Duration = Duration::from_millis(1400);

/// The plan for the configuration, which must be in force 2 s after the
/// operator wrote it.
const CONFIG: Plan = Plan {
    kind: config::KIND,
    wait: Duration::from_millis(900),
    batch_time: Duration::ZERO,
    is_probe: true,
    is_required: true,
};
/// The plan for the endpoints. A draining endpoint must get no requests 2 s
/// after it announced so. The records also change with each load of weights,
/// many times a second, so changes are batched ([`Batching`]).
const ENDPOINTS: Plan = Plan {
    kind: endpoint::KIND,
    wait: Duration::from_millis(1000),
    batch_time: Duration::from_millis(120),
    is_probe: false,
    is_required: true,
};
/// The plan for the versions of weights. Trainers name one every few seconds,
/// and a delay does no harm.
const VERSIONS: Plan = Plan {
    kind: order::VERSION_KIND,
    wait: Duration::from_millis(3000),
    batch_time: Duration::ZERO,
    is_probe: false,
    is_required: false,
};

/// The longest time that a watch of the evacuations waits.
const EVACUATIONS_WAIT_MAX: Duration = Duration::from_millis(1000);
/// The shortest one, which bounds the calls to the store.
const EVACUATIONS_WAIT_MIN: Duration = Duration::from_millis(100);
/// The part of the bound on evacuations that one watch may wait. A change that the
/// store does not send to waiting watches passes three of them (the first seed, a
/// seed, this VM), and a mirror that is lost costs the time of a fourth.
const EVACUATIONS_WAIT_DIVISOR: u32 = 5;

/// Returns the plan for the evacuations, which must be in force within `bound`.
fn evacuations_plan(bound: Duration) -> Plan {
    let wait = bound / EVACUATIONS_WAIT_DIVISOR;
    Plan {
        kind: evacuation::KIND,
        wait: wait.clamp(EVACUATIONS_WAIT_MIN, EVACUATIONS_WAIT_MAX),
        batch_time: Duration::ZERO,
        is_probe: false,
        is_required: true,
    }
}

/// A change of a kind that is followed.
pub enum Change {
    /// All objects of the kind.
    Snapshot(Vec<Object>),
    /// Events that arrived in one response.
    Events(Vec<Event>),
}

impl Change {
    /// Returns the objects that this change adds or replaces.
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

/// The state of this VM's view of the store: its age, and whether the calls to
/// the store succeed. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The time of the first success since the last failed call.
    connected_since: Rc<Cell<Option<Instant>>>,
    /// The VM knows all changes in the store up to this time.
    as_of: Rc<Cell<Option<Moment>>>,
    /// Notified when the store has lost the history of a kind.
    history_lost: Notifier,
    /// Notified when a call to the store succeeds.
    recovered: Notifier,
    /// Serves the followed kinds to other VMs.
    mirror: Mirror,
}

impl View {
    /// Returns for how long the calls to the store have succeeded.
    pub fn connected_for(&self, now: Instant) -> Duration {
        self.connected_since
            .get()
            .map_or(Duration::ZERO, |since| now - since)
    }

    /// Returns a view whose changes are also applied to `mirror`.
    pub fn new(mirror: Mirror) -> Self {
        Self {
            mirror,
            ..Self::default()
        }
    }

    /// Returns a view for other kinds. It has its own age and failures, and
    /// shares the notifiers and the mirror.
    pub fn sibling(&self) -> Self {
        Self {
            connected_since: Rc::default(),
            as_of: Rc::default(),
            history_lost: self.history_lost.clone(),
            recovered: self.recovered.clone(),
            mirror: self.mirror.clone(),
        }
    }

    /// Returns the age of the view, or `None` before the first list.
    pub fn age(&self) -> Option<Duration> {
        self.as_of.get().map(Moment::elapsed)
    }

    /// Records that the view is now at most `age` old.
    fn record_age(&self, age: Duration) {
        let as_of = Moment::ago(age);
        // A response may be older than the previous one if it comes from
        // another VM's mirror.
        self.as_of.set(self.as_of.get().max(Some(as_of)));
    }

    /// Makes all followed kinds be listed again.
    pub(crate) fn list_again(&self) {
        self.history_lost.notify();
    }

    /// Resets the view when its kinds are no longer followed.
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
    /// How long a watch waits for events. It bounds the delay of a change that
    /// the store does not send to waiting watches.
    pub wait: Duration,
    /// The pause between two watches, so that one response holds several
    /// events.
    pub batch_time: Duration,
    /// Whether a VM is not ready before it has this kind. Such a kind is listed
    /// again from the store itself and not from a mirror.
    pub is_required: bool,
    /// Whether calls for this kind probe an unreachable store with short pauses.
    pub is_probe: bool,
}

/// The pauses between two watches of a kind, by where the last response came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Batching {
    /// The pause after a response of the store, each of which has a cost.
    pub store: Duration,
    /// The pause after a response of a mirror.
    pub mirror: Duration,
}

/// The largest part of the bound on draining endpoints that changes wait for others.
const DRAIN_BOUND_DIVISOR: u32 = 8;
/// The longest pause between two watches of the endpoints at the store. A load of
/// weights takes 0.9 s, and the next one is ordered once it is known to be done, so
/// steps would wait for weights with a longer pause.
const ENDPOINT_BATCH_MAX: Duration = Duration::from_millis(250);
/// The pause between two watches of the endpoints at a mirror, whose records change
/// in batches already. With two mirrors in line, all pauses together are no longer
/// than where both use [`Plan::batch_time`].
const ENDPOINT_MIRROR_BATCH: Duration = Duration::from_millis(50);

impl Batching {
    /// Returns the pauses of `plan`, wherever responses come from.
    fn of_plan(plan: Plan) -> Self {
        Self {
            store: plan.batch_time,
            mirror: plan.batch_time,
        }
    }

    /// Returns the pauses for the endpoints. Where the platform states in `drain`
    /// how long a draining endpoint may get requests, the store is watched less
    /// often.
    pub fn of_endpoints(drain: Option<Duration>) -> Self {
        let default = Self::of_plan(ENDPOINTS);
        let longest = drain.map(|bound| ENDPOINT_BATCH_MAX.min(bound / DRAIN_BOUND_DIVISOR));
        match longest {
            Some(store) if store > default.store => Self {
                store,
                mirror: ENDPOINT_MIRROR_BATCH,
            },
            _ => default,
        }
    }
}

/// Where a follower stands after a successful call.
struct Position {
    /// The revision of the next watch.
    revision: u64,
    is_from_mirror: bool,
}

/// What is known about a change.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// Whether the store was unreachable since the previous change.
    pub was_unreachable: bool,
    /// All events of the change happened later than this, if this is known.
    pub later_than: Option<Moment>,
}

/// Follows a kind and passes each change to `apply`. Never returns.
pub async fn follow(store: Store, plan: Plan, view: View, apply: impl Fn(Change, Context)) {
    follow_in_batches(store, plan, Batching::of_plan(plan), view, apply).await;
}

/// As [`follow`], with the pauses of `batching`. Never returns.
async fn follow_in_batches(
    store: Store,
    plan: Plan,
    batching: Batching,
    view: View,
    apply: impl Fn(Change, Context),
) {
    let kind = plan.kind;
    if !plan.is_required && store.is_awaiting_mirror() {
        monoio::time::sleep(START_DELAY).await;
    }
    let mut pause = PROBE_PAUSE_MIN;
    let mut revision = None;
    let mut is_first = true;
    // Whether the store was unreachable since the last successful call.
    let mut was_unreachable = false;
    // This VM knows all changes of the kind up to this time.
    let as_of = Cell::new(None);
    // The kind is listed again if this count has increased since the last list,
    // also between two watches.
    let mut losses = view.history_lost.count();
    loop {
        let outcome = match revision {
            None => {
                losses = view.history_lost.count();
                let is_first = std::mem::take(&mut is_first);
                list(
                    &store,
                    plan,
                    is_first,
                    was_unreachable,
                    &as_of,
                    &view,
                    &apply,
                )
                .await
            }
            Some(from) => {
                let relist = async {
                    view.history_lost.wait(losses).await;
                    Err(Error::HistoryExpired)
                };
                monoio::select! {
                    outcome = watch(&store, plan, from, was_unreachable, &as_of, &view, &apply) => outcome,
                    // The store has lost the history of another kind, so this
                    // watch may have missed events too.
                    outcome = relist => outcome,
                }
            }
        };
        match outcome {
            Ok(at) => {
                let number = at.revision;
                if was_unreachable {
                    spdlog::info!("store reachable again", kv: { kind, revision = number });
                }
                view.record_success();
                view.recovered.notify();
                (revision, pause, was_unreachable) = (Some(number), PROBE_PAUSE_MIN, false);
                let batch_time = match at.is_from_mirror {
                    true => batching.mirror,
                    false => batching.store,
                };
                monoio::time::sleep(batch_time).await;
            }
            Err(Error::HistoryExpired) => {
                spdlog::info!("store lost its history, listing the kind again", kv: { kind });
                // Only the first follower that finds the loss notifies the
                // others.
                if view.history_lost.count() == losses {
                    view.history_lost.notify();
                }
                revision = None;
            }
            Err(e) => {
                if !was_unreachable {
                    let problem = e.to_string();
                    spdlog::warn!("store unreachable, retrying", kv: { kind, problem });
                }
                view.record_failure();
                was_unreachable = true;
                // Only calls with `is_probe` are retried often. The others
                // wait until a call succeeds.
                let recoveries = view.recovered.count();
                let wait = if plan.is_probe {
                    pause
                } else {
                    RECOVERY_WAIT_MAX
                };
                view.recovered.wait_timeout(recoveries, wait).await;
                pause = PROBE_PAUSE_MAX.min(pause * 2);
            }
        }
    }
}

async fn list(
    store: &Store,
    plan: Plan,
    is_first: bool,
    was_unreachable: bool,
    as_of: &Cell<Option<Moment>>,
    view: &View,
    apply: &impl Fn(Change, Context),
) -> Result<Position, Error> {
    let update = match (plan.is_required, is_first) {
        // A VM that has just started is then as up to date as the others, which
        // watch the mirror, and knows nothing that an older list would revert.
        (true, true) => store.list_within(plan.kind, FIRST_LIST_TIME).await?,
        (true, false) => store.list_after(plan.kind, "").await?,
        (false, _) => store.list(plan.kind).await?,
    };
    view.record_age(update.age);
    view.mirror.replace(&plan, &update);
    as_of.set(Some(Moment::ago(update.age)));
    let context = Context {
        was_unreachable,
        later_than: None,
    };
    apply(Change::Snapshot(update.value), context);
    Ok(Position {
        revision: update.revision,
        is_from_mirror: update.is_from_mirror,
    })
}

async fn watch(
    store: &Store,
    plan: Plan,
    from: u64,
    was_unreachable: bool,
    as_of: &Cell<Option<Moment>>,
    view: &View,
    apply: &impl Fn(Change, Context),
) -> Result<Position, Error> {
    let update = store.watch(plan.kind, from, plan.wait).await?;
    view.record_age(update.age);
    view.mirror.apply(plan.kind, &update);
    let later_than = as_of.replace(Some(Moment::ago(update.age)));
    if !update.value.is_empty() {
        let context = Context {
            was_unreachable,
            later_than,
        };
        apply(Change::Events(update.value), context);
    }
    Ok(Position {
        revision: update.revision,
        is_from_mirror: update.is_from_mirror,
    })
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
        spdlog::error!("configuration cannot be decoded", kv: { revision });
        return;
    };
    let version = config.version;
    if facts.borrow_mut().set_config(config) {
        spdlog::info!("configuration in force", kv: { version });
    }
}

/// Follows the versions of weights that trainers name.
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
                spdlog::info!("trainer named new weights", kv: { model = model.as_str(), version });
            }
        }
    };
    follow(store, VERSIONS, view, apply).await;
}

/// Follows the evacuations, which must be in force within `bound`. Never returns.
pub async fn evacuations(
    store: Store,
    view: View,
    facts: Rc<RefCell<Facts>>,
    metrics: Metrics,
    bound: Duration,
) {
    let age = view.clone();
    let apply = |change: Change, context: Context| {
        let was_unreachable = context.was_unreachable;
        let known = facts.borrow().evacuated();
        let mut evacuated = known.clone();
        match change {
            Change::Snapshot(objects) => {
                evacuated = objects.into_iter().map(|object| object.name).collect();
            }
            Change::Events(events) => {
                for event in events {
                    match event {
                        Event::Put(object) => {
                            evacuated.insert(object.name);
                        }
                        Event::Removed(name) => {
                            evacuated.remove(&name);
                        }
                    }
                }
            }
        }
        let age_ms = age.age().unwrap_or_default().as_millis() as u64;
        for domain in evacuated.difference(&known) {
            let domain = domain.as_str();
            spdlog::warn!("failure domain evacuated", kv: { domain, age_ms, was_unreachable });
        }
        for domain in known.difference(&evacuated) {
            let domain = domain.as_str();
            spdlog::info!("evacuation of a failure domain ended", kv: { domain, age_ms, was_unreachable });
        }
        metrics.record_evacuated_domains(evacuated.len());
        facts.borrow_mut().set_evacuated(evacuated);
    };
    follow(store, evacuations_plan(bound), view, apply).await;
}

/// Follows the endpoints, and removes those whose missing records do not
/// return in time.
pub async fn endpoints(
    store: Store,
    batching: Batching,
    view: View,
    facts: Rc<RefCell<Facts>>,
    pool: Pool,
    crashes: Crashes,
) {
    let detector = RefCell::default();
    let apply = |change: Change, context: Context| {
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
                let known_since = &mut facts.borrow_mut().endpoints_known_since;
                known_since.get_or_insert_with(Instant::now);
                removed.extend(known);
            }
            Change::Events(events) => {
                for event in events {
                    match event {
                        Event::Put(object) if put_endpoint(&object, &facts, &pool) => {
                            removed.retain(|id| *id != object.name);
                            record_alive(&object.name, &facts, &crashes, context);
                        }
                        Event::Put(object) => removed.push(object.name),
                        Event::Removed(id) => removed.push(id),
                    }
                }
            }
        }
        remove_endpoints(removed, context.was_unreachable, &facts, &pool, &detector);
    };
    let follower = follow_in_batches(store, ENDPOINTS, batching, view, apply);
    monoio::select! {
        () = follower => {}
        () = remove_overdue(&facts, &pool) => {}
    }
}

/// Records that the endpoint `id` wrote its record, which shows that it went on if
/// it has not started again.
fn record_alive(id: &str, facts: &RefCell<Facts>, crashes: &Crashes, context: Context) {
    let facts = facts.borrow();
    let known = facts.key(id).and_then(|key| facts.endpoints.get(key));
    if let (Some(endpoint), Some(later_than)) = (known, context.later_than) {
        crashes.record_alive(id, endpoint.record.started_ms, later_than.elapsed());
    }
}

/// How often the VM checks for endpoints whose records were missing too long.
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

/// Applies the record of an endpoint, and returns whether it is valid.
fn put_endpoint(object: &Object, facts: &RefCell<Facts>, pool: &Pool) -> bool {
    let id = object.name.as_str();
    let Some(record) = endpoint::decode_object(object) else {
        spdlog::warn!("endpoint record is not valid", kv: { endpoint = id });
        return false;
    };
    let (address, is_draining) = (record.address, record.is_draining);
    let (service, software) = (record.service.clone(), record.software.clone());
    let is_new = facts.borrow_mut().put_endpoint(id, record);
    if is_new {
        pool.close_idle(address);
        let address = address.to_string();
        spdlog::info!("endpoint added", kv: { endpoint = id, service, software, address });
    }
    if is_draining {
        spdlog::info!("endpoint is draining", kv: { endpoint = id });
        pool.close_idle(address);
    }
    true
}

/// Removes the endpoints `removed`, whose records have vanished. Endpoints
/// whose records probably expired during an outage of the store are kept for a
/// grace period, also if this VM did not notice the outage.
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
        let service = facts.borrow().service_unless_stopping(&id);
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
            spdlog::info!("endpoint record missing, waiting for its return", kv: { endpoint = id, was_unreachable });
        }
    }
}

fn remove_endpoint(id: &str, facts: &RefCell<Facts>, pool: &Pool) {
    if let Some(endpoint) = facts.borrow_mut().remove_endpoint(id) {
        pool.close_idle(endpoint.record.address);
        spdlog::info!("endpoint removed", kv: { endpoint = id });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn batching_of_endpoints_by_drain_bound() {
        let pauses = |drain: Option<u64>| {
            let batching = Batching::of_endpoints(drain.map(Duration::from_millis));
            (batching.store.as_millis(), batching.mirror.as_millis())
        };
        assert_eq!(pauses(None), (120, 120));
        assert_eq!(pauses(Some(0)), (120, 120));
        assert_eq!(pauses(Some(960)), (120, 120));
        assert_eq!(pauses(Some(1600)), (200, 50));
        assert_eq!(pauses(Some(2000)), (250, 50));
        assert_eq!(pauses(Some(3000)), (250, 50));
    }
}
