//! Copies the facts of the entry daemon to the board of another process of the
//! same VM over loopback, so that a second process adds no load on the platform
//! and the other VMs.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use board::{Board, member::State};
use policy::{dissemination, membership};
use rand::seq::IteratorRandom;
use wire::{Request, Response, message::Facts};

use crate::{clock::Clock, peer::Pool};

const FACTS_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Pause between pulls while the source has more facts.
const NEXT_PULL_PAUSE: Duration = Duration::from_millis(10);
const LOADS_POLL_PERIOD: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive failures after which a request goes to another VM.
const FAILURES_MAX: u32 = 8;

/// Keeps a board in sync with the entry daemon of its VM.
#[derive(Clone)]
pub struct Follower {
    board: Rc<RefCell<Board>>,
    clock: Clock,
    entry: SocketAddr,
    pool: Pool,
    failures: Rc<Cell<u32>>,
    members_digest: Rc<Cell<u64>>,
    is_bootstrapped: Rc<Cell<bool>>,
}

impl Follower {
    /// Returns a follower of the entry daemon at `entry`.
    pub fn new(board: Rc<RefCell<Board>>, clock: Clock, entry: SocketAddr) -> Self {
        Self {
            board,
            clock,
            entry,
            pool: Pool::default(),
            failures: Rc::default(),
            members_digest: Rc::default(),
            is_bootstrapped: Rc::default(),
        }
    }

    /// Returns whether all facts of each kind and the member list have been
    /// received at least once.
    pub fn is_bootstrapped(&self) -> bool {
        self.is_bootstrapped.get()
    }

    /// Starts the tasks that keep the board up to date until the process ends.
    pub fn start(&self) {
        monoio::spawn(follow_facts(self.clone()));
        monoio::spawn(follow_loads(self.clone()));
    }

    /// Returns the address for the next request: the VM's own entry daemon, or
    /// that of another VM while its own does not respond.
    fn source(&self) -> SocketAddr {
        if self.failures.get() < FAILURES_MAX {
            return self.entry;
        }
        let mut board = self.board.borrow_mut();
        let board = &mut *board;
        let live = board.members.others.values();
        let fallback = live
            .filter(|member| member.state == State::Live)
            .choose(&mut board.rng);
        // The request after the next one tries the VM's own entry daemon again.
        self.failures.set(FAILURES_MAX - 1);
        fallback.map_or(self.entry, |member| member.record.address)
    }

    async fn request(&self, request: &Request) -> Option<Response> {
        let response = self
            .pool
            .request(self.source(), request, REQUEST_TIMEOUT)
            .await;
        let failures = if response.is_ok() {
            0
        } else {
            self.failures.get() + 1
        };
        self.failures.set(failures);
        response.ok()
    }

    /// Pulls facts once and returns whether the source has more of them.
    async fn pull(&self) -> bool {
        let buckets = self.board.borrow().shared.buckets();
        let members_digest = self.members_digest.get();
        match self
            .request(&Request::Sync {
                buckets,
                members_digest,
            })
            .await
        {
            Some(Response::Facts(facts)) => self.apply(facts).await,
            _ => false,
        }
    }

    async fn apply(&self, facts: Facts) -> bool {
        self.members_digest.set(facts.members_digest);
        let now = self.clock.now();
        if !facts.members.is_empty() {
            membership::sync_from(&mut self.board.borrow_mut(), now, facts.members);
        }
        let merged = dissemination::merge(&mut self.board.borrow_mut(), facts.items.clone());
        if merged.missing.is_empty() {
            let is_complete = facts.is_bootstrapped && !facts.has_more;
            self.is_bootstrapped
                .set(self.is_bootstrapped.get() || is_complete);
            return facts.has_more;
        }
        if let Some(Response::ConfigParts(texts)) =
            self.request(&Request::ConfigParts(merged.missing)).await
        {
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
        let pause = if has_more {
            NEXT_PULL_PAUSE
        } else {
            FACTS_POLL_PERIOD
        };
        monoio::time::sleep(pause).await;
    }
}

async fn follow_loads(follower: Follower) {
    loop {
        monoio::time::sleep(LOADS_POLL_PERIOD).await;
        let Some(Response::EndpointLoads(loads)) = follower.request(&Request::EndpointLoads).await
        else {
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
