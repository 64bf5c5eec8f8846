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

use crate::notice::Notice;

/// For how long a VM stands in before it tries the keepers again: a process
/// that was killed is back by then, and has listed what it follows.
const STAND_IN: Duration = Duration::from_secs(6);
/// For how long a keeper that did not answer is asked last: a process that
/// was killed is back by then.
const REST: Duration = Duration::from_millis(2000);
/// How often a VM looks whether it still stands in.
const LOOK: Duration = Duration::from_millis(500);

/// The VMs that keep jobs and take turns at duties; copies share them.
#[derive(Clone, Debug)]
pub struct Keepers(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    vms: RefCell<Vec<SocketAddr>>,
    own: Option<SocketAddr>,
    resting: RefCell<Map<SocketAddr, Instant>>,
    stands_in_until: Cell<Option<Instant>>,
    changed: Notice,
}

impl Keepers {
    /// Returns the keepers at the peer addresses `vms`; `own` is that of this
    /// VM.
    pub fn new(vms: Vec<SocketAddr>, own: Option<SocketAddr>) -> Self {
        Self(Rc::new(Inner {
            vms: RefCell::new(vms),
            own,
            resting: RefCell::default(),
            stands_in_until: Cell::new(None),
            changed: Notice::default(),
        }))
    }

    /// Replaces the VMs that the settings name.
    pub fn set(&self, vms: Vec<SocketAddr>) {
        *self.0.vms.borrow_mut() = vms;
        self.0.changed.raise();
    }

    /// Returns whether the settings name this VM, or none at all.
    pub fn is_named(&self) -> bool {
        let vms = self.0.vms.borrow();
        vms.is_empty() || self.0.own.is_some_and(|own| vms.contains(&own))
    }

    /// Returns whether this VM is a keeper now.
    pub fn is_one(&self, now: Instant) -> bool {
        let stands_in = self.0.stands_in_until.get();
        self.is_named() || stands_in.is_some_and(|until| until > now)
    }

    /// Makes this VM a keeper for a while. `reason` is what it found.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use tarragonseam_site::keeper::Keepers;
    ///
    /// let (seed, own) = ("127.0.0.1:7000".parse()?, "127.0.0.1:7001".parse()?);
    /// let keepers = Keepers::new(vec![seed], Some(own));
    /// assert!(!keepers.is_one(Instant::now()));
    /// keepers.stand_in("no keeper answers");
    /// assert!(keepers.is_one(Instant::now()));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn stand_in(&self, reason: &str) {
        let now = Instant::now();
        if self.is_named() {
            return;
        }
        let is_new = !self.is_one(now);
        self.0.stands_in_until.set(Some(now + STAND_IN));
        if is_new {
            spdlog::warn!("stands in for the keepers", kv: { reason });
            self.0.changed.raise();
        }
    }

    /// Returns the keepers in the order in which they are asked for `subject`;
    /// all VMs that are told the same agree on the first one.
    pub fn of(&self, subject: &str, now: Instant) -> Vec<SocketAddr> {
        let seed = hash::hash_bytes(subject.as_bytes(), 0);
        let mut vms = self.0.vms.borrow().clone();
        vms.sort_by_key(|vm| {
            let rank = hash::rendezvous(seed, &vm.to_string());
            (self.rests(*vm, now), std::cmp::Reverse(rank))
        });
        vms
    }

    /// Returns whether `vm` did not answer a moment ago.
    pub fn rests(&self, vm: SocketAddr, now: Instant) -> bool {
        let resting = self.0.resting.borrow();
        resting.get(&vm).is_some_and(|until| *until > now)
    }

    /// Returns where other VMs reach this one.
    pub fn own(&self) -> Option<SocketAddr> {
        self.0.own
    }

    /// Returns whether `vm` is this VM.
    pub fn is_own(&self, vm: SocketAddr) -> bool {
        self.0.own == Some(vm)
    }

    /// Notes that the keeper `vm` answered.
    pub fn answered(&self, vm: SocketAddr) {
        self.0.resting.borrow_mut().remove(&vm);
    }

    /// Notes that the keeper `vm` did not answer.
    pub fn failed(&self, vm: SocketAddr, now: Instant) {
        self.0.resting.borrow_mut().insert(vm, now + REST);
    }

    /// Runs what `run` returns for as long as this VM is a keeper, and again
    /// when it becomes one again, for ever.
    pub async fn while_one<F: Future<Output = ()>>(&self, run: impl Fn() -> F) {
        loop {
            self.until(true).await;
            monoio::select! {
                () = run() => {}
                () = self.until(false) => {}
            }
        }
    }

    /// Waits until this VM is a keeper, or is none.
    pub async fn until(&self, is_one: bool) {
        loop {
            let seen = self.0.changed.count();
            if self.is_one(Instant::now()) == is_one {
                return;
            }
            if is_one || self.is_named() {
                self.0.changed.past(seen).await;
            } else {
                self.0.changed.past_or(seen, LOOK).await;
            }
        }
    }
}
