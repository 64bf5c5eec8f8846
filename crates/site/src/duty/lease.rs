//! The lease under which a VM has the duties.

use std::{
    cell::RefCell,
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

use crate::follow::{self, Change, Contact, Plan};

/// The kind of the object that holds the lease.
const KIND: &str = "duty-leases";
/// Its name.
const NAME: &str = "steward";
/// How often the lease is looked at, at least.
const TICK: Duration = Duration::from_millis(100);
/// A term long enough to outlive a slow store, which answers in 0.25 s, and
/// short enough that weights wait little when its holder is lost. Receivers
/// check the epoch, so an order under a term that has ended is refused.
const TERMS: Terms = Terms {
    ttl: Duration::from_millis(3000),
    margin: Duration::from_millis(500),
    period: Duration::from_millis(800),
};
/// A renewal is heard of as it happens; one that is not is asked for.
const PLAN: Plan = Plan {
    kind: KIND,
    wait: Duration::from_millis(1000),
    gather: Duration::ZERO,
    is_probe: false,
    is_urgent: false,
};

/// The lease as this VM sees it.
#[derive(Clone)]
pub struct Steward(Rc<Inner>);

struct Inner {
    lease: RefCell<Lease>,
    clock: Clock,
    store: Store,
    vm: String,
    contact: Contact,
    /// The object as it was heard of last.
    heard: RefCell<Option<Object>>,
}

impl Steward {
    /// Returns the lease as a process of `vm` that was just started sees it.
    pub fn new(store: Store, contact: Contact, vm: &str) -> Self {
        Self(Rc::new(Inner {
            lease: RefCell::new(Lease::new(rand::random())),
            clock: Clock::default(),
            store,
            vm: vm.to_string(),
            contact,
            heard: RefCell::default(),
        }))
    }

    /// Returns under whose authority orders may be sent now; `None` where
    /// another VM may hold the lease.
    pub fn authority(&self) -> Option<Authority> {
        let epoch = decision::epoch(&self.0.lease.borrow(), self.0.clock.now())?;
        let holder = self.0.vm.clone();
        Some(Authority { holder, epoch })
    }

    /// Keeps trying to hold the lease, for ever.
    pub async fn hold(&self) {
        let mut before = None;
        loop {
            self.turn().await;
            let epoch = self.authority().map(|authority| authority.epoch);
            if epoch != before {
                let change = if epoch.is_some() { "taken" } else { "lost" };
                let number = epoch.or(before).unwrap_or_default();
                spdlog::info!("duties changed", kv: { change, epoch = number });
                before = epoch;
            }
            monoio::time::sleep(TICK).await;
        }
    }

    /// Gives the lease up, so that a successor need not wait its whole term.
    pub async fn release(&self) {
        let step = decision::release(&mut self.0.lease.borrow_mut(), TERMS, &self.0.vm);
        if let Some(Step::Write { version, record }) = step {
            let written = self.write(version, &record).await;
            let is_told = matches!(written, Outcome::Written(_));
            spdlog::info!("duties given up", kv: { is_told });
        }
    }

    async fn turn(&self) {
        let inner = &*self.0;
        let now = inner.clock.now();
        let step = decision::step(&mut inner.lease.borrow_mut(), now, TERMS, &inner.vm);
        match step {
            Step::Wait => {}
            Step::Read => match self.read().await {
                Ok(found) => {
                    let found = found.and_then(|object| Some((object.revision, object.read()?)));
                    let now = inner.clock.now();
                    let mut lease = inner.lease.borrow_mut();
                    decision::read(&mut lease, now, found, TERMS);
                    decision::inherit(&mut lease, now, TERMS, &inner.vm);
                }
                Err(e) => {
                    let problem = e.to_string();
                    spdlog::debug!("lease not read", kv: { problem });
                }
            },
            Step::Write { version, record } => {
                let outcome = self.write(version, &record).await;
                decision::wrote(&mut inner.lease.borrow_mut(), now, record, outcome, TERMS);
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
        let heard = &self.0.heard;
        let apply = |change: Change, _| match change {
            Change::All(mut objects) => *heard.borrow_mut() = objects.pop(),
            Change::Some(events) => {
                if let Some(event) = events.into_iter().next_back() {
                    *heard.borrow_mut() = match event {
                        Event::Put(object) => Some(object),
                        Event::Removed(_) => None,
                    };
                }
            }
        };
        follow::follow(self.0.store.clone(), PLAN, self.0.contact.clone(), apply).await;
    }

    async fn write(&self, version: u64, record: &Record) -> Outcome {
        let store = &self.0.store;
        let written = match version {
            0 => store.create(KIND, NAME, record).await,
            version => store.replace(KIND, NAME, version, record).await,
        };
        match written {
            Ok(Written::Done(object)) => Outcome::Written(object.revision),
            Ok(Written::Conflict(_)) | Err(_) => Outcome::Unsettled,
        }
    }
}
