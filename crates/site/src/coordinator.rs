//! Which VMs keep the jobs and take turns at the duties: those that the
//! settings name as seeds, and any other VM for a while once it reaches none
//! of them. The rest follow neither, so what a job costs does not grow with
//! the number of VMs.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::{self, Map};

use crate::notify::Notifier;

/// For how long a VM stands in before it tries the keepers again: a process
/// that was killed is back by then, and has listed what it follows.
const TEMPORARY_TERM: Duration = Duration::from_secs(6);
/// For how long a keeper that did not answer is asked last: a process that
/// was killed is back by then.
const BACKOFF: Duration = Duration::from_millis(2000);
/// How often a VM looks whether it still stands in.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The VMs that keep jobs and take turns at duties; copies share them.
#[derive(Clone, Debug)]
pub struct Coordinators(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    seeds: RefCell<Vec<SocketAddr>>,
    own_address: Option<SocketAddr>,
    backoff_until: RefCell<Map<SocketAddr, Instant>>,
    temporary_until: Cell<Option<Instant>>,
    changed: Notifier,
}

impl Coordinators {
    /// Returns the keepers at the peer addresses `vms`; `own` is that of this
    /// VM.
    pub fn new(vms: Vec<SocketAddr>, own: Option<SocketAddr>) -> Self {
        Self(Rc::new(Inner {
            seeds: RefCell::new(vms),
            own_address: own,
            backoff_until: RefCell::default(),
            temporary_until: Cell::new(None),
            changed: Notifier::default(),
        }))
    }

    /// Replaces the VMs that the settings name.
    pub fn set_seeds(&self, vms: Vec<SocketAddr>) {
        *self.0.seeds.borrow_mut() = vms;
        self.0.changed.notify();
    }

    /// Returns whether the settings name this VM, or none at all.
    pub fn is_seed(&self) -> bool {
        let vms = self.0.seeds.borrow();
        vms.is_empty() || self.0.own_address.is_some_and(|own| vms.contains(&own))
    }

    /// Returns whether this VM is a keeper now.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        let temporary_until = self.0.temporary_until.get();
        self.is_seed() || temporary_until.is_some_and(|until| until > now)
    }

    /// Makes this VM a keeper for a while. `reason` is what it found.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use tarragonseam_site::coordinator::Coordinators;
    ///
    /// let (seed, own) = ("127.0.0.1:7000".parse()?, "127.0.0.1:7001".parse()?);
    /// let coordinators = Coordinators::new(vec![seed], Some(own));
    /// assert!(!coordinators.is_one(Instant::now()));
    /// coordinators.stand_in("no keeper answers");
    /// assert!(coordinators.is_one(Instant::now()));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn join_temporarily(&self, reason: &str) {
        let now = Instant::now();
        if self.is_seed() {
            return;
        }
        let is_new = !self.is_coordinator(now);
        self.0.temporary_until.set(Some(now + TEMPORARY_TERM));
        if is_new {
            spdlog::warn!("stands in for the keepers", kv: { reason });
            self.0.changed.notify();
        }
    }

    /// Returns the keepers in the order in which they are asked for `subject`;
    /// all VMs that are told the same agree on the first one.
    pub fn rank(&self, subject: &str, now: Instant) -> Vec<SocketAddr> {
        let seed = hash::hash_bytes(subject.as_bytes(), 0);
        let mut vms = self.0.seeds.borrow().clone();
        vms.sort_by_key(|vm| {
            let rank = hash::rendezvous(seed, &vm.to_string());
            (self.is_backing_off(*vm, now), std::cmp::Reverse(rank))
        });
        vms
    }

    /// Returns whether `vm` did not answer a moment ago.
    pub fn is_backing_off(&self, vm: SocketAddr, now: Instant) -> bool {
        let backoffs = self.0.backoff_until.borrow();
        backoffs.get(&vm).is_some_and(|until| *until > now)
    }

    /// Returns where other VMs reach this one.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.0.own_address
    }

    /// Returns whether `vm` is this VM.
    pub fn is_own(&self, vm: SocketAddr) -> bool {
        self.0.own_address == Some(vm)
    }

    /// Notes that the keeper `vm` answered.
    pub fn record_success(&self, vm: SocketAddr) {
        self.0.backoff_until.borrow_mut().remove(&vm);
    }

    /// Notes that the keeper `vm` did not answer.
    pub fn record_failure(&self, vm: SocketAddr, now: Instant) {
        self.0.backoff_until.borrow_mut().insert(vm, now + BACKOFF);
    }

    /// Runs what `run` returns for as long as this VM is a keeper, and again
    /// when it becomes one again, for ever.
    pub async fn run_while_coordinator<F: Future<Output = ()>>(&self, run: impl Fn() -> F) {
        loop {
            self.wait_until(true).await;
            monoio::select! {
                () = run() => {}
                () = self.wait_until(false) => {}
            }
        }
    }

    /// Waits until this VM is a keeper, or is none.
    pub async fn wait_until(&self, is_coordinator: bool) {
        loop {
            let seen = self.0.changed.count();
            if self.is_coordinator(Instant::now()) == is_coordinator {
                return;
            }
            if is_coordinator || self.is_seed() {
                self.0.changed.wait(seen).await;
            } else {
                self.0.changed.wait_timeout(seen, EXPIRY_CHECK_PERIOD).await;
            }
        }
    }
}
