//! Tests of coordinators, and of the other VMs that call them about jobs.

mod common;

use std::time::Duration;

use common::{Deployment, Vm, job, text, wait};
use fakes::{blocking, metrics, site::Plan};
use link::{Method, http::client::Call};

/// Returns the number of calls about `subject` that `vm` has served to other VMs.
fn peer_calls(vm: &Vm, subject: &str) -> u64 {
    let page = blocking::fetch(vm.metrics, Call::get("/metrics")).unwrap();
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let calls = metrics::samples(&page).filter(|sample| {
        sample.name().starts_with("tarragonseam_peer_calls")
            && sample.label("what") == Some(subject)
    });
    calls.filter_map(|sample| sample.count()).sum()
}

#[test]
fn job_calls_go_to_coordinator() {
    let deployment = Deployment::start_with_coordinators(4, 1, Plan::default());
    let coordinator = &deployment.vms[0];
    assert_eq!(deployment.vms[3].submit("job-a", &job("a", 8, 4)), 202);
    assert_eq!(deployment.vms[2].submit("job-a", &job("a", 8, 4)), 202);
    let samples = deployment.vms[2].read_all("job-a", 8);
    for vm in &deployment.vms {
        assert_eq!(vm.read_all("job-a", 8), samples);
        let body = vm.request(Method::GET, "/items/job-a?id=a-1", "b1");
        assert_eq!((body.status.as_u16(), &body.body[..]), (200, &b"a-1"[..]));
        let none = vm.request(Method::GET, "/lots/none", "r");
        assert_eq!(none.status, 404);
    }
    let end = deployment.vms[1].request(Method::DELETE, "/lots/job-a", "e");
    assert_eq!(end.status, 200);
    // After their first list, VMs watch the configuration at the coordinator.
    wait("watches of the configuration", || {
        peer_calls(coordinator, "config") >= 3
    });
    // The cost of a job must not grow with the number of VMs, so VMs that are
    // not coordinators do not follow the jobs.
    assert_eq!(peer_calls(coordinator, "rollout-jobs"), 0);
    assert!(peer_calls(coordinator, "job") >= 8);
}

#[test]
fn job_call_of_another_account() {
    let deployment = Deployment::start_with_coordinators(2, 1, Plan::default());
    assert_eq!(deployment.vms[1].submit("job-a", &job("a", 2, 2)), 202);
    let other = common::caller(Method::GET, "/lots/job-a", "r").header("x-api-key", "key-of-other");
    assert_eq!(deployment.vms[1].send(other).status, 404);
}

#[test]
fn join_temporarily_after_coordinator_killed() {
    let plan = Plan {
        event_time: Duration::from_millis(40),
        ..Plan::default()
    };
    let mut deployment = Deployment::start_with_coordinators(3, 1, plan);
    assert_eq!(deployment.vms[1].submit("job-a", &job("a", 8, 12)), 202);
    let mut before = Vec::new();
    wait("the first samples", || {
        let (_, body) = deployment.vms[2].read("job-a", 0);
        before = body["results"].as_array().cloned().unwrap_or_default();
        !before.is_empty()
    });
    deployment.vms[0].kill();
    let samples = deployment.vms[1].read_all("job-a", 8);
    assert_eq!(samples[..before.len()], before[..]);
    for sample in &samples {
        let id = sample["id"].as_str().unwrap();
        assert_eq!(sample["text"].as_str().unwrap(), text(id, 12));
    }
    // New jobs are still accepted, and usage is still reported.
    assert_eq!(deployment.vms[1].submit("job-b", &job("b", 4, 2)), 202);
    assert_eq!(deployment.vms[2].read_all("job-b", 4).len(), 4);
    let reported = deployment.site.state().reports.len();
    wait("a report by a temporary coordinator", || {
        deployment.site.state().reports.len() > reported
    });
}

#[test]
fn collect_usage_of_all_vms_at_once() {
    let deployment = Deployment::start_with_coordinators(4, 1, Plan::default());
    for (number, vm) in deployment.vms.iter().enumerate() {
        let answer = vm.request(Method::GET, "/safe/x", &format!("u{number}"));
        assert_eq!(answer.status, 200);
    }
    let reported = || deployment.site.state().reported_requests();
    wait("reports of all requests", || reported() >= 4);
    assert_eq!(reported(), 4);
    // The requests may have begun in two windows.
    assert!(deployment.site.state().names("usage-counts").len() <= 2);
}

/// Starts seven VMs, three of them coordinators, and waits until all others know
/// the deputies.
fn start_with_deputies(plan: Plan) -> Deployment {
    let deployment = Deployment::start_with_coordinators(7, 3, plan);
    for vm in &deployment.vms[3..] {
        wait("the deputies to be known", || {
            let log = vm.log();
            let is_change = |line: &&str| line.contains("deputies of the coordinators");
            let mut changes = log.lines().filter(is_change);
            changes
                .next_back()
                .is_some_and(|line| line.contains("\"count\":3"))
        });
    }
    deployment
}

/// Returns the number of VMs that have become temporary coordinators.
fn temporary_coordinators(vms: &[Vm]) -> usize {
    let joined = vms.iter().map(Vm::log);
    joined
        .filter(|log| log.contains("became a temporary coordinator"))
        .count()
}

#[test]
fn all_coordinators_killed_one_deputy_runs_jobs() {
    let mut deployment = start_with_deputies(Plan::default());
    assert_eq!(deployment.vms[4].submit("job-a", &job("a", 4, 2)), 202);
    deployment.vms[..3].iter_mut().for_each(Vm::kill);
    let vms = &deployment.vms[3..];
    for (number, vm) in vms.iter().enumerate() {
        let id = format!("job-{number}");
        assert_eq!(vm.submit(&id, &job(&id, 4, 2)), 202);
        assert_eq!(vm.read_all(&id, 4).len(), 4);
        assert_eq!(vm.read_all("job-a", 4).len(), 4);
    }
    assert_eq!(temporary_coordinators(vms), 1);
    // The others read what changes from deputies.
    let is_direct = |call: &str| call.starts_with("GET config") || call.starts_with("GET servers");
    let count = || {
        let state = deployment.site.state();
        let calls = state.calls.iter().filter(|(call, _)| is_direct(call));
        calls.map(|(_, count)| *count).sum::<u64>()
    };
    // The deputies become mirrors, and each VM finds one, within two backoffs.
    std::thread::sleep(Duration::from_secs(4));
    let (before, seconds) = (count(), 4);
    std::thread::sleep(Duration::from_secs(seconds));
    let per_second = (count() - before) as f64 / seconds as f64;
    // One VM watches two kinds for a second each.
    assert!(per_second <= 3.5, "{per_second} calls a second");
    let reported = deployment.site.state().reports.len();
    wait("a report by a deputy", || {
        deployment.site.state().reports.len() > reported
    });
}

#[test]
fn coordinators_back_deputies_run_no_more_jobs() {
    let mut deployment = start_with_deputies(Plan::default());
    deployment.vms[..3].iter_mut().for_each(Vm::kill);
    assert_eq!(deployment.vms[5].submit("job-a", &job("a", 4, 2)), 202);
    deployment.vms[..3].iter_mut().for_each(Vm::restart);
    let served = |vms: &[Vm]| vms.iter().map(|vm| peer_calls(vm, "job")).sum::<u64>();
    let mut number = 0;
    wait("a job at a coordinator", || {
        number += 1;
        let id = format!("job-b{number}");
        assert_eq!(deployment.vms[5].submit(&id, &job(&id, 2, 2)), 202);
        served(&deployment.vms[..3]) > 0
    });
    // All VMs use the coordinators again within the period of announcements.
    std::thread::sleep(Duration::from_secs(3));
    let before = served(&deployment.vms[3..]);
    for (number, vm) in deployment.vms[3..].iter().enumerate() {
        // A job that a deputy runs would be read there.
        let id = format!("job-c{number}");
        assert_eq!(vm.submit(&id, &job(&id, 4, 2)), 202);
        assert_eq!(vm.read_all(&id, 4).len(), 4);
    }
    assert_eq!(served(&deployment.vms[3..]), before);
}
