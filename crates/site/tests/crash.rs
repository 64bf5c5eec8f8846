//! End-to-end tests of requests that crash endpoints.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{Deployment, caller, header, job};
use fakes::site::Plan;
use link::{Method, http::client::Call};

/// The path of the requests that crash endpoints.
const PATH: &str = "/safe/crash";
/// The number of endpoints that may end under a request before it is stopped.
const CRASHES_MAX: usize = 3;
/// How long VMs may take to stop it. The platform does not count retries sooner.
const STOP_TIME: Duration = Duration::from_secs(3);
/// The number of retries that the platform accepts later.
const RETRIES_MAX: usize = 3;

/// Starts VMs and four endpoints. The next `crashes` requests to [`PATH`] crash
/// the endpoint that they reach.
fn start(vms: usize, crashes: u32) -> Deployment {
    let plan = Plan {
        plain: 4,
        ..Plan::default()
    };
    let deployment = Deployment::start(vms, plan);
    let mut state = deployment.site.state();
    state.crashes.insert(PATH.to_string(), crashes);
    drop(state);
    deployment
}

fn crashing(id: &str) -> Call {
    caller(Method::POST, PATH, id).body("crash")
}

/// Returns when the requests that crash endpoints reached endpoints.
fn arrivals(deployment: &Deployment) -> Vec<Instant> {
    let state = deployment.site.state();
    let arrivals = state.arrivals.iter();
    let crashing = arrivals.filter(|arrival| arrival.path == PATH);
    crashing.map(|arrival| arrival.at).collect()
}

/// Sends the request to all VMs in turn until `end`, and returns the last
/// status.
fn send_until(deployment: &Deployment, prefix: &str, end: Instant) -> u16 {
    let mut status = 0;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let vm = &deployment.vms[number % deployment.vms.len()];
        status = vm
            .send(crashing(&format!("{prefix}-{number}")))
            .status
            .as_u16();
        thread::sleep(Duration::from_millis(100));
    }
    status
}

/// Asserts that at most [`RETRIES_MAX`] requests came later than [`STOP_TIME`]
/// after the crash of the last of [`CRASHES_MAX`] endpoints.
fn assert_stopped(deployment: &Deployment) {
    let arrivals = arrivals(deployment);
    assert!(arrivals.len() >= CRASHES_MAX, "{}", arrivals.len());
    let since = arrivals[CRASHES_MAX - 1] + STOP_TIME;
    let late = arrivals.iter().filter(|at| **at > since).count();
    assert!(late <= RETRIES_MAX, "{late} of {}", arrivals.len());
}

#[test]
fn crashing_request_sent_on_and_on() {
    let deployment = start(3, u32::MAX);
    let end = Instant::now() + STOP_TIME * 2;
    let status = send_until(&deployment, "c", end);
    assert_stopped(&deployment);
    assert_eq!(status, 503);
    // Other requests on the same path are served.
    deployment.site.state().crashes.clear();
    let vm = &deployment.vms[0];
    let other = caller(Method::POST, PATH, "other-body").body("harmless");
    assert_eq!(vm.send(other).status, 200);
    let other = crashing("other-account").header("x-api-key", "key-of-other");
    assert_eq!(vm.send(other).status, 200);
}

#[test]
fn crashing_request_sent_on_after_restart() {
    let mut deployment = start(2, u32::MAX);
    send_until(&deployment, "a", Instant::now() + STOP_TIME);
    let before = arrivals(&deployment).len();
    for vm in &mut deployment.vms {
        vm.kill();
    }
    for vm in &mut deployment.vms {
        vm.restart();
    }
    let status = send_until(&deployment, "b", Instant::now() + STOP_TIME);
    assert_stopped(&deployment);
    assert_eq!((arrivals(&deployment).len(), status), (before, 503));
}

#[test]
fn crashing_request_rejected_with_time_to_return() {
    let deployment = start(1, u32::MAX);
    let end = Instant::now() + STOP_TIME;
    assert_eq!(send_until(&deployment, "c", end), 503);
    let rejected = deployment.vms[0].send(crashing("last"));
    assert_eq!(rejected.status, 503);
    let retry_after: f64 = header(&rejected, "retry-after").parse().unwrap();
    assert!(retry_after > 60.0, "{retry_after}");
}

#[test]
fn answered_request_is_not_held_for_crashing() {
    let deployment = start(1, 0);
    for round in 0..8 {
        let mut state = deployment.site.state();
        state.crashes.insert(PATH.to_string(), 1);
        drop(state);
        let answer = deployment.vms[0].send(crashing(&format!("r-{round}")));
        assert_eq!(answer.status, 200, "{round}");
    }
    assert_eq!(arrivals(&deployment).len(), 16);
}

#[test]
fn item_under_which_endpoints_crashed_is_run() {
    let deployment = start(2, 0);
    let mut state = deployment.site.state();
    for path in ["/jobs-here/i-0", "/score/here"] {
        state.crashes.insert(path.to_string(), 5);
    }
    drop(state);
    assert_eq!(deployment.vms[0].submit("j1", &job("i", 2, 1)), 202);
    let samples = deployment.vms[0].read_all("j1", 2);
    assert!(
        samples.iter().all(|sample| sample["state"] == "done"),
        "{samples:?}"
    );
}
