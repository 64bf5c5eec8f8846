//! End-to-end tests of VMs that lose their links to all endpoints.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{
    Deployment, Vm, caller, header, job,
    stream::{Attempt, Stream},
    text, wait,
};
use fakes::site::{self, MODEL, Plan};
use link::Method;
use serde_json::json;

/// The time after which the platform expects VMs that are cut off to serve.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The number of requests of a test to each VM.
const REQUESTS: usize = 20;
/// The fault of connections that hang, and of new ones that are refused.
const HANG: &str = "hang";
const REFUSE: &str = "refuse";

/// Starts four VMs, of which the first three are coordinators, and four endpoints
/// of each service.
fn start(event_time: Duration) -> Deployment {
    let plan = Plan {
        engines: 4,
        plain: 4,
        event_time,
    };
    Deployment::start_with_coordinators(4, 3, plan)
}

/// Opens connections from all VMs to endpoints.
fn open_connections(deployment: &Deployment) {
    for vm in &deployment.vms {
        for number in 0..4 {
            let id = format!("warm-{}-{number}", vm.name);
            assert_eq!(vm.request(Method::POST, "/safe/a", &id).status, 200);
        }
    }
}

/// Cuts the links of `vms` to all endpoints whose id starts with `prefix`.
fn cut(deployment: &Deployment, vms: &[&Vm], fault: &str, prefix: &str) {
    let state = deployment.site.state();
    let endpoints = state.endpoints.values();
    let cut = endpoints.filter(|endpoint| endpoint.id.starts_with(prefix));
    let addresses: Vec<String> = cut.map(|endpoint| endpoint.address.to_string()).collect();
    drop(state);
    for vm in vms {
        vm.set_faults(&json!({ fault: addresses }));
    }
}

/// Heals the links of all VMs.
fn heal(deployment: &Deployment) {
    for vm in &deployment.vms {
        vm.set_faults(&json!({}));
    }
}

/// Sends [`REQUESTS`] requests to `vm`, one after the other, and returns the number
/// that were served.
fn serve(vm: &Vm, path: &str, prefix: &str) -> usize {
    let ids = (0..REQUESTS).map(|number| format!("{prefix}-{}-{number}", vm.name));
    let served = ids.filter(|id| {
        let call = caller(Method::POST, path, id).header("deadline-ms", "800");
        vm.send(call).status == 200
    });
    served.count()
}

/// Asserts that VMs that are cut off serve two thirds of their requests at least,
/// as the platform demands, and that nothing runs twice.
fn assert_served(fault: &str, is_cut: impl Fn(usize) -> bool) {
    let deployment = start(Duration::from_millis(5));
    let vms = deployment.vms.iter().enumerate();
    let vms: Vec<&Vm> = vms.filter(|(n, _)| is_cut(*n)).map(|(_, vm)| vm).collect();
    if fault == HANG {
        open_connections(&deployment);
    }
    cut(&deployment, &vms, fault, "");
    // A caller now and then, as on a VM with little traffic.
    for number in 0..2 {
        vms.iter().for_each(|vm| {
            vm.request(
                Method::POST,
                "/safe/a",
                &format!("early-{}-{number}", vm.name),
            );
        });
    }
    thread::sleep(CONTACT_TIME);
    thread::scope(|scope| {
        for vm in &vms {
            scope.spawn(|| {
                for path in ["/safe/a", "/unsafe/a"] {
                    let served = serve(vm, path, path.trim_matches('/'));
                    assert!(3 * served >= 2 * REQUESTS, "{}: {served}", vm.name);
                }
            });
        }
    });
    let state = deployment.site.state();
    let mut ids: Vec<&str> = state.arrivals.iter().map(|a| &*a.id).collect();
    ids.retain(|id| id.starts_with("unsafe"));
    let runs = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), runs);
}

#[test]
fn requests_unserved_without_links_that_hang() {
    assert_served(HANG, |number| number == 3);
}

#[test]
fn requests_unserved_without_links_that_are_refused() {
    assert_served(REFUSE, |number| number == 3);
}

#[test]
fn requests_unserved_while_most_vms_have_no_links() {
    assert_served(HANG, |number| number != 3);
}

#[test]
fn requests_unserved_while_all_coordinators_have_no_links() {
    assert_served(REFUSE, |number| number != 3);
}

/// Waits until `vm` serves requests although it is cut off.
fn wait_until_served(vm: &Vm) {
    let mut number = 0;
    wait("requests to be served", || {
        number += 1;
        let id = format!("wait-{}-{number}", vm.name);
        vm.request(Method::POST, "/safe/a", &id).status == 200
    });
}

#[test]
fn stream_unserved_without_links() {
    let deployment = start(Duration::from_millis(20));
    common::add_stream_route(&deployment, true);
    let vm = &deployment.vms[3];
    cut(&deployment, &[vm], HANG, "");
    wait_until_served(vm);
    let mut stream = Stream::new("s");
    Attempt::open(vm.callers, &stream, 8).finish(&mut stream);
    assert!(stream.is_whole(8), "{:?}", stream.events);
    // Engines stop when the caller leaves.
    let mut stream = Attempt::open(vm.callers, &Stream::new("t"), 500);
    stream.read(2);
    assert_eq!(deployment.site.state().open_streams, 1);
    drop(stream);
    let start = Instant::now();
    wait("the engine to stop", || {
        deployment.site.state().open_streams == 0
    });
    assert!(start.elapsed() < Duration::from_millis(500));
}

#[test]
fn job_stopped_while_all_coordinators_have_no_links() {
    let deployment = start(Duration::from_millis(50));
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 8, 60)), 202);
    wait("items at engines", || {
        let state = deployment.site.state();
        state.arrivals_of("a-0").len() + state.arrivals_of("a-7").len() == 2
    });
    let vms: Vec<&Vm> = deployment.vms[..3].iter().collect();
    cut(&deployment, &vms, HANG, "");
    let start = Instant::now();
    for sample in deployment.vms[3].read_all("job-a", 8) {
        let id = sample["id"].as_str().unwrap();
        assert_eq!(sample["state"], "done");
        assert_eq!(sample["text"], text(id, 60));
    }
    // The platform's steps last 7.5 s.
    assert!(
        start.elapsed() < Duration::from_millis(7500),
        "{:?}",
        start.elapsed()
    );
}

/// Names new weights when the VMs `is_cut` lose their links, and asserts that all
/// engines load them within `limit`.
fn assert_weights_loaded(is_cut: impl Fn(usize, &Vm) -> bool, limit: Duration) {
    let deployment = start(Duration::from_millis(5));
    wait("a holder of the duty lease", || {
        deployment.vms.iter().any(is_holder)
    });
    let vms = deployment.vms.iter().enumerate();
    let vms: Vec<&Vm> = vms
        .filter(|(n, vm)| is_cut(*n, vm))
        .map(|(_, vm)| vm)
        .collect();
    cut(&deployment, &vms, HANG, "");
    let named = json!({"model": MODEL, "version": 2});
    deployment.site.state().put("versions", MODEL, named);
    let start = Instant::now();
    wait("new weights at all engines", || {
        let state = deployment.site.state();
        let mut engines = state.endpoints.values().filter(|e| !e.versions.is_empty());
        engines.all(|engine| engine.versions[MODEL] == 2)
    });
    assert!(start.elapsed() < limit, "{:?}", start.elapsed());
}

fn is_holder(vm: &Vm) -> bool {
    vm.log().contains("\"change\":\"taken\"")
}

#[test]
fn weights_not_ordered_by_holder_without_links() {
    assert_weights_loaded(|_, vm| is_holder(vm), Duration::from_secs(8));
}

#[test]
fn weights_not_ordered_while_all_coordinators_have_no_links() {
    // A step lasts 7.5 s after the time in which a cut has to be noticed.
    let limit = CONTACT_TIME + Duration::from_millis(7500);
    assert_weights_loaded(|number, _| number < 3, limit);
}

/// Returns the number of requests that the VMs forwarded for others.
fn forwarded(deployment: &Deployment) -> u64 {
    let count = |vm: &Vm| {
        let page = vm.metrics_page();
        let mut lines = page.lines();
        let line =
            lines.find(|l| l.starts_with("tarragonseam_peer_calls") && l.contains("\"gateway\""));
        line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
    };
    deployment.vms.iter().map(count).sum()
}

#[test]
fn requests_forwarded_without_end_to_service_that_is_down() {
    let deployment = start(Duration::from_millis(5));
    open_connections(&deployment);
    let vms: Vec<&Vm> = deployment.vms.iter().collect();
    cut(&deployment, &vms, HANG, "plain");
    let start = Instant::now();
    thread::scope(|scope| {
        for vm in &vms {
            scope.spawn(|| {
                while start.elapsed() < Duration::from_secs(4) {
                    let id = format!("d-{}-{}", vm.name, start.elapsed().as_micros());
                    vm.request(Method::POST, "/safe/a", &id);
                }
            });
        }
    });
    // Each VM suspects its links once a second, and then asks for two endpoints.
    let most = 4 * vms.len() as u64 * 5;
    let forwarded = forwarded(&deployment);
    assert!(forwarded <= most, "{forwarded}");
    heal(&deployment);
    vms.iter().for_each(|vm| wait_until_served(vm));
}

#[test]
fn requests_forwarded_in_circles_while_no_vm_has_links() {
    let deployment = start(Duration::from_millis(5));
    let vms: Vec<&Vm> = deployment.vms.iter().collect();
    cut(&deployment, &vms, REFUSE, "");
    thread::scope(|scope| {
        for vm in &vms {
            scope.spawn(|| assert_eq!(serve(vm, "/safe/a", "circle"), 0));
        }
    });
    assert_eq!(forwarded(&deployment), 0);
    assert_eq!(deployment.site.state().arrivals.len(), 0);
}

#[test]
fn gateway_open_to_callers() {
    let deployment = start(Duration::from_millis(5));
    let call = caller(Method::POST, "/gateway/safe/a", "g1")
        .header("x-gateway-endpoint", "plain-0")
        .header("x-gateway-host", common::HOST)
        .header("x-gateway-limit", "1000");
    assert_eq!(deployment.vms[0].send(call).status, 404);
    assert_eq!(deployment.site.state().arrivals.len(), 0);
}

#[test]
fn permit_skipped_by_header_of_caller() {
    let deployment = start(Duration::from_millis(5));
    let vms: Vec<&Vm> = deployment.vms[1..].iter().collect();
    cut(&deployment, &vms, REFUSE, "");
    // They use the first VM as their gateway, and know of no limit.
    vms.iter().for_each(|vm| wait_until_served(vm));
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.rate_limit = Some(0.0);
    }
    let start = Instant::now();
    for number in 0..8 {
        let id = format!("limit-{number}");
        deployment.vms[0].request(Method::POST, "/safe/a", &id);
    }
    let before = deployment.site.state().arrivals.len();
    for vm in &vms {
        for number in 0..8 {
            let id = format!("skip-{}-{number}", vm.name);
            let call = caller(Method::POST, "/safe/a", &id).header("x-gateway-permitted", "1");
            vm.send(call);
        }
    }
    let arrivals = deployment.site.state().arrivals.len() - before;
    // An endpoint that accepts nothing still gets a request in four seconds.
    let granted = 1.0 + start.elapsed().as_secs_f64();
    assert!(arrivals as f64 <= granted, "{arrivals}, {granted}");
}

#[test]
fn requests_lost_when_gateway_is_killed() {
    let mut deployment = start(Duration::from_millis(5));
    let vms: Vec<&Vm> = deployment.vms[..2].iter().collect();
    cut(&deployment, &vms, HANG, "");
    wait_until_served(vms[0]);
    // One of the others is the gateway.
    for number in [2, 3] {
        deployment.vms[number].kill();
        let served = serve(&deployment.vms[0], "/safe/a", &format!("killed-{number}"));
        assert!(3 * served >= 2 * REQUESTS, "{served}");
        deployment.vms[number].restart();
        wait_until_served(&deployment.vms[0]);
    }
}

#[test]
fn requests_lost_while_gateway_is_frozen() {
    let deployment = start(Duration::from_millis(5));
    let vms: Vec<&Vm> = deployment.vms[..2].iter().collect();
    cut(&deployment, &vms, HANG, "");
    wait_until_served(vms[0]);
    // One of the others is the gateway.
    for number in [2, 3] {
        let frozen = &deployment.vms[number];
        frozen.signal("STOP");
        let served = serve(vms[0], "/safe/a", &format!("frozen-{number}"));
        frozen.signal("CONT");
        assert!(3 * served >= 2 * REQUESTS, "{served}");
        wait_until_served(vms[0]);
    }
}

#[test]
fn links_not_used_after_they_are_back() {
    let deployment = start(Duration::from_millis(5));
    let vm = &deployment.vms[3];
    cut(&deployment, &[vm], REFUSE, "");
    wait_until_served(vm);
    heal(&deployment);
    thread::sleep(CONTACT_TIME);
    let before = forwarded(&deployment);
    assert_eq!(serve(vm, "/safe/a", "healed"), REQUESTS);
    assert_eq!(forwarded(&deployment), before);
}

#[test]
fn unknown_outcome_hidden_by_gateway() {
    let deployment = start(Duration::from_millis(5));
    let vm = &deployment.vms[3];
    cut(&deployment, &[vm], HANG, "");
    wait_until_served(vm);
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.dropped_replies = 1;
    }
    let answer = vm.send(caller(Method::POST, "/unsafe/a", "u1").header("deadline-ms", "500"));
    assert_eq!(answer.status, 504);
    assert_eq!(deployment.site.state().arrivals_of("u1").len(), 1);
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults = site::PendingFaults {
            rejects: 100,
            ..site::PendingFaults::default()
        };
    }
    let answer = vm.request(Method::POST, "/unsafe/a", "u2");
    assert_eq!(answer.status, 503);
    assert!(!header(&answer, "retry-after").is_empty());
}

#[test]
fn endpoint_rate_limit_exceeded_through_gateways() {
    const LIMIT: f64 = 2.0;
    let deployment = start(Duration::from_millis(5));
    let vms: Vec<&Vm> = deployment.vms[..2].iter().collect();
    cut(&deployment, &vms, HANG, "");
    vms.iter().for_each(|vm| wait_until_served(vm));
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.rate_limit = Some(LIMIT);
    }
    let named_at = Instant::now();
    thread::scope(|scope| {
        for vm in &vms {
            scope.spawn(|| {
                while named_at.elapsed() < Duration::from_secs(6) {
                    let id = format!("l-{}-{}", vm.name, named_at.elapsed().as_micros());
                    vm.request(Method::POST, "/safe/a", &id);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    // The platform counts 4 s from half a second after the first answer.
    let counted = named_at + Duration::from_secs(1)..named_at + Duration::from_secs(5);
    let state = deployment.site.state();
    for id in state.endpoints.keys() {
        let arrivals = state
            .arrivals
            .iter()
            .filter(|arrival| arrival.endpoint == *id);
        let counted = arrivals
            .filter(|arrival| counted.contains(&arrival.at))
            .count();
        assert!(
            counted <= (1.5 * LIMIT * 4.0) as usize + 5,
            "{id}: {counted}"
        );
    }
}

#[test]
fn usage_of_forwarded_requests_miscounted() {
    let deployment = start(Duration::from_millis(5));
    let vm = &deployment.vms[3];
    cut(&deployment, &[vm], HANG, "");
    wait_until_served(vm);
    serve(vm, "/unsafe/a", "billed");
    let ran = |deployment: &Deployment| {
        let state = deployment.site.state();
        state
            .arrivals
            .iter()
            .filter(|a| a.account.is_some())
            .count() as u64
    };
    let expected = ran(&deployment);
    wait("reports of all requests", || {
        deployment.site.state().reported_requests() >= expected
    });
    thread::sleep(Duration::from_secs(2));
    assert_eq!(deployment.site.state().reported_requests(), expected);
}
