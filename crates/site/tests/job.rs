//! Tests of jobs from submission to end, on VMs that run as processes.

mod common;

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use common::{Deployment, caller, job, text, wait};
use fakes::{
    blocking,
    script::{self, Answer},
    site::{ENGINE_SERVICE, Fault, Plan},
};
use link::Method;
use serde_json::{Value, json};

fn ids(samples: &[Value]) -> Vec<String> {
    let ids = samples
        .iter()
        .map(|sample| sample["id"].as_str().unwrap_or_default().to_string());
    ids.collect()
}

fn assert_done(samples: &[Value], events: u64) {
    for sample in samples {
        let id = sample["id"].as_str().unwrap();
        assert_eq!(sample["state"], "done", "{id}");
        assert_eq!(sample["text"].as_str().unwrap(), text(id, events));
        assert!(
            sample["score"]
                .as_str()
                .unwrap()
                .ends_with(&format!("score-{id}"))
        );
    }
    let mut ids = ids(samples);
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), samples.len(), "an item has two positions");
}

#[test]
fn submit_read_and_end_job() {
    let deployment = Deployment::start(3, Plan::default());
    let job = job("a", 12, 5);
    assert_eq!(deployment.vms[0].submit("job-a", &job), 202);
    // A repeated submission at another VM is accepted as the same job.
    assert_eq!(deployment.vms[1].submit("job-a", &job), 202);
    let samples = deployment.vms[0].read_all("job-a", 12);
    assert_eq!(samples.len(), 12);
    assert_done(&samples, 5);
    // All VMs return the samples at the same positions.
    for vm in &deployment.vms {
        assert_eq!(ids(&vm.read_all("job-a", 12)), ids(&samples));
    }
    let (status, rest) = deployment.vms[2].read("job-a", 5);
    assert_eq!((status, rest["next-token"].as_u64()), (200, Some(12)));
    assert_eq!(
        deployment.vms[1]
            .request(Method::DELETE, "/lots/job-a", "e1")
            .status,
        200
    );
    assert_eq!(
        deployment.vms[2]
            .request(Method::DELETE, "/lots/job-a", "e2")
            .status,
        200
    );
    assert_eq!(
        deployment.vms[0]
            .request(Method::GET, "/lots/job-b", "r")
            .status,
        404
    );
}

#[test]
fn read_job_of_other_account() {
    let deployment = Deployment::start(1, Plan::default());
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 202);
    let other = common::caller(Method::GET, "/lots/job-a", "r").header("x-api-key", "key-of-other");
    assert_eq!(deployment.vms[0].send(other).status, 404);
}

#[test]
fn read_item_body() {
    let deployment = Deployment::start(
        2,
        Plan {
            engines: 0,
            ..Plan::default()
        },
    );
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 202);
    for vm in &deployment.vms {
        let answer = vm.request(Method::GET, "/items/job-a?id=a-1", "b1");
        assert_eq!(
            (answer.status.as_u16(), &answer.body[..]),
            (200, &b"a-1"[..])
        );
        assert_eq!(
            vm.request(Method::GET, "/items/job-a?id=none", "b2").status,
            404
        );
    }
}

#[test]
fn resume_interrupted_stream() {
    let deployment = Deployment::start(1, Plan::default());
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.cut_after = Some(2);
    }
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 6, 6)), 202);
    assert_done(&deployment.vms[0].read_all("job-a", 6), 6);
    let state = deployment.site.state();
    let resumed: Vec<u64> = state
        .arrivals
        .iter()
        .filter_map(|arrival| arrival.last_event_id)
        .collect();
    assert_eq!(resumed, [2, 2]);
}

#[test]
fn abandon_item_after_max_failures() {
    let deployment = Deployment::start(
        1,
        Plan {
            engines: 1,
            ..Plan::default()
        },
    );
    {
        let mut state = deployment.site.state();
        let faults = &mut state.endpoints.get_mut("engine-0").unwrap().faults;
        // Only error responses count as failures of the item, not rejections
        // or interrupted streams.
        faults.rejects = 3;
        faults.errors = 2;
        faults.cut_after = Some(0);
    }
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 1, 4)), 202);
    assert_done(&deployment.vms[0].read_all("job-a", 1), 4);
    deployment
        .site
        .state()
        .endpoints
        .get_mut("engine-0")
        .unwrap()
        .faults
        .errors = 3;
    assert_eq!(deployment.vms[0].submit("job-b", &job("b", 1, 4)), 202);
    let samples = deployment.vms[0].read_all("job-b", 1);
    assert_eq!(samples[0]["state"], "dead");
}

#[test]
fn run_job_despite_clock_skew() {
    let deployment = Deployment::start(1, Plan::default());
    let now = std::time::SystemTime::now();
    let now = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    // The job is a second older than its route allows, because the clock of the
    // VM that accepted it was behind.
    let submitted = now - Duration::from_secs(21);
    let submission = job("a", 2, 2);
    {
        let mut state = deployment.site.state();
        state.put("rollout-job-job-a", "i00000", submission["items"].clone());
        let head = serde_json::json!({
            "account": "acme", "host": common::HOST, "path": "/jobs-here/step",
            "vm": deployment.vms[0].name, "address": null,
            "submitted_ms": submitted.as_millis() as u64, "model": fakes::site::MODEL,
            "oldest_version": 1, "items": 2, "work_ms": 0,
        });
        state.put("rollout-jobs", "job-a", head);
    }
    assert_done(&deployment.vms[0].read_all("job-a", 2), 2);
}

#[test]
fn count_scoring_failures_by_response() {
    let deployment = Deployment::start(
        1,
        Plan {
            plain: 1,
            ..Plan::default()
        },
    );
    {
        let mut state = deployment.site.state();
        let faults = &mut state.endpoints.get_mut("plain-0").unwrap().faults;
        faults.rejects = 4;
        faults.errors = 2;
        faults.dropped_replies = 1;
    }
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 1, 2)), 202);
    assert_done(&deployment.vms[0].read_all("job-a", 1), 2);
}

#[test]
fn take_over_job_of_killed_vm() {
    let plan = Plan {
        event_time: Duration::from_millis(60),
        ..Plan::default()
    };
    let mut deployment = Deployment::start(3, plan);
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 16, 10)), 202);
    let runner = deployment.runner();
    wait("the head of the job", || {
        !deployment.site.state().names("rollout-jobs").is_empty()
    });
    let reader = (runner + 1) % 3;
    let mut before = Vec::new();
    wait("the first samples", || {
        let (_, body) = deployment.vms[reader].read("job-a", 0);
        before = body["results"].as_array().cloned().unwrap_or_default();
        !before.is_empty()
    });
    deployment.vms[runner].kill();
    let samples = deployment.vms[reader].read_all("job-a", 16);
    assert_done(&samples, 10);
    assert_eq!(ids(&samples)[..before.len()], ids(&before)[..]);
}

/// The kind of the objects with the content of `job-a`.
const CONTENT: &str = "rollout-job-job-a";

/// Returns the ids of the samples in all pages of `job-a` in the store.
fn stored_ids(deployment: &Deployment) -> Vec<String> {
    let state = deployment.site.state();
    let pages = state.names(CONTENT).into_iter();
    let pages = pages.filter(|name| name.starts_with('p'));
    let samples = pages.flat_map(|name| {
        let page = state.get(CONTENT, &name).unwrap_or_default();
        page["samples"].as_array().cloned().unwrap_or_default()
    });
    ids(&samples.collect::<Vec<Value>>())
}

#[test]
fn read_after_late_page_of_former_runner() {
    let plan = Plan {
        event_time: Duration::from_millis(400),
        ..Plan::default()
    };
    let mut deployment = Deployment::start(2, plan);
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 4, 20)), 202);
    let runner = deployment.runner();
    wait("all items to start", || {
        deployment.site.state().arrivals.len() == 4
    });
    deployment.vms[runner].kill();
    let other = &deployment.vms[1 - runner];
    wait("the other VM to have read the job", || {
        deployment.site.state().arrivals.len() > 4
    });
    // The store executes a write of the former runner that was in transit.
    let sample = json!({"id": "a-0", "state": "done", "text": "a-0/0", "score": "s"});
    let page = json!({
        "metadata": {"name": "p00000"},
        "spec": {"vm": deployment.vms[runner].name, "samples": [sample]},
    });
    let path = format!("/objects/{CONTENT}");
    blocking::post(deployment.site.store, &path, &page).unwrap();
    std::thread::sleep(Duration::from_millis(1000));
    let stored = stored_ids(&deployment);
    let (status, body) = other.read("job-a", 0);
    let samples = body["results"].as_array().cloned().unwrap_or_default();
    assert!(
        status == 503 || ids(&samples) == stored,
        "{status}, {samples:?}, stored: {stored:?}"
    );
}

#[test]
fn former_runner_stops_at_page_of_its_successor() {
    let plan = Plan {
        event_time: Duration::from_millis(200),
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit("job-a", &job("a", 4, 5)), 202);
    wait("the first item to start", || {
        !deployment.site.state().arrivals.is_empty()
    });
    {
        let mut state = deployment.site.state();
        // The VM does not learn of the claim before it writes its first page.
        state.fault = Fault::SilentWatches;
        let claim = json!({"vm": "vm-9", "address": null});
        state.put("rollout-jobs", "job-a.c00000", claim);
        state.put(CONTENT, "p00000", json!({"vm": "vm-9", "samples": []}));
    }
    vm.wait_until_logged("stopped running job");
    assert_eq!(stored_ids(&deployment), [""; 0]);
    deployment.site.state().fault = Fault::None;
    // Since vm-9 sends no heartbeats, the job returns to this VM.
    assert_done(&vm.read_all("job-a", 4), 5);
}

#[test]
fn resume_job_after_all_vms_restart() {
    let plan = Plan {
        event_time: Duration::from_millis(40),
        ..Plan::default()
    };
    let mut deployment = Deployment::start(2, plan);
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 12, 8)), 202);
    for vm in &mut deployment.vms {
        vm.kill();
    }
    for vm in &mut deployment.vms {
        vm.restart();
    }
    assert_done(&deployment.vms[1].read_all("job-a", 12), 8);
}

#[test]
fn stop_ended_job() {
    let plan = Plan {
        event_time: Duration::from_millis(100),
        ..Plan::default()
    };
    let mut deployment = Deployment::start(2, plan);
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 20, 20)), 202);
    wait("the first item to start", || {
        !deployment.site.state().arrivals.is_empty()
    });
    assert_eq!(
        deployment.vms[1]
            .request(Method::DELETE, "/lots/job-a", "e1")
            .status,
        200
    );
    wait("the runner to stop at the end of the job", || {
        deployment
            .vms
            .iter()
            .any(|vm| vm.log().contains("\"reason\":\"ended\""))
    });
    let arrivals_before = deployment.site.state().arrivals.len();
    // A process that starts later does not run the job either.
    deployment.vms[0].kill();
    deployment.vms[0].restart();
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(deployment.site.state().arrivals.len(), arrivals_before);
}

#[test]
fn reject_job_while_store_unavailable() {
    let deployment = Deployment::start(1, Plan::default());
    deployment.site.state().fault = Fault::Unavailable;
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 503);
    deployment.site.state().fault = Fault::None;
    assert!(deployment.site.state().names("rollout-jobs").is_empty());
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 202);
    assert_done(&deployment.vms[0].read_all("job-a", 2), 2);
}

#[test]
fn submit_with_unknown_outcome() {
    let deployment = Deployment::start(1, Plan::default());
    deployment.site.state().fault = Fault::DroppedRepliesOf("rollout-jobs");
    // The store writes the objects but drops its replies, so the VM does not
    // know whether the job exists and must not confirm it.
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 504);
    deployment.site.state().fault = Fault::None;
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 202);
    assert_done(&deployment.vms[0].read_all("job-a", 2), 2);
}

/// Answers with these statuses promise that a submission has not run and never
/// will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[test]
fn submit_with_lost_forwarded_write_then_store_unavailable() {
    let deployment = Deployment::start_with_coordinators(4, 2, Plan::default());
    deployment.site.state().fault = Fault::LostWriteOf("rollout-jobs");
    let job = job("a", 2, 2);
    // The trainer tries one VM after the other, neither of which is a coordinator.
    let statuses = [2, 3].map(|vm: usize| deployment.vms[vm].submit("job-a", &job));
    assert_eq!(deployment.site.state().names("rollout-jobs"), ["job-a"]);
    assert!(
        !statuses.iter().any(|status| PROMISES.contains(status)),
        "{statuses:?}"
    );
    deployment.site.state().fault = Fault::None;
    assert_done(&deployment.vms[2].read_all("job-a", 2), 2);
}

#[test]
fn submit_with_lost_forwarded_write_until_store_returns() {
    let deployment = Deployment::start_with_coordinators(3, 1, Plan::default());
    deployment.site.state().fault = Fault::LostWriteOf("rollout-jobs");
    let vm = &deployment.vms[2];
    std::thread::scope(|scope| {
        scope.spawn(|| {
            wait("the VM to try itself", || {
                vm.log().contains("submission forwarded")
            });
            // Longer than a submission without an unsettled attempt is retried.
            std::thread::sleep(Duration::from_millis(500));
            deployment.site.state().fault = Fault::None;
        });
        assert_eq!(vm.submit("job-a", &job("a", 2, 2)), 202);
    });
    assert_done(&vm.read_all("job-a", 2), 2);
}

#[test]
fn submit_running_job_while_store_unavailable() {
    let plan = Plan {
        event_time: Duration::from_millis(200),
        ..Plan::default()
    };
    let deployment = Deployment::start_with_coordinators(3, 1, plan);
    let job = job("a", 2, 10);
    assert_eq!(deployment.vms[1].submit("job-a", &job), 202);
    deployment.site.state().fault = Fault::Unavailable;
    assert_eq!(deployment.vms[2].submit("job-a", &job), 202);
}

#[test]
fn end_job_with_lost_write_then_store_unavailable() {
    // A VM that forwards the call, and the coordinator itself.
    for vm in [1, 0] {
        let deployment = Deployment::start_with_coordinators(2, 1, Plan::default());
        assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 202);
        wait(
            "the job to be complete, after which no heartbeat is written",
            || deployment.vms[0].log().contains("stopped running job"),
        );
        deployment.site.state().fault = Fault::LostWriteOf("rollout-jobs");
        let status = deployment.vms[vm]
            .request(Method::DELETE, "/lots/job-a", "e1")
            .status;
        deployment.site.state().fault = Fault::None;
        let names = deployment.site.state().names("rollout-jobs");
        assert!(names.contains(&"job-a.e".to_string()), "{names:?}");
        assert!(!PROMISES.contains(&status.as_u16()), "{status}");
    }
}

#[test]
fn end_job_with_lost_forwarded_call_then_store_unavailable() {
    let mut deployment = Deployment::start(1, Plan::default());
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 202);
    wait(
        "the job to be complete, after which no heartbeat is written",
        || deployment.vms[0].log().contains("stopped running job"),
    );
    deployment.vms[0].kill();
    // A coordinator that closes each connection after it has read the call.
    let coordinator = script::spawn(vec![vec![Answer::Close]; 1000]).unwrap();
    deployment.vms[0].change_settings(|text| {
        let lines = text.lines().map(|line| match line.starts_with("seeds") {
            true => format!("seeds = [\"{}\"]", coordinator.address),
            false => line.to_string(),
        });
        lines.collect::<Vec<_>>().join("\n")
    });
    deployment.vms[0].restart();
    let vm = &deployment.vms[0];
    deployment.site.state().fault = Fault::Unavailable;
    let status = vm.request(Method::DELETE, "/lots/job-a", "e1").status;
    vm.wait_until_logged("VM did not respond to forwarded call");
    assert!(!PROMISES.contains(&status.as_u16()), "{status}");
}

#[test]
fn item_rejected_when_sent_again() {
    let text = Answer::Body("id: 0\ndata: text\n\n");
    let connections = vec![vec![text, Answer::Close], vec![Answer::NotRun], vec![text]];
    let script = script::spawn(connections).unwrap();
    let plan = Plan {
        engines: 0,
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    common::announce_script(&deployment, ENGINE_SERVICE, &script);
    let mut job = job("a", 2, 1);
    for item in job["items"].as_array_mut().unwrap() {
        item.as_object_mut().unwrap().remove("scorer");
    }
    let vm = &deployment.vms[0];
    assert_eq!(vm.submit("job-a", &job), 202);
    vm.read_all("job-a", 2);
    vm.wait_until_logged("stopped running job");
    let log = vm.log();
    // The endpoint may have run the second item before the idle connection
    // closed.
    let first = log.lines().find(|line| line.contains("a-1")).unwrap();
    assert!(
        first.contains("the endpoint rejected the repeated request"),
        "{first}"
    );
    assert_eq!(script.requests(), 4);
}

#[test]
fn read_rejected_while_coordinators_do_not_respond() {
    let deployment = Deployment::start_with_coordinators(3, 2, Plan::default());
    assert_eq!(deployment.vms[2].submit("job-a", &job("a", 2, 2)), 202);
    deployment.vms[2].read_all("job-a", 2);
    for vm in &deployment.vms[..2] {
        vm.signal("STOP");
    }
    let call = caller(Method::GET, "/lots/job-a?after=2", "r1").header("wait-ms", "1000");
    let status = deployment.vms[2].send(call).status;
    for vm in &deployment.vms[..2] {
        vm.signal("CONT");
    }
    assert_eq!(status, 503);
}

#[test]
fn reject_job_without_stored_items() {
    let deployment = Deployment::start(1, Plan::default());
    deployment.site.state().fault = Fault::DroppedRepliesOf("rollout-job-job-a");
    // The items may be written, but without a head the job is not accepted.
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 503);
    assert!(deployment.site.state().names("rollout-jobs").is_empty());
    deployment.site.state().fault = Fault::None;
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 2)), 202);
    assert_done(&deployment.vms[0].read_all("job-a", 2), 2);
}

#[test]
fn split_items_of_large_job() {
    let deployment = Deployment::start(2, Plan::default());
    let mut large = job("a", 8, 2);
    let body = vec![b'x'; 300 * 1024];
    for item in large["items"].as_array_mut().unwrap() {
        item["body"] = BASE64.encode(&body).into();
    }
    assert!(large.to_string().len() > 3 * 1024 * 1024);
    assert_eq!(deployment.vms[0].submit("job-a", &large), 202);
    assert_done(&deployment.vms[1].read_all("job-a", 8), 2);
    let answer = deployment.vms[1].request(Method::GET, "/items/job-a?id=a-7", "b1");
    assert_eq!((answer.status.as_u16(), &answer.body[..]), (200, &body[..]));
}

#[test]
fn take_over_complete_job_once() {
    let mut deployment = Deployment::start(2, Plan::default());
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 4, 2)), 202);
    deployment.vms[0].read_all("job-a", 4);
    let runner = deployment.runner();
    deployment.vms[runner].kill();
    let other = &deployment.vms[1 - runner];
    wait("the other VM to read the complete job", || {
        other.log().contains("\"reason\":\"whole\"")
    });
    // Longer than the content of an unread job stays in memory.
    std::thread::sleep(Duration::from_secs(12));
    assert_eq!(other.log().matches("job taken over").count(), 1);
    assert_eq!(other.read_all("job-a", 4).len(), 4);
}

#[test]
fn release_jobs_on_shutdown() {
    let plan = Plan {
        event_time: Duration::from_millis(50),
        ..Plan::default()
    };
    let mut deployment = Deployment::start(2, plan);
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 12, 12)), 202);
    let runner = deployment.runner();
    deployment.vms[runner].signal("TERM");
    let other = 1 - runner;
    assert_done(&deployment.vms[other].read_all("job-a", 12), 12);
    let vm = &mut deployment.vms[runner];
    wait("the process to exit", || vm.exit_code().is_some());
    assert_eq!(vm.exit_code(), Some(0));
}

#[test]
fn release_after_claim_of_another_vm_is_not_told() {
    let plan = Plan {
        event_time: Duration::from_millis(50),
        ..Plan::default()
    };
    let mut deployment = Deployment::start(1, plan);
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 2, 200)), 202);
    deployment.vms[0].wait_until_logged("started running job");
    // The VM learns of the claim only when it writes its own one.
    deployment.site.state().fault = Fault::SilentWatches;
    let claim = serde_json::json!({"vm": "vm-9", "address": null});
    deployment
        .site
        .state()
        .put("rollout-jobs", "job-a.c00000", claim);
    let vm = &mut deployment.vms[0];
    vm.signal("TERM");
    wait("the process to exit", || vm.exit_code().is_some());
    let log = vm.log();
    let release = log.lines().find(|line| line.contains("job released"));
    let release = release.unwrap();
    assert!(release.contains("\"is_told\":false"), "{release}");
    assert!(release.contains("\"holder\":\"vm-9\""), "{release}");
}

#[test]
fn resume_job_from_saved_progress() {
    let plan = Plan {
        event_time: Duration::from_millis(25),
        ..Plan::default()
    };
    let mut deployment = Deployment::start(2, plan);
    // Each event contains the item id, so that long ids produce enough text for
    // the progress to be saved.
    let long = "x".repeat(200);
    assert_eq!(deployment.vms[0].submit("job-a", &job(&long, 4, 120)), 202);
    wait("progress to be saved", || {
        let saved = deployment.site.state().get("rollout-job-job-a", "a");
        saved.is_some_and(|saved| {
            saved["texts"]
                .as_array()
                .is_some_and(|texts| texts.len() == 4)
        })
    });
    for vm in &mut deployment.vms {
        vm.kill();
    }
    let before = deployment.site.state().arrivals.len();
    for vm in &mut deployment.vms {
        vm.restart();
    }
    assert_done(&deployment.vms[0].read_all("job-a", 4), 120);
    let state = deployment.site.state();
    let runs = state.arrivals[before..]
        .iter()
        .filter(|a| a.endpoint.starts_with("engine"));
    let after: Vec<Option<u64>> = runs.map(|arrival| arrival.last_event_id).collect();
    assert!(
        !after.is_empty() && after.iter().all(|after| after.is_some()),
        "{after:?}"
    );
}

#[test]
fn reuse_text_of_repeated_item() {
    let deployment = Deployment::start(1, Plan::default());
    assert_eq!(deployment.vms[0].submit("job-a", &job("a", 4, 5)), 202);
    assert_done(&deployment.vms[0].read_all("job-a", 4), 5);
    assert_eq!(
        deployment.vms[0]
            .request(Method::DELETE, "/lots/job-a", "e1")
            .status,
        200
    );
    let runs = |deployment: &Deployment| {
        let state = deployment.site.state();
        state
            .arrivals
            .iter()
            .filter(|a| a.endpoint.starts_with("engine"))
            .count()
    };
    let before = runs(&deployment);
    assert_eq!(deployment.vms[0].submit("job-b", &job("a", 4, 5)), 202);
    assert_done(&deployment.vms[0].read_all("job-b", 4), 5);
    assert_eq!(runs(&deployment), before);
    // A text of older weights than the job allows is not reused.
    let mut newer = job("a", 4, 5);
    newer["min-version"] = serde_json::json!(2);
    deployment.site.state().put(
        "versions",
        fakes::site::MODEL,
        serde_json::json!({"model": fakes::site::MODEL, "version": 2}),
    );
    assert_eq!(deployment.vms[0].submit("job-c", &newer), 202);
    let samples = deployment.vms[0].read_all("job-c", 4);
    assert_done(&samples, 5);
    assert!(
        samples
            .iter()
            .all(|sample| sample["versions"] == serde_json::json!([2]))
    );
}
