//! End-to-end tests that count what many VMs cost the platform: calls to the store,
//! and connections to endpoints.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{Deployment, Vm, job, wait};
use fakes::site::{Fault, MODEL, Plan};
use link::Method;
use serde_json::json;

/// The number of VMs, and how many of them are coordinators.
const VMS: usize = 12;
const COORDINATORS: usize = 3;
/// How long the store is unavailable.
const OUTAGE: Duration = Duration::from_secs(3);
/// The largest number of calls of each VM to an unavailable store in [`OUTAGE`]:
/// eight probes with pauses of 100 to 500 ms, and the calls that were in
/// progress when the outage began, each with its repetition through a relay.
const OUTAGE_CALLS_MAX: u64 = 16;

fn count_calls(deployment: &Deployment) -> u64 {
    deployment.site.state().calls.values().sum()
}

/// Each kind, reader and writer of a VM once called an unavailable store for
/// itself, and repeated each call through another VM.
#[test]
fn calls_to_unavailable_store_are_repeated_by_each_reader() {
    let plan = Plan {
        event_time: Duration::from_millis(50),
        ..Plan::default()
    };
    let deployment = Deployment::start_with_coordinators(VMS, COORDINATORS, plan);
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 24, 40)), 202);
    wait("items at engines", || {
        deployment.site.state().arrivals.len() >= 8
    });
    deployment.site.state().fault = Fault::Unavailable;
    let before = count_calls(&deployment);
    thread::scope(|scope| {
        // Trainers read and submit meanwhile.
        for vm in &deployment.vms[..2] {
            scope.spawn(move || {
                for _ in 0..4 {
                    vm.request(Method::GET, "/lots/job-a?after=0", "read");
                    thread::sleep(OUTAGE / 8);
                }
            });
        }
        thread::sleep(OUTAGE);
    });
    let calls = count_calls(&deployment) - before;
    deployment.site.state().fault = Fault::None;
    println!("{calls} calls of {VMS} VMs in an outage of {OUTAGE:?}");
    assert!(calls <= OUTAGE_CALLS_MAX * VMS as u64, "{calls} calls");
    deployment.vms[1].read_all("job-a", 24);
}

/// How often the record of an endpoint changes, and for how long.
const CHANGE_PERIOD: Duration = Duration::from_millis(20);
const CHANGE_TIME: Duration = Duration::from_secs(3);
/// The shortest time between two watches of the endpoints at the store.
const ENDPOINT_WATCH_PERIOD: Duration = Duration::from_millis(250);
/// How long VMs that start at the same time may not call each other: after a mirror
/// did not answer, it is not called again for 1.5 s.
const START_TIME: Duration = Duration::from_secs(2);

/// The records of endpoints change with each load of weights, and the first seed
/// watched them eight times a second.
#[test]
fn endpoints_are_watched_for_each_change() {
    let mut deployment = Deployment::start(3, Plan::default());
    deployment.kill_all(false);
    for vm in &deployment.vms {
        vm.change_settings(|text| text.replace("[bounds]", "[bounds]\ndrain-ms = 2000"));
    }
    deployment.restart_all();
    let watches = || {
        let state = deployment.site.state();
        state.calls.get("GET servers").copied().unwrap_or_default()
    };
    thread::sleep(START_TIME);
    let before = watches();
    let start = Instant::now();
    while start.elapsed() < CHANGE_TIME {
        deployment.site.state().announce("engine-0", "ready");
        thread::sleep(CHANGE_PERIOD);
    }
    let (watches, time) = (watches() - before, start.elapsed());
    println!("{watches} watches of the endpoints in {time:?}");
    let watches_max = time.as_millis() / ENDPOINT_WATCH_PERIOD.as_millis() + 2;
    assert!(u128::from(watches) <= watches_max, "{watches} watches");
    // All VMs learn the changes.
    deployment.site.state().announce("engine-0", "draining");
    for vm in &deployment.vms {
        vm.wait_until_logged("endpoint is draining");
    }
}

/// The number of engines that load weights, and the versions that they load.
const ENGINES: usize = 3;
const VERSIONS: std::ops::Range<u64> = 2..8;

/// Names new weights several times, and returns the number of connections on which
/// orders to load them arrived.
fn count_connections_of_orders(repeats_ids: bool) -> usize {
    let plan = Plan {
        engines: ENGINES,
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    deployment.site.state().repeats_order_ids = repeats_ids;
    for version in VERSIONS {
        let named = json!({"model": MODEL, "version": version});
        deployment.site.state().put("versions", MODEL, named);
        wait("the version at all engines", || {
            let state = deployment.site.state();
            let mut engines = state.endpoints.values().filter(|e| !e.versions.is_empty());
            engines.all(|engine| engine.versions[MODEL] == version)
        });
    }
    let state = deployment.site.state();
    let connections = state.connections.iter();
    connections
        .filter(|connection| connection.has_orders)
        .count()
}

/// A read of the state had an id, as requests have. Where the address had gone to an
/// endpoint of another service, that one ran it as a request that nobody had sent.
#[test]
fn reads_of_states_have_ids() {
    let deployment = Deployment::start(1, Plan::default());
    let named = json!({"model": MODEL, "version": 2});
    deployment.site.state().put("versions", MODEL, named);
    let mut ids = Vec::new();
    wait("a read of a state", || {
        let state = deployment.site.state();
        let reads = state.control_calls.iter();
        let reads = reads.filter(|call| call.path == "/report");
        ids = reads.map(|call| call.id.clone()).collect();
        !ids.is_empty()
    });
    assert!(ids.iter().all(String::is_empty), "{ids:?}");
}

/// Each order to load weights opened a connection.
#[test]
fn orders_open_connections_to_endpoints_that_repeat_ids() {
    assert_eq!(count_connections_of_orders(true), ENGINES);
}

/// The same at endpoints that omit ids. Each order follows a read of the state on its
/// connection, which a late answer to an earlier order would spoil.
#[test]
fn orders_open_connections_to_endpoints_that_omit_ids() {
    assert_eq!(count_connections_of_orders(false), ENGINES);
}

/// Returns whether `page` has a line of the counter `name` with all of `labels`.
fn has_count(page: &str, name: &str, labels: &[&str]) -> bool {
    page.lines()
        .filter(|line| line.starts_with(name))
        .any(|line| labels.iter().all(|label| line.contains(label)))
}

/// Calls and connections were counted without their causes.
#[test]
fn calls_and_connections_without_causes() {
    let deployment = Deployment::start(1, Plan::default());
    let vm = &deployment.vms[0];
    assert_eq!(vm.request(Method::POST, "/safe/a", "r0").status, 200);
    assert_eq!(vm.submit("job-a", &job("a", 2, 2)), 202);
    vm.read_all("job-a", 2);
    let page = vm.metrics_page();
    let answered = "result=\"answered\"";
    for labels in [
        ["kind=\"config\"", "purpose=\"list\"", answered],
        ["kind=\"job-content\"", "purpose=\"write\"", answered],
    ] {
        let name = "tarragonseam_store_call_results";
        assert!(has_count(&page, name, &labels), "{labels:?}: {page}");
    }
    let name = "tarragonseam_endpoint_connections";
    assert!(has_count(&page, name, &["cause=\"added\""]), "{page}");
    assert!(!page.contains("rollout-job-"), "{page}");
}

/// A VM listed each kind that it needs from the store when it started, although the
/// other VMs follow a mirror.
#[test]
fn started_vm_lists_kinds_at_the_store() {
    let mut deployment = Deployment::start_with_coordinators(VMS, COORDINATORS, Plan::default());
    thread::sleep(START_TIME);
    // A deputy begins to serve others with lists of the store.
    let is_deputy = |vm: &Vm| vm.log().contains("\"is_deputy\":true");
    let mut vms = deployment.vms[COORDINATORS..].iter_mut();
    let vm = vms.find(|vm| !is_deputy(vm)).unwrap();
    vm.kill();
    // The VM learns what changes while it is away.
    let changed = common::config(2);
    deployment.site.state().put("config", "main", changed);
    vm.restart();
    vm.wait_until_logged("\"version\":2");
    assert_eq!(vm.request(Method::POST, "/safe/a", "r0").status, 200);
    let page = vm.metrics_page();
    let name = "tarragonseam_store_call_results";
    for kind in ["config", "servers", "crash-reports"] {
        let labels = [&*format!("kind=\"{kind}\""), "purpose=\"list\""];
        assert!(!has_count(&page, name, &labels), "{kind}: {page}");
    }
}
