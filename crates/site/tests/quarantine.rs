//! End-to-end tests of quarantines that end by evidence: of innocent requests, and
//! of the bound that holds meanwhile for those that crash endpoints.

mod common;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use common::{Deployment, caller, header};
use fakes::{blocking, site::Plan};
use link::Method;

/// The path of the popular request.
const PATH: &str = "/safe/popular";
/// The number of endpoints.
const ENDPOINTS: usize = 4;
/// How long the endpoints have a request when a wave begins.
const RUN_TIME: Duration = Duration::from_millis(300);
/// How soon a request that did not cause a wave has to be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// The platform counts retries later than this after the third crash.
const STOP_TIME: Duration = Duration::from_secs(3);
/// The number of retries that the platform accepts then.
const RETRIES_MAX: usize = 3;

fn start(vms: usize) -> Deployment {
    let plan = Plan {
        plain: ENDPOINTS,
        ..Plan::default()
    };
    Deployment::start(vms, plan)
}

/// Sends the popular request to a VM, and returns the status, or 0 without an
/// answer.
fn send(address: std::net::SocketAddr, id: &str) -> (u16, String) {
    let call = caller(Method::POST, PATH, id).body("popular");
    blocking::fetch(address, call).map_or((0, String::new()), |answer| {
        (answer.status.as_u16(), header(&answer, "retry-after"))
    })
}

/// Sends `count` copies of the request to all VMs at the same time.
fn send_copies(deployment: &Deployment, prefix: &str, count: usize) -> Vec<u16> {
    thread::scope(|scope| {
        let copies = (0..count).map(|number| {
            let vm = &deployment.vms[number % deployment.vms.len()];
            scope.spawn(move || send(vm.callers, &format!("{prefix}-{number}")).0)
        });
        let copies: Vec<_> = copies.collect();
        copies
            .into_iter()
            .map(|copy| copy.join().unwrap())
            .collect()
    })
}

/// Ends all endpoints that have copies of the request, with those that it is sent
/// to in the meantime.
fn cause_wave(deployment: &Deployment, prefix: &str, copies: usize) {
    let mut state = deployment.site.state();
    state
        .delays
        .insert(PATH.to_string(), vec![RUN_TIME; copies].into());
    state.crashes.insert(PATH.to_string(), u32::MAX);
    drop(state);
    send_copies(deployment, prefix, copies);
    deployment.site.state().crashes.clear();
}

/// Sends the request to all VMs in turn until each has served it.
fn assert_served_soon(deployment: &Deployment, prefix: &str) {
    let begin = Instant::now();
    for (index, vm) in deployment.vms.iter().enumerate() {
        for number in 0.. {
            let (status, retry_after) = send(vm.callers, &format!("{prefix}-{index}-{number}"));
            if status == 200 {
                break;
            }
            let elapsed = begin.elapsed();
            assert!(
                elapsed < RECOVERY_TIME,
                "{status}, {retry_after} s, {}",
                vm.log()
            );
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// A popular request was refused for ten minutes at all VMs after endpoints that had
/// it ended by themselves.
#[test]
fn popular_request_served_after_waves() {
    let deployment = start(2);
    // The waves take one endpoint, three and all.
    for (wave, copies) in [1, 3, 8, 8].into_iter().enumerate() {
        cause_wave(&deployment, &format!("w{wave}"), copies);
        assert_served_soon(&deployment, &format!("s{wave}"));
    }
    let page = deployment.vms[0].metrics_page() + &deployment.vms[1].metrics_page();
    assert!(page.contains("tarragonseam_crash_probes"), "{page}");
}

/// A request whose connections were reset at three live endpoints was refused for
/// ten minutes.
#[test]
fn request_with_cut_connections_served_again() {
    let deployment = start(2);
    let cut = |count| {
        let mut state = deployment.site.state();
        state.cuts.insert(PATH.to_string(), count);
    };
    cut(u32::MAX);
    let mut status = 0;
    for number in 0..6 {
        status = send(deployment.vms[0].callers, &format!("c{number}")).0;
    }
    assert_eq!(status, 503);
    cut(0);
    // Endpoints write their records again and again.
    let is_stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            let begin = Instant::now();
            while !is_stopped.load(Ordering::Relaxed) && begin.elapsed() < RECOVERY_TIME * 2 {
                let mut state = deployment.site.state();
                for number in 0..ENDPOINTS {
                    state.announce(&format!("plain-{number}"), "ready");
                }
                drop(state);
                thread::sleep(Duration::from_millis(1200));
            }
        });
        assert_served_soon(&deployment, "s");
        is_stopped.store(true, Ordering::Relaxed);
    });
    deployment.vms[0].wait_until_logged("its loss is taken back");
}

/// Copies of a request that crashes endpoints look like a wave, so it is probed. The
/// probes have to stay within the bound over all VMs, also while VMs are killed, the
/// store is away and other endpoints end.
#[test]
fn copies_of_crashing_request_stay_within_the_bound() {
    let mut deployment = start(3);
    let mut state = deployment.site.state();
    state.crashes.insert(PATH.to_string(), u32::MAX);
    state
        .delays
        .insert(PATH.to_string(), vec![RUN_TIME; 9].into());
    drop(state);
    let begin = Instant::now();
    send_copies(&deployment, "first", 9);
    for round in 0.. {
        if begin.elapsed() > STOP_TIME * 4 {
            break;
        }
        send_copies(&deployment, &format!("r{round}"), 6);
        if round == 8 || round == 40 {
            deployment.vms[round % 3].kill();
            deployment.vms[round % 3].restart();
        }
        if round % 10 == 5 {
            // An endpoint without the request ends.
            let mut state = deployment.site.state();
            let endpoint = state.endpoints.get_mut("plain-0").unwrap();
            endpoint.born += 1;
            state.announce("plain-0", "ready");
        }
        deployment.site.state().fault = match round % 20 {
            12..15 => fakes::site::Fault::Unavailable,
            _ => fakes::site::Fault::None,
        };
        thread::sleep(Duration::from_millis(50));
    }
    let state = deployment.site.state();
    let arrivals = state.arrivals.iter().filter(|arrival| arrival.path == PATH);
    let arrivals: Vec<Instant> = arrivals.map(|arrival| arrival.at).collect();
    // Endpoints end later than they get the request.
    let third = arrivals[2] + RUN_TIME;
    let late = arrivals
        .iter()
        .filter(|at| **at > third + STOP_TIME)
        .count();
    assert!(late <= RETRIES_MAX, "{late} of {}", arrivals.len());
}
