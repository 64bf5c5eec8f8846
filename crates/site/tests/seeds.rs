//! End-to-end tests of VMs that run jobs while their settings name other seeds.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{Deployment, Vm, job, peer_address, wait};
use fakes::site::{Fault, Plan};
use link::Method;

/// The VM that trainers call. It is never a seed.
const CALLED: usize = 3;
/// How long after the end of a job its items may still start.
const CANCEL_TIME: Duration = Duration::from_secs(3);
/// How long the duty lease lasts unless it is renewed.
const LEASE_TIME: Duration = Duration::from_secs(3);

/// Starts three seeds and another VM, and engines that take a second for an item
/// of 20 events.
fn start() -> Deployment {
    let plan = Plan {
        event_time: Duration::from_millis(50),
        ..Plan::default()
    };
    Deployment::start_with_coordinators(4, 3, plan)
}

/// Returns a list of all VMs but `runner`, as settings name seeds.
fn seeds_without(deployment: &Deployment, runner: usize) -> String {
    let others = deployment.vms.iter().enumerate();
    let others = others.filter(|(number, _)| *number != runner);
    let addresses: Vec<String> = others
        .map(|(_, vm)| format!("\"{}\"", peer_address(vm)))
        .collect();
    addresses.join(", ")
}

/// Changes the seeds in the settings of `vm`, and waits until they are in force.
fn change_seeds(vm: &Vm, seeds: &str) {
    let reloads = || vm.log().matches("settings reloaded").count();
    let before = reloads();
    vm.change_settings(|text| {
        let lines = text.lines().map(|line| match line.starts_with("seeds") {
            true => format!("seeds = [{seeds}]\n"),
            false => format!("{line}\n"),
        });
        lines.collect()
    });
    vm.signal("HUP");
    wait("the new settings", || reloads() > before);
}

/// Makes `runner`, a seed, an ordinary VM. The other VMs follow once
/// `between` has returned.
fn replace_seed(deployment: &Deployment, runner: usize, between: impl FnOnce()) {
    let seeds = seeds_without(deployment, runner);
    change_seeds(&deployment.vms[runner], &seeds);
    between();
    for (number, vm) in deployment.vms.iter().enumerate() {
        if number != runner {
            change_seeds(vm, &seeds);
        }
    }
}

/// A VM that ceased to be a seed once went on to start the items of a job after a
/// trainer had ended the job.
#[test]
fn items_start_after_end_of_job_at_former_seed() {
    let deployment = start();
    let called = &deployment.vms[CALLED];
    assert_eq!(called.submit("job-a", &job("a", 120, 20)), 202);
    let runner = deployment.runner();
    let arrivals = || deployment.site.state().arrivals.len();
    wait("items at engines", || arrivals() >= 8);
    replace_seed(&deployment, runner, || {
        // VMs with the old settings still call this one about the job.
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(1500) {
            called.read("job-a", 0);
            thread::sleep(Duration::from_millis(100));
        }
    });
    thread::sleep(Duration::from_secs(1));
    let is_finished = called.read_all("job-a", 1).len() >= 120;
    assert!(!is_finished, "the job is too short for this test");
    let end = called.request(Method::DELETE, "/lots/job-a", "e");
    assert_eq!(end.status, 200);
    let ended = Instant::now();
    thread::sleep(2 * CANCEL_TIME);
    let state = deployment.site.state();
    let late = state.arrivals.iter().filter(|arrival| {
        arrival.endpoint.starts_with("engine") && arrival.at > ended + CANCEL_TIME
    });
    assert_eq!(late.count(), 0);
}

/// A seed once accepted a job while it ceased to be one, and ran neither that job
/// nor the one that it had begun before, although other VMs took it for alive.
#[test]
fn jobs_stuck_after_submission_to_former_seed() {
    const CONTENT: &str = "rollout-job-job-b";
    let deployment = start();
    let called = &deployment.vms[CALLED];
    assert_eq!(called.submit("job-a", &job("a", 24, 20)), 202);
    let runner = deployment.runner();
    wait("items at engines", || {
        !deployment.site.state().arrivals.is_empty()
    });
    deployment.site.state().fault = Fault::SlowWritesOf(CONTENT, Duration::from_millis(300));
    thread::scope(|scope| {
        let vm = &deployment.vms[runner];
        let submission = scope.spawn(|| vm.submit("job-b", &job("b", 4, 2)));
        wait("the submission to be written", || {
            let state = deployment.site.state();
            state.calls.contains_key(&format!("POST {CONTENT}"))
        });
        replace_seed(&deployment, runner, || {});
        assert_eq!(submission.join().unwrap(), 202);
    });
    deployment.site.state().fault = Fault::None;
    // Items that never started are abandoned in the end.
    for sample in [called.read_all("job-b", 4), called.read_all("job-a", 24)].concat() {
        assert_eq!(sample["state"], "done", "{}", sample["id"]);
    }
}

/// The VM that held the duty lease gave it up by not renewing it when it ceased to
/// be a seed, so that for seconds no VM performed the duties.
#[test]
fn duty_lease_lapses_at_former_seed() {
    let deployment = start();
    let is_holder = |vm: &Vm| vm.log().contains("\"change\":\"taken\"");
    wait("a holder of the lease", || {
        deployment.vms.iter().any(is_holder)
    });
    let holder = deployment.vms.iter().position(is_holder).unwrap();
    replace_seed(&deployment, holder, || {});
    thread::sleep(3 * LEASE_TIME);
    let holders = deployment.vms.iter().filter(|vm| is_holder(vm));
    assert_eq!(holders.count(), 1);
}
