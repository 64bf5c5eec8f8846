//! An end-to-end test of streams that callers take up at a VM that is cut off from
//! the others and the store. It takes a minute, since a VM has to have known the
//! endpoints for that long to tell that they have one version of the software.

mod common;

use std::{thread, time::Duration};

use common::{
    Deployment, Vm, caller, peer_address,
    stream::{Attempt, EVENTS, EVENTS_BEFORE, Stream, set_software},
    wait,
};
use fakes::site::Plan;
use link::Method;
use serde_json::{Value, json};

/// How long a VM has to have known the endpoints.
const HISTORY: Duration = Duration::from_secs(60);
/// The VM that is cut off. It is no coordinator.
const CUT_OFF: usize = 3;

/// Cuts `vm` off from the store and all other VMs.
fn cut_off(deployment: &Deployment, vm: &Vm) {
    let others = deployment.vms.iter().filter(|other| other.name != vm.name);
    let mut peers: Vec<Value> = others.map(|other| json!(peer_address(other))).collect();
    peers.push(json!(deployment.site.store));
    vm.set_faults(&json!({ "hang": peers }));
}

/// A VM that was cut off for a few seconds continued a stream at the only version
/// that it knew, while endpoints of a new version joined and had begun the stream.
#[test]
fn stream_of_new_version_taken_up_at_vm_out_of_step() {
    let plan = Plan {
        event_time: Duration::from_millis(20),
        ..Plan::default()
    };
    let deployment = Deployment::start_with_coordinators(4, 3, plan);
    common::add_stream_route_with(&deployment, true, 1);
    thread::sleep(HISTORY + Duration::from_secs(1));
    let vm = &deployment.vms[CUT_OFF];
    // A stream that no VM has recorded goes on at the only version.
    let call = caller(Method::POST, "/stream/a", "r1")
        .header("last-event-id", "2")
        .header("resumes", "r0");
    assert_eq!(vm.send(call).status, 200);

    cut_off(&deployment, vm);
    let mut state = deployment.site.state();
    set_software(&mut state, "engine-1", "v2");
    state.endpoints.get_mut("engine-0").unwrap().faults.rejects = 5;
    state
        .endpoints
        .get_mut("engine-1")
        .unwrap()
        .faults
        .cut_after = Some(EVENTS_BEFORE as u64);
    drop(state);
    wait("the newer endpoint", || {
        deployment.vms[0].log().contains("\"software\":\"v2\"")
    });
    let mut stream = Stream::new("s");
    Attempt::open(deployment.vms[0].callers, &stream, EVENTS).finish(&mut stream);
    assert!(!stream.events.is_empty() && !stream.is_complete);
    deployment
        .site
        .state()
        .endpoints
        .get_mut("engine-0")
        .unwrap()
        .faults
        .rejects = 0;
    Attempt::open(vm.callers, &stream, EVENTS).finish(&mut stream);
    assert!(!stream.is_mixed(), "{:?}", stream.events);
}
