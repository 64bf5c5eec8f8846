//! Properties of the limits on requests to cold endpoints.

use std::time::Duration;

use board::Time;
use proptest::prelude::*;
use tarragonseam_policy::{
    cold::{Bounds, Endpoint, Refusal, Terms, granted_max},
    rate::Bucket,
};

const TERMS: Terms = Terms {
    cold_time: Duration::from_secs(3),
    per_s: 14.0,
};
const BOUNDS: Bounds = Bounds {
    excess: 1.5,
    slack: 5.0,
};
const VMS: usize = 6;
const COORDINATORS: usize = 3;
/// How much closer together requests may arrive than they were sent.
const DELIVERY_MAX_MS: u64 = 100;

/// A VM in the model.
#[derive(Clone, Default)]
struct Vm {
    endpoint: Endpoint,
    /// The number of its process.
    process: usize,
    /// When it learns that the endpoint is cold; `None` if it never does.
    learns_at: Option<Time>,
    is_cut: bool,
    is_frozen: bool,
}

/// A request in the model.
#[derive(Clone, Copy, Debug)]
struct Request {
    vm: usize,
    process: usize,
    at: Time,
    /// Whether its VM took the endpoint for cold.
    is_known: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A VM sends, if it may, after it has asked for a permit if it needs one.
    Send {
        vm: usize,
        count: usize,
        delivery_ms: u64,
    },
    /// The evacuation ends, or the endpoint starts: it is cold now, and each VM
    /// learns it later by this time and a part that differs by VM.
    Return {
        lag_ms: u64,
        deaf: usize,
    },
    Cut(usize),
    Restart(usize),
    RestartCoordinator(usize),
    /// A VM gets permits and stands still before it uses them.
    Freeze(usize),
    Thaw(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..VMS;
    prop_oneof![
        40 => (vm.clone(), 1_usize..12, 0..DELIVERY_MAX_MS)
            .prop_map(|(vm, count, delivery_ms)| Step::Send { vm, count, delivery_ms }),
        2 => (0_u64..900, 0..VMS).prop_map(|(lag_ms, deaf)| Step::Return { lag_ms, deaf }),
        1 => vm.clone().prop_map(Step::Cut),
        1 => vm.clone().prop_map(Step::Restart),
        1 => (0..COORDINATORS).prop_map(Step::RestartCoordinator),
        1 => vm.clone().prop_map(Step::Freeze),
        2 => vm.prop_map(Step::Thaw),
    ]
}

/// Returns the most requests of `requests` that arrive within one second.
fn peak(requests: &[Request], is_counted: impl Fn(&Request) -> bool) -> usize {
    let mut at: Vec<Time> = requests
        .iter()
        .filter(|request| is_counted(request))
        .map(|request| request.at)
        .collect();
    at.sort_unstable();
    let within = |from: Time| {
        let span = Duration::from_secs(1);
        at.iter()
            .filter(|at| **at >= from && **at - from < span)
            .count()
    };
    at.iter().map(|from| within(*from)).max().unwrap_or(0)
}

/// Runs `steps` and returns the requests that reached the endpoint.
fn run(steps: &[(Step, u64)], unknown_max: usize) -> Vec<Request> {
    let mut now = Time::from_millis(1);
    let mut vms = vec![Vm::default(); VMS];
    let mut buckets = [Bucket::new(now); COORDINATORS];
    let mut cold_since = None;
    let mut requests: Vec<Request> = Vec::new();
    let mut unknown: Vec<Time> = Vec::new();
    for (step, pause_ms) in steps {
        now = now + Duration::from_millis(*pause_ms);
        for vm in vms.iter_mut().filter(|vm| !vm.is_frozen) {
            if vm.learns_at.is_some_and(|at| at <= now) {
                vm.endpoint.record_start(vm.learns_at.take().unwrap());
            }
        }
        match *step {
            Step::Send {
                vm,
                count,
                delivery_ms,
            } => {
                let model = &mut vms[vm];
                if model.is_frozen {
                    continue;
                }
                for number in 0..count {
                    let is_known = model.endpoint.is_cold(TERMS, now);
                    let bucket = &mut buckets[(vm + number) % COORDINATORS];
                    if is_known
                        && !model.is_cut
                        && bucket.take_unsaved(TERMS.per_s, COORDINATORS, now).is_ok()
                    {
                        model.endpoint.grant(now);
                    }
                    if !is_known {
                        let span = Duration::from_millis(1000 + DELIVERY_MAX_MS);
                        unknown.retain(|at| now - *at < span);
                        if unknown.len() >= unknown_max {
                            continue;
                        }
                    }
                    if model.endpoint.send(TERMS, BOUNDS, now).is_err() {
                        continue;
                    }
                    if !is_known {
                        unknown.push(now);
                    }
                    requests.push(Request {
                        vm,
                        process: model.process,
                        at: now + Duration::from_millis(delivery_ms),
                        is_known,
                    });
                }
            }
            Step::Return { lag_ms, deaf } => {
                cold_since = Some(now);
                for (number, vm) in vms.iter_mut().enumerate() {
                    let lag = Duration::from_millis(lag_ms * number as u64 / VMS as u64);
                    vm.learns_at = (number != deaf).then_some(now + lag);
                }
            }
            Step::Cut(vm) => vms[vm].is_cut = !vms[vm].is_cut,
            Step::Restart(vm) => {
                let mut endpoint = Endpoint::default();
                // The record states it.
                if let Some(since) = cold_since {
                    endpoint.record_stated(TERMS.cold_time.saturating_sub(now - since), now);
                }
                let process = vms[vm].process + 1;
                vms[vm] = Vm {
                    endpoint,
                    process,
                    ..Vm::default()
                };
            }
            Step::RestartCoordinator(index) => buckets[index] = Bucket::new(now),
            Step::Freeze(vm) => {
                let model = &mut vms[vm];
                for bucket in &mut buckets {
                    if bucket.take_unsaved(TERMS.per_s, COORDINATORS, now).is_ok() {
                        model.endpoint.grant(now);
                    }
                }
                model.is_frozen = true;
            }
            Step::Thaw(vm) => vms[vm].is_frozen = false,
        }
    }
    requests
}

proptest! {
    /// Guards against a sum over all VMs beyond what an endpoint bears, in any order
    /// of return, cut, restart and freeze, as long as the VMs that do not know
    /// send no more than what is left for them.
    #[test]
    fn sum_over_all_vms_within_the_bound(
        steps in prop::collection::vec((step(), 0_u64..60), 1..400),
    ) {
        let bound = BOUNDS.requests_max(TERMS.per_s);
        let granted = granted_max(TERMS.per_s, COORDINATORS);
        let requests = run(&steps, bound - granted);
        prop_assert!(peak(&requests, |request| request.is_known) <= granted);
        prop_assert!(peak(&requests, |_| true) <= bound);
    }

    /// Guards against a VM that breaks the bound by itself, whatever it knows.
    #[test]
    fn each_vm_within_the_bound_alone(
        steps in prop::collection::vec((step(), 0_u64..60), 1..400),
    ) {
        let requests = run(&steps, usize::MAX);
        for vm in 0..VMS {
            let processes = requests.iter().filter(|request| request.vm == vm);
            for process in 0..=processes.map(|request| request.process).max().unwrap_or(0) {
                let own = |request: &Request| request.vm == vm && request.process == process;
                prop_assert!(peak(&requests, own) <= BOUNDS.requests_max(TERMS.per_s));
            }
        }
    }

    /// Guards against values of the configuration that end the process, or that keep a
    /// warm endpoint unused.
    #[test]
    fn any_terms_and_bounds(
        per_s in prop_oneof![Just(0.0), Just(f64::MAX), 0.0_f64..40.0],
        excess in prop_oneof![Just(0.0), Just(f64::MAX), 0.0_f64..3.0],
        slack in prop_oneof![Just(0.0), Just(f64::MAX), 0.0_f64..9.0],
        cold_time in prop_oneof![Just(Duration::ZERO), Just(Duration::MAX)],
    ) {
        let (terms, bounds) = (Terms { cold_time, per_s }, Bounds { excess, slack });
        let now = Time::from_millis(5);
        let mut endpoint = Endpoint::default();
        prop_assert_eq!(endpoint.send(terms, bounds, now), Ok(()));
        endpoint.record_start(now);
        endpoint.record_stated(Duration::MAX, now);
        prop_assert_eq!(endpoint.is_cold(terms, now), per_s > 0.0);
        let expected = if per_s > 0.0 { Err(Refusal::NoPermit) } else { Ok(()) };
        prop_assert_eq!(endpoint.send(terms, bounds, now), expected);
        granted_max(per_s, 3);
    }
}

/// Guards against a VM that uses the permits from before it stood still all at once.
#[test]
fn permits_expire() {
    let mut endpoint = Endpoint::default();
    let start = Time::from_millis(1);
    endpoint.record_start(start);
    for _ in 0..5 {
        endpoint.grant(start);
    }
    assert_eq!(endpoint.send(TERMS, BOUNDS, start), Ok(()));
    let later = start + Duration::from_millis(250);
    assert_eq!(endpoint.send(TERMS, BOUNDS, later), Err(Refusal::NoPermit));
}

/// Guards against a VM that has sent much just before it learns that the endpoint is
/// cold, and goes on at once.
#[test]
fn requests_before_knowing_count() {
    let mut endpoint = Endpoint::default();
    let start = Time::from_millis(1);
    let sent = (0..100).filter(|_| endpoint.send(TERMS, BOUNDS, start).is_ok());
    assert_eq!(sent.count(), 26);
    endpoint.record_start(start);
    endpoint.grant(start);
    assert_eq!(endpoint.send(TERMS, BOUNDS, start), Err(Refusal::OwnBound));
    let later = start + Duration::from_millis(1100);
    endpoint.grant(later);
    assert_eq!(endpoint.send(TERMS, BOUNDS, later), Ok(()));
}
