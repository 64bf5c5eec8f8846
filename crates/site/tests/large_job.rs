//! Jobs of very many items, within the size limit of a request.

mod common;

use std::{
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use common::{Deployment, Vm, caller, job};
use fakes::{
    blocking,
    site::{Fault, Plan},
};
use link::Method;
use serde_json::{Value, json};

/// The memory of each VM in its settings, which is the bound that is checked.
const MEMORY_MB: u64 = 160;
/// A job of this many small items takes 20 MB.
const SMALL_ITEMS: usize = 210_000;
const JOB_BYTES_MIN: usize = 20 * 1000 * 1000;
/// A job of this many small items is stored in ten parts.
const PARTS_ITEMS: usize = 8000;
/// More headers than a map of headers can hold.
const HEADERS: usize = 40_000;
/// How long the VMs may take to accept it.
const ACCEPT_TIME: Duration = Duration::from_secs(60);
/// The samples of this many items without a text take 2 MB.
const ABANDONED_ITEMS: usize = 30_000;
/// How long it may take until all of them are listed. They are given up after 24 s.
const ABANDON_TIME: Duration = Duration::from_secs(60);
/// How often ordinary requests are sent meanwhile, and how long they may take.
const REQUEST_PERIOD: Duration = Duration::from_millis(100);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Returns a job of items that have only the required fields.
fn small_items(count: usize) -> String {
    let items = (0..count).map(|number| {
        let headers = json!({"Model": fakes::site::MODEL});
        json!({
            "id": format!("{number:016x}"), "path": "/jobs-here/91c4", "headers": headers,
            "body": "MTc=", "tokens": 20,
        })
    });
    json!({"items": items.collect::<Vec<_>>()}).to_string()
}

/// Starts VMs, of which the first `coordinators` are coordinators.
fn start(vms: usize, coordinators: usize) -> Deployment {
    let mut deployment = Deployment::start_with_coordinators(vms, coordinators, Plan::default());
    deployment.kill_all(false);
    for vm in &deployment.vms {
        let limit = format!("memory-mb = {MEMORY_MB}");
        vm.change_settings(|text| text.replace("memory-mb = 260", &limit));
    }
    deployment.restart_all();
    deployment
}

/// Submits a job at `vm` in a thread of its own, which returns the status if there is an
/// answer.
fn submit_in_background(vm: &Vm, body: String) -> JoinHandle<Option<u16>> {
    let address = vm.callers;
    thread::spawn(move || {
        let call = caller(Method::POST, "/jobs-here/step", "job-a").body(body);
        let answer = blocking::fetch(address, call.deadline(ACCEPT_TIME));
        answer.ok().map(|answer| answer.status.as_u16())
    })
}

/// Checks that `vm` returns the body of the last of the small items.
fn assert_last_body(vm: &Vm) {
    let path = format!("/items/job-a?id={:016x}", SMALL_ITEMS - 1);
    let body = vm.request(Method::GET, &path, "body");
    assert_eq!((body.status.as_u16(), &body.body[..]), (200, &b"17"[..]));
}

/// Submits a large job at the last VM, and checks that it is accepted within the memory
/// of each VM, while ordinary requests are answered.
fn submit_small_items(deployment: &Deployment) {
    let body = small_items(SMALL_ITEMS);
    assert!(body.len() > JOB_BYTES_MIN);
    let vms = &deployment.vms;
    let submission = submit_in_background(&vms[vms.len() - 1], body);
    let start = Instant::now();
    let (mut sent, mut answered) = (0, 0);
    while !submission.is_finished() && start.elapsed() < ACCEPT_TIME {
        for vm in vms {
            let call = caller(Method::POST, "/safe/ordinary", &format!("ordinary-{sent}"));
            let answer = blocking::fetch(vm.callers, call.deadline(REQUEST_TIMEOUT));
            sent += 1;
            answered += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        }
        thread::sleep(REQUEST_PERIOD);
    }
    let time = start.elapsed();
    let status = submission.join().unwrap();
    let peaks = vms.iter().map(|vm| vm.peak_memory() / 1024 / 1024);
    let peaks: Vec<u64> = peaks.collect();
    println!("accepted after {time:?}, peaks {peaks:?} MB, {answered} of {sent} answered");
    assert!(peaks.iter().all(|peak| *peak < MEMORY_MB), "{peaks:?}");
    assert_eq!(status, Some(202));
    assert_eq!(answered, sent);
}

/// Guards against items that take several times the size of the request once they are
/// decoded: the process was ended for its memory, and the job was never accepted.
#[test]
fn accept_large_job_within_memory() {
    submit_small_items(&start(1, 1));
}

/// Guards against a large job that is forwarded to one coordinator after another, since
/// none accepts it in the time that it is given: each of them decoded it at once, and the
/// trainer got no answer.
#[test]
fn accept_large_job_at_called_vm() {
    let deployment = start(3, 2);
    submit_small_items(&deployment);
    let vms = &deployment.vms;
    assert!(!vms[2].log().contains("submission forwarded"));
    // The job is known at once at a VM that did not accept it.
    assert_eq!(vms[0].read("job-a", 0).1["total"], SMALL_ITEMS);
    assert_last_body(&vms[1]);
    // A repeated submission is accepted as the same job.
    assert_eq!(vms[0].submit_text("job-a", small_items(SMALL_ITEMS)), 202);
    assert_eq!(vms[0].log().matches("\"job accepted\"").count(), 0);
}

/// Guards against a VM that ends for its memory each time that it takes a large job over,
/// since it decodes all items anew.
#[test]
fn take_over_large_job_within_memory() {
    let mut deployment = start(2, 2);
    // The VMs take longer than 20 s in debug builds on busy machines.
    let mut patient = common::config(2);
    patient["routes"][3]["max-wait-s"] = json!(300);
    deployment.site.state().put("config", "main", patient);
    for vm in &deployment.vms {
        vm.wait_until_logged("\"configuration in force\",\"kv\":{\"version\":2}");
    }
    submit_small_items(&deployment);
    let runner = deployment.runner();
    let other = 1 - runner;
    deployment.vms[runner].kill();
    deployment.vms[other].wait_until_logged("started running job");
    common::wait("an item that runs at the other VM", || {
        deployment.vms[other].log().contains("item completed")
    });
    // The VM that starts again answers for the job as well.
    deployment.vms[runner].restart();
    for vm in &deployment.vms {
        assert_last_body(vm);
        let peak = vm.peak_memory() / 1024 / 1024;
        println!("peak {peak} MB");
        assert!(peak < MEMORY_MB, "{peak}");
    }
}

/// Guards against a job that is rejected for one failed write because writing its other
/// parts has taken long.
#[test]
fn store_large_job_despite_failed_write() {
    const KIND: &str = "rollout-job-job-a";
    let deployment = Deployment::start(1, Plan::default());
    let body = small_items(PARTS_ITEMS);
    deployment.site.state().fault = Fault::SlowWritesOf(KIND, Duration::from_millis(100));
    let submission = submit_in_background(&deployment.vms[0], body);
    common::wait("some parts", || {
        deployment.site.state().names(KIND).len() >= 4
    });
    deployment.site.state().fault = Fault::FailedWriteOf(KIND);
    assert_eq!(submission.join().unwrap(), Some(202));
    assert_eq!(deployment.site.state().fault, Fault::None);
    assert_eq!(deployment.vms[0].read("job-a", 0).1["total"], PARTS_ITEMS);
}

/// Guards against an item with more headers than a request can have: it ended each VM in
/// turn that ran the job.
#[test]
fn abandon_item_with_too_many_headers() {
    let deployment = Deployment::start(1, Plan::default());
    let mut odd = job("a", 3, 1);
    let headers = (0..HEADERS).map(|number| (format!("x-{number}"), json!("")));
    let headers: serde_json::Map<_, _> = headers.collect();
    odd["items"][1]["headers"] = headers.into();
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit("job-a", &odd), 202);
    let samples = vm.read_all("job-a", 3);
    let state = |id: &str| {
        let sample = samples.iter().find(|sample| sample["id"] == id);
        sample.map(|sample| sample["state"].clone())
    };
    let states = ["a-0", "a-1", "a-2"].map(state);
    assert_eq!(
        states,
        ["done", "dead", "done"].map(|state| Some(json!(state)))
    );
    assert_eq!(vm.log().matches("started running job").count(), 1);
}

/// Guards against items that are never run or run twice because the job has more of
/// them than wait for a slot at once.
#[test]
fn run_all_items_of_large_job() {
    let plan = Plan {
        event_time: Duration::ZERO,
        ..Plan::default()
    };
    let deployment = Deployment::start(2, plan);
    let count = 5000;
    let mut large = job("a", count, 1);
    for item in large["items"].as_array_mut().unwrap() {
        item["scorer"] = json!(null);
    }
    assert_eq!(deployment.vms[0].submit("job-a", &large), 202);
    let mut ids = Vec::new();
    common::wait("all samples", || {
        let (_, page) = deployment.vms[1].read("job-a", ids.len());
        let samples = page["results"].as_array().cloned().unwrap_or_default();
        ids.extend(samples.iter().map(|sample| sample["id"].to_string()));
        ids.len() >= count
    });
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), count);
}

/// Guards against samples without a text that together exceed the size limits of an
/// object in the store and of a response.
#[test]
fn abandon_all_items_of_large_job() {
    let plan = Plan {
        engines: 0,
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit_text("job-a", small_items(ABANDONED_ITEMS)), 202);
    let mut ids = Vec::new();
    let start = Instant::now();
    while ids.len() < ABANDONED_ITEMS && start.elapsed() < ABANDON_TIME {
        let path = format!("/lots/job-a?after={}", ids.len());
        let answer = vm.request(Method::GET, &path, "read");
        assert!(answer.body.len() < 1000 * 1000, "{}", answer.body.len());
        let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let samples = page["results"].as_array().cloned().unwrap_or_default();
        assert!(samples.iter().all(|sample| sample["state"] == "dead"));
        ids.extend(samples.iter().map(|sample| sample["id"].to_string()));
        thread::sleep(REQUEST_PERIOD);
    }
    let answer = vm.request(Method::GET, "/lots/job-a", "read");
    assert!(answer.body.len() < 1000 * 1000, "{}", answer.body.len());
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), ABANDONED_ITEMS);
}
