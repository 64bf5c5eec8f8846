//! Whole and own answers, whatever the endpoints do.

use std::time::Duration;

use serde_json::json;

use super::{
    raw::{self, Answer},
    world::{self, World, plan, prompt, tokens, tokens_of},
};

const REQUESTS: usize = 24;
const TOKENS: u32 = 12;

/// Sends requests that overlap, each with a path of its own.
fn look_up(world: &World, method: &str, path: &str) -> Vec<(String, Answer)> {
    let entry = world.entry();
    let running: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let path = format!("{path}/{number}");
            let request = world::request(method, &path, &world.key, "");
            std::thread::spawn(move || {
                let answer = raw::ask(entry, request.as_bytes()).expect("an answer");
                (path, answer)
            })
        })
        .collect();
    running
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect()
}

/// Sends requests that overlap, each with a seed of its own: the answer to
/// another one has other tokens.
fn generate(world: &World) -> Vec<(u64, Answer)> {
    let entry = world.entry();
    let running: Vec<_> = (0..REQUESTS as u64)
        .map(|seed| {
            let mut body = prompt(TOKENS, seed % 2 == 0);
            body["seed"] = seed.into();
            let request = world.generate(&body);
            std::thread::spawn(move || (seed, raw::ask(entry, &request).expect("an answer")))
        })
        .collect();
    running
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect()
}

/// Checks that an answer is whole and its own, or a refusal.
fn is_whole((seed, answer): &(u64, Answer)) -> bool {
    let own = tokens_of(*seed, TOKENS);
    let whole = own.join(" ");
    let last = match answer.header("content-type") {
        Some("text/event-stream") => {
            let events = answer.events();
            let indices: Vec<_> = events.iter().filter_map(|e| e["index"].as_u64()).collect();
            let expected: Vec<_> = (0..indices.len() as u64).collect();
            assert_eq!(indices, expected, "lost or doubled: {events:?}");
            for (event, token) in events.iter().zip(own) {
                assert!(event["token"].is_null() || event["token"] == token);
            }
            events.last().cloned().expect("a last event")
        }
        _ => answer.json(),
    };
    if last["error"].is_string() {
        return false;
    }
    assert_eq!(last["text"], whole.as_str());
    true
}

/// The longest that an endpoint rests after failures.
const REST_MAX: Duration = Duration::from_secs(8);

/// Asks after faults, and once more when that was told. `ask` returns the
/// answers that were not whole, and must return none the second time.
fn come_back(mut ask: impl FnMut() -> Vec<Answer>) {
    let refused = ask();
    let told = refused.iter().map(|answer| {
        let millis = answer.json()["retry_after_ms"].as_u64();
        Duration::from_millis(millis.expect("a time to come back"))
    });
    let Some(told) = told.max() else {
        return;
    };
    assert!(told <= REST_MAX, "told to come back after {told:?}");
    std::thread::sleep(told);
    let refused = ask();
    let texts: Vec<_> = refused.iter().map(|answer| answer.text()).collect();
    assert!(texts.is_empty(), "came back after {told:?}: {texts:?}");
}

#[test]
fn answer_of_service_faulty() {
    let world = World::start(&plan(1, 2));
    for fault in [
        json!({"cross": true}),
        json!({"wrong_id": 0.5}),
        json!({"truncate": 0.5}),
        json!({"lost_reply": 0.5}),
        json!({"wrong_id": 0.3, "truncate": 0.3, "late_ms": 30, "cross": true}),
    ] {
        world.fault(false, &fault);
        for (method, path) in [("GET", "/entries"), ("POST", "/submissions")] {
            for (path, answer) in look_up(&world, method, path) {
                if answer.status == 200 {
                    assert_eq!(answer.json()["path"], path.as_str(), "{fault}");
                } else {
                    assert!(answer.json()["error"].is_string(), "{fault}");
                    assert!(answer.header("x-request-ran").is_some(), "{fault}");
                }
            }
        }
        world.fault(false, &json!({"reset": true}));
    }
    // Nothing of the faults is left in pooled connections or in admission.
    come_back(|| {
        let answers = look_up(&world, "GET", "/entries");
        let is_own = |(path, answer): &(String, Answer)| {
            answer.status == 200 && answer.json()["path"] == path.as_str()
        };
        let others = answers.into_iter().filter(|answer| !is_own(answer));
        others.map(|(_, answer)| answer).collect()
    });
}

#[test]
fn answer_of_engine_faulty() {
    let world = World::start(&plan(3, 1));
    let mut whole = 0;
    for fault in [
        json!({"cross": true}),
        json!({"wrong_id": 0.4}),
        json!({"truncate": 0.4}),
        json!({"lost_reply": 0.4}),
        json!({"wrong_id": 0.2, "truncate": 0.2, "late_ms": 30, "cross": true}),
    ] {
        world.fault(true, &fault);
        let answers = generate(&world);
        whole += answers.iter().filter(|answer| is_whole(answer)).count();
        world.fault(true, &json!({"reset": true}));
    }
    assert!(whole > 0);
    come_back(|| {
        let answers = generate(&world).into_iter();
        let others = answers.filter(|answer| !is_whole(answer));
        others.map(|(_, answer)| answer).collect()
    });
}

#[test]
fn answer_after_engine_lost() {
    let plan = world::plan_with(2, 1, &["--tokens-per-s=40"]);
    for switch in [
        json!({"crash": true}),
        json!({"silent_after": 4}),
        json!({"gone": true}),
    ] {
        let world = World::start(&plan);
        let request = world.generate(&prompt(40, true));
        let mut raw = raw::Raw::open(world.entry());
        raw.send(&request);
        raw.head();
        raw.until("\"index\":3");
        let first = world.endpoints(true).into_iter().find(|address| {
            let log: serde_json::Value = fakes::blocking::get(*address, "/v1/log").unwrap();
            !log["entries"].as_array().unwrap().is_empty()
        });
        // A crash has no answer.
        let _ = fakes::blocking::set_faults(first.unwrap(), &switch);
        let body = raw.chunks().expect("a body with its end mark");
        let events = Answer {
            body,
            ..Answer::default()
        }
        .events();
        let got: Vec<_> = events.iter().filter_map(|e| e["token"].as_str()).collect();
        assert_eq!(got, tokens(40), "{switch}");
        let last = events.last().unwrap();
        assert_eq!(last["text"], tokens(40).join(" ").as_str(), "{switch}");
        assert_eq!(last["usage"]["tokens_out"], 40);
    }
}

#[test]
fn answer_after_engine_frozen() {
    let world = World::start(&world::plan_with(2, 1, &["--tokens-per-s=40"]));
    let mut raw = raw::Raw::open(world.entry());
    raw.send(&world.generate(&prompt(40, true)));
    raw.head();
    raw.until("\"index\":3");
    let engines = world
        .deployment
        .endpoints
        .iter()
        .filter(|e| e.plan.is_model);
    let frozen = engines.into_iter().find(|engine| {
        let log: serde_json::Value = fakes::blocking::get(engine.address, "/v1/log").unwrap();
        !log["entries"].as_array().unwrap().is_empty()
    });
    let frozen = frozen.unwrap();
    frozen.process.signal("STOP").unwrap();
    let body = raw.chunks().expect("a body with its end mark");
    frozen.process.signal("CONT").unwrap();
    let events = Answer {
        body,
        ..Answer::default()
    }
    .events();
    let got: Vec<_> = events.iter().filter_map(|e| e["token"].as_str()).collect();
    assert_eq!(got, tokens(40));
}
