//! Measurements with simulated VMs in one process.

use std::time::{Duration, Instant};

use board::{
    config::{Part, manifest},
    endpoint::{CapacityClass, Record, State},
    key::{Digest, Grant},
    shared::{Fact, Item},
};
use serde_json::json;
use tarragonseam_fakes::swarm::Swarm;

use crate::{
    DOMAINS, process,
    row::{self, Row},
};

/// The longest time that a change may take to reach all VMs.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// The time for all VMs to join before the first publication.
const JOIN_TIME: Duration = Duration::from_secs(5);
/// The time between the start and the measurement without changes.
const STABILIZATION_TIME: Duration = Duration::from_secs(2);
/// The number of changes of endpoints.
const ENDPOINT_CHANGES: usize = 50;
/// The time between two changes of endpoints.
const CHANGE_PERIOD: Duration = Duration::from_millis(100);

/// Measures a swarm of the given size, written `VMSxENDPOINTSxDOMAINS`.
pub(crate) fn run(size: &str, seconds: u64) -> Row {
    let numbers: Vec<usize> = size.split('x').filter_map(|n| n.parse().ok()).collect();
    let [vms, endpoints, domains] = numbers[..] else {
        panic!("the size {size:?} is not of the form VMSxENDPOINTSxDOMAINS");
    };
    let domains = &DOMAINS[..domains];
    let mut row = Row {
        mode: "decisions of many VMs in one process, without sockets",
        vms,
        endpoints,
        failure_domains: domains.len(),
        ..Row::default()
    };
    let mut swarm = start(&mut row, domains);
    measure_quiet(&mut row, &mut swarm, seconds);
    measure_changes(&mut row, &mut swarm);
    measure_endpoints(&mut row, &mut swarm, domains);
    swarm.crash(vms - 1);
    let crash = swarm.run_until(CONVERGENCE_TIMEOUT, Swarm::is_converged);
    row.crash_ms = crash.map(|time| time.as_millis() as u64);
    row
}

/// Starts a swarm, publishes all endpoints and a key to the first VM, and waits
/// until all VMs have received them.
fn start(row: &mut Row, domains: &[&str]) -> Swarm {
    let before = process::own_resident_bytes();
    let mut swarm = Swarm::new(row.vms, domains, 1);
    swarm.run(JOIN_TIME);
    let records = (0..row.endpoints).map(|index| endpoint(index, domains, State::Ready));
    let items = records.map(|record| fact(1, Fact::Endpoint(record)));
    swarm.publish(0, items.collect());
    swarm.publish(0, vec![key(1, false)]);
    let learned = to_millis(swarm.run_until(CONVERGENCE_TIMEOUT, is_in_sync));
    row.detail.insert("learned_ms".into(), json!(learned));
    row.memory_bytes = (process::own_resident_bytes() - before) / row.vms as f64;
    swarm.run(STABILIZATION_TIME);
    swarm
}

/// Measures the traffic and processor time per VM while nothing changes.
fn measure_quiet(row: &mut Row, swarm: &mut Swarm, seconds: u64) {
    let (bytes, start) = (traffic(swarm), Instant::now());
    swarm.run(Duration::from_secs(seconds));
    let vm_seconds = row.vms as f64 * seconds as f64;
    row.quiet_core = start.elapsed().as_secs_f64() / vm_seconds;
    row.quiet_bytes_per_s = (traffic(swarm) - bytes) / vm_seconds;
    row.load_average = row::load_average();
}

/// Measures the time that withdrawals of keys and configurations take to reach
/// all VMs.
fn measure_changes(row: &mut Row, swarm: &mut Swarm) {
    for version in 2..7 {
        let index = version as usize * 7 % row.vms;
        swarm.publish(index, vec![key(version, true)]);
        let withdrawn = swarm.run_until(CONVERGENCE_TIMEOUT, is_in_sync);
        row.withdrawal_ms.push(to_millis(withdrawn));
        let text = format!("[accounts.a]\nweight = {version}\n");
        let part = Part {
            file: "a.toml".to_string(),
            text: text.clone(),
        };
        let manifest = manifest::from_parts(version, &[part]);
        policy::dissemination::store_part(&mut swarm.vms[index].board, text);
        swarm.publish(index, vec![fact(version, Fact::Config(manifest))]);
        let changed = swarm.run_until(CONVERGENCE_TIMEOUT, is_in_sync);
        row.configuration_ms.push(to_millis(changed));
    }
}

/// Measures the traffic per VM for one change of an endpoint.
fn measure_endpoints(row: &mut Row, swarm: &mut Swarm, domains: &[&str]) {
    let (bytes, start) = (traffic(swarm), swarm.now);
    for index in 0..ENDPOINT_CHANGES {
        let record = endpoint(index, domains, State::Draining);
        swarm.publish(index % row.vms, vec![fact(2, Fact::Endpoint(record))]);
        swarm.run(CHANGE_PERIOD);
    }
    swarm.run_until(CONVERGENCE_TIMEOUT, is_in_sync);
    let quiet = row.quiet_bytes_per_s * row.vms as f64 * (swarm.now - start).as_secs_f64();
    row.change_bytes = (traffic(swarm) - bytes - quiet) / (row.vms * ENDPOINT_CHANGES) as f64;
}

/// Returns whether all VMs hold the same facts.
fn is_in_sync(swarm: &Swarm) -> bool {
    let digests = swarm.vms[0].board.shared.digests();
    let mut vms = swarm.vms.iter();
    vms.all(|vm| vm.board.shared.digests() == digests)
}

/// Returns `time` in milliseconds, or `u64::MAX` if the timeout was exceeded.
fn to_millis(time: Option<Duration>) -> u64 {
    time.map_or(u64::MAX, |time| time.as_millis() as u64)
}

fn traffic(swarm: &Swarm) -> f64 {
    let bytes = swarm.vms.iter().map(|vm| vm.sent_bytes + vm.received_bytes);
    bytes.sum::<u64>() as f64
}

fn fact(version: u64, fact: Fact) -> Item {
    Item { version, fact }
}

fn key(version: u64, withdrawn: bool) -> Item {
    let account = "panel-nord".to_string();
    fact(
        version,
        Fact::Key(Digest::of("secret"), Grant { account, withdrawn }),
    )
}

fn endpoint(index: usize, domains: &[&str], state: State) -> Record {
    Record {
        id: format!("tasting-notes-{index}"),
        address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 9000).into(),
        failure_domain: domains[index % domains.len()].to_string(),
        service: "tasting-notes".to_string(),
        capacity_class: CapacityClass::Cheap,
        state,
        checks_epoch: true,
        price: 1.0,
    }
}
