//! Refusals that say the truth, and calls that run at most once.

use std::time::{Duration, Instant};

use board::hash::Map;
use serde_json::json;

use super::{
    raw,
    world::{self, World, plan, prompt},
};

const REQUESTS: usize = 40;

/// Counts the runs of each path in the services' logs.
fn runs(world: &World) -> Map<String, usize> {
    let mut runs = Map::default();
    for entry in world.log(false) {
        let path = entry["path"].as_str().unwrap().to_owned();
        *runs.entry(path).or_default() += 1;
    }
    runs
}

#[test]
fn submit_at_most_once() {
    let world = World::start(&plan(1, 3));
    let faults = [
        json!({"lost_reply": 0.5}),
        json!({"truncate": 0.5, "wrong_id": 0.3}),
        json!({"error_rate": 0.5}),
        json!({"gone": true}),
        json!({"outage": true}),
    ];
    let mut refused = 0;
    for (round, fault) in faults.iter().enumerate() {
        // One of three is faulty, so that there is where to go.
        let faulty = world.endpoints(false)[round % 3];
        fakes::blocking::set_faults(faulty, fault).unwrap();
        let paths: Vec<_> = (0..REQUESTS)
            .map(|n| format!("/submissions/{round}-{n}"))
            .collect();
        let answers: Vec<_> = paths
            .iter()
            .map(|path| {
                let request = world::request("POST", path, &world.key, "{}");
                raw::ask(world.entry(), request.as_bytes()).expect("an answer")
            })
            .collect();
        fakes::blocking::set_faults(faulty, &json!({"reset": true})).unwrap();
        let runs = runs(&world);
        for (path, answer) in paths.iter().zip(&answers) {
            let count = runs.get(path).copied().unwrap_or_default();
            assert!(count <= 1, "{path} ran {count} times under {fault}");
            match answer.header("x-request-ran") {
                None => assert_eq!((answer.status, count), (200, 1), "{path} {fault}"),
                Some("not-run") => assert_eq!(count, 0, "{path} {fault}"),
                Some(_) => refused += 1,
            }
        }
    }
    assert!(refused > 0, "no fault was met");
}

#[test]
fn submit_endpoint_killed() {
    let mut world = World::start(&plan(1, 1));
    world.deployment.endpoints.retain_mut(|endpoint| {
        if !endpoint.plan.is_model {
            endpoint.process.kill();
        }
        endpoint.plan.is_model
    });
    let request = world::request("POST", "/submissions/1", &world.key, "{}");
    let answer = raw::ask(world.entry(), request.as_bytes()).unwrap();
    assert!(answer.status >= 500, "{}", answer.text());
    assert_eq!(answer.header("x-request-ran"), Some("not-run"));
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn look_up_past_mute() {
    // The public route has two seconds: a mute endpoint may cost one of them.
    let world = World::start(&plan(1, 2));
    let mute = world.endpoints(false)[0];
    fakes::blocking::set_faults(mute, &json!({"mute": true})).unwrap();
    for number in 0..6 {
        let request = format!("GET /entries/{number} HTTP/1.1\r\n\r\n");
        let start = Instant::now();
        let answer = raw::ask(world.entry(), request.as_bytes()).unwrap();
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
    let world = World::start(&plan(1, 1));
    world.fault(false, &json!({"late_ms": 3000}));
    let request = world::request("POST", "/submissions/1", &world.key, "{}");
    let request = request.replacen("\r\n", "\r\nx-deadline-ms: 300\r\n", 1);
    let answer = raw::ask(world.entry(), request.as_bytes()).unwrap();
    assert_eq!(answer.header("x-request-ran"), Some("unknown"));
    assert_eq!(world.log(false).len(), 1);
    world.fault(false, &json!({"reset": true}));
}

#[test]
fn generate_refused_by_all() {
    let world = World::start(&plan(2, 1));
    world.fault(true, &json!({"error_rate": 1.0}));
    let answer = world.ask_model(&prompt(2, false));
    assert!(answer.status >= 500);
    // An error is no word that nothing ran.
    assert_eq!(answer.header("x-request-ran"), Some("unknown"));
    world.fault(true, &json!({"reset": true}));
}

#[test]
fn look_up_on_stale_connections() {
    let mut world = World::start(&plan(1, 1));
    let look = |world: &World| {
        let request = "GET /entries/1 HTTP/1.1\r\n\r\n";
        raw::ask(world.entry(), request.as_bytes()).unwrap()
    };
    assert_eq!(look(&world).status, 200);
    // A new process at the same address leaves the pooled connections stale.
    let place = world
        .deployment
        .endpoints
        .iter()
        .position(|e| !e.plan.is_model)
        .unwrap();
    let endpoint = &mut world.deployment.endpoints[place];
    let address = endpoint.address;
    endpoint.process.kill();
    let arguments = [
        "fakes".to_string(),
        "service".to_string(),
        format!("--listen={address}"),
    ];
    let log = world.deployment.folder.join("again.log");
    let program = std::path::Path::new(super::common::PROGRAM);
    let again = fakes::deployment::Child::spawn_part(program, &arguments, &log).unwrap();
    world.deployment.endpoints[place].process = again;
    world::within("a new process", || {
        fakes::blocking::get::<serde_json::Value>(address, "/health").is_ok()
    });
    std::thread::sleep(Duration::from_millis(300));
    let before: serde_json::Value = fakes::blocking::get(address, "/stats").unwrap();
    assert_eq!(look(&world).status, 200, "{before}");
    let submit = world::request("POST", "/submissions/1", &world.key, "{}");
    let answer = raw::ask(world.entry(), submit.as_bytes()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}
