//! End-to-end tests of endpoints of several software versions.

mod common;

use std::time::Duration;

use common::{
    Deployment, job,
    stream::{
        Attempt, ENGINES, EVENTS, EVENTS_BEFORE, STREAMS, Stream, assert_whole, callers,
        cut_streams, in_turn, open_streams, resume_streams, set_software, start,
    },
    wait,
};
use fakes::site::{self, Fault, Plan};
use link::Method;
use serde_json::Value;

#[test]
fn stream_continued_within_answer_at_other_version() {
    let deployment = start(2, Duration::from_millis(20));
    common::add_stream_route(&deployment, true);
    let vms = in_turn(&callers(&deployment));
    for round in 0..2 {
        cut_streams(&deployment, EVENTS_BEFORE as u64);
        assert_whole(&open_streams(round, &vms, || {}));
    }
    let state = deployment.site.state();
    assert!(
        state
            .arrivals
            .iter()
            .any(|arrival| arrival.last_event_id.is_some())
    );
}

#[test]
fn stream_sent_to_more_endpoints_than_allowed() {
    let deployment = start(1, Duration::from_millis(5));
    common::add_stream_route(&deployment, true);
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.dropped_replies = 1;
    }
    let mut stream = Stream::new("s");
    Attempt::open(deployment.vms[0].callers, &stream, EVENTS).finish(&mut stream);
    assert_eq!(deployment.site.state().arrivals_of("s-0").len(), 2);
}

#[test]
fn stream_broken_by_endpoint_resumed_at_other_version() {
    let deployment = start(4, Duration::from_millis(20));
    common::add_stream_route_with(&deployment, true, 1);
    let vms = callers(&deployment);
    let others = [vms[1], vms[2], vms[3], vms[0]];
    for round in 0..STREAMS / ENGINES {
        cut_streams(&deployment, EVENTS_BEFORE as u64);
        let mut streams = open_streams(round, &in_turn(&vms), || {});
        assert!(streams.iter().any(|stream| !stream.is_complete));
        resume_streams(&mut streams, &others);
        assert_whole(&streams);
    }
}

/// Kills the last VM, and with it all streams, and resumes them at the others.
fn assert_resumed_after_kill(fault: Fault, break_endpoints: impl FnOnce(&Deployment)) {
    let mut deployment = start(4, Duration::from_millis(60));
    common::add_stream_route_with(&deployment, true, 3);
    let vms = callers(&deployment);
    deployment.site.state().fault = fault;
    let mut killed = deployment.vms.pop().unwrap();
    let mut streams = open_streams(0, &in_turn(&vms[3..]), || {
        killed.kill();
        break_endpoints(&deployment);
    });
    resume_streams(&mut streams, &vms[..3]);
    assert_whole(&streams);
}

#[test]
fn stream_broken_by_vm_resumed_at_other_version() {
    assert_resumed_after_kill(Fault::None, |_| {});
}

#[test]
fn stream_broken_by_vm_resumed_at_other_version_without_store() {
    assert_resumed_after_kill(Fault::Unavailable, |_| {});
}

/// Makes one engine of each version reject all requests.
fn reject_at_two_engines(deployment: &Deployment) {
    let mut state = deployment.site.state();
    for id in ["engine-0", "engine-1"] {
        state.endpoints.get_mut(id).unwrap().faults.rejects = u32::MAX;
    }
}

#[test]
fn stream_broken_by_vm_and_endpoint_resumed_at_other_version() {
    assert_resumed_after_kill(Fault::None, reject_at_two_engines);
}

#[test]
fn stream_broken_by_vm_and_endpoint_resumed_at_other_version_without_store() {
    assert_resumed_after_kill(Fault::Unavailable, reject_at_two_engines);
}

/// Asserts that each text comes from one version and has `events` events.
fn assert_texts(samples: &[Value], events: u64) {
    for sample in samples {
        let text = sample["text"].as_str().unwrap();
        let versions: Vec<&str> = text.lines().map(site::event_software).collect();
        let is_mixed = versions.iter().any(|version| *version != versions[0]);
        assert!(!is_mixed, "{versions:?}");
        assert_eq!(versions.len() as u64, events);
    }
}

#[test]
fn item_resumed_at_other_version() {
    let deployment = start(1, Duration::from_millis(5));
    for number in 0..3 {
        let mut state = deployment.site.state();
        for id in ["engine-0", "engine-2"] {
            state.endpoints.get_mut(id).unwrap().faults.cut_after = Some(2);
        }
        drop(state);
        let (id, prefix) = (format!("job-{number}"), format!("i{number}"));
        assert_eq!(
            deployment.vms[0].submit(&id, &job(&prefix, STREAMS, 6)),
            202
        );
        assert_texts(&deployment.vms[0].read_all(&id, STREAMS), 6);
    }
}

#[test]
fn item_resumed_at_other_version_from_saved_progress() {
    let mut deployment = start(2, Duration::from_millis(25));
    // Long ids produce enough text for the progress to be saved.
    let long = "x".repeat(200);
    assert_eq!(deployment.vms[0].submit("job-a", &job(&long, 4, 120)), 202);
    wait("progress to be saved", || {
        let saved = deployment.site.state().get("rollout-job-job-a", "a");
        let texts = saved.and_then(|saved| saved["texts"].as_array().cloned());
        texts.is_some_and(|texts| texts.len() == 4)
    });
    deployment.vms.iter_mut().for_each(|vm| vm.kill());
    // Each engine now has the version that the other ones had.
    let mut state = deployment.site.state();
    for number in 0..ENGINES {
        let software = if number % 2 == 0 {
            "v2"
        } else {
            site::SOFTWARE
        };
        set_software(&mut state, &format!("engine-{number}"), software);
    }
    let before = state.arrivals.len();
    drop(state);
    deployment.vms.iter_mut().for_each(|vm| vm.restart());
    assert_texts(&deployment.vms[0].read_all("job-a", 4), 120);
    let state = deployment.site.state();
    let resumed = |arrival: &site::Arrival| arrival.last_event_id.is_some();
    assert!(state.arrivals[before..].iter().any(resumed));
}

#[test]
fn item_stuck_without_endpoint_of_its_version() {
    let deployment = start(1, Duration::from_millis(20));
    cut_streams(&deployment, 30);
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit("job", &job("i", 4, 40)), 202);
    let runs = |state: &site::State| {
        let arrivals = state.arrivals.iter();
        arrivals
            .filter(|a| a.endpoint.starts_with("engine"))
            .count()
    };
    wait("all items at engines", || {
        runs(&deployment.site.state()) == 4
    });
    let mut state = deployment.site.state();
    for number in 0..ENGINES {
        set_software(&mut state, &format!("engine-{number}"), "v3");
    }
    drop(state);
    assert_texts(&vm.read_all("job", 4), 40);
    assert!(vm.log().contains("item begins again"));
}

#[test]
fn stream_resumed_after_all_coordinators_restarted_in_turn() {
    let mut deployment = start(4, Duration::from_millis(20));
    common::add_stream_route_with(&deployment, true, 1);
    let vms = callers(&deployment);
    cut_streams(&deployment, EVENTS_BEFORE as u64);
    let mut streams = open_streams(0, &in_turn(&vms[3..]), || {});
    assert!(streams.iter().any(|stream| !stream.is_complete));
    for vm in &mut deployment.vms[..3] {
        vm.kill();
        vm.restart();
        vm.wait_until_logged("producers of streams copied");
    }
    resume_streams(&mut streams, &vms[..3]);
    assert_whole(&streams);
}

#[test]
fn stream_not_resumed_while_its_version_is_full() {
    let deployment = start(2, Duration::from_millis(20));
    common::add_stream_route_with(&deployment, true, 1);
    let vms = callers(&deployment);
    cut_streams(&deployment, EVENTS_BEFORE as u64);
    let mut streams = open_streams(0, &vms, || {});
    assert!(streams.iter().any(|stream| !stream.is_complete));
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.rejects = 2;
    }
    resume_streams(&mut streams, &vms);
    assert_whole(&streams);
}

#[test]
fn stream_of_unknown_producer_resumed() {
    let deployment = start(1, Duration::from_millis(5));
    common::add_stream_route(&deployment, true);
    let vm = &deployment.vms[0];
    let before = deployment.site.state().arrivals.len();
    let call = common::caller(Method::POST, "/stream/a", "r1")
        .header("last-event-id", "2")
        .header("resumes", "r0");
    let answer = vm.send(call);
    assert_eq!(answer.status, 503);
    assert!(String::from_utf8_lossy(&answer.body).contains("unknown-stream"));
    assert!(!common::header(&answer, "retry-after").is_empty());
    assert_eq!(deployment.site.state().arrivals.len(), before);
}

#[test]
fn stream_resumed_without_endpoint_of_its_version() {
    let deployment = start(1, Duration::from_millis(20));
    common::add_stream_route_with(&deployment, true, 1);
    let vms = callers(&deployment);
    cut_streams(&deployment, EVENTS_BEFORE as u64);
    let mut streams = open_streams(0, &in_turn(&vms), || {
        let mut state = deployment.site.state();
        for number in 0..ENGINES {
            set_software(&mut state, &format!("engine-{number}"), "v3");
        }
    });
    for vm in &deployment.vms {
        wait("the newest endpoints", || {
            let log = vm.log();
            log.matches("\"software\":\"v3\"").count() == ENGINES
        });
    }
    resume_streams(&mut streams, &vms);
    let broken: Vec<&Stream> = streams.iter().filter(|s| !s.is_complete).collect();
    assert!(!broken.is_empty());
    assert!(broken.iter().all(|stream| !stream.is_mixed()));
    let refused = || deployment.vms[0].log().matches("\"status\":503").count();
    wait("the lines of all refusals", || refused() >= broken.len());
    assert_eq!(refused(), broken.len());
}

/// Opens a stream at an endpoint that cuts it after [`EVENTS_BEFORE`] events, while
/// the endpoints that `fails` selects, of those that do not have the stream, answer
/// with 500. Returns the stream once its answer has ended.
fn cut_stream(deployment: &Deployment, round: usize, fails: impl Fn(usize) -> bool) -> Stream {
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.errors = 0;
    }
    cut_streams(deployment, EVENTS_BEFORE as u64);
    let vms = callers(deployment);
    let id = format!("s{round}-0-0");
    let mut streams = open_streams(round, &vms[..1], || {
        let mut state = deployment.site.state();
        let owner = state.arrivals_of(&id)[0].endpoint.clone();
        let others = state.endpoints.values_mut();
        let others = others.filter(|e| e.id.starts_with("engine") && e.id != owner);
        for (number, endpoint) in others.enumerate() {
            endpoint.faults.cut_after = None;
            endpoint.faults.errors = u32::from(fails(number));
        }
    });
    streams.remove(0)
}

fn start_one_version(max_attempts: u32) -> Deployment {
    let plan = Plan {
        engines: 3,
        plain: 1,
        event_time: Duration::from_millis(40),
    };
    let deployment = Deployment::start(1, plan);
    common::add_stream_route_with(&deployment, true, max_attempts);
    deployment
}

/// An endpoint that answers the resumption of a stream with 500 and no body once
/// ended the stream as if it were complete.
#[test]
fn stream_ends_as_complete_after_failed_resumption() {
    let deployment = start_one_version(3);
    let stream = cut_stream(&deployment, 0, |_| true);
    assert!(!stream.is_complete);
    let ids: Vec<u64> = stream.events.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [0, 1, 2, 3]);
    assert_eq!(deployment.site.state().arrivals_of("s0-0-0").len(), 3);
}

/// A stream goes on at another endpoint after one answered its resumption with 500.
#[test]
fn stream_goes_on_after_failed_resumption() {
    let deployment = start_one_version(3);
    let streams: Vec<Stream> = (0..8)
        .map(|round| cut_stream(&deployment, round, |other| other == round % 2))
        .collect();
    assert_whole(&streams);
    let state = deployment.site.state();
    let attempts = |round| state.arrivals_of(&format!("s{round}-0-0")).len();
    assert!((0..8).any(|round| attempts(round) == 3));
}
