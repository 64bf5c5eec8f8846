//! Rejections state correctly whether the request ran, and non-idempotent
//! requests run at most once.

use std::time::{Duration, Instant};

use board::hash::Map;
use serde_json::json;

use super::{
    connection,
    fixture::{self, Fixture, plan, prompt},
};

const REQUEST_COUNT: usize = 40;

/// Counts the runs of each path in the services' logs.
fn count_runs(fixture: &Fixture) -> Map<String, usize> {
    let mut runs = Map::default();
    for entry in fixture.log(false) {
        let path = entry["path"].as_str().unwrap().to_owned();
        *runs.entry(path).or_default() += 1;
    }
    runs
}

#[test]
fn submit_at_most_once() {
    let fixture = Fixture::start(&plan(1, 3));
    let faults = [
        json!({"lost_reply": 0.5}),
        json!({"truncate": 0.5, "wrong_id": 0.3}),
        json!({"error_rate": 0.5}),
        json!({"gone": true}),
        json!({"outage": true}),
    ];
    let mut failures = 0;
    for (round, fault) in faults.iter().enumerate() {
        // Only one of three services is faulty, so that requests can go to the
        // others.
        let faulty = fixture.endpoints(false)[round % 3];
        fakes::blocking::set_faults(faulty, fault).unwrap();
        let paths: Vec<_> = (0..REQUEST_COUNT)
            .map(|n| format!("/submissions/{round}-{n}"))
            .collect();
        let answers: Vec<_> = paths
            .iter()
            .map(|path| {
                let request = fixture::request("POST", path, &fixture.key, "{}");
                connection::fetch(fixture.entry(), request.as_bytes()).expect("an answer")
            })
            .collect();
        fakes::blocking::set_faults(faulty, &json!({"reset": true})).unwrap();
        let runs = count_runs(&fixture);
        for (path, answer) in paths.iter().zip(&answers) {
            let count = runs.get(path).copied().unwrap_or_default();
            assert!(count <= 1, "{path} ran {count} times under {fault}");
            match answer.header("x-request-ran") {
                None => assert_eq!((answer.status, count), (200, 1), "{path} {fault}"),
                Some("not-run") => assert_eq!(count, 0, "{path} {fault}"),
                Some(_) => failures += 1,
            }
        }
    }
    assert!(failures > 0, "no request failed");
}

#[test]
fn submit_endpoint_killed() {
    let mut fixture = Fixture::start(&plan(1, 1));
    fixture.deployment.endpoints.retain_mut(|endpoint| {
        if !endpoint.plan.is_engine {
            endpoint.process.kill();
        }
        endpoint.plan.is_engine
    });
    let request = fixture::request("POST", "/submissions/1", &fixture.key, "{}");
    let answer = connection::fetch(fixture.entry(), request.as_bytes()).unwrap();
    assert!(answer.status >= 500, "{}", answer.text());
    assert_eq!(answer.header("x-request-ran"), Some("not-run"));
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn look_up_with_mute_endpoint() {
    // The public route has a deadline of two seconds, and an attempt at a mute
    // endpoint may take one of them.
    let fixture = Fixture::start(&plan(1, 2));
    let mute = fixture.endpoints(false)[0];
    fakes::blocking::set_faults(mute, &json!({"mute": true})).unwrap();
    for number in 0..6 {
        let request = format!("GET /entries/{number} HTTP/1.1\r\n\r\n");
        let start = Instant::now();
        let answer = connection::fetch(fixture.entry(), request.as_bytes()).unwrap();
        assert_eq!(
            answer.status,
            200,
            "after {:?}: {}",
            start.elapsed(),
            answer.text()
        );
    }
    fakes::blocking::set_faults(mute, &json!({"reset": true})).unwrap();
}

#[test]
fn submit_deadline_unknown() {
    let fixture = Fixture::start(&plan(1, 1));
    fixture.set_faults(false, &json!({"late_ms": 3000}));
    let request = fixture::request("POST", "/submissions/1", &fixture.key, "{}");
    let request = request.replacen("\r\n", "\r\nx-deadline-ms: 300\r\n", 1);
    let answer = connection::fetch(fixture.entry(), request.as_bytes()).unwrap();
    assert_eq!(answer.header("x-request-ran"), Some("unknown"));
    assert_eq!(fixture.log(false).len(), 1);
    fixture.set_faults(false, &json!({"reset": true}));
}

#[test]
fn generate_failing_on_all_engines() {
    let fixture = Fixture::start(&plan(2, 1));
    fixture.set_faults(true, &json!({"error_rate": 1.0}));
    let answer = fixture.generate(&prompt(2, false));
    assert!(answer.status >= 500);
    // An error does not prove that the request did not run.
    assert_eq!(answer.header("x-request-ran"), Some("unknown"));
    fixture.set_faults(true, &json!({"reset": true}));
}

#[test]
fn look_up_on_stale_connections() {
    let mut fixture = Fixture::start(&plan(1, 1));
    let look_up = |fixture: &Fixture| {
        let request = "GET /entries/1 HTTP/1.1\r\n\r\n";
        connection::fetch(fixture.entry(), request.as_bytes()).unwrap()
    };
    assert_eq!(look_up(&fixture).status, 200);
    // A new process at the same address makes the pooled connections stale.
    let index = fixture
        .deployment
        .endpoints
        .iter()
        .position(|e| !e.plan.is_engine)
        .unwrap();
    let endpoint = &mut fixture.deployment.endpoints[index];
    let address = endpoint.address;
    endpoint.process.kill();
    let arguments = [
        "fakes".to_string(),
        "service".to_string(),
        format!("--listen={address}"),
    ];
    let log = fixture.deployment.folder.join("again.log");
    let program = std::path::Path::new(super::common::PROGRAM);
    let replacement = fakes::deployment::Child::spawn_part(program, &arguments, &log).unwrap();
    fixture.deployment.endpoints[index].process = replacement;
    fixture::wait_until("new process ready", || {
        fakes::blocking::get::<serde_json::Value>(address, "/health").is_ok()
    });
    std::thread::sleep(Duration::from_millis(300));
    let before: serde_json::Value = fakes::blocking::get(address, "/stats").unwrap();
    assert_eq!(look_up(&fixture).status, 200, "{before}");
    let submit = fixture::request("POST", "/submissions/1", &fixture.key, "{}");
    let answer = connection::fetch(fixture.entry(), submit.as_bytes()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}
