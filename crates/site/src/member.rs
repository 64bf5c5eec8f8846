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

use policy::deputy::{self, Candidate};

use crate::{ask, coordinator::Coordinators, notify::Notifier};

/// The path at which VMs announce themselves.
pub(crate) const PATH: &str = "/vms";
/// How often a VM announces itself.
const PERIOD: Duration = Duration::from_secs(10);
/// How soon a VM announces itself again if no coordinator answered.
const RETRY_PERIOD: Duration = Duration::from_secs(1);
/// How long after its start a VM announces itself with that period, since the VMs
/// that it starts with may not be known yet.
const START_TIME: Duration = Duration::from_secs(5);
/// How often a VM with a disk announces itself. After a loss of all VMs, streams
/// are resumed only once it is known.
const DISK_PERIOD: Duration = Duration::from_millis(200);
/// How long a coordinator may take to know all VMs with disks after its start. Those of
/// earlier builds announce themselves every 0.5 s.
const DISK_SEARCH_TIME: Duration = Duration::from_millis(600);
/// How often a VM asks for the VMs with disks until it knows them.
const DISK_SEARCH_PERIOD: Duration = Duration::from_millis(50);
/// How long after its last announcement a VM is listed.
const RETENTION: Duration = Duration::from_secs(25);
/// The number of VMs that a coordinator returns.
const LISTED_MAX: usize = 16;
/// The number of deputies: as many as there are coordinators.
const DEPUTIES: usize = 3;

board::record! {
    /// What a VM announces.
    struct Announcement {
        /// Its peer address.
        address: SocketAddr,
        /// Whether it has lost its links to all endpoints.
        is_cut_off: bool,
        role: Role,
    }
}

board::record! {
    /// What a VM is to the others.
    #[derive(Default)]
    pub(crate) struct Role {
        /// Its failure domain.
        pub(crate) domain: String,
        /// Whether it only provides its disk. Such a VM serves no callers and has
        /// no links to endpoints.
        pub(crate) is_disk: bool,
        /// What its machine can do, see [`policy::deputy::power`].
        pub(crate) power: f64,
    }
}

board::record! {
    /// A VM with a disk.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) struct Disk {
        /// Its peer address.
        pub(crate) address: SocketAddr,
        /// Its failure domain.
        pub(crate) domain: String,
    }
}

board::record! {
    /// The VMs that a coordinator knows.
    struct Listing {
        /// Peer addresses of VMs that have their links.
        linked: Vec<SocketAddr>,
        disks: Vec<Disk>,
        /// The deputies of the coordinators.
        deputies: Vec<SocketAddr>,
        /// Whether these are all VMs with disks. Earlier builds do not tell.
        #[serde(default)]
        are_disks_known: bool,
    }
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
    /// The VMs with disks that coordinators returned last.
    listed_disks: RefCell<Vec<Disk>>,
    /// Whether a coordinator has listed all VMs with disks since this VM started.
    are_disks_listed: Cell<bool>,
    is_cut_off: Cell<bool>,
    role: Role,
    changed: Notifier,
    started: Instant,
    disks_changed: Notifier,
}

impl Members {
    /// Returns an empty set, which `coordinators` fill. This VM has `role`.
    pub(crate) fn new(coordinators: Coordinators, client: ask::Client, role: Role) -> Self {
        Self(Rc::new(Inner {
            coordinators,
            client,
            announced: RefCell::default(),
            listed: RefCell::default(),
            listed_disks: RefCell::default(),
            are_disks_listed: Cell::new(false),
            is_cut_off: Cell::new(false),
            role,
            changed: Notifier::default(),
            started: Instant::now(),
            disks_changed: Notifier::default(),
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
        let announced = self.announced();
        let linked = announced
            .iter()
            .filter(|vm| !vm.is_cut_off && !vm.role.is_disk);
        linked.map(|vm| vm.address).collect()
    }

    /// Returns the VMs with disks, as last heard of.
    pub(crate) fn disks(&self) -> Vec<Disk> {
        let mut disks = self.announced_disks();
        disks.extend(self.0.listed_disks.borrow().iter().cloned());
        disks.sort();
        disks.dedup();
        disks
    }

    /// Waits until `count` VMs with disks are known, or all that there are. After a
    /// restart of all coordinators these know a VM with a disk once it has announced
    /// itself again.
    pub(crate) async fn wait_for_disks(&self, count: usize) {
        loop {
            let seen = self.0.disks_changed.count();
            if self.are_disks_known() || self.disks().len() >= count {
                return;
            }
            let rest = DISK_SEARCH_TIME.saturating_sub(self.0.started.elapsed());
            self.0.disks_changed.wait_timeout(seen, rest).await;
        }
    }

    /// Returns whether there are no other VMs with disks than those that are known, as
    /// far as that can be told.
    fn are_disks_known(&self) -> bool {
        self.0.are_disks_listed.get() || self.has_heard_all()
    }

    /// Returns whether all VMs with disks have had the time to announce themselves here,
    /// if this VM is a coordinator.
    fn has_heard_all(&self) -> bool {
        self.0.started.elapsed() >= DISK_SEARCH_TIME
    }

    fn announced_disks(&self) -> Vec<Disk> {
        let disks = self.announced().into_iter().filter_map(|vm| {
            let (address, domain) = (vm.address, vm.role.domain);
            vm.role.is_disk.then_some(Disk { address, domain })
        });
        disks.collect()
    }

    /// Returns the deputies among the VMs that have announced themselves.
    fn choose_deputies(&self) -> Vec<SocketAddr> {
        let mut vms = self.announced();
        vms.retain(|vm| !vm.is_cut_off && !vm.role.is_disk);
        vms.retain(|vm| !self.0.coordinators.has_seed(vm.address));
        let names: Vec<String> = vms.iter().map(|vm| vm.address.to_string()).collect();
        let candidates = vms.iter().zip(&names).map(|(vm, name)| Candidate {
            name,
            domain: &vm.role.domain,
            power: vm.role.power,
        });
        let candidates: Vec<_> = candidates.collect();
        let chosen = deputy::choose(&candidates, DEPUTIES).into_iter();
        chosen.map(|index| vms[index].address).collect()
    }

    fn announced(&self) -> Vec<Announcement> {
        let now = Instant::now();
        let mut announced = self.0.announced.borrow_mut();
        announced.retain(|_, (_, at)| now.saturating_duration_since(*at) < RETENTION);
        announced.values().map(|(vm, _)| vm.clone()).collect()
    }

    /// Asks the coordinators for the other VMs now.
    pub(crate) async fn refresh(&self) {
        self.announce().await;
    }

    /// Announces this VM periodically and when its links change. Never returns.
    pub(crate) async fn run(self) {
        let mut known = 0;
        loop {
            let seen = self.0.changed.count();
            let is_listed = self.announce().await;
            let disks = self.disks().len();
            if disks != known {
                spdlog::info!("VMs with disks known", kv: { disks });
                known = disks;
            }
            let is_settled = self.0.started.elapsed() >= START_TIME;
            let pause = match self.0.role.is_disk {
                true => DISK_PERIOD,
                false if !self.are_disks_known() => DISK_SEARCH_PERIOD,
                false if !is_listed || !is_settled => RETRY_PERIOD,
                false => PERIOD,
            };
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
            role: self.0.role.clone(),
        };
        let (mut listed, mut disks) = (Vec::new(), Vec::new());
        let mut deputies = Vec::new();
        let (mut is_listed, mut are_disks_known) = (false, false);
        for vm in coordinators.rank(PATH, Instant::now()) {
            if coordinators.is_own(vm) {
                self.put(announcement.clone());
                deputies.push((vm, self.choose_deputies()));
                is_listed = true;
                continue;
            }
            match self.0.client.ask::<Listing>(vm, PATH, &announcement).await {
                Ok(answer) => {
                    is_listed = true;
                    listed.extend(answer.linked);
                    disks.extend(answer.disks);
                    are_disks_known |= answer.are_disks_known;
                    deputies.push((vm, answer.deputies));
                    coordinators.record_success(vm);
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
        // Disks change seldom, so those that are known are kept while no
        // coordinator answers.
        if is_listed {
            *self.0.listed_disks.borrow_mut() = disks;
            let are_listed = &self.0.are_disks_listed;
            are_listed.set(are_listed.get() || are_disks_known);
            self.0.disks_changed.notify();
        }
        // The same one for all VMs, since coordinators may differ for a moment. A
        // coordinator that has just started does not know the others yet.
        deputies.retain(|(_, chosen)| !chosen.is_empty());
        if let Some((_, chosen)) = deputies.into_iter().min() {
            coordinators.set_deputies(chosen);
        }
        is_listed
    }

    fn put(&self, announcement: Announcement) {
        let is_disk = announcement.role.is_disk;
        let mut announced = self.0.announced.borrow_mut();
        announced.insert(announcement.address, (announcement, Instant::now()));
        drop(announced);
        if is_disk {
            self.0.disks_changed.notify();
        }
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
        let listing = Listing {
            linked: listed,
            disks: self.announced_disks(),
            deputies: self.choose_deputies(),
            are_disks_known: self.has_heard_all(),
        };
        Reply::json(StatusCode::OK, &listing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// VMs of earlier builds don't tell whether they know all disks, and don't expect it.
    #[test]
    fn listing_of_earlier_build() {
        let earlier = r#"{"linked": [], "disks": [], "deputies": []}"#;
        let listing: Listing = serde_json::from_str(earlier).unwrap();
        assert!(!listing.are_disks_known);
        board::record! {
            struct Earlier {
                linked: Vec<SocketAddr>,
                disks: Vec<Disk>,
                deputies: Vec<SocketAddr>,
            }
        }
        let listing = Listing {
            linked: Vec::new(),
            disks: Vec::new(),
            deputies: vec![SocketAddr::from(([127, 0, 0, 1], 1))],
            are_disks_known: true,
        };
        let text = serde_json::to_string(&listing).unwrap();
        let read: Earlier = serde_json::from_str(&text).unwrap();
        assert_eq!(read.deputies, listing.deputies);
    }
}
