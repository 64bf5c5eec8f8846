//! Load reports of endpoints, read by one VM each and told to the others.
//!
//! The owner of an endpoint, by rendezvous hash over the live VMs of its
//! failure domain, reads its load. It tells the VMs of its failure domain each
//! second, and the others less often as the endpoints grow in number.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use board::{
    Board, Time,
    endpoint::{self, Endpoint, Load, State},
    hash::{Map, hash_bytes},
};
use policy::{limit, relay};
use wire::{
    Gram,
    gram::{AGE_UNIT_MS, Report},
};

use crate::{
    gossip::Gossip,
    http::{Pool, client::Call},
};

const POLL_TIME: Duration = Duration::from_millis(500);
const CALL_TIME: Duration = Duration::from_secs(1);
const TELL_TIME: Duration = Duration::from_secs(1);
/// Reports in one datagram.
const REPORTS_MAX: usize = 60;
/// Reports of its own failure domain that a VM may receive each second.
const NEAR_REPORTS: usize = 400;
/// Reports of other failure domains that it may receive each second.
const FAR_REPORTS: usize = 200;
/// The longest time between two reports, in seconds.
const PERIOD_MAX: usize = 30;

/// Reads load reports onto a board and tells them to other VMs.
#[derive(Clone)]
pub struct Poller {
    gossip: Gossip,
    pool: Pool,
}

impl Poller {
    /// Returns a poller that tells others through `gossip`.
    pub fn new(gossip: Gossip, pool: Pool) -> Self {
        Self { gossip, pool }
    }

    /// Starts the tasks that read and tell loads for ever.
    pub fn start(&self) {
        monoio::spawn(read(self.clone()));
        monoio::spawn(tell(self.clone()));
    }

    async fn poll(&self, key: endpoint::Key, address: SocketAddr) {
        let call = Call::get("/v1/load").deadline(CALL_TIME);
        let Ok(answer) = self.pool.fetch(address, call).await else {
            return;
        };
        let Ok(load) = serde_json::from_slice(&answer.body) else {
            return;
        };
        let now = self.gossip.clock.now();
        let mut board = self.gossip.board.borrow_mut();
        let vms = board.members.live_count();
        if let Some(endpoint) = board.endpoints.get_mut(key) {
            limit::record_report(endpoint, now, load, vms);
        }
    }
}

async fn read(poller: Poller) {
    loop {
        let due: Vec<_> = {
            let board = poller.gossip.board.borrow();
            let due = owned(&board).map(|(key, endpoint)| (key, endpoint.record.address));
            due.collect()
        };
        for (key, address) in due {
            let poller = poller.clone();
            monoio::spawn(async move { poller.poll(key, address).await });
        }
        monoio::time::sleep(POLL_TIME).await;
    }
}

/// Returns the ready endpoints whose load this VM reads.
fn owned(board: &Board) -> impl Iterator<Item = (endpoint::Key, &Endpoint)> {
    board.endpoints.iter().filter(|(_, endpoint)| {
        let record = &endpoint.record;
        record.state == State::Ready
            && record.failure_domain == board.failure_domain
            && relay::is_owner(board, &record.id)
    })
}

async fn tell(poller: Poller) {
    let gossip = &poller.gossip;
    let mut turn = 0;
    loop {
        monoio::time::sleep(TELL_TIME).await;
        turn += 1;
        let (reports, targets) = {
            let board = gossip.board.borrow();
            let now = gossip.clock.now();
            let reports: Vec<_> = owned(&board).filter_map(|(_, e)| report(e, now)).collect();
            (reports, targets(&board, turn))
        };
        for chunk in reports.chunks(REPORTS_MAX) {
            let gram = Gram::Loads(chunk.to_vec());
            for to in &targets {
                gossip.post(*to, &gram).await;
            }
        }
    }
}

/// Returns who is told this time: each VM once in a period that grows with the
/// endpoints, so that what a VM receives stays bounded.
fn targets(board: &Board, turn: usize) -> Vec<SocketAddr> {
    let is_near = |domain: &str| domain == board.failure_domain;
    let endpoints = board.endpoints.iter();
    let (near, far): (Vec<_>, Vec<_>) =
        endpoints.partition(|(_, endpoint)| is_near(&endpoint.record.failure_domain));
    let period = |count: usize, rate: usize| count.div_ceil(rate).clamp(1, PERIOD_MAX);
    let near = period(near.len(), NEAR_REPORTS);
    let far = period(far.len(), FAR_REPORTS);
    let is_due =
        |vm: &str, period: usize| hash_bytes(vm.as_bytes(), 0) as usize % period == turn % period;
    board
        .members
        .live()
        .filter(|member| {
            let record = &member.record;
            let is_near = is_near(&record.failure_domain);
            is_due(&record.vm, if is_near { near } else { far })
        })
        .map(|member| member.record.address)
        .collect()
}

fn report(endpoint: &Endpoint, now: Time) -> Option<Report> {
    let (time, load) = endpoint.load.as_ref()?;
    let record = &endpoint.record;
    let narrow = |number: u32| number.min(u32::from(u16::MAX)) as u16;
    let age = (now - *time).as_millis() as u64 + load.age_ms;
    Some(Report {
        endpoint: mark(&record.id),
        in_flight: narrow(load.in_flight),
        queued: narrow(load.queued),
        slots: narrow(load.slots),
        version: load.versions.get(&record.service).copied().unwrap_or(0),
        age: age.div_ceil(AGE_UNIT_MS).min(u64::from(u8::MAX)) as u8,
    })
}

fn mark(id: &str) -> [u8; 4] {
    (hash_bytes(id.as_bytes(), 0) as u32).to_le_bytes()
}

/// Notes what another VM tells of endpoints.
pub(crate) fn note(board: &mut Board, now: Time, reports: &[Report]) {
    let by_mark: Map<[u8; 4], &Report> = reports.iter().map(|r| (r.endpoint, r)).collect();
    let known: Vec<_> = board
        .endpoints
        .iter()
        .filter_map(|(key, endpoint)| Some((key, *by_mark.get(&mark(&endpoint.record.id))?)))
        .collect();
    let vms = board.members.live_count();
    for (key, report) in known {
        let Some(endpoint) = board.endpoints.get_mut(key) else {
            continue;
        };
        let service = endpoint.record.service.clone();
        let version = (report.version > 0).then_some((service, report.version));
        let load = Load {
            in_flight: u32::from(report.in_flight),
            queued: u32::from(report.queued),
            slots: u32::from(report.slots),
            versions: BTreeMap::from_iter(version),
            age_ms: u64::from(report.age) * AGE_UNIT_MS,
        };
        limit::record_report(endpoint, now, load, vms);
    }
}
