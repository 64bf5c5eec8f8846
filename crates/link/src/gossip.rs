//! Gossip between VMs: failure detection and new facts over UDP, pulls of
//! missing facts over TCP, on the same address.
//!
//! Facts come from the platform through [`crate::feed`], from other VMs, and
//! from the command line. All of them go through [`Gossip::merge`], which puts
//! them on the board and pushes those that are new to other VMs.

use std::{
    cell::{Cell, OnceCell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use board::{Board, Time, key::Digest, shared::Item};
use monoio::net::udp::UdpSocket;
use policy::{
    dissemination::{self, Merged},
    membership::{self, Datagram as Outgoing},
};
use wire::{Datagram, Request, Response, datagram::DATAGRAM_BYTES_MAX, message::Facts};

use crate::{clock::Clock, fault, load, peer, platform, telemetry::Telemetry, traffic::Traffic};

const TICK_PERIOD: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The minimum time between the end of a pull and the start of the next.
const PULL_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// The approximate maximum number of facts in one response to a pull.
pub const PULL_ITEMS_SOFT_MAX: usize = 4000;
/// The maximum number of requests in one pull.
const PULL_ROUNDS_MAX: usize = 8;
/// The maximum number of attempts to merge facts and fetch the configuration
/// parts that they lack.
const CONFIG_FETCH_ROUNDS_MAX: usize = 2;

/// Where missing parts of the configuration are fetched from.
#[derive(Clone)]
pub enum Source {
    /// The platform.
    Platform(Box<platform::Client>),
    /// The process at this address.
    Peer(SocketAddr),
}

/// The gossip of one VM.
#[derive(Clone)]
pub struct Gossip {
    pub(crate) board: Rc<RefCell<Board>>,
    pub(crate) clock: Clock,
    socket: Rc<UdpSocket>,
    config: membership::Config,
    traffic: Rc<Traffic>,
    is_bootstrapped: Rc<Cell<bool>>,
    is_pulling: Rc<Cell<bool>>,
    next_pull: Rc<Cell<Time>>,
    on_change: Rc<OnceCell<Box<dyn Fn()>>>,
}

impl Gossip {
    /// Opens the socket at `address` for the gossip of `board`.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub fn open(
        board: Rc<RefCell<Board>>,
        clock: Clock,
        address: SocketAddr,
        telemetry: &Telemetry,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        board.borrow_mut().members.local.address = address;
        Ok(Self {
            board,
            clock,
            socket: Rc::new(socket),
            config: membership::Config::new(),
            traffic: Rc::new(Traffic::new(telemetry)),
            is_bootstrapped: Rc::default(),
            is_pulling: Rc::default(),
            next_pull: Rc::default(),
            on_change: Rc::default(),
        })
    }

    /// Starts the gossip tasks, which run until the process ends, and calls
    /// `on_change` after each change of the board.
    pub fn start(&self, on_change: impl Fn() + 'static) {
        // A second call keeps the first callback.
        let _ = self.on_change.set(Box::new(on_change));
        monoio::spawn(receive(self.clone()));
        monoio::spawn(tick(self.clone()));
    }

    /// Returns whether all facts of each kind have been received at least once.
    pub fn is_bootstrapped(&self) -> bool {
        self.is_bootstrapped.get()
    }

    /// Records that all facts of each kind have been received at least once.
    pub fn set_bootstrapped(&self) {
        if !self.is_bootstrapped.replace(true) {
            spdlog::info!("all kinds of facts have been learned");
        }
    }

    /// Announces this VM to the VM that may run at `address`.
    pub async fn join(&self, address: SocketAddr) {
        let outgoing = {
            let mut board = self.board.borrow_mut();
            membership::join(&mut board, self.clock.now(), address)
        };
        self.send_packets(vec![outgoing]).await;
    }

    /// Announces to the other VMs that this VM is shutting down.
    pub async fn leave(&self) {
        let outgoing = membership::leave(&mut self.board.borrow_mut(), self.clock.now());
        self.send_packets(outgoing).await;
    }

    /// Merges facts into the board and pushes those that are new to other VMs.
    /// Returns whether all of them are merged, including the parts of the
    /// configuration that they refer to.
    pub async fn merge(&self, items: Vec<Item>, source: &Source) -> bool {
        for _ in 0..CONFIG_FETCH_ROUNDS_MAX {
            let merged = dissemination::merge(&mut self.board.borrow_mut(), items.clone());
            log_revisions(&merged);
            if !merged.updates.is_empty() {
                self.on_change.get().inspect(|call| call());
                self.push(&merged.updates).await;
            }
            if merged.missing.is_empty() {
                return true;
            }
            for text in fetch_config_parts(source, merged.missing).await {
                dissemination::store_part(&mut self.board.borrow_mut(), text);
            }
        }
        false
    }

    /// Returns the time since the keys were last known to be complete, in
    /// milliseconds, or `None` if they never were.
    pub fn keys_age_ms(&self) -> Option<u32> {
        let age = |time: Time| (self.clock.now() - time).as_millis() as u32;
        self.board.borrow().members.keys_complete_at.map(age)
    }

    /// Returns the response to a pull by a peer with these digests.
    pub fn pull_response(&self, buckets: &[u64], peer_members_digest: u64) -> Facts {
        let board = self.board.borrow();
        let start = self.clock.now().millis() as usize;
        let (items, has_more) = board
            .shared
            .differing_items(buckets, PULL_ITEMS_SOFT_MAX, start);
        let all_updates = || membership::all_updates(&board);
        let members_digest = board.members.digest();
        let members_differ = members_digest != peer_members_digest;
        Facts {
            items,
            has_more,
            keys_age_ms: self.keys_age_ms(),
            is_bootstrapped: self.is_bootstrapped(),
            members_digest,
            members: if members_differ {
                all_updates()
            } else {
                Vec::new()
            },
        }
    }

    /// Sends one datagram, unless the link to `to` is cut or the datagram is
    /// too large.
    pub(crate) async fn send_datagram(&self, to: SocketAddr, datagram: &Datagram) {
        let Ok(bytes) = wire::encode(datagram) else {
            return;
        };
        if bytes.len() <= DATAGRAM_BYTES_MAX && !fault::is_cut_to(to) {
            self.traffic.record_sent(datagram, bytes.len());
            // A send error is treated like a lost datagram.
            let _ = self.socket.send_to(bytes, to).await;
        }
    }

    async fn send_packets(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, packet } in outgoing {
            self.send_datagram(to, &Datagram::Member(packet)).await;
        }
    }

    /// Pushes each fact in a datagram of its own. Facts too large for a
    /// datagram, and batches over the limit, reach the other VMs by pulls.
    async fn push(&self, items: &[Item]) {
        if items.len() > dissemination::PUSH_ITEMS_MAX {
            return;
        }
        for item in items {
            let targets = dissemination::push_targets(&mut self.board.borrow_mut());
            let datagram = Datagram::Facts(vec![item.clone()]);
            for to in targets {
                self.send_datagram(to, &datagram).await;
            }
        }
    }

    fn should_pull(&self, differs: bool) -> bool {
        let is_due = self.next_pull.get() <= self.clock.now();
        (differs || !self.is_bootstrapped()) && is_due && !self.is_pulling.get()
    }

    async fn pull(&self, from: SocketAddr) {
        self.is_pulling.set(true);
        for _ in 0..PULL_ROUNDS_MAX {
            if !self.pull_once(from).await {
                break;
            }
        }
        self.is_pulling.set(false);
        self.next_pull.set(self.clock.now() + PULL_INTERVAL_MIN);
    }

    /// Pulls facts once and returns whether `from` has more of them.
    async fn pull_once(&self, from: SocketAddr) -> bool {
        let (buckets, members_digest) = {
            let board = self.board.borrow();
            (board.shared.buckets(), board.members.digest())
        };
        let request = Request::Sync {
            buckets,
            members_digest,
        };
        let Ok(Response::Facts(facts)) = peer::request(from, &request, REQUEST_TIMEOUT).await
        else {
            return false;
        };
        self.traffic
            .record_pull(wire::encode(&facts).map_or(0, |bytes| bytes.len()));
        let now = self.clock.now();
        for update in facts.members {
            membership::apply_update(&mut self.board.borrow_mut(), now, update);
        }
        let is_complete = self.merge(facts.items, &Source::Peer(from)).await;
        if is_complete && !facts.has_more && facts.is_bootstrapped {
            self.set_bootstrapped();
        }
        is_complete && facts.has_more
    }
}

async fn receive(gossip: Gossip) {
    let mut buffer = vec![0; 2 * DATAGRAM_BYTES_MAX];
    loop {
        let (result, filled) = gossip.socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((length, from)) = result else {
            continue;
        };
        if fault::is_cut_from(from) {
            continue;
        }
        let datagram = wire::decode::<Datagram>(&buffer[..length]);
        if let Ok(datagram) = &datagram {
            gossip.traffic.record_received(datagram, length);
        }
        match datagram {
            Ok(Datagram::Member(packet)) => {
                let received = membership::receive(
                    &mut gossip.board.borrow_mut(),
                    gossip.clock.now(),
                    from,
                    &packet,
                );
                gossip.send_packets(received.0).await;
                if gossip.should_pull(received.1) {
                    let gossip = gossip.clone();
                    monoio::spawn(async move { gossip.pull(from).await });
                }
            }
            Ok(Datagram::Facts(items)) => {
                // Merging may fetch parts of the configuration, which must not
                // delay the next datagram.
                let gossip = gossip.clone();
                monoio::spawn(async move { gossip.merge(items, &Source::Peer(from)).await });
            }
            Ok(Datagram::Loads(reports)) => {
                load::record_reports(&mut gossip.board.borrow_mut(), gossip.clock.now(), &reports);
            }
            // A datagram that cannot be decoded is dropped.
            Err(_) => {}
        }
    }
}

async fn tick(gossip: Gossip) {
    loop {
        let now = gossip.clock.now();
        let outgoing = membership::step(&mut gossip.board.borrow_mut(), now, &gossip.config);
        gossip.send_packets(outgoing).await;
        monoio::time::sleep(TICK_PERIOD).await;
    }
}

async fn fetch_config_parts(source: &Source, missing: Vec<Digest>) -> Vec<String> {
    match source {
        Source::Peer(address) => {
            match peer::request(*address, &Request::ConfigParts(missing), REQUEST_TIMEOUT).await {
                Ok(Response::ConfigParts(texts)) => texts,
                _ => Vec::new(),
            }
        }
        Source::Platform(client) => {
            let mut texts = Vec::new();
            for digest in missing {
                let kind = board::config::manifest::PART_KIND;
                if let Ok(object) = client.get(kind, &digest.to_string()).await {
                    texts.push(String::from_utf8_lossy(&object.value).into_owned());
                }
            }
            texts
        }
    }
}

fn log_revisions(merged: &Merged) {
    if let Some(revision) = merged.revision {
        spdlog::info!("configuration in force", kv: { revision });
    }
    if let Some(revision) = merged.unreadable {
        spdlog::error!("configuration cannot be read and was not applied", kv: { revision });
    }
}
