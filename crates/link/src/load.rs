//! Load reports of endpoints. One VM polls each endpoint and sends its load to
//! the other VMs.
//!
//! The owner of an endpoint, chosen by rendezvous hashing over the live VMs of
//! its failure domain, polls its load and sends a report to every other VM. The
//! period is one second, and grows with the number of endpoints, separately for
//! the VMs of the same and of other failure domains.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use board::{
    Board, Time,
    endpoint::{self, Endpoint, Load, State},
    hash::{Map, hash_bytes},
};
use policy::{limit, relay};
use wire::{
    Datagram,
    datagram::{AGE_UNIT_MS, Report},
};

use crate::{
    gossip::Gossip,
    http::{Pool, client::Call},
};

const POLL_PERIOD: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const SEND_PERIOD: Duration = Duration::from_secs(1);
/// The maximum number of reports in one datagram.
const REPORTS_PER_DATAGRAM_MAX: usize = 60;
/// The maximum rate at which a VM receives reports from its own failure domain.
const LOCAL_REPORTS_PER_S_MAX: usize = 400;
/// The maximum rate at which a VM receives reports from other failure domains.
const REMOTE_REPORTS_PER_S_MAX: usize = 200;
/// The longest period between two reports of an endpoint, in seconds. It takes
/// precedence over the maximum rates.
const PERIOD_S_MAX: usize = 30;

/// Polls the loads of endpoints and sends them to other VMs.
#[derive(Clone)]
pub struct Poller {
    gossip: Gossip,
    pool: Pool,
}

impl Poller {
    /// Returns a poller that sends reports through `gossip`.
    pub fn new(gossip: Gossip, pool: Pool) -> Self {
        Self { gossip, pool }
    }

    /// Starts the tasks that poll and send loads until the process ends.
    pub fn start(&self) {
        monoio::spawn(poll_loads(self.clone()));
        monoio::spawn(send_reports(self.clone()));
    }

    async fn poll(&self, key: endpoint::Key, address: SocketAddr) {
        let call = Call::get("/v1/load").deadline(CALL_TIMEOUT);
        let Ok(response) = self.pool.fetch(address, call).await else {
            return;
        };
        let Ok(load) = serde_json::from_slice(&response.body) else {
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

async fn poll_loads(poller: Poller) {
    loop {
        let owned_endpoints: Vec<_> = {
            let board = poller.gossip.board.borrow();
            let endpoints = owned(&board).map(|(key, endpoint)| (key, endpoint.record.address));
            endpoints.collect()
        };
        for (key, address) in owned_endpoints {
            let poller = poller.clone();
            monoio::spawn(async move { poller.poll(key, address).await });
        }
        monoio::time::sleep(POLL_PERIOD).await;
    }
}

/// Returns the ready endpoints that this VM polls.
fn owned(board: &Board) -> impl Iterator<Item = (endpoint::Key, &Endpoint)> {
    board.endpoints.iter().filter(|(_, endpoint)| {
        let record = &endpoint.record;
        record.state == State::Ready
            && record.failure_domain == board.failure_domain
            && relay::is_owner(board, &record.id)
    })
}

async fn send_reports(poller: Poller) {
    let gossip = &poller.gossip;
    let mut round = 0;
    loop {
        monoio::time::sleep(SEND_PERIOD).await;
        round += 1;
        let (reports, targets) = {
            let board = gossip.board.borrow();
            let now = gossip.clock.now();
            let reports: Vec<_> = owned(&board)
                .filter_map(|(_, e)| build_report(e, now))
                .collect();
            (reports, targets(&board, round))
        };
        for chunk in reports.chunks(REPORTS_PER_DATAGRAM_MAX) {
            let datagram = Datagram::Loads(chunk.to_vec());
            for to in &targets {
                gossip.send_datagram(*to, &datagram).await;
            }
        }
    }
}

/// Returns the VMs that receive reports in this round. Each VM is included once
/// per period, which grows with the number of endpoints so that the rate of
/// reports that a VM receives stays bounded.
fn targets(board: &Board, round: usize) -> Vec<SocketAddr> {
    let is_local = |domain: &str| domain == board.failure_domain;
    let endpoints = board.endpoints.iter();
    let (local, remote): (Vec<_>, Vec<_>) =
        endpoints.partition(|(_, endpoint)| is_local(&endpoint.record.failure_domain));
    let period = |count: usize, rate: usize| count.div_ceil(rate).clamp(1, PERIOD_S_MAX);
    let local_period = period(local.len(), LOCAL_REPORTS_PER_S_MAX);
    let remote_period = period(remote.len(), REMOTE_REPORTS_PER_S_MAX);
    let is_due =
        |vm: &str, period: usize| hash_bytes(vm.as_bytes(), 0) as usize % period == round % period;
    board
        .members
        .live()
        .filter(|member| {
            let record = &member.record;
            let is_local = is_local(&record.failure_domain);
            is_due(
                &record.vm,
                if is_local {
                    local_period
                } else {
                    remote_period
                },
            )
        })
        .map(|member| member.record.address)
        .collect()
}

fn build_report(endpoint: &Endpoint, now: Time) -> Option<Report> {
    let (time, load) = endpoint.load.as_ref()?;
    let record = &endpoint.record;
    let saturate = |number: u32| number.min(u32::from(u16::MAX)) as u16;
    let age = (now - *time).as_millis() as u64 + load.age_ms;
    Some(Report {
        endpoint_hash: hash_id(&record.id),
        in_flight: saturate(load.in_flight),
        queued: saturate(load.queued),
        slots: saturate(load.slots),
        version: load.versions.get(&record.service).copied().unwrap_or(0),
        age_units: age.div_ceil(AGE_UNIT_MS).min(u64::from(u8::MAX)) as u8,
    })
}

fn hash_id(id: &str) -> [u8; 4] {
    (hash_bytes(id.as_bytes(), 0) as u32).to_le_bytes()
}

/// Records the load reports that another VM sent.
pub(crate) fn record_reports(board: &mut Board, now: Time, reports: &[Report]) {
    let by_hash: Map<[u8; 4], &Report> = reports.iter().map(|r| (r.endpoint_hash, r)).collect();
    let matched: Vec<_> = board
        .endpoints
        .iter()
        .filter_map(|(key, endpoint)| Some((key, *by_hash.get(&hash_id(&endpoint.record.id))?)))
        .collect();
    let vms = board.members.live_count();
    for (key, report) in matched {
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
            age_ms: u64::from(report.age_units) * AGE_UNIT_MS,
        };
        limit::record_report(endpoint, now, load, vms);
    }
}
