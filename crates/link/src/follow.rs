//! What another process of the same VM knows, brought onto a board over
//! loopback, so that two processes of a VM cost the platform and the other VMs
//! no more than one.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use board::{Board, member::State};
use policy::{dissemination, membership};
use rand::seq::IteratorRandom;
use wire::{Answer, Ask, message::Facts};

use crate::{clock::Clock, peer::Links};

const FACT_TIME: Duration = Duration::from_millis(250);
/// Pause before the rest of a large store is asked for.
const MORE_TIME: Duration = Duration::from_millis(10);
const LOAD_TIME: Duration = Duration::from_secs(1);
const ASK_TIME: Duration = Duration::from_secs(2);
/// Failures in a row after which another VM is asked.
const FAILURES_MAX: u32 = 8;

/// Follows the entry daemon of a VM.
#[derive(Clone)]
pub struct Follower {
    board: Rc<RefCell<Board>>,
    clock: Clock,
    entry: SocketAddr,
    links: Links,
    failures: Rc<Cell<u32>>,
    members: Rc<Cell<u64>>,
    is_primed: Rc<Cell<bool>>,
}

impl Follower {
    /// Returns a follower of the process at `entry`.
    pub fn new(board: Rc<RefCell<Board>>, clock: Clock, entry: SocketAddr) -> Self {
        Self {
            board,
            clock,
            entry,
            links: Links::default(),
            failures: Rc::default(),
            members: Rc::default(),
            is_primed: Rc::default(),
        }
    }

    /// Returns whether every kind of fact and the VMs have been learned once.
    pub fn is_primed(&self) -> bool {
        self.is_primed.get()
    }

    /// Starts the tasks that keep the board up to date for ever.
    pub fn start(&self) {
        monoio::spawn(follow_facts(self.clone()));
        monoio::spawn(follow_loads(self.clone()));
    }

    /// Returns whom to ask: the entry daemon, or that of another VM while this
    /// VM's own is gone.
    fn source(&self) -> SocketAddr {
        if self.failures.get() < FAILURES_MAX {
            return self.entry;
        }
        let mut board = self.board.borrow_mut();
        let board = &mut *board;
        let live = board.members.others.values();
        let other = live
            .filter(|member| member.state == State::Live)
            .choose(&mut board.rng);
        // Its own entry daemon may be back: it is asked again after that.
        self.failures.set(FAILURES_MAX - 1);
        other.map_or(self.entry, |member| member.record.address)
    }

    async fn ask(&self, ask: &Ask) -> Option<Answer> {
        let answer = self.links.ask(self.source(), ask, ASK_TIME).await;
        let failures = if answer.is_ok() {
            0
        } else {
            self.failures.get() + 1
        };
        self.failures.set(failures);
        answer.ok()
    }

    /// Returns whether there is more.
    async fn pull(&self) -> bool {
        let buckets = self.board.borrow().shared.buckets();
        let members = self.members.get();
        match self.ask(&Ask::Sync { buckets, members }).await {
            Some(Answer::Facts(facts)) => self.take(facts).await,
            _ => false,
        }
    }

    async fn take(&self, facts: Facts) -> bool {
        self.members.set(facts.digest);
        let now = self.clock.now();
        if !facts.members.is_empty() {
            membership::sync_from(&mut self.board.borrow_mut(), now, facts.members);
        }
        let taken = dissemination::merge(&mut self.board.borrow_mut(), facts.items.clone());
        if taken.missing.is_empty() {
            let is_whole = facts.is_primed && !facts.has_more;
            self.is_primed.set(self.is_primed.get() || is_whole);
            return facts.has_more;
        }
        if let Some(Answer::Parts(texts)) = self.ask(&Ask::Parts(taken.missing)).await {
            let mut board = self.board.borrow_mut();
            for text in texts {
                dissemination::store_part(&mut board, text);
            }
            dissemination::merge(&mut board, facts.items);
        }
        facts.has_more
    }
}

async fn follow_facts(follower: Follower) {
    loop {
        let has_more = follower.pull().await;
        let pause = if has_more { MORE_TIME } else { FACT_TIME };
        monoio::time::sleep(pause).await;
    }
}

async fn follow_loads(follower: Follower) {
    loop {
        monoio::time::sleep(LOAD_TIME).await;
        let Some(Answer::Loads(loads)) = follower.ask(&Ask::Loads).await else {
            continue;
        };
        let now = follower.clock.now();
        let mut board = follower.board.borrow_mut();
        let vms = board.members.live_count();
        for (id, load) in loads {
            let key = board.endpoints.find(&id);
            if let Some(endpoint) = key.and_then(|key| board.endpoints.get_mut(key)) {
                policy::limit::record_report(endpoint, now, load, vms);
            }
        }
    }
}
