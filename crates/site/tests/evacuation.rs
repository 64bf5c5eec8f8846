//! End-to-end tests of evacuated failure domains.

mod common;

use std::{
    collections::BTreeSet,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use common::{
    Deployment, HOST, Vm, caller, header, job,
    stream::{Attempt, Stream},
    wait,
};
use fakes::{
    blocking,
    site::{Fault, MODEL, Plan, State},
};
use link::{Method, http::client::Call};
use proptest::prelude::*;
use serde_json::{Value, json};

/// The bounds of the settings under which VMs follow evacuations.
const BOUNDS: &str = "evacuate-ms = 5000";
/// The time after which tests expect an evacuation to be in force. It is less than
/// the bound, so that a VM that only just meets the bound fails.
const IN_FORCE: Duration = Duration::from_millis(2500);
const KIND: &str = "evacuations";

/// Starts VMs, which are in `zone-a`, and four endpoints of each service. The
/// endpoints with odd numbers are in `zone-b`.
fn start(vms: usize, event_time: Duration) -> Deployment {
    let plan = Plan {
        engines: 4,
        plain: 4,
        event_time,
    };
    Deployment::start_with_bounds(vms, vms.min(3), plan, BOUNDS, split_domains)
}

fn start_quick(vms: usize) -> Deployment {
    start(vms, Duration::from_millis(5))
}

fn split_domains(state: &mut State) {
    let ids: Vec<String> = state.endpoints.keys().cloned().collect();
    for id in ids.iter().filter(|id| id.ends_with(['1', '3'])) {
        state.endpoints.get_mut(id).unwrap().domain = "zone-b";
        state.announce(id, "ready");
    }
}

fn evacuate(deployment: &Deployment, domain: &str) -> Instant {
    deployment.site.state().put(KIND, domain, json!({}));
    Instant::now()
}

fn end(deployment: &Deployment, domain: &str) {
    deployment.site.state().remove(KIND, domain);
}

/// Returns all that reached endpoints in `domain` after `since`: requests, orders
/// and reads of states.
fn arrivals(deployment: &Deployment, domain: &str, since: Instant) -> Vec<String> {
    let state = deployment.site.state();
    let all = state.arrivals.iter().chain(&state.control_calls);
    let late = all.filter(|arrival| arrival.at > since);
    let there = late.filter(|arrival| state.endpoints[&arrival.endpoint].domain == domain);
    there
        .map(|arrival| format!("{} {} at {}", arrival.path, arrival.id, arrival.endpoint))
        .collect()
}

fn assert_none(deployment: &Deployment, domain: &str, since: Instant) {
    let found = arrivals(deployment, domain, since);
    assert!(found.is_empty(), "{domain}: {found:?}");
}

/// Sends ten requests to `vm`, and returns the statuses.
fn send(vm: &Vm, prefix: &str) -> Vec<u16> {
    let ids = (0..10).map(|number| format!("{prefix}-{}-{number}", vm.name));
    ids.map(|id| vm.request(Method::POST, "/safe/a", &id).status.as_u16())
        .collect()
}

fn assert_served(deployment: &Deployment, prefix: &str) {
    for vm in &deployment.vms {
        assert_eq!(send(vm, prefix), [200; 10], "{}", vm.name);
    }
}

/// Waits until requests of each VM reach endpoints in `domain`.
fn wait_until_used(deployment: &Deployment, domain: &str) {
    for vm in &deployment.vms {
        let since = Instant::now();
        let mut round = 0;
        wait("requests to the returned failure domain", || {
            round += 1;
            send(vm, &format!("used-{round}"));
            !arrivals(deployment, domain, since).is_empty()
        });
    }
}

/// Guards against requests that are sent to an evacuated failure domain, and
/// against one that stays unused after its evacuation.
#[test]
fn requests_avoid_evacuated_domain_until_it_ends() {
    let deployment = start_quick(4);
    let start = Instant::now();
    assert_served(&deployment, "before");
    assert!(!arrivals(&deployment, "zone-a", start).is_empty());
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    assert_served(&deployment, "during");
    assert_none(&deployment, "zone-a", since);
    end(&deployment, "zone-a");
    wait_until_used(&deployment, "zone-a");
}

/// Guards against an evacuation that depends on what its object contains.
#[test]
fn evacuation_with_unusual_content() {
    let contents = [json!("text"), Value::Null, json!([1]), json!({"until": -1})];
    for content in contents {
        let deployment = start_quick(1);
        deployment.site.state().put(KIND, "zone-a", content.clone());
        // Names that are no failure domain have no effect.
        deployment.site.state().put(KIND, "", json!({}));
        thread::sleep(IN_FORCE);
        let since = Instant::now();
        assert_served(&deployment, "during");
        assert_none(&deployment, "zone-a", since);
    }
}

/// Guards against a stream that a VM resumes within the evacuated failure domain.
#[test]
fn broken_stream_resumes_elsewhere() {
    let deployment = start(1, Duration::from_millis(50));
    common::add_stream_route(&deployment, true);
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.cut_after = Some(60);
    }
    let vm = &deployment.vms[0];
    let start = Instant::now();
    let mut stream = Stream::new("s");
    let mut attempt = Attempt::open(vm.callers, &stream, 70);
    attempt.read(1);
    assert_eq!(arrivals(&deployment, "zone-a", start).len(), 1);
    // The VM prefers the other endpoints of this failure domain.
    evacuate(&deployment, "zone-a");
    let since = Instant::now();
    attempt.finish(&mut stream);
    assert!(stream.is_whole(70), "{:?}", stream.events.last());
    assert_none(&deployment, "zone-a", since);
    assert_eq!(arrivals(&deployment, "zone-b", since).len(), 1);
}

/// Guards against a stream that its caller resumes, or begins, within the evacuated
/// failure domain, and against one that the evacuation breaks off.
#[test]
fn streams_of_callers_avoid_evacuated_domain() {
    let deployment = start(2, Duration::from_millis(20));
    common::add_stream_route(&deployment, true);
    let mut stream = Stream::new("s");
    Attempt::open(deployment.vms[0].callers, &stream, 20).finish(&mut stream);
    assert!(stream.is_whole(20));
    let mut running = Stream::new("running");
    let mut attempt = Attempt::open(deployment.vms[0].callers, &running, 150);
    attempt.read(1);
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    // The caller leaves after a few events, and resumes at either VM.
    for vm in &deployment.vms {
        stream.events.truncate(5);
        Attempt::open(vm.callers, &stream, 20).finish(&mut stream);
        assert!(stream.is_whole(20), "{:?}", stream.events);
        let mut fresh = Stream::new(&format!("fresh-{}", vm.name));
        Attempt::open(vm.callers, &fresh, 5).finish(&mut fresh);
        assert!(fresh.is_whole(5));
    }
    attempt.finish(&mut running);
    assert!(running.is_whole(150), "{:?}", running.events.last());
    assert_eq!(deployment.site.state().arrivals_of("running-0").len(), 1);
    assert_none(&deployment, "zone-a", since);
}

/// Guards against items and scoring requests that are sent to an evacuated failure
/// domain, and against items that are lost with it.
#[test]
fn items_and_scores_avoid_evacuated_domain() {
    let deployment = start(3, Duration::from_millis(50));
    assert_eq!(deployment.vms[0].submit("early", &job("e", 12, 70)), 202);
    wait("items at engines", || {
        deployment.site.state().open_streams >= 12
    });
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    assert_eq!(deployment.vms[1].submit("late", &job("l", 12, 5)), 202);
    for job in ["early", "late"] {
        for sample in deployment.vms[2].read_all(job, 12) {
            assert_eq!(sample["state"], "done", "{sample}");
        }
    }
    assert_none(&deployment, "zone-a", since);
    // Items that had reached their endpoint finished there.
    for number in 0..12 {
        let runs = deployment.site.state().arrivals_of(&format!("e-{number}"));
        assert_eq!(runs.len(), 1, "{runs:?}");
    }
}

/// Guards against weights that are ordered, and states that are read, in an evacuated
/// failure domain.
#[test]
fn weights_not_loaded_in_evacuated_domain() {
    let deployment = start_quick(2);
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    let named = json!({"model": MODEL, "version": 2});
    deployment.site.state().put("versions", MODEL, named);
    let has_loaded = |domain: &str| {
        let state = deployment.site.state();
        let engines = state.endpoints.values().filter(|e| !e.versions.is_empty());
        let mut there = engines.filter(|engine| engine.domain == domain);
        there.all(|engine| engine.versions[MODEL] == 2)
    };
    wait("weights in the other failure domain", || {
        has_loaded("zone-b")
    });
    thread::sleep(Duration::from_secs(1));
    assert_none(&deployment, "zone-a", since);
    end(&deployment, "zone-a");
    wait("weights in the returned failure domain", || {
        has_loaded("zone-a")
    });
}

/// Guards against attempts that reach an evacuated failure domain through another VM.
#[test]
fn attempts_through_gateway_avoid_evacuated_domain() {
    let deployment = start_quick(4);
    let cut_off = &deployment.vms[3];
    let state = deployment.site.state();
    let addresses = state.endpoints.values().map(|e| e.address.to_string());
    let addresses: Vec<String> = addresses.collect();
    drop(state);
    cut_off.set_faults(&json!({ "refuse": addresses }));
    let mut number = 0;
    wait("requests through a gateway", || {
        number += 1;
        let id = format!("wait-{number}");
        cut_off.request(Method::POST, "/safe/a", &id).status == 200
    });
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    assert_eq!(send(cut_off, "during"), [200; 10]);
    // A VM that does not know of the evacuation asks for a forbidden endpoint.
    let forward = |id: &str, endpoint: &str| {
        let call = Call::post("/gateway/safe/a", "")
            .header("request-id", id)
            .header("x-gateway-endpoint", endpoint)
            .header("x-gateway-host", HOST)
            .header("x-gateway-limit", "1000")
            .header("x-gateway-permitted", "1");
        blocking::fetch(common::peer_address(&deployment.vms[0]), call).unwrap()
    };
    let refused = forward("g1", "plain-0");
    assert_none(&deployment, "zone-a", since);
    assert_eq!(refused.status, 421);
    assert_eq!(header(&refused, "x-gateway-error"), "fenced");
    assert_eq!(forward("g2", "plain-1").status, 200);
}

/// Guards against a VM that sends to an evacuated failure domain after a restart,
/// before it knows what is evacuated.
#[test]
fn restart_during_evacuation() {
    let mut deployment = start_quick(3);
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    deployment.kill_all(false);
    deployment.vms.iter_mut().for_each(Vm::start_again);
    // Callers do not wait until a VM is ready.
    for number in 0..200 {
        for vm in &deployment.vms {
            if TcpStream::connect(vm.callers).is_ok() {
                let id = format!("early-{}-{number}", vm.name);
                let call = caller(Method::POST, "/safe/a", &id);
                let _ = blocking::fetch(vm.callers, call);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    deployment.vms.iter().for_each(Vm::wait_until_ready);
    assert_served(&deployment, "after");
    assert_none(&deployment, "zone-a", since);
}

/// Guards against a VM that is ready before it has learnt the evacuations.
#[test]
fn restart_while_the_store_is_away() {
    let mut deployment = start_quick(1);
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    deployment.kill_all(false);
    deployment.site.state().fault = Fault::DroppedRepliesOf(KIND);
    deployment.vms[0].start_again();
    thread::sleep(Duration::from_secs(2));
    let ready = blocking::fetch(deployment.vms[0].ready, Call::get("/ready"));
    assert!(ready.is_ok_and(|answer| answer.status == 503));
    deployment.site.state().fault = Fault::None;
    deployment.vms[0].wait_until_ready();
    assert_served(&deployment, "after");
    assert_none(&deployment, "zone-a", since);
}

/// Guards against a VM that forgets, or ends, an evacuation while it does not reach
/// the store.
#[test]
fn last_state_kept_while_the_store_is_away() {
    let deployment = start_quick(3);
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    deployment.site.state().fault = Fault::Unavailable;
    // Watches that wait when the outage begins still report changes.
    thread::sleep(Duration::from_millis(1500));
    end(&deployment, "zone-a");
    evacuate(&deployment, "zone-b");
    thread::sleep(Duration::from_secs(4));
    assert_served(&deployment, "away");
    assert_none(&deployment, "zone-a", since);
    // The store lost its history when it came back.
    deployment.site.state().compact_history();
    deployment.site.state().fault = Fault::None;
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    assert_served(&deployment, "back");
    assert_none(&deployment, "zone-b", since);
    // VMs use the other failure domain only if they cannot use their own.
    end(&deployment, "zone-b");
    evacuate(&deployment, "zone-a");
    wait_until_used(&deployment, "zone-b");
}

/// Guards against changes in quick succession that are applied in part or in another
/// order.
#[test]
fn evacuation_set_removed_and_set_again() {
    let deployment = start_quick(3);
    for round in 0..10 {
        evacuate(&deployment, "zone-a");
        evacuate(&deployment, "zone-b");
        thread::sleep(Duration::from_millis(37 * (round % 4)));
        end(&deployment, "zone-a");
        end(&deployment, "zone-b");
    }
    evacuate(&deployment, "zone-a");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    assert_served(&deployment, "set");
    assert_none(&deployment, "zone-a", since);
    for _ in 0..10 {
        end(&deployment, "zone-a");
        evacuate(&deployment, "zone-b");
        end(&deployment, "zone-b");
        evacuate(&deployment, "zone-a");
    }
    end(&deployment, "zone-a");
    evacuate(&deployment, "zone-b");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    assert_served(&deployment, "moved");
    assert_none(&deployment, "zone-b", since);
}

/// Guards against requests that wait for their deadline, or are sent, while all
/// failure domains are evacuated, and against jobs that are lost then.
#[test]
fn all_domains_evacuated() {
    let deployment = start(2, Duration::from_millis(20));
    common::add_stream_route(&deployment, true);
    assert_eq!(deployment.vms[0].submit("job", &job("j", 8, 100)), 202);
    evacuate(&deployment, "zone-a");
    evacuate(&deployment, "zone-b");
    thread::sleep(IN_FORCE);
    let since = Instant::now();
    for vm in &deployment.vms {
        for path in ["/safe/a", "/unsafe/a", "/stream/a"] {
            let start = Instant::now();
            let answer = vm.request(Method::POST, path, &format!("all-{}", vm.name));
            assert_eq!(answer.status, 503, "{path}");
            assert!(start.elapsed() < Duration::from_millis(500), "{path}");
            let retry_after: f64 = header(&answer, "retry-after").parse().unwrap();
            assert!(retry_after > 0.0 && retry_after <= 5.0, "{retry_after}");
        }
    }
    thread::sleep(Duration::from_secs(1));
    assert_none(&deployment, "zone-a", since);
    assert_none(&deployment, "zone-b", since);
    end(&deployment, "zone-a");
    end(&deployment, "zone-b");
    for sample in deployment.vms[1].read_all("job", 8) {
        assert_eq!(sample["state"], "done", "{sample}");
    }
    assert_served(&deployment, "after");
}

/// Guards against calls to the store on deployments without evacuations.
#[test]
fn kind_followed_only_where_the_settings_have_a_bound() {
    let count = |deployment: &Deployment| {
        let state = deployment.site.state();
        let calls = state.calls.iter().filter(|(call, _)| call.contains(KIND));
        calls.map(|(_, count)| *count).sum::<u64>()
    };
    let without = Deployment::start(2, Plan::default());
    thread::sleep(IN_FORCE);
    assert_eq!(count(&without), 0);
    // A bound of another type must not end the process.
    for bound in ["evacuate-ms = \"soon\"", "evacuate-ms = nan"] {
        let odd = Deployment::start_with_bounds(1, 1, Plan::default(), bound, |_| {});
        assert_eq!(count(&odd), 0);
        assert_served(&odd, "odd");
    }
    let with = start_quick(4);
    thread::sleep(IN_FORCE);
    let calls = count(&with);
    // One list by each VM, and one watch in a second by the first seed.
    assert!((5..=4 + 8).contains(&calls), "{calls}");
}

/// Shows that an operator sees at each VM that an evacuation is in force.
#[test]
fn evacuation_in_log_and_metrics() {
    let deployment = start_quick(2);
    evacuate(&deployment, "zone-a");
    for vm in &deployment.vms {
        vm.wait_until_logged("failure domain evacuated");
        let page = vm.metrics_page();
        let mut lines = page.lines();
        let gauge = lines.find(|line| line.starts_with("tarragonseam_evacuated_domains"));
        assert!(gauge.is_some_and(|line| line.ends_with(" 1")), "{gauge:?}");
    }
    end(&deployment, "zone-a");
    for vm in &deployment.vms {
        vm.wait_until_logged("evacuation of a failure domain ended");
    }
}

/// A step of a random order of events.
#[derive(Clone, Copy, Debug)]
enum Step {
    Evacuate(bool),
    End(bool),
    LoseHistory,
    Restart(usize),
    StoreAway,
    StoreBack,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Evacuate),
        3 => any::<bool>().prop_map(Step::End),
        1 => Just(Step::LoseHistory),
        1 => (0_usize..2).prop_map(Step::Restart),
        1 => Just(Step::StoreAway),
        2 => Just(Step::StoreBack),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]

    /// Guards against orders of evacuation, return, loss of history, outage of the
    /// store and restart after which a VM sends to an evacuated failure domain.
    #[test]
    fn no_request_in_evacuated_domain_after_any_order(
        steps in prop::collection::vec((step(), 0_u64..400), 1..12),
    ) {
        let mut deployment = start_quick(2);
        let mut evacuated = BTreeSet::new();
        let domain = |is_a: bool| if is_a { "zone-a" } else { "zone-b" };
        for (step, pause_ms) in steps {
            match step {
                Step::Evacuate(is_a) => {
                    evacuate(&deployment, domain(is_a));
                    evacuated.insert(domain(is_a));
                }
                Step::End(is_a) => {
                    end(&deployment, domain(is_a));
                    evacuated.remove(domain(is_a));
                }
                Step::LoseHistory => deployment.site.state().compact_history(),
                Step::Restart(vm) => {
                    deployment.vms[vm].kill();
                    deployment.vms[vm].start_again();
                }
                Step::StoreAway => deployment.site.state().fault = Fault::Unavailable,
                Step::StoreBack => deployment.site.state().fault = Fault::None,
            }
            thread::sleep(Duration::from_millis(pause_ms));
        }
        deployment.site.state().fault = Fault::None;
        deployment.vms.iter().for_each(Vm::wait_until_ready);
        thread::sleep(IN_FORCE);
        let since = Instant::now();
        for vm in &deployment.vms {
            let expected = if evacuated.len() == 2 { 503 } else { 200 };
            prop_assert_eq!(send(vm, "after"), [expected; 10]);
        }
        for domain in evacuated {
            let found = arrivals(&deployment, domain, since);
            prop_assert!(found.is_empty(), "{}: {:?}", domain, found);
        }
    }
}
