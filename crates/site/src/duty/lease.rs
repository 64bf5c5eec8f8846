//! The lease under which a VM has the duties.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use board::lease::{Lease, Record, Terms};
use link::clock::Clock;
use platform::{
    order::Authority,
    store::{Error, Event, Object, Store, Written},
};
use policy::lease::{self as decision, Outcome, Step};

use crate::{
    follow::{self, Change, Contact, Plan},
    keeper::Keepers,
};

/// The kind of the object that holds the lease.
const KIND: &str = "duty-leases";
/// Its name.
const NAME: &str = "steward";
/// How often the lease is looked at, at least.
const TICK: Duration = Duration::from_millis(100);
/// How often a VM that is no keeper looks at it.
const FAR_TICK: Duration = Duration::from_millis(1000);
/// What is kept of a term for calls that are under way when it ends: a slow
/// store answers in 0.25 s.
const MARGIN: Duration = Duration::from_millis(500);
/// How often VMs that do not hold the lease look at it.
const PERIOD: Duration = Duration::from_millis(800);
/// A renewal is heard of as it happens; one that is not is asked for.
const PLAN: Plan = Plan {
    kind: KIND,
    wait: Duration::from_millis(1000),
    gather: Duration::ZERO,
    is_probe: false,
    is_urgent: false,
};
/// VMs that are no keepers only look whether the lease lives.
const FAR_PLAN: Plan = Plan {
    wait: Duration::from_millis(3000),
    gather: Duration::from_millis(1500),
    ..PLAN
};
/// After how long without a renewal that is heard of such a VM stands in: a
/// keeper takes a lapsed lease within 4 s, and is heard of 3 s later.
const ABANDONED: Duration = Duration::from_millis(8000);

/// The lease as this VM sees it.
#[derive(Clone)]
pub struct Steward(Rc<Inner>);

struct Inner {
    lease: RefCell<Lease>,
    clock: Clock,
    terms: Terms,
    store: Store,
    vm: String,
    contact: Contact,
    /// The object as it was heard of last.
    heard: RefCell<Option<Object>>,
    /// When it was heard of last, or this process began.
    heard_at: Cell<Instant>,
    keepers: Keepers,
    /// Whether this VM takes the lease no more.
    is_leaving: Cell<bool>,
}

impl Steward {
    /// Returns the lease as a process of `vm` that was just started sees it.
    /// It lasts `ttl`, within which receivers must not see two holders in turn.
    pub fn new(store: Store, contact: Contact, vm: &str, keepers: Keepers, ttl: Duration) -> Self {
        let terms = Terms {
            ttl,
            margin: MARGIN,
            period: PERIOD,
        };
        Self(Rc::new(Inner {
            terms,
            lease: RefCell::new(Lease::new(rand::random())),
            clock: Clock::default(),
            store,
            vm: vm.to_string(),
            contact,
            heard: RefCell::default(),
            heard_at: Cell::new(Instant::now()),
            keepers,
            is_leaving: Cell::new(false),
        }))
    }

    /// Returns under whose authority orders may be sent now; `None` where
    /// another VM may hold the lease.
    pub fn authority(&self) -> Option<Authority> {
        let epoch = decision::epoch(&self.0.lease.borrow(), self.0.clock.now())?;
        let holder = self.0.vm.clone();
        Some(Authority { holder, epoch })
    }

    /// Keeps trying to hold the lease while this VM is a keeper, until it
    /// leaves.
    pub async fn hold(&self) {
        let mut before = None;
        while !self.0.is_leaving.get() {
            if !self.0.keepers.is_one(Instant::now()) {
                self.look();
                monoio::time::sleep(FAR_TICK).await;
                continue;
            }
            self.turn().await;
            let epoch = self.authority().map(|authority| authority.epoch);
            if epoch.is_some() {
                self.0.keepers.stand_in("it holds the lease of the duties");
            }
            if epoch != before {
                let change = if epoch.is_some() { "taken" } else { "lost" };
                let number = epoch.or(before).unwrap_or_default();
                spdlog::info!("duties changed", kv: { change, epoch = number });
                before = epoch;
            }
            monoio::time::sleep(TICK).await;
        }
    }

    /// Makes this VM stand in if nobody renews the lease.
    fn look(&self) {
        let now = Instant::now();
        let silence = now.saturating_duration_since(self.0.heard_at.get());
        // Silence counts only while this VM would have heard.
        if silence.min(self.0.contact.steady(now)) >= ABANDONED {
            self.0
                .keepers
                .stand_in("nobody renews the lease of the duties");
        }
    }

    /// Gives the lease up, so that a successor need not wait its whole term, and
    /// takes it no more.
    pub async fn release(&self) {
        self.0.is_leaving.set(true);
        let inner = &*self.0;
        let step = decision::release(&mut inner.lease.borrow_mut(), inner.terms, &inner.vm);
        if let Some(Step::Write { version, record }) = step {
            let written = self.write(version, &record).await;
            let is_told = matches!(written, Outcome::Written(_));
            spdlog::info!("duties given up", kv: { is_told });
        }
    }

    async fn turn(&self) {
        let inner = &*self.0;
        let now = inner.clock.now();
        let step = decision::step(&mut inner.lease.borrow_mut(), now, inner.terms, &inner.vm);
        match step {
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
                    spdlog::debug!("lease not read", kv: { problem });
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

    /// Returns the object as it was heard of, while this VM hears of changes;
    /// else as the store has it.
    async fn read(&self) -> Result<Option<Object>, Error> {
        let inner = &*self.0;
        let is_unsettled = inner.lease.borrow().unsettled.is_some();
        let is_heard = inner.contact.steady(Instant::now()) > Duration::ZERO;
        if is_heard && !is_unsettled {
            return Ok(inner.heard.borrow().clone());
        }
        inner.store.get(KIND, NAME).await
    }

    /// Follows the lease, for ever.
    pub async fn follow(&self) {
        let keepers = &self.0.keepers;
        loop {
            let is_one = keepers.is_one(Instant::now());
            let plan = if is_one { PLAN } else { FAR_PLAN };
            monoio::select! {
                () = self.follow_with(plan) => {}
                () = keepers.until(!is_one) => {}
            }
        }
    }

    async fn follow_with(&self, plan: Plan) {
        let apply = |change: Change, _| match change {
            Change::All(mut objects) => self.hear(objects.pop()),
            Change::Some(events) => match events.into_iter().next_back() {
                Some(Event::Put(object)) => self.hear(Some(object)),
                Some(Event::Removed(_)) => self.hear(None),
                None => {}
            },
        };
        follow::follow(self.0.store.clone(), plan, self.0.contact.clone(), apply).await;
    }

    fn hear(&self, object: Option<Object>) {
        let revision = |object: &Option<Object>| object.as_ref().map(|object| object.revision);
        let mut heard = self.0.heard.borrow_mut();
        if revision(&heard) != revision(&object) {
            self.0.heard_at.set(Instant::now());
        }
        *heard = object;
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
