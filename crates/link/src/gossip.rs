//! The links between VMs: failure detection and news over UDP, pulls of facts
//! over TCP, on the same address.
//!
//! Facts come from the platform through [`crate::feed`], from other VMs, and
//! from the command line; all take the same way through [`Gossip::take`], which
//! puts them on the board and passes news on.

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
    membership::{self, Datagram},
};
use wire::{Answer, Ask, Gram, gram::GRAM_MAX, message::Facts};

use crate::{clock::Clock, fault, load, peer, platform, telemetry::Telemetry, traffic::Traffic};

const TICK_TIME: Duration = Duration::from_millis(50);
const ASK_TIME: Duration = Duration::from_secs(2);
/// The shortest time between two pulls.
const PULL_PERIOD: Duration = Duration::from_millis(200);
/// About as many facts are in one answer to a pull.
pub const PULL_ITEMS: usize = 4000;
/// Pulls in a row from one VM.
const PULL_ROUNDS: usize = 8;
/// Rounds in which texts of a configuration are fetched before giving up.
const PART_ROUNDS: usize = 2;

/// Where the texts of a configuration can be had.
#[derive(Clone)]
pub enum Source {
    /// The platform.
    Platform(platform::Client),
    /// Another process.
    Peer(SocketAddr),
}

/// The links of one VM.
#[derive(Clone)]
pub struct Gossip {
    pub(crate) board: Rc<RefCell<Board>>,
    pub(crate) clock: Clock,
    socket: Rc<UdpSocket>,
    config: membership::Config,
    traffic: Rc<Traffic>,
    is_primed: Rc<Cell<bool>>,
    is_pulling: Rc<Cell<bool>>,
    next_pull: Rc<Cell<Time>>,
    on_change: Rc<OnceCell<Box<dyn Fn()>>>,
}

impl Gossip {
    /// Opens the links of `board` at `address`.
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
            is_primed: Rc::default(),
            is_pulling: Rc::default(),
            next_pull: Rc::default(),
            on_change: Rc::default(),
        })
    }

    /// Starts the tasks that keep the links going for ever, and calls
    /// `on_change` after each change of the board from then on.
    pub fn start(&self, on_change: impl Fn() + 'static) {
        // Only the first start counts.
        let _ = self.on_change.set(Box::new(on_change));
        monoio::spawn(receive(self.clone()));
        monoio::spawn(tick(self.clone()));
    }

    /// Returns whether every kind of fact has been learned once.
    pub fn is_primed(&self) -> bool {
        self.is_primed.get()
    }

    /// Notes that every kind of fact has been learned.
    pub fn note_primed(&self) {
        if !self.is_primed.replace(true) {
            spdlog::info!("all facts known");
        }
    }

    /// Greets a VM that may live at `address`.
    pub async fn greet(&self, address: SocketAddr) {
        let order = {
            let mut board = self.board.borrow_mut();
            membership::join(&mut board, self.clock.now(), address)
        };
        self.send(vec![order]).await;
    }

    /// Tells the others that this VM leaves.
    pub async fn leave(&self) {
        let orders = membership::leave(&mut self.board.borrow_mut(), self.clock.now());
        self.send(orders).await;
    }

    /// Takes facts in, passes news on, and returns whether all are known now.
    pub async fn take(&self, items: Vec<Item>, source: &Source) -> bool {
        for _ in 0..PART_ROUNDS {
            let taken = dissemination::merge(&mut self.board.borrow_mut(), items.clone());
            log(&taken);
            if !taken.updates.is_empty() {
                self.on_change.get().inspect(|call| call());
                self.pass_on(&taken.updates).await;
            }
            if taken.missing.is_empty() {
                return true;
            }
            for text in fetch_parts(source, taken.missing).await {
                dissemination::store_part(&mut self.board.borrow_mut(), text);
            }
        }
        false
    }

    /// Returns how long ago the keys were known to be complete, in
    /// milliseconds.
    pub fn fresh_ms(&self) -> Option<u32> {
        let age = |time: Time| (self.clock.now() - time).as_millis() as u32;
        self.board.borrow().members.keys_complete_at.map(age)
    }

    /// Answers a pull.
    pub fn facts(&self, buckets: &[u64], members: u64) -> Facts {
        let board = self.board.borrow();
        let start = self.clock.now().millis() as usize;
        let (items, has_more) = board.shared.differing_items(buckets, PULL_ITEMS, start);
        let opinions = || membership::all_updates(&board);
        let digest = board.members.digest();
        let differs = digest != members;
        Facts {
            items,
            has_more,
            fresh_ms: self.fresh_ms(),
            is_primed: self.is_primed(),
            digest,
            members: if differs { opinions() } else { Vec::new() },
        }
    }

    /// Sends one datagram, unless it is cut or too large.
    pub(crate) async fn post(&self, to: SocketAddr, gram: &Gram) {
        let Ok(bytes) = wire::encode(gram) else {
            return;
        };
        if bytes.len() <= GRAM_MAX && !fault::is_cut_to(to) {
            self.traffic.sent(gram, bytes.len());
            // A datagram that is not sent is one that is lost.
            let _ = self.socket.send_to(bytes, to).await;
        }
    }

    async fn send(&self, orders: Vec<Datagram>) {
        for Datagram { to, packet } in orders {
            self.post(to, &Gram::Member(packet)).await;
        }
    }

    /// Sends each fact in a datagram of its own. Those that do not fit are
    /// found by the comparison of digests.
    async fn pass_on(&self, news: &[Item]) {
        if news.len() > dissemination::PUSH_ITEMS_MAX {
            return;
        }
        for item in news {
            let targets = dissemination::push_targets(&mut self.board.borrow_mut());
            let gram = Gram::News(vec![item.clone()]);
            for to in targets {
                self.post(to, &gram).await;
            }
        }
    }

    fn wants_pull(&self, differs: bool) -> bool {
        let is_due = self.next_pull.get() <= self.clock.now();
        (differs || !self.is_primed()) && is_due && !self.is_pulling.get()
    }

    async fn pull(&self, from: SocketAddr) {
        self.is_pulling.set(true);
        for _ in 0..PULL_ROUNDS {
            if !self.pull_once(from).await {
                break;
            }
        }
        self.is_pulling.set(false);
        self.next_pull.set(self.clock.now() + PULL_PERIOD);
    }

    /// Returns whether there is more.
    async fn pull_once(&self, from: SocketAddr) -> bool {
        let (buckets, members) = {
            let board = self.board.borrow();
            (board.shared.buckets(), board.members.digest())
        };
        let ask = Ask::Sync { buckets, members };
        let Ok(Answer::Facts(facts)) = peer::ask(from, &ask, ASK_TIME).await else {
            return false;
        };
        self.traffic
            .pulled(wire::encode(&facts).map_or(0, |bytes| bytes.len()));
        let now = self.clock.now();
        for opinion in facts.members {
            membership::apply_update(&mut self.board.borrow_mut(), now, opinion);
        }
        let is_whole = self.take(facts.items, &Source::Peer(from)).await;
        if is_whole && !facts.has_more && facts.is_primed {
            self.note_primed();
        }
        is_whole && facts.has_more
    }
}

async fn receive(gossip: Gossip) {
    let mut buffer = vec![0; 2 * GRAM_MAX];
    loop {
        let (result, filled) = gossip.socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((length, from)) = result else {
            continue;
        };
        if fault::is_cut_from(from) {
            continue;
        }
        let gram = wire::decode::<Gram>(&buffer[..length]);
        if let Ok(gram) = &gram {
            gossip.traffic.received(gram, length);
        }
        match gram {
            Ok(Gram::Member(packet)) => {
                let received = membership::receive(
                    &mut gossip.board.borrow_mut(),
                    gossip.clock.now(),
                    from,
                    &packet,
                );
                gossip.send(received.0).await;
                if gossip.wants_pull(received.1) {
                    let gossip = gossip.clone();
                    monoio::spawn(async move { gossip.pull(from).await });
                }
            }
            Ok(Gram::News(items)) => {
                // Texts may have to be fetched, which must not hold packets up.
                let gossip = gossip.clone();
                monoio::spawn(async move { gossip.take(items, &Source::Peer(from)).await });
            }
            Ok(Gram::Loads(reports)) => {
                load::note(&mut gossip.board.borrow_mut(), gossip.clock.now(), &reports);
            }
            // Not one of ours.
            Err(_) => {}
        }
    }
}

async fn tick(gossip: Gossip) {
    loop {
        let now = gossip.clock.now();
        let orders = membership::step(&mut gossip.board.borrow_mut(), now, &gossip.config);
        gossip.send(orders).await;
        monoio::time::sleep(TICK_TIME).await;
    }
}

async fn fetch_parts(source: &Source, missing: Vec<Digest>) -> Vec<String> {
    match source {
        Source::Peer(address) => match peer::ask(*address, &Ask::Parts(missing), ASK_TIME).await {
            Ok(Answer::Parts(texts)) => texts,
            _ => Vec::new(),
        },
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

fn log(taken: &Merged) {
    if let Some(revision) = taken.revision {
        spdlog::info!("configuration in force", kv: { revision });
    }
    if let Some(revision) = taken.unreadable {
        spdlog::error!("configuration not applied", kv: { revision });
    }
}
