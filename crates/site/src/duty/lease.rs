//! The lease under which a VM performs the duties.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use board::lease::{Lease, Record, Terms};
use link::{clock::Clock, http::client::Fence};
use platform::{
    order::Authority,
    settings::Bounds,
    store::{Error, Event, Object, Store, Written},
};
use policy::lease::{self as decision, Outcome, Step};

use crate::{
    coordinator::Coordinators,
    follow::{self, Change, Plan, View},
    path::Paths,
};

/// The kind of the object that holds the lease.
const KIND: &str = "duty-leases";
/// The name of the object that holds the lease.
const NAME: &str = "steward";
/// How often a coordinator runs one step of the lease protocol.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// How often a VM that is not a coordinator checks whether the lease was
/// abandoned.
const ABANDONED_CHECK_PERIOD: Duration = Duration::from_millis(1000);
/// The safety margin at the end of a term, for calls that are still in flight
/// then. A slow store answers in 0.25 s.
const TERM_MARGIN: Duration = Duration::from_millis(500);
/// How often coordinators that do not hold the lease read it.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(800);
/// The plan with which coordinators follow the lease. The watch returns at each
/// renewal.
const COORDINATOR_PLAN: Plan = Plan {
    kind: KIND,
    wait: Duration::from_millis(1000),
    batch_time: Duration::ZERO,
    is_probe: false,
    is_required: false,
};
/// The plan with which other VMs follow the lease. They only check whether it
/// is still renewed.
const OBSERVER_PLAN: Plan = Plan {
    wait: Duration::from_millis(3000),
    batch_time: Duration::from_millis(1500),
    ..COORDINATOR_PLAN
};
/// How long the lease may go without a renewal before a VM that is not a
/// coordinator becomes a temporary one. A coordinator acquires an expired lease
/// within 4 s, and other VMs see that up to 3 s later.
const ABANDONED_AFTER: Duration = Duration::from_millis(8000);

/// The same for a lease that its holder has released, as when all coordinators
/// are cut off from the endpoints. A coordinator acquires it within 2 s.
const UNCLAIMED_AFTER: Duration = Duration::from_millis(3500);

/// Competes for the lease on behalf of this VM, and follows it in the store.
/// Clones share the state.
#[derive(Clone)]
pub struct Manager(Rc<Inner>);

struct Inner {
    lease: RefCell<Lease>,
    clock: Clock,
    terms: Terms,
    store: Store,
    vm: String,
    view: View,
    /// The latest known version of the object.
    object: RefCell<Option<Object>>,
    /// When the object last changed, or when this process started.
    changed_at: Cell<Instant>,
    coordinators: Coordinators,
    paths: Paths,
    /// Whether this VM has released the lease and no longer competes for it.
    is_released: Cell<bool>,
}

impl Manager {
    /// Returns the lease manager of a process of `vm` that was just started.
    pub fn new(
        store: Store,
        view: View,
        vm: &str,
        coordinators: Coordinators,
        paths: Paths,
        bounds: &Bounds,
    ) -> Self {
        let terms = Terms {
            ttl: bounds.lease_ttl,
            margin: TERM_MARGIN,
            period: LEASE_CHECK_PERIOD,
            is_epoch_checked: bounds.are_epochs_checked,
        };
        Self(Rc::new(Inner {
            terms,
            lease: RefCell::new(Lease::new(rand::random())),
            clock: Clock::default(),
            store,
            vm: vm.to_string(),
            view,
            object: RefCell::default(),
            changed_at: Cell::new(Instant::now()),
            coordinators,
            paths,
            is_released: Cell::new(false),
        }))
    }

    /// Returns the holder and the epoch under which orders may be sent now, or
    /// `None` if this VM does not hold the lease.
    pub fn authority(&self) -> Option<Authority> {
        let epoch = self.epoch()?;
        let holder = self.0.vm.clone();
        let lease = self.clone();
        let fence = Fence::new(move || lease.epoch() == Some(epoch));
        Some(Authority {
            holder,
            epoch,
            fence,
        })
    }

    fn epoch(&self) -> Option<u64> {
        decision::epoch(&self.0.lease.borrow(), self.0.clock.now())
    }

    /// Competes for the lease and renews it while this VM is a coordinator.
    /// Returns after [`release`](Self::release).
    pub async fn run(&self) {
        let mut previous = None;
        // A holder stays a coordinator, so that it renews the lease and performs
        // the duties, whatever the settings say meanwhile.
        let mut tenure = None;
        while !self.0.is_released.get() {
            if !self.0.coordinators.is_coordinator(Instant::now()) {
                self.check_abandoned();
                monoio::time::sleep(ABANDONED_CHECK_PERIOD).await;
                continue;
            }
            if self.0.paths.is_cut_off() {
                // Endpoints take orders from the VM that holds the lease, so
                // these cannot go through another one.
                self.give_up().await;
            } else {
                self.step().await;
            }
            let epoch = self.epoch();
            if epoch.is_none() {
                tenure = None;
            } else if tenure.is_none() {
                let coordinators = &self.0.coordinators;
                tenure = Some(coordinators.hold("this VM holds the duty lease"));
            }
            if epoch != previous {
                let change = if epoch.is_some() { "taken" } else { "lost" };
                let number = epoch.or(previous).unwrap_or_default();
                spdlog::info!("duty lease changed", kv: { change, epoch = number });
                previous = epoch;
            }
            monoio::time::sleep(STEP_PERIOD).await;
        }
    }

    /// Makes this VM a temporary coordinator if no VM renews the lease.
    fn check_abandoned(&self) {
        let now = Instant::now();
        let silence = now.saturating_duration_since(self.0.changed_at.get());
        // Time in which this VM was not connected does not count, because it
        // could not have seen a renewal.
        let silence = silence.min(self.0.view.connected_for(now));
        let coordinators = &self.0.coordinators;
        if silence >= ABANDONED_AFTER {
            coordinators.join_temporarily("no VM renews the duty lease");
        } else if silence >= UNCLAIMED_AFTER && self.is_unclaimed() {
            coordinators.join_temporarily("no VM acquires the released duty lease");
        }
    }

    /// Returns whether the last holder has released the lease.
    fn is_unclaimed(&self) -> bool {
        let object = self.0.object.borrow();
        let record: Option<Record> = object.as_ref().and_then(Object::read);
        // A release has a shorter TTL than a renewal.
        record.is_some_and(|record| Duration::from_millis(record.ttl_ms) < self.0.terms.ttl)
    }

    /// Releases the lease, so that a successor need not wait for the end of the
    /// term, and stops competing for it.
    pub async fn release(&self) {
        self.0.is_released.set(true);
        self.give_up().await;
    }

    /// Releases the lease if this VM holds it.
    async fn give_up(&self) {
        let inner = &*self.0;
        let now = inner.clock.now();
        let step = decision::release(&mut inner.lease.borrow_mut(), now, inner.terms, &inner.vm);
        if let Some(Step::Write { version, record }) = step {
            let written = self.write(version, &record).await;
            let is_written = matches!(written, Outcome::Written(_));
            spdlog::info!("duty lease released", kv: { is_told = is_written });
        }
    }

    async fn step(&self) {
        let inner = &*self.0;
        let now = inner.clock.now();
        let step = decision::step(&mut inner.lease.borrow_mut(), now, inner.terms, &inner.vm);
        let is_holder = inner.lease.borrow().held.is_some();
        match step {
            // A VM without traffic may not know yet that it is cut off.
            Step::Write { .. } if !is_holder && !inner.paths.has_links().await => {}
            Step::Wait => {}
            Step::Read => match self.read().await {
                Ok(found) => {
                    let found = found.and_then(|object| Some((object.revision, object.read()?)));
                    let now = inner.clock.now();
                    let mut lease = inner.lease.borrow_mut();
                    decision::record_read(&mut lease, now, found, inner.terms);
                    decision::expire_predecessor(&mut lease, now, inner.terms, &inner.vm);
                }
                Err(e) => {
                    let problem = e.to_string();
                    spdlog::debug!("reading the duty lease failed", kv: { problem });
                }
            },
            Step::Write { version, record } => {
                let outcome = self.write(version, &record).await;
                decision::record_write(
                    &mut inner.lease.borrow_mut(),
                    now,
                    record,
                    outcome,
                    inner.terms,
                );
            }
        }
    }

    /// Returns the object that the watch received last. Reads it from the store
    /// if the watch fails or the outcome of a write is unknown.
    async fn read(&self) -> Result<Option<Object>, Error> {
        let inner = &*self.0;
        let is_outcome_unknown = !inner.lease.borrow().pending_writes.is_empty();
        let is_connected = inner.view.connected_for(Instant::now()) > Duration::ZERO;
        if is_connected && !is_outcome_unknown {
            return Ok(inner.object.borrow().clone());
        }
        inner.store.get(KIND, NAME).await
    }

    /// Follows the lease in the store. Never returns.
    pub async fn follow(&self) {
        let coordinators = &self.0.coordinators;
        loop {
            let is_coordinator = coordinators.is_coordinator(Instant::now());
            let plan = if is_coordinator {
                COORDINATOR_PLAN
            } else {
                OBSERVER_PLAN
            };
            monoio::select! {
                () = self.follow_plan(plan) => {}
                () = coordinators.wait_until(!is_coordinator) => {}
            }
        }
    }

    async fn follow_plan(&self, plan: Plan) {
        let apply = |change: Change, _| match change {
            Change::Snapshot(mut objects) => self.record_object(objects.pop()),
            Change::Events(events) => match events.into_iter().next_back() {
                Some(Event::Put(object)) => self.record_object(Some(object)),
                Some(Event::Removed(_)) => self.record_object(None),
                None => {}
            },
        };
        follow::follow(self.0.store.clone(), plan, self.0.view.clone(), apply).await;
    }

    fn record_object(&self, object: Option<Object>) {
        let revision = |object: &Option<Object>| object.as_ref().map(|object| object.revision);
        let mut known = self.0.object.borrow_mut();
        if revision(&known) != revision(&object) {
            self.0.changed_at.set(Instant::now());
        }
        *known = object;
    }

    async fn write(&self, version: u64, record: &Record) -> Outcome {
        let store = &self.0.store;
        let written = match version {
            0 => store.create(KIND, NAME, record).await,
            version => store.replace(KIND, NAME, version, record).await,
        };
        match written {
            Ok(Written::Done(object)) => Outcome::Written(object.revision),
            Ok(Written::Conflict(_)) | Err(_) => Outcome::Unknown,
        }
    }
}
