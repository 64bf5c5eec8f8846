//! The VMs of the deployment. Each VM announces its peer address to the
//! coordinators, which return the addresses of the others. Nothing is stored.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::{self, Map};
use link::{
    StatusCode,
    http::{Request, server::Reply},
};

use crate::{ask, coordinator::Coordinators, notify::Notifier};

/// The path at which VMs announce themselves.
pub(crate) const PATH: &str = "/vms";
/// How often a VM announces itself.
const PERIOD: Duration = Duration::from_secs(10);
/// How soon a VM announces itself again if no coordinator answered.
const RETRY_PERIOD: Duration = Duration::from_secs(1);
/// How long after its last announcement a VM is listed.
const RETENTION: Duration = Duration::from_secs(25);
/// The number of VMs that a coordinator returns.
const LISTED_MAX: usize = 16;

board::record! {
    /// What a VM announces.
    struct Announcement {
        /// Its peer address.
        address: SocketAddr,
        /// Whether it has lost its links to all endpoints.
        is_cut_off: bool,
    }
}

board::record! {
    /// Peer addresses of VMs that have their links.
    struct Listing(Vec<SocketAddr>);
}

/// The VMs that this VM knows. Clones share the set.
#[derive(Clone)]
pub struct Members(Rc<Inner>);

struct Inner {
    coordinators: Coordinators,
    client: ask::Client,
    /// The last announcement of each VM, and when it arrived, on a coordinator.
    announced: RefCell<Map<SocketAddr, (Announcement, Instant)>>,
    /// What coordinators returned last.
    listed: RefCell<Vec<SocketAddr>>,
    is_cut_off: Cell<bool>,
    changed: Notifier,
}

impl Members {
    /// Returns an empty set, which `coordinators` fill.
    pub fn new(coordinators: Coordinators, client: ask::Client) -> Self {
        Self(Rc::new(Inner {
            coordinators,
            client,
            announced: RefCell::default(),
            listed: RefCell::default(),
            is_cut_off: Cell::new(false),
            changed: Notifier::default(),
        }))
    }

    /// Records whether this VM has lost its links to all endpoints, and announces
    /// a change at once.
    pub(crate) fn set_cut_off(&self, is_cut_off: bool) {
        if self.0.is_cut_off.replace(is_cut_off) != is_cut_off {
            self.0.changed.notify();
        }
    }

    /// Returns the peer addresses of other VMs that had their links when they were
    /// last heard of, in an order that differs by VM.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        let coordinators = &self.0.coordinators;
        let own = coordinators.own_address();
        let seed = hash::hash_value(&own);
        let mut others = self.linked();
        others.extend(self.0.listed.borrow().iter());
        others.retain(|vm| !coordinators.is_own(*vm));
        // Coordinators are known before anything is announced.
        if others.is_empty() {
            others = coordinators.rank(PATH, Instant::now());
            others.retain(|vm| !coordinators.is_own(*vm));
        }
        others.sort_by_key(|vm| hash::rendezvous(seed, &vm.to_string()));
        others.dedup();
        others
    }

    /// Returns the VMs that announced that they have their links.
    fn linked(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut announced = self.0.announced.borrow_mut();
        announced.retain(|_, (_, at)| now.saturating_duration_since(*at) < RETENTION);
        let linked = announced.values().filter(|(vm, _)| !vm.is_cut_off);
        linked.map(|(vm, _)| vm.address).collect()
    }

    /// Announces this VM periodically and when its links change. Never returns.
    pub(crate) async fn run(self) {
        loop {
            let seen = self.0.changed.count();
            let is_listed = self.announce().await;
            let pause = if is_listed { PERIOD } else { RETRY_PERIOD };
            self.0.changed.wait_timeout(seen, pause).await;
        }
    }

    /// Announces this VM to all coordinators, and returns whether one answered.
    async fn announce(&self) -> bool {
        let coordinators = &self.0.coordinators;
        let Some(address) = coordinators.own_address() else {
            return true;
        };
        let announcement = Announcement {
            address,
            is_cut_off: self.0.is_cut_off.get(),
        };
        let mut listed = Vec::new();
        let mut is_listed = false;
        for vm in coordinators.rank(PATH, Instant::now()) {
            if coordinators.is_own(vm) {
                self.put(announcement.clone());
                is_listed = true;
                continue;
            }
            match self.0.client.ask::<Listing>(vm, PATH, &announcement).await {
                Ok(answer) => {
                    is_listed = true;
                    listed.extend(answer.0);
                }
                Err(problem) => {
                    let vm = vm.to_string();
                    spdlog::debug!("coordinator did not answer an announcement", kv: { vm, problem });
                }
            }
        }
        listed.sort();
        listed.dedup();
        *self.0.listed.borrow_mut() = listed;
        is_listed
    }

    fn put(&self, announcement: Announcement) {
        let mut announced = self.0.announced.borrow_mut();
        announced.insert(announcement.address, (announcement, Instant::now()));
    }

    /// Answers the announcement of another VM.
    pub(crate) fn answer(&self, request: &Request) -> Reply {
        let announcement = match request.json::<Announcement>() {
            Ok(announcement) => announcement,
            Err(reply) => return reply,
        };
        let asker = announcement.address;
        self.put(announcement);
        let mut listed = self.linked();
        listed.retain(|vm| *vm != asker);
        let seed = hash::hash_value(&asker);
        listed.sort_by_key(|vm| hash::rendezvous(seed, &vm.to_string()));
        listed.truncate(LISTED_MAX);
        Reply::json(StatusCode::OK, &Listing(listed))
    }
}
