//! The coordinators: the VMs that run jobs and compete for the duty lease.
//!
//! They are the VMs that the settings name as seeds. When all of these are lost,
//! deputies take their place: VMs that the coordinators have chosen before
//! ([`policy::deputy`]). They become temporary coordinators, as does any other VM
//! that reaches none of both. VMs that are not coordinators do not follow the
//! jobs in the store, so the cost of a job does not grow with the number of VMs.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::{self, Map, Set};

use crate::notify::Notifier;

/// How long a VM remains a temporary coordinator. A coordinator that was
/// killed has restarted by then, and has listed the kinds that it follows.
const TEMPORARY_TERM: Duration = Duration::from_secs(6);
/// How long a coordinator that did not answer is ranked last. A process that
/// was killed has restarted by then.
const BACKOFF: Duration = Duration::from_millis(2000);
/// How often a temporary coordinator checks whether its time has ended.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The set of coordinators, as this VM knows it. Clones share the set.
#[derive(Clone, Debug)]
pub struct Coordinators(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    seeds: RefCell<Vec<SocketAddr>>,
    own_address: Option<SocketAddr>,
    /// The VMs that stand in for the seeds, in the order in which they are called.
    deputies: RefCell<Vec<SocketAddr>>,
    backoff_until: RefCell<Map<SocketAddr, Instant>>,
    /// The VMs that have not answered since they failed to.
    failing: RefCell<Set<SocketAddr>>,
    temporary_until: Cell<Option<Instant>>,
    /// The number of tenures that have not ended.
    tenures: Cell<usize>,
    changed: Notifier,
}

/// Keeps this VM a coordinator until it is dropped and for a while after,
/// whatever seeds the settings name meanwhile.
#[derive(Debug)]
pub struct Tenure(Coordinators);

impl Drop for Tenure {
    fn drop(&mut self) {
        let inner = &self.0.0;
        inner.tenures.set(inner.tenures.get() - 1);
        if !self.0.is_seed() {
            let end = Instant::now() + TEMPORARY_TERM;
            inner.temporary_until.set(Some(end));
        }
    }
}

impl Coordinators {
    /// Returns the coordinators with the peer addresses `seeds`. `own` is the
    /// peer address of this VM.
    pub fn new(seeds: Vec<SocketAddr>, own: Option<SocketAddr>) -> Self {
        Self(Rc::new(Inner {
            seeds: RefCell::new(seeds),
            own_address: own,
            deputies: RefCell::default(),
            backoff_until: RefCell::default(),
            failing: RefCell::default(),
            temporary_until: Cell::new(None),
            tenures: Cell::new(0),
            changed: Notifier::default(),
        }))
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        let was_seed = self.is_seed();
        *self.0.seeds.borrow_mut() = seeds;
        let (is_seed, tenures) = (self.is_seed(), self.0.tenures.get());
        if is_seed != was_seed {
            spdlog::info!("settings changed whether this VM is a seed", kv: { is_seed, tenures });
        }
        self.0.changed.notify();
    }

    /// Returns the seeds, in an order that is the same on all VMs with the same
    /// settings.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.0.seeds.borrow().clone()
    }

    /// Replaces the deputies.
    pub fn set_deputies(&self, deputies: Vec<SocketAddr>) {
        if *self.0.deputies.borrow() != deputies {
            let is_deputy = self
                .0
                .own_address
                .is_some_and(|own| deputies.contains(&own));
            let count = deputies.len();
            spdlog::info!("deputies of the coordinators changed", kv: { count, is_deputy });
            *self.0.deputies.borrow_mut() = deputies;
            self.0.changed.notify();
        }
    }

    /// Returns the deputies, in the order in which they are called.
    pub fn deputies(&self) -> Vec<SocketAddr> {
        self.0.deputies.borrow().clone()
    }

    /// Returns whether this VM is a deputy.
    pub fn is_deputy(&self) -> bool {
        let own = self.0.own_address;
        own.is_some_and(|own| self.0.deputies.borrow().contains(&own))
    }

    /// Returns whether `vm` is a seed.
    pub(crate) fn has_seed(&self, vm: SocketAddr) -> bool {
        self.0.seeds.borrow().contains(&vm)
    }

    /// Returns the number of seeds.
    pub fn count(&self) -> usize {
        self.0.seeds.borrow().len()
    }

    /// Returns whether the settings name this VM as a seed, or name no seeds.
    pub fn is_seed(&self) -> bool {
        let seeds = self.0.seeds.borrow();
        seeds.is_empty() || self.0.own_address.is_some_and(|own| seeds.contains(&own))
    }

    /// Returns whether this VM is a coordinator now.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        let temporary_until = self.0.temporary_until.get();
        self.is_seed()
            || self.0.tenures.get() > 0
            || temporary_until.is_some_and(|until| until > now)
    }

    /// Makes this VM a temporary coordinator unless it is a seed. `reason` is
    /// written to the log.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use tarragonseam_site::coordinator::Coordinators;
    ///
    /// let (seed, own) = ("127.0.0.1:7000".parse()?, "127.0.0.1:7001".parse()?);
    /// let coordinators = Coordinators::new(vec![seed], Some(own));
    /// assert!(!coordinators.is_coordinator(Instant::now()));
    /// coordinators.join_temporarily("no coordinator answers");
    /// assert!(coordinators.is_coordinator(Instant::now()));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn join_temporarily(&self, reason: &str) {
        drop(self.hold(reason));
    }

    /// Makes this VM a coordinator, and keeps it one until the tenure is dropped,
    /// also if the settings stop naming it as a seed. `reason` is written to the
    /// log if this VM was no coordinator.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use tarragonseam_site::coordinator::Coordinators;
    ///
    /// let (other, own) = ("127.0.0.1:7000".parse()?, "127.0.0.1:7001".parse()?);
    /// let coordinators = Coordinators::new(vec![own], Some(own));
    /// let tenure = coordinators.hold("this VM runs a job");
    /// coordinators.set_seeds(vec![other]);
    /// assert!(coordinators.is_coordinator(Instant::now()));
    /// drop(tenure);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use = "the tenure ends when it is dropped"]
    pub fn hold(&self, reason: &str) -> Tenure {
        let is_new = !self.is_coordinator(Instant::now());
        self.0.tenures.set(self.0.tenures.get() + 1);
        if is_new {
            spdlog::warn!("became a temporary coordinator", kv: { reason });
            self.0.changed.notify();
        }
        Tenure(self.clone())
    }

    /// Returns the seeds in the order in which they are called about
    /// `subject`. All VMs with the same seeds rank them alike by rendezvous
    /// hashing, except that a seed that is backing off comes last.
    pub fn rank(&self, subject: &str, now: Instant) -> Vec<SocketAddr> {
        let hash_seed = hash::hash_bytes(subject.as_bytes(), 0);
        let mut seeds = self.0.seeds.borrow().clone();
        seeds.sort_by_key(|vm| {
            let rank = hash::rendezvous(hash_seed, &vm.to_string());
            (self.is_backing_off(*vm, now), std::cmp::Reverse(rank))
        });
        seeds
    }

    /// Returns the seeds and the deputies in the order in which they are called
    /// about `subject`: the seeds that answer, the deputies that answer, then the
    /// others. If no seed has answered since it failed, all seeds are behind the
    /// deputies, also after their backoffs: each of them costs a timeout.
    pub fn rank_with_deputies(&self, subject: &str, now: Instant) -> Vec<SocketAddr> {
        let seeds = self.rank(subject, now);
        let failing = self.0.failing.borrow();
        let are_seeds_lost = seeds.iter().all(|seed| failing.contains(seed));
        let deputies = self.deputies().into_iter();
        let deputies = deputies.filter(|vm| !seeds.contains(vm));
        let is_up = |vm: &SocketAddr| !self.is_backing_off(*vm, now);
        let (up, down): (Vec<_>, Vec<_>) = deputies.partition(is_up);
        let (first, last): (Vec<_>, Vec<_>) = seeds
            .into_iter()
            .partition(|vm| is_up(vm) && !are_seeds_lost);
        [first, up, last, down].concat()
    }

    /// Returns whether `vm` recently failed to answer.
    pub fn is_backing_off(&self, vm: SocketAddr, now: Instant) -> bool {
        let backoffs = self.0.backoff_until.borrow();
        backoffs.get(&vm).is_some_and(|until| *until > now)
    }

    /// Returns the address at which other VMs reach this one.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.0.own_address
    }

    /// Returns whether `vm` is this VM.
    pub fn is_own(&self, vm: SocketAddr) -> bool {
        self.0.own_address == Some(vm)
    }

    /// Records that `vm` answered, which ends its backoff.
    pub fn record_success(&self, vm: SocketAddr) {
        self.0.backoff_until.borrow_mut().remove(&vm);
        self.0.failing.borrow_mut().remove(&vm);
    }

    /// Records that `vm` did not answer, which starts its backoff.
    pub fn record_failure(&self, vm: SocketAddr, now: Instant) {
        self.0.backoff_until.borrow_mut().insert(vm, now + BACKOFF);
        self.0.failing.borrow_mut().insert(vm);
    }

    /// Waits until the seeds or the deputies may have changed since `seen`
    /// changes, and returns the number of changes.
    pub(crate) async fn wait_for_change(&self, seen: Option<u64>) -> u64 {
        if let Some(seen) = seen {
            self.0.changed.wait(seen).await;
        }
        self.0.changed.count()
    }

    /// Runs the future that `run` returns while this VM is a coordinator, and
    /// drops it when this VM ceases to be one. Starts again each time that
    /// this VM becomes a coordinator. Never returns.
    pub async fn run_while_coordinator<F: Future<Output = ()>>(&self, run: impl Fn() -> F) {
        loop {
            self.wait_until(true).await;
            monoio::select! {
                () = run() => {}
                () = self.wait_until(false) => {}
            }
        }
    }

    /// Waits until [`is_coordinator`](Self::is_coordinator) returns
    /// `is_coordinator`.
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
