//! Many VMs' membership and dissemination in one process, over a made-up
//! network: for property tests and for sizes that processes do not reach.
//!
//! The decisions are those of the daemons. Time, loss and cuts are the
//! swarm's; a pull of facts is one step that takes a round trip.
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

const STEP: Duration = Duration::from_millis(10);
const DELAY: Duration = Duration::from_millis(1);
const PULL_TIME: Duration = Duration::from_millis(4);
const PULL_PERIOD: Duration = Duration::from_millis(200);
const PULL_ITEMS: usize = 4000;
const UDP_HEAD: u64 = 28;

/// A VM of the swarm.
#[derive(Debug)]
pub struct Node {
    /// What it knows.
    pub board: Board,
    /// Whether its process runs.
    pub is_up: bool,
    /// Bytes that it sent, with the heads of datagrams.
    pub sent: u64,
    /// Bytes that it received.
    pub received: u64,
    next_pull: Time,
}

#[derive(Debug)]
enum Event {
    Member(SocketAddr, Box<Packet>),
    News(Vec<Item>),
    Pull(usize),
}

/// The VMs and the network between them.
#[derive(Debug)]
pub struct Swarm {
    /// The VMs.
    pub nodes: Vec<Node>,
    /// The time.
    pub now: Time,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Pairs of places whose traffic is cut, from the first to the second.
    pub cuts: Vec<(usize, usize)>,
    config: membership::Config,
    places: Map<SocketAddr, usize>,
    events: BTreeMap<(Time, u64), (usize, Event)>,
    number: u64,
    rng: SmallRng,
}

impl Swarm {
    /// Returns `count` VMs, spread over `domains`, that are all listed by the
    /// platform.
    pub fn new(count: usize, domains: &[&str], seed: u64) -> Self {
        let mut swarm = Self {
            nodes: Vec::new(),
            now: Time::from_millis(1_000_000),
            loss: 0.0,
            cuts: Vec::new(),
            config: membership::Config::new(),
            places: Map::default(),
            events: BTreeMap::new(),
            number: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for place in 0..count {
            let domain = domains[place % domains.len()];
            let board = fresh(place, domain, 1, seed);
            swarm.places.insert(address(place), place);
            swarm.nodes.push(Node {
                board,
                is_up: true,
                sent: 0,
                received: 0,
                next_pull: Time::ZERO,
            });
        }
        let listed = swarm.listed();
        for node in &mut swarm.nodes {
            membership::apply_listing(&mut node.board, swarm.now, &listed);
        }
        swarm
    }

    /// Returns the records that the platform would list.
    pub fn listed(&self) -> Vec<Record> {
        let record = |node: &Node| Record {
            incarnation: 0,
            ..node.board.members.local.clone()
        };
        self.nodes.iter().map(record).collect()
    }

    /// Stops the VM at `place` without a word.
    pub fn crash(&mut self, place: usize) {
        self.nodes[place].is_up = false;
    }

    /// Starts the VM at `place` anew; it knows nothing but one other VM.
    pub fn restart(&mut self, place: usize, seed: usize) {
        let old = &self.nodes[place].board;
        let incarnation = self.now.millis();
        let domain = old.failure_domain.clone();
        let mut board = fresh(place, &domain, incarnation, incarnation);
        let mut record = self.nodes[seed].board.members.local.clone();
        record.incarnation = 0;
        membership::apply_listing(&mut board, self.now, &[record]);
        self.nodes[place].board = board;
        self.nodes[place].is_up = true;
    }

    /// Lets the VM at `place` announce that it leaves.
    pub fn leave(&mut self, place: usize) {
        let orders = membership::leave(&mut self.nodes[place].board, self.now);
        self.send(place, orders);
    }

    /// Gives facts to the VM at `place`, as from the platform.
    pub fn publish(&mut self, place: usize, items: Vec<Item>) {
        let now = self.now;
        dissemination::record_complete(&mut self.nodes[place].board, now);
        self.take(place, items);
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for place in 0..self.nodes.len() {
                if self.nodes[place].is_up {
                    let board = &mut self.nodes[place].board;
                    let orders = membership::step(board, self.now, &self.config);
                    self.send(place, orders);
                }
            }
        }
    }

    /// Lets time pass until `done`, and returns how long that took; `None`
    /// when it took longer than `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now - start < limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(STEP);
        }
        done(self).then(|| self.now - start)
    }

    /// Returns whether every running VM thinks that exactly the running ones
    /// live, none of them suspect.
    pub fn is_converged(&self) -> bool {
        let running = self.nodes.iter().filter(|node| node.is_up);
        running.clone().all(|node| {
            running
                .clone()
                .filter(|other| other.board.vm != node.board.vm)
                .all(|other| self.opinion(node, other) == Some(State::Live))
                && node.board.members.live().count() + 1 == running.clone().count()
        })
    }

    /// Returns whether any running VM thinks that another running one is dead.
    pub fn has_false_death(&self) -> bool {
        self.has_opinion(State::Dead)
    }

    /// Returns whether any running VM suspects another running one.
    pub fn has_false_suspicion(&self) -> bool {
        self.has_opinion(State::Suspect)
    }

    fn has_opinion(&self, state: State) -> bool {
        let running = || self.nodes.iter().filter(|node| node.is_up);
        running().any(|node| running().any(|o| self.opinion(node, o) == Some(state)))
    }

    fn opinion(&self, node: &Node, other: &Node) -> Option<State> {
        let member = node.board.members.others.get(&other.board.vm)?;
        Some(member.state)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (place, event) = entry.remove();
            if !self.nodes[place].is_up {
                continue;
            }
            match event {
                Event::Member(from, packet) => self.receive(place, from, &packet),
                Event::News(items) => self.take(place, items),
                Event::Pull(from) => self.pull(place, from),
            }
        }
    }

    fn receive(&mut self, place: usize, from: SocketAddr, packet: &Packet) {
        let board = &mut self.nodes[place].board;
        let (orders, differs) = membership::receive(board, self.now, from, packet);
        self.send(place, orders);
        let node = &mut self.nodes[place];
        if differs && node.next_pull <= self.now {
            node.next_pull = self.now + PULL_PERIOD;
            if let Some(other) = self.places.get(&packet.from.address).copied() {
                self.schedule(PULL_TIME, place, Event::Pull(other));
            }
        }
    }

    /// Takes over what differs from another VM, if both ways are open.
    fn pull(&mut self, place: usize, from: usize) {
        if !self.nodes[from].is_up || self.is_cut(place, from) || self.is_cut(from, place) {
            return;
        }
        let buckets = self.nodes[place].board.shared.buckets();
        let other = &self.nodes[from].board;
        let start = self.number as usize;
        let (items, _) = other.shared.differing_items(&buckets, PULL_ITEMS, start);
        let parts: Vec<_> = other.shared.parts.values().cloned().collect();
        let size = wire::encode(&items).map_or(0, |bytes| bytes.len() as u64);
        let asked = wire::encode(&buckets).map_or(0, |bytes| bytes.len() as u64);
        self.nodes[from].sent += size;
        self.nodes[from].received += asked;
        self.nodes[place].received += size;
        self.nodes[place].sent += asked;
        for part in parts {
            dissemination::store_part(&mut self.nodes[place].board, part);
        }
        self.take(place, items);
        if self.nodes[place].board.members.digest() != self.nodes[from].board.members.digest() {
            self.pull_members(place, from);
        }
    }

    fn pull_members(&mut self, place: usize, from: usize) {
        let opinions = membership::all_updates(&self.nodes[from].board);
        let size = wire::encode(&opinions).map_or(0, |bytes| bytes.len() as u64);
        self.nodes[from].sent += size;
        self.nodes[place].received += size;
        for opinion in opinions {
            membership::apply_update(&mut self.nodes[place].board, self.now, opinion);
        }
    }

    fn take(&mut self, place: usize, items: Vec<Item>) {
        let board = &mut self.nodes[place].board;
        let taken = dissemination::merge(board, items);
        if taken.updates.len() > dissemination::PUSH_ITEMS_MAX {
            return;
        }
        for item in taken.updates {
            let news = vec![item];
            let Ok(bytes) = wire::encode(&WireDatagram::Facts(news.clone())) else {
                continue;
            };
            if bytes.len() > wire::datagram::DATAGRAM_BYTES_MAX {
                continue;
            }
            for to in dissemination::push_targets(&mut self.nodes[place].board) {
                self.post(place, to, bytes.len(), Event::News(news.clone()));
            }
        }
    }

    fn send(&mut self, place: usize, orders: Vec<Datagram>) {
        let from = self.nodes[place].board.members.local.address;
        for Datagram { to, packet } in orders {
            let size = wire::encode(&WireDatagram::Member(packet.clone())).map_or(0, |b| b.len());
            assert!(
                size <= wire::datagram::DATAGRAM_BYTES_MAX,
                "a datagram of {size} bytes"
            );
            self.post(place, to, size, Event::Member(from, Box::new(packet)));
        }
    }

    fn post(&mut self, place: usize, to: SocketAddr, size: usize, event: Event) {
        let bytes = size as u64 + UDP_HEAD;
        self.nodes[place].sent += bytes;
        let Some(target) = self.places.get(&to).copied() else {
            return;
        };
        if self.is_cut(place, target) || self.rng.random_bool(self.loss) {
            return;
        }
        self.nodes[target].received += bytes;
        self.schedule(DELAY, target, event);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    fn schedule(&mut self, delay: Duration, place: usize, event: Event) {
        self.number += 1;
        let key = (self.now + delay, self.number);
        self.events.insert(key, (place, event));
    }
}

fn fresh(place: usize, domain: &str, incarnation: u64, seed: u64) -> Board {
    let vm = format!("vm-{place}");
    let mut board = Board::new(
        &vm,
        domain,
        seed ^ board::hash::hash_bytes(vm.as_bytes(), 1),
    );
    board.members.local.address = address(place);
    board.members.local.incarnation = incarnation;
    board
}

fn address(place: usize) -> SocketAddr {
    let [high, low] = (place as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}
