//! End-to-end tests of cold endpoints.

mod common;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use common::{
    Deployment, HOST, Vm, caller, config, header, job,
    stream::{Attempt, Stream},
    wait,
};
use fakes::{
    blocking,
    site::{ENGINE_SERVICE, MODEL, Plan, State},
};
use link::{Method, http::client::Call};
use serde_json::{Value, json};

const BOUNDS: &str = "cold-excess = 1.5\ncold-slack = 5\nevacuate-ms = 5000";
const PER_S: f64 = 14.0;
/// The most requests that a cold endpoint may get in a second.
const ALLOWED: usize = 26;
const COLD_TIME: Duration = Duration::from_secs(3);
/// The threads that send requests to each VM.
const CALLERS: usize = 6;
/// The time after which all VMs are expected to know that an endpoint is cold.
const KNOWN_AFTER: Duration = Duration::from_millis(1000);

/// Returns the configuration with cold endpoints.
fn cold_config(version: u64) -> Value {
    let mut config = config(version);
    for service in config["services"].as_array_mut().unwrap() {
        service["cold-start-s"] = json!(COLD_TIME.as_secs_f64());
        service["cold-per-s"] = json!(PER_S);
    }
    config
}

fn start(vms: usize, coordinators: usize, plan: Plan) -> Deployment {
    start_prepared(vms, coordinators, plan, |_| {})
}

fn start_prepared(
    vms: usize,
    coordinators: usize,
    plan: Plan,
    prepare: impl FnOnce(&mut State),
) -> Deployment {
    let deployment = Deployment::start_with_bounds(vms, coordinators, plan, BOUNDS, prepare);
    deployment
        .site
        .state()
        .put("config", "main", cold_config(2));
    for vm in &deployment.vms {
        wait("the configuration", || vm.log().contains("\"version\":2"));
    }
    deployment
}

fn single_endpoints() -> Plan {
    Plan {
        engines: 1,
        plain: 1,
        ..Plan::default()
    }
}

/// Replaces the process of the endpoint `id` by a cold one.
fn restart(deployment: &Deployment, id: &str) {
    let mut state = deployment.site.state();
    let endpoint = state.endpoints.get_mut(id).unwrap();
    endpoint.born += 1;
    endpoint.cold_left_ms = COLD_TIME.as_millis() as u64;
    state.announce(id, "ready");
}

/// Waits until all VMs take the endpoint `id` for cold.
fn wait_until_known(deployment: &Deployment, id: &str) {
    for vm in &deployment.vms {
        wait("a VM that knows that the endpoint is cold", || {
            let log = vm.log();
            let mut lines = log.lines();
            lines.any(|line| line.contains("endpoint is cold") && line.contains(id))
        });
    }
}

/// Returns the times at which anything reached `endpoint` in `span`.
fn arrivals(deployment: &Deployment, endpoint: &str, span: (Instant, Instant)) -> Vec<Instant> {
    let state = deployment.site.state();
    let all = state.arrivals.iter().chain(&state.control_calls);
    let there = all.filter(|arrival| arrival.endpoint == endpoint);
    let mut at: Vec<Instant> = there
        .map(|arrival| arrival.at)
        .filter(|at| (span.0..span.1).contains(at))
        .collect();
    at.sort_unstable();
    at
}

/// Returns the most that reached `endpoint` within a second of `span`.
fn peak(deployment: &Deployment, endpoint: &str, span: (Instant, Instant)) -> usize {
    let at = arrivals(deployment, endpoint, span);
    let within = |from: &Instant| {
        let end = *from + Duration::from_secs(1);
        at.iter().filter(|at| (*from..end).contains(at)).count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

/// Ends the load when it is dropped, also if a test fails under load.
struct Load<'a>(&'a AtomicBool);

impl Drop for Load<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends requests to `vms` for as long as `run` runs.
fn under_load(vms: &[&Vm], run: impl FnOnce()) {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for vm in vms {
            for number in 0..CALLERS {
                let is_over = &is_over;
                scope.spawn(move || {
                    let mut round = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        round += 1;
                        let id = format!("load-{}-{number}-{round}", vm.name);
                        vm.request(Method::POST, "/safe/a", &id);
                    }
                });
            }
        }
        let _load = Load(&is_over);
        run();
    });
}

/// Makes `plain-0` cold under the load of all VMs, and asserts that it gets no more
/// than it bears once all VMs know it, and more than half of it.
fn assert_bounded(deployment: &Deployment, vms: &[&Vm], make_cold: impl FnOnce()) {
    let mut span = None;
    under_load(vms, || {
        thread::sleep(Duration::from_millis(500));
        make_cold();
        let since = Instant::now();
        thread::sleep(COLD_TIME);
        span = Some((since + KNOWN_AFTER, since + COLD_TIME));
    });
    let span = span.unwrap();
    let (peak, count) = (
        peak(deployment, "plain-0", span),
        arrivals(deployment, "plain-0", span).len(),
    );
    let least = (span.1 - span.0).as_secs_f64() * PER_S / 2.0;
    assert!(peak <= ALLOWED, "{peak}");
    assert!(count as f64 >= least, "{count}, {least}");
}

/// Guards against VMs that together send more than a restarted endpoint bears.
#[test]
fn restarted_endpoint_within_the_bound() {
    let deployment = start(4, 3, single_endpoints());
    let vms: Vec<&Vm> = deployment.vms.iter().collect();
    assert_bounded(&deployment, &vms, || restart(&deployment, "plain-0"));
}

/// Guards against VMs that take only a start for the beginning of coldness.
#[test]
fn endpoint_that_states_coldness_within_the_bound() {
    let deployment = start(3, 3, single_endpoints());
    let vms: Vec<&Vm> = deployment.vms.iter().collect();
    assert_bounded(&deployment, &vms, || {
        let mut state = deployment.site.state();
        state.endpoints.get_mut("plain-0").unwrap().cold_left_ms = 3000;
        state.announce("plain-0", "ready");
    });
}

/// Guards against attempts that go around the permits through another VM.
#[test]
fn restarted_endpoint_within_the_bound_through_gateways() {
    let deployment = start(4, 3, single_endpoints());
    let state = deployment.site.state();
    let addresses = state.endpoints.values().map(|e| e.address.to_string());
    let addresses: Vec<String> = addresses.collect();
    drop(state);
    for vm in &deployment.vms[..2] {
        vm.set_faults(&json!({ "refuse": addresses }));
    }
    for vm in &deployment.vms[..2] {
        let mut number = 0;
        wait("requests through a gateway", || {
            number += 1;
            let id = format!("wait-{}-{number}", vm.name);
            vm.request(Method::POST, "/safe/a", &id).status == 200
        });
    }
    let vms: Vec<&Vm> = deployment.vms.iter().collect();
    assert_bounded(&deployment, &vms, || restart(&deployment, "plain-0"));
}

/// Guards against a return of a failure domain that its endpoints do not survive, and
/// against one whose endpoints stay unused.
#[test]
fn endpoints_of_returned_domain_within_the_bound() {
    let plan = Plan {
        engines: 2,
        plain: 4,
        ..Plan::default()
    };
    let deployment = start_prepared(3, 3, plan, |state| {
        for id in ["plain-2", "plain-3"] {
            state.endpoints.get_mut(id).unwrap().domain = "zone-b";
            state.announce(id, "ready");
        }
    });
    deployment
        .site
        .state()
        .put("evacuations", "zone-a", json!({}));
    thread::sleep(Duration::from_millis(2500));
    let vms: Vec<&Vm> = deployment.vms.iter().collect();
    assert_bounded(&deployment, &vms, || {
        deployment.site.state().remove("evacuations", "zone-a");
    });
    for vm in &deployment.vms {
        assert!(vm.log().contains("\"cause\":\"evacuation ended\""));
    }
}

/// Guards against items, scoring requests and streams that are sent without a permit.
#[test]
fn items_and_streams_within_the_bound() {
    let deployment = start(3, 3, single_endpoints());
    let route = json!({
        "name": "stream", "host": HOST, "path-prefix": "/stream/", "kind": "unsafe",
        "timeout-ms": 5000, "aim-ms": 400, "service": ENGINE_SERVICE, "max-attempts": 2,
        "public": false, "streaming": true, "resumable": true,
    });
    let mut config = cold_config(3);
    config["routes"].as_array_mut().unwrap().push(route);
    deployment.site.state().put("config", "main", config);
    for vm in &deployment.vms {
        wait("the configuration", || vm.log().contains("\"version\":3"));
    }
    let restarted_at = Instant::now();
    restart(&deployment, "engine-0");
    restart(&deployment, "plain-0");
    thread::sleep(KNOWN_AFTER);
    let known_at = Instant::now();
    assert_eq!(deployment.vms[0].submit("j", &job("i", 80, 1)), 202);
    thread::scope(|scope| {
        for vm in &deployment.vms {
            for number in 0..4 {
                scope.spawn(move || {
                    let start = Instant::now();
                    while start.elapsed() < Duration::from_millis(1500) {
                        let name = format!("{}-{number}-{}", vm.name, start.elapsed().as_micros());
                        let mut stream = Stream::new(&name);
                        Attempt::open(vm.callers, &stream, 1).finish(&mut stream);
                    }
                });
            }
        }
    });
    deployment.vms[0].read_all("j", 80);
    let span = (known_at, restarted_at + COLD_TIME);
    for endpoint in ["engine-0", "plain-0"] {
        let peak = peak(&deployment, endpoint, span);
        assert!(peak <= ALLOWED, "{endpoint}: {peak}");
    }
    assert!(!arrivals(&deployment, "engine-0", span).is_empty());
}

/// Guards against weights that a cold endpoint never gets, as orders need permits too.
#[test]
fn weights_loaded_while_cold() {
    let deployment = start(3, 3, single_endpoints());
    restart(&deployment, "engine-0");
    wait_until_known(&deployment, "engine-0");
    let named = json!({"model": MODEL, "version": 2});
    deployment.site.state().put("versions", MODEL, named);
    wait("new weights", || {
        deployment.site.state().endpoints["engine-0"].versions[MODEL] == 2
    });
}

/// Guards against a VM that sends to a cold endpoint although no coordinator answers,
/// and against one that does so for longer than the endpoint is cold.
#[test]
fn nothing_sent_without_a_coordinator() {
    let mut deployment = start(2, 1, single_endpoints());
    deployment.vms[0].kill();
    let vm = &deployment.vms[1];
    let restarted_at = Instant::now();
    restart(&deployment, "plain-0");
    wait("a VM that knows that the endpoint is cold", || {
        let log = vm.log();
        let mut lines = log.lines();
        lines.any(|line| line.contains("endpoint is cold") && line.contains("plain-0"))
    });
    let known_at = Instant::now();
    // The VM may have waited for the lost mirror until it learnt of the start.
    while restarted_at.elapsed() < COLD_TIME - Duration::from_millis(300) {
        let answer = vm.request(Method::POST, "/safe/a", "cold");
        assert_eq!(answer.status, 503);
        let retry_after: f64 = header(&answer, "retry-after").parse().unwrap();
        assert!(retry_after > 0.0 && retry_after <= 3.0, "{retry_after}");
        thread::sleep(Duration::from_millis(100));
    }
    let end = restarted_at + COLD_TIME - Duration::from_millis(300);
    assert!(arrivals(&deployment, "plain-0", (known_at, end)).is_empty());
    wait("a request to the warm endpoint", || {
        vm.request(Method::POST, "/safe/a", "warm").status == 200
    });
    assert!(known_at.elapsed() < COLD_TIME + Duration::from_millis(2500));
}

/// Guards against permits by the higher of the two figures, and against a rate limit
/// whose end also ends the limit of a cold endpoint.
#[test]
fn cold_endpoint_with_a_rate_limit() {
    let deployment = start(2, 1, single_endpoints());
    let set_limit = |limit| {
        let mut state = deployment.site.state();
        state.endpoints.get_mut("plain-0").unwrap().rate_limit = limit;
    };
    set_limit(Some(2.0));
    restart(&deployment, "plain-0");
    wait_until_known(&deployment, "plain-0");
    let vms: Vec<&Vm> = deployment.vms.iter().collect();
    let start = Instant::now();
    under_load(&vms, || thread::sleep(Duration::from_millis(1500)));
    // The first answer names the limit, and permits may be saved up to one.
    let limited = (start + Duration::from_millis(500), Instant::now());
    let count = arrivals(&deployment, "plain-0", limited).len();
    assert!((1..=4).contains(&count), "{count}");
    set_limit(None);
    restart(&deployment, "plain-0");
    thread::sleep(Duration::from_millis(800));
    let start = Instant::now();
    under_load(&vms, || thread::sleep(Duration::from_millis(1500)));
    let peak = peak(&deployment, "plain-0", (start, Instant::now()));
    assert!((10..=ALLOWED).contains(&peak), "{peak}");
}

/// Shows that a coordinator answers VMs of builds without cold endpoints, which do
/// not send the field, and of later builds, which may send more.
#[test]
fn permits_for_earlier_and_later_builds() {
    let deployment = start(1, 1, single_endpoints());
    thread::sleep(Duration::from_millis(100));
    let peer = common::peer_address(&deployment.vms[0]);
    let asks = [
        json!({"endpoint": "plain-0", "per_s": 5.0, "age_ms": 0}),
        json!({"endpoint": "plain-0", "per_s": 5.0, "age_ms": 0, "cold_per_s": null}),
        json!({"endpoint": "plain-0", "per_s": 5.0, "age_ms": 0, "cold_per_s": 14.0, "later": [1]}),
    ];
    for ask in asks {
        let answer = blocking::fetch(peer, Call::post("/permits", ask.to_string())).unwrap();
        assert_eq!(answer.status, 200, "{ask}");
        let grant: Value = serde_json::from_slice(&answer.body).unwrap();
        assert!(
            grant["wait_ms"].is_u64() && grant["is_ended"] == false,
            "{grant}"
        );
    }
    for odd in [
        "{}",
        "[]",
        "{\"endpoint\": 1}",
        "{\"cold_per_s\": \"many\"}",
        "\u{1}",
    ] {
        let answer = blocking::fetch(peer, Call::post("/permits", odd)).unwrap();
        assert!(answer.status.is_client_error(), "{odd}: {}", answer.status);
    }
    let answer = deployment.vms[0].send(caller(Method::POST, "/safe/a", "r"));
    assert_eq!(answer.status, 200);
}

/// Guards against limits for a service that states none.
#[test]
fn service_without_terms_is_not_limited() {
    let deployment = Deployment::start_with_bounds(1, 1, single_endpoints(), BOUNDS, |_| {});
    let known = deployment.vms[0].log().matches("endpoint added").count();
    restart(&deployment, "plain-0");
    wait("the restarted endpoint", || {
        deployment.vms[0].log().matches("endpoint added").count() > known
    });
    for number in 0..100 {
        let id = format!("r-{number}");
        let answer = deployment.vms[0].request(Method::POST, "/safe/a", &id);
        assert_eq!(answer.status, 200);
    }
    assert!(!deployment.vms[0].log().contains("endpoint is cold"));
}
