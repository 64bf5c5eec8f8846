//! Simulates the membership and dissemination of many VMs in one process, for
//! property tests and for more VMs than can run as separate processes.
//!
//! The decisions are made by the code of the daemons. Time, datagram loss and
//! cut connections are simulated. A pull of facts is simulated as one event
//! after the time of a round trip.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use tarragonseam_fakes::swarm::Swarm;
//!
//! let mut swarm = Swarm::new(4, &["a", "b"], 1);
//! swarm.run(Duration::from_secs(5));
//! assert!(swarm.is_converged());
//! ```

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use board::{
    Board, Time,
    hash::Map,
    member::{Packet, Record, State},
    shared::Item,
};
use policy::{
    dissemination,
    membership::{self, Datagram},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use wire::Datagram as WireDatagram;

/// The step of the simulated time.
const TIME_STEP: Duration = Duration::from_millis(10);
const DATAGRAM_DELAY: Duration = Duration::from_millis(1);
const PULL_DURATION: Duration = Duration::from_millis(4);
/// The minimum time between two pulls of one VM.
const PULL_PERIOD: Duration = Duration::from_millis(200);
const PULL_ITEMS_MAX: usize = 4000;
/// The size of the IPv4 and UDP headers of a datagram.
const UDP_HEADER_BYTES: u64 = 28;

/// A VM of the swarm.
#[derive(Debug)]
pub struct Vm {
    /// The VM's board.
    pub board: Board,
    /// Whether its process runs.
    pub is_up: bool,
    /// The number of bytes that it sent, including datagram headers.
    pub sent_bytes: u64,
    /// The number of bytes that it received, including datagram headers.
    pub received_bytes: u64,
    next_pull: Time,
}

/// An event at one VM.
#[derive(Debug)]
enum Event {
    /// A membership packet arrives from this address.
    Membership(SocketAddr, Box<Packet>),
    /// Pushed facts arrive.
    Push(Vec<Item>),
    /// A pull from the VM with this index is complete.
    Pull(usize),
}

/// The simulated VMs and the network between them.
#[derive(Debug)]
pub struct Swarm {
    /// The VMs. Methods identify a VM by its index here.
    pub vms: Vec<Vm>,
    /// The simulated time.
    pub now: Time,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Pairs of VM indices; datagrams from the first VM to the second are
    /// dropped.
    pub cuts: Vec<(usize, usize)>,
    config: membership::Config,
    indices: Map<SocketAddr, usize>,
    events: BTreeMap<(Time, u64), (usize, Event)>,
    event_count: u64,
    rng: SmallRng,
}

impl Swarm {
    /// Returns a swarm of `count` running VMs, distributed evenly over
    /// `domains`, each of which knows the addresses of all VMs.
    pub fn new(count: usize, domains: &[&str], seed: u64) -> Self {
        let mut swarm = Self {
            vms: Vec::new(),
            now: Time::from_millis(1_000_000),
            loss: 0.0,
            cuts: Vec::new(),
            config: membership::Config::new(),
            indices: Map::default(),
            events: BTreeMap::new(),
            event_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..count {
            let domain = domains[index % domains.len()];
            let board = new_board(index, domain, 1, seed);
            swarm.indices.insert(address(index), index);
            swarm.vms.push(Vm {
                board,
                is_up: true,
                sent_bytes: 0,
                received_bytes: 0,
                next_pull: Time::ZERO,
            });
        }
        let listed = swarm.listed();
        for vm in &mut swarm.vms {
            membership::apply_listing(&mut vm.board, swarm.now, &listed);
        }
        swarm
    }

    /// Returns the records of all VMs, as the platform would list them.
    pub fn listed(&self) -> Vec<Record> {
        let record = |vm: &Vm| Record {
            incarnation: 0,
            ..vm.board.members.local.clone()
        };
        self.vms.iter().map(record).collect()
    }

    /// Stops the VM at `index` without notifying the others.
    pub fn crash(&mut self, index: usize) {
        self.vms[index].is_up = false;
    }

    /// Restarts the VM at `index` with an empty board that knows only the address
    /// of the VM at `seed`.
    pub fn restart(&mut self, index: usize, seed: usize) {
        let old = &self.vms[index].board;
        let incarnation = self.now.millis();
        let domain = old.failure_domain.clone();
        let mut board = new_board(index, &domain, incarnation, incarnation);
        let mut record = self.vms[seed].board.members.local.clone();
        record.incarnation = 0;
        membership::apply_listing(&mut board, self.now, &[record]);
        self.vms[index].board = board;
        self.vms[index].is_up = true;
    }

    /// Makes the VM at `index` announce that it leaves the membership.
    pub fn leave(&mut self, index: usize) {
        let datagrams = membership::leave(&mut self.vms[index].board, self.now);
        self.send(index, datagrams);
    }

    /// Passes facts to the VM at `index`, as if it had read them from the
    /// platform.
    pub fn publish(&mut self, index: usize, items: Vec<Item>) {
        let now = self.now;
        dissemination::record_complete(&mut self.vms[index].board, now);
        self.merge(index, items);
    }

    /// Advances the simulated time by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TIME_STEP;
            self.deliver();
            for index in 0..self.vms.len() {
                if self.vms[index].is_up {
                    let board = &mut self.vms[index].board;
                    let datagrams = membership::step(board, self.now, &self.config);
                    self.send(index, datagrams);
                }
            }
        }
    }

    /// Advances the simulated time until `done` returns true, and returns the
    /// elapsed time, or `None` if `timeout` is exceeded.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now - start < timeout {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(TIME_STEP);
        }
        done(self).then(|| self.now - start)
    }

    /// Returns whether every running VM considers exactly the running VMs to be
    /// live, and none of them suspect.
    pub fn is_converged(&self) -> bool {
        let running = self.vms.iter().filter(|vm| vm.is_up);
        running.clone().all(|vm| {
            running
                .clone()
                .filter(|other| other.board.vm != vm.board.vm)
                .all(|other| self.member_state(vm, other) == Some(State::Live))
                && vm.board.members.live().count() + 1 == running.clone().count()
        })
    }

    /// Returns whether any running VM considers another running VM to be dead.
    pub fn has_false_death(&self) -> bool {
        self.has_member_in_state(State::Dead)
    }

    /// Returns whether any running VM suspects another running VM.
    pub fn has_false_suspicion(&self) -> bool {
        self.has_member_in_state(State::Suspect)
    }

    /// Returns whether any running VM considers another running VM to be in
    /// `state`.
    fn has_member_in_state(&self, state: State) -> bool {
        let running = || self.vms.iter().filter(|vm| vm.is_up);
        running().any(|vm| running().any(|other| self.member_state(vm, other) == Some(state)))
    }

    /// Returns the state of `other` in the membership table of `vm`.
    fn member_state(&self, vm: &Vm, other: &Vm) -> Option<State> {
        let member = vm.board.members.others.get(&other.board.vm)?;
        Some(member.state)
    }

    /// Delivers the events that are due. Events at a stopped VM are dropped.
    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (index, event) = entry.remove();
            if !self.vms[index].is_up {
                continue;
            }
            match event {
                Event::Membership(from, packet) => self.receive(index, from, &packet),
                Event::Push(items) => self.merge(index, items),
                Event::Pull(from) => self.pull(index, from),
            }
        }
    }

    fn receive(&mut self, index: usize, from: SocketAddr, packet: &Packet) {
        let board = &mut self.vms[index].board;
        let (datagrams, differs) = membership::receive(board, self.now, from, packet);
        self.send(index, datagrams);
        let vm = &mut self.vms[index];
        if differs && vm.next_pull <= self.now {
            vm.next_pull = self.now + PULL_PERIOD;
            if let Some(other) = self.indices.get(&packet.from.address).copied() {
                self.schedule(PULL_DURATION, index, Event::Pull(other));
            }
        }
    }

    /// Merges the facts of another VM that differ, unless the connection is cut
    /// in either direction.
    fn pull(&mut self, index: usize, from: usize) {
        if !self.vms[from].is_up || self.is_cut(index, from) || self.is_cut(from, index) {
            return;
        }
        let buckets = self.vms[index].board.shared.buckets();
        let other = &self.vms[from].board;
        let start = self.event_count as usize;
        let (items, _) = other
            .shared
            .differing_items(&buckets, PULL_ITEMS_MAX, start);
        let parts: Vec<_> = other.shared.parts.values().cloned().collect();
        let response_bytes = wire::encode(&items).map_or(0, |bytes| bytes.len() as u64);
        let request_bytes = wire::encode(&buckets).map_or(0, |bytes| bytes.len() as u64);
        self.vms[from].sent_bytes += response_bytes;
        self.vms[from].received_bytes += request_bytes;
        self.vms[index].received_bytes += response_bytes;
        self.vms[index].sent_bytes += request_bytes;
        for part in parts {
            dissemination::store_part(&mut self.vms[index].board, part);
        }
        self.merge(index, items);
        if self.vms[index].board.members.digest() != self.vms[from].board.members.digest() {
            self.pull_members(index, from);
        }
    }

    /// Merges the membership table of another VM.
    fn pull_members(&mut self, index: usize, from: usize) {
        let updates = membership::all_updates(&self.vms[from].board);
        let size = wire::encode(&updates).map_or(0, |bytes| bytes.len() as u64);
        self.vms[from].sent_bytes += size;
        self.vms[index].received_bytes += size;
        for update in updates {
            membership::apply_update(&mut self.vms[index].board, self.now, update);
        }
    }

    /// Merges facts into the board of a VM, and pushes those that are new to it
    /// to other VMs, unless there are too many.
    fn merge(&mut self, index: usize, items: Vec<Item>) {
        let board = &mut self.vms[index].board;
        let merged = dissemination::merge(board, items);
        if merged.updates.len() > dissemination::PUSH_ITEMS_MAX {
            return;
        }
        for item in merged.updates {
            let pushed = vec![item];
            let Ok(bytes) = wire::encode(&WireDatagram::Facts(pushed.clone())) else {
                continue;
            };
            if bytes.len() > wire::datagram::DATAGRAM_BYTES_MAX {
                continue;
            }
            for to in dissemination::push_targets(&mut self.vms[index].board) {
                self.transmit(index, to, bytes.len(), Event::Push(pushed.clone()));
            }
        }
    }

    fn send(&mut self, index: usize, datagrams: Vec<Datagram>) {
        let from = self.vms[index].board.members.local.address;
        for Datagram { to, packet } in datagrams {
            let size = wire::encode(&WireDatagram::Member(packet.clone())).map_or(0, |b| b.len());
            assert!(
                size <= wire::datagram::DATAGRAM_BYTES_MAX,
                "a membership datagram of {size} bytes exceeds the limit"
            );
            self.transmit(index, to, size, Event::Membership(from, Box::new(packet)));
        }
    }

    /// Sends a datagram of `size` bytes, which may be lost.
    fn transmit(&mut self, index: usize, to: SocketAddr, size: usize, event: Event) {
        let bytes = size as u64 + UDP_HEADER_BYTES;
        self.vms[index].sent_bytes += bytes;
        let Some(target) = self.indices.get(&to).copied() else {
            return;
        };
        if self.is_cut(index, target) || self.rng.random_bool(self.loss) {
            return;
        }
        self.vms[target].received_bytes += bytes;
        self.schedule(DATAGRAM_DELAY, target, event);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    fn schedule(&mut self, delay: Duration, index: usize, event: Event) {
        self.event_count += 1;
        let key = (self.now + delay, self.event_count);
        self.events.insert(key, (index, event));
    }
}

fn new_board(index: usize, domain: &str, incarnation: u64, seed: u64) -> Board {
    let vm = format!("vm-{index}");
    let mut board = Board::new(
        &vm,
        domain,
        seed ^ board::hash::hash_bytes(vm.as_bytes(), 1),
    );
    board.members.local.address = address(index);
    board.members.local.incarnation = incarnation;
    board
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}
