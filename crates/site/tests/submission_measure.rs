//! Measures the time to the answer of a submission while coordinators are
//! frozen and the store is unavailable:
//!
//!     cargo test -p tarragonseam-site --test submission_measure -- --ignored --nocapture

mod common;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use common::{Deployment, caller, job};
use fakes::{
    blocking,
    site::{Fault, Plan},
};
use link::Method;

const RUNS: usize = 20;
/// Longer than any answer takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than a run takes.
const SILENCE: Duration = Duration::from_secs(30);

/// The status and the time of an answer.
type Answer = (u16, Duration);

fn submit(deployment: &Deployment, vm: usize, id: &str) -> Answer {
    let call = caller(Method::POST, "/jobs-here/step", id)
        .body(job(id, 2, 2).to_string())
        .deadline(ANSWER_TIMEOUT);
    let start = Instant::now();
    let answer = blocking::fetch(deployment.vms[vm].callers, call).unwrap();
    (answer.status.as_u16(), start.elapsed())
}

fn report(name: &str, mut answers: Vec<Answer>) {
    let statuses: BTreeSet<u16> = answers.iter().map(|(status, _)| *status).collect();
    answers.sort_by_key(|(_, time)| *time);
    let at = |share: usize| answers[(RUNS - 1) * share / 100].1.as_millis();
    let (min, median, p90, max) = (at(0), at(50), at(90), at(100));
    println!("{name}: {statuses:?}, ms: min {min}, p50 {median}, p90 {p90}, max {max}");
}

/// Starts one VM beside `coordinators` coordinators, of which all but `running`
/// are frozen.
fn start(coordinators: usize, running: Option<usize>) -> Deployment {
    let plan = Plan::default();
    let deployment = Deployment::start_with_coordinators(coordinators + 1, coordinators, plan);
    for (number, vm) in deployment.vms[..coordinators].iter().enumerate() {
        if running != Some(number) {
            vm.signal("STOP");
        }
    }
    deployment
}

/// Submits at a VM whose coordinators are all frozen.
fn measure_forwarded(coordinators: usize, fault: Fault) {
    let (mut first, mut repeated) = (Vec::new(), Vec::new());
    for _ in 0..RUNS {
        let deployment = start(coordinators, None);
        deployment.site.state().fault = fault;
        first.push(submit(&deployment, coordinators, "job-a"));
        repeated.push(submit(&deployment, coordinators, "job-a"));
    }
    let name = format!("{coordinators} of {coordinators} frozen, {fault:?}");
    report(&format!("{name}, first submission"), first);
    report(&format!("{name}, repeated submission"), repeated);
}

/// Submits at the coordinator that accepts submissions itself, with the others
/// frozen.
fn measure_at_coordinator(coordinators: usize) {
    let (mut settled, mut unsettled) = (Vec::new(), Vec::new());
    for _ in 0..RUNS {
        let running = (0..coordinators).find_map(|number| {
            let deployment = start(coordinators, Some(number));
            assert_eq!(submit(&deployment, number, "job-a").0, 202);
            // A VM that runs a job writes heartbeats, which would be the lost write.
            deployment.vms[number].wait_until_logged("stopped running job");
            let is_first = !deployment.vms[number]
                .log()
                .contains("submission forwarded");
            is_first.then_some((number, deployment))
        });
        let (number, deployment) = running.unwrap();
        deployment.site.state().fault = Fault::Unavailable;
        settled.push(submit(&deployment, number, "job-b"));
        deployment.site.state().fault = Fault::LostWriteOf("rollout-jobs");
        unsettled.push(submit(&deployment, number, "job-c"));
    }
    let name = format!("{} of {coordinators} frozen", coordinators - 1);
    report(
        &format!("{name}, at the other, no unsettled attempt"),
        settled,
    );
    report(
        &format!("{name}, at the other, head without an answer"),
        unsettled,
    );
}

#[test]
#[ignore = "an experiment"]
fn measure_with_two_coordinators() {
    measure_forwarded(2, Fault::Unavailable);
    measure_at_coordinator(2);
}

#[test]
#[ignore = "an experiment"]
fn measure_with_three_coordinators() {
    measure_forwarded(3, Fault::Unavailable);
    measure_at_coordinator(3);
}

#[test]
#[ignore = "an experiment"]
fn measure_with_silent_store() {
    measure_forwarded(2, Fault::LateWrites(SILENCE));
}
