//! End-to-end tests of the order in which items of several jobs get slots.

mod common;

use std::time::Duration;

use common::{Deployment, HOST, caller, job, wait};
use fakes::site::{ENGINE_SERVICE, Plan};
use link::Method;
use serde_json::{Value, json};
use tarragonseam_site::job::record::Head;

/// Two engines with four slots each, and items that hold a slot for 400 ms.
const EVENTS: u64 = 10;

fn plan() -> Plan {
    Plan {
        event_time: Duration::from_millis(40),
        ..Plan::default()
    }
}

/// Adds a route at `/urgent/` that is more urgent than that of other jobs.
fn add_urgent_route(deployment: &Deployment) {
    let mut config = common::config(4);
    for route in config["routes"].as_array_mut().unwrap() {
        route["priority"] = 5.into();
    }
    let route = json!({
        "name": "urgent", "host": HOST, "path-prefix": "/urgent/", "kind": "rollout",
        "timeout-ms": 10000, "aim-ms": 400, "service": ENGINE_SERVICE, "max-attempts": 3,
        "run-target-ms": 7500, "max-wait-s": 20, "priority": 0, "public": false,
    });
    config["routes"].as_array_mut().unwrap().push(route);
    deployment.site.state().put("config", "main", config);
    for vm in &deployment.vms {
        wait("the configuration", || vm.log().contains("\"version\":4"));
    }
}

fn submit_urgent(deployment: &Deployment, id: &str, job: &Value) {
    let call = caller(Method::POST, "/urgent/step", id).body(job.to_string());
    assert_eq!(deployment.vms[0].send(call).status, 202);
}

/// Returns the positions of the items with `prefix` among all items that reached
/// engines.
fn positions(deployment: &Deployment, prefix: &str) -> Vec<usize> {
    let state = deployment.site.state();
    let arrivals = state.arrivals.iter();
    let items = arrivals.filter(|arrival| arrival.endpoint.starts_with("engine"));
    let items = items
        .enumerate()
        .filter(|(_, item)| item.id.starts_with(prefix));
    items.map(|(position, _)| position).collect()
}

/// A VM of another build could not read the head of a job, so the job was lost with
/// its coordinator.
#[test]
fn head_of_another_build() {
    let mut head = serde_json::to_value(common::record::head(2)).unwrap();
    head["groups_wanted"] = json!(7);
    // Earlier builds ignore the field, as this one ignores fields of later builds.
    head["field_of_a_later_build"] = json!([1]);
    let read: Head = serde_json::from_value(head.clone()).unwrap();
    assert_eq!(read.groups_wanted, Some(7));
    head.as_object_mut().unwrap().remove("groups_wanted");
    let read: Head = serde_json::from_value(head).unwrap();
    assert_eq!(read.groups_wanted, None);
}

/// The job that was submitted first kept its slots, so a more urgent one waited
/// for it to end.
#[test]
fn urgent_job_waits_for_job_submitted_before() {
    let deployment = Deployment::start(1, plan());
    add_urgent_route(&deployment);
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit("job-a", &job("a", 64, EVENTS)), 202);
    wait("the first items", || {
        !positions(&deployment, "a-").is_empty()
    });
    submit_urgent(&deployment, "job-u", &job("u", 16, EVENTS));
    assert_eq!(vm.read_all("job-u", 16).len(), 16);
    assert_eq!(vm.read_all("job-a", 64).len(), 64);
    let last = positions(&deployment, "u-").into_iter().max().unwrap();
    let others = positions(&deployment, "a-");
    let after = others.iter().filter(|position| **position > last).count();
    assert!(after >= 24, "{after} items after the last urgent one");
    // No item ran twice.
    assert_eq!(others.len(), 64);
    let log = vm.log();
    let line = log.lines().find(|line| line.contains("slots are scarce"));
    assert!(line.is_some_and(|line| line.contains("\"waiting\":")));
    let lines = log.matches("slots are scarce").count();
    assert!(lines < 20, "{lines} lines");
    let metrics = vm.metrics_page();
    let slots = metrics.lines().find(|line| {
        line.starts_with("tarragonseam_scheduled_slots") && line.contains("rank=\"0\"")
    });
    assert!(slots.is_some_and(|line| line.ends_with(" 16")), "{metrics}");
}

/// Items that were chosen but not sent would be lost with their coordinator, or
/// run twice.
#[test]
fn coordinator_lost_between_choice_and_send() {
    let mut deployment = Deployment::start(2, plan());
    add_urgent_route(&deployment);
    let engines: Vec<String> = {
        let state = deployment.site.state();
        let engines = state.endpoints.iter();
        let engines = engines.filter(|(id, _)| id.starts_with("engine"));
        engines
            .map(|(_, engine)| engine.address.to_string())
            .collect()
    };
    for vm in &deployment.vms {
        vm.set_faults(&json!({ "hang": engines }));
    }
    assert_eq!(
        deployment.vms[0].submit("job-a", &job("a", 24, EVENTS)),
        202
    );
    submit_urgent(&deployment, "job-u", &job("u", 16, EVENTS));
    let runner = deployment.runner();
    wait("chosen items", || {
        deployment.vms[runner]
            .metrics_page()
            .contains("tarragonseam_scheduled_slots")
    });
    assert_eq!(positions(&deployment, "").len(), 0);
    deployment.vms[runner].kill();
    let other = &deployment.vms[1 - runner];
    other.set_faults(&json!({}));
    for (job, count) in [("job-u", 16), ("job-a", 24)] {
        let samples = other.read_all(job, count);
        assert!(samples.iter().all(|sample| sample["state"] == "done"));
    }
    let last = positions(&deployment, "u-").into_iter().max().unwrap();
    assert_eq!(positions(&deployment, "").len(), 40);
    let others = positions(&deployment, "a-");
    let after = others.iter().filter(|position| **position > last).count();
    assert!(after >= 8, "{after} items after the last urgent one");
}

/// A job whose items no engine can take kept the others waiting.
#[test]
fn job_without_engine_blocks_others() {
    let deployment = Deployment::start(1, plan());
    add_urgent_route(&deployment);
    let mut newer = job("u", 24, EVENTS);
    newer["min-version"] = json!(2);
    submit_urgent(&deployment, "job-u", &newer);
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit("job-a", &job("a", 24, EVENTS)), 202);
    assert_eq!(vm.read_all("job-a", 24).len(), 24);
    assert_eq!(positions(&deployment, "u-").len(), 0);
}

/// Jobs whose items no engine can take woke each other without end.
#[test]
fn waiting_jobs_keep_vm_busy() {
    let deployment = Deployment::start(1, plan());
    add_urgent_route(&deployment);
    let vm = &deployment.vms[0];
    for (number, version) in [2, 2, 3].iter().enumerate() {
        let prefix = format!("a{number}");
        let mut newer = job(&prefix, 4 + 20 * (number % 2), EVENTS);
        newer["min-version"] = json!(version);
        submit_urgent(&deployment, &format!("job-{number}"), &newer);
    }
    let before = vm.processor_time();
    std::thread::sleep(Duration::from_secs(3));
    let used = vm.processor_time() - before;
    println!("{used:?} of processor time in 3 s");
    assert!(used < Duration::from_millis(1000), "{used:?}");
    assert_eq!(positions(&deployment, "a").len(), 0);
}

/// Items were ordered by urgency although there were slots for all of them.
#[test]
fn order_with_free_slots_for_all() {
    let deployment = Deployment::start(1, plan());
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit("job-a", &job("a", 4, EVENTS)), 202);
    assert_eq!(vm.submit("job-b", &job("b", 4, EVENTS)), 202);
    vm.read_all("job-a", 4);
    vm.read_all("job-b", 4);
    assert!(!vm.log().contains("slots are scarce"));
}
