//! Callers get complete answers to their own requests, or errors, whatever
//! faults the endpoints have.

use std::time::Duration;

use serde_json::json;

use super::{
    connection::{self, Answer},
    fixture::{self, Fixture, plan, prompt, tokens, tokens_with_seed},
};

const REQUEST_COUNT: usize = 24;
const TOKEN_COUNT: u32 = 12;

/// Sends concurrent requests, each with its own path.
fn look_up(fixture: &Fixture, method: &str, path: &str) -> Vec<(String, Answer)> {
    let entry = fixture.entry();
    let threads: Vec<_> = (0..REQUEST_COUNT)
        .map(|number| {
            let path = format!("{path}/{number}");
            let request = fixture::request(method, &path, &fixture.key, "");
            std::thread::spawn(move || {
                let answer = connection::fetch(entry, request.as_bytes()).expect("an answer");
                (path, answer)
            })
        })
        .collect();
    threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect()
}

/// Sends concurrent requests, each with its own seed, so that the answers to
/// any two of them have different tokens.
fn generate(fixture: &Fixture) -> Vec<(u64, Answer)> {
    let entry = fixture.entry();
    let threads: Vec<_> = (0..REQUEST_COUNT as u64)
        .map(|seed| {
            let mut body = prompt(TOKEN_COUNT, seed % 2 == 0);
            body["seed"] = seed.into();
            let request = fixture.generate_request(&body);
            std::thread::spawn(move || {
                (seed, connection::fetch(entry, &request).expect("an answer"))
            })
        })
        .collect();
    threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect()
}

/// Returns whether an answer is complete; false if it is an error. Panics if
/// tokens are lost, duplicated or belong to another request.
fn is_complete((seed, answer): &(u64, Answer)) -> bool {
    let expected_tokens = tokens_with_seed(*seed, TOKEN_COUNT);
    let expected_text = expected_tokens.join(" ");
    let last = match answer.header("content-type") {
        Some("text/event-stream") => {
            let events = answer.events();
            let indices: Vec<_> = events.iter().filter_map(|e| e["index"].as_u64()).collect();
            let expected: Vec<_> = (0..indices.len() as u64).collect();
            assert_eq!(indices, expected, "lost or duplicated: {events:?}");
            for (event, token) in events.iter().zip(expected_tokens) {
                assert!(event["token"].is_null() || event["token"] == token);
            }
            events.last().cloned().expect("a last event")
        }
        _ => answer.json(),
    };
    if last["error"].is_string() {
        return false;
    }
    assert_eq!(last["text"], expected_text.as_str());
    true
}

/// The longest backoff of an endpoint after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(8);

/// Sends requests after faults, and once more after the longest
/// `retry_after_ms` of the errors, if there are any. `send` returns the answers
/// that were not complete, and must return none the second time.
fn retry_after_faults(mut send: impl FnMut() -> Vec<Answer>) {
    let failures = send();
    let delay = failures.iter().map(|answer| {
        let millis = answer.json()["retry_after_ms"].as_u64();
        Duration::from_millis(millis.expect("a retry delay"))
    });
    let Some(delay) = delay.max() else {
        return;
    };
    assert!(delay <= BACKOFF_MAX, "a retry delay of {delay:?}");
    std::thread::sleep(delay);
    let failures = send();
    let texts: Vec<_> = failures.iter().map(|answer| answer.text()).collect();
    assert!(
        texts.is_empty(),
        "errors after the retry delay of {delay:?}: {texts:?}"
    );
}

#[test]
fn answer_of_service_faulty() {
    let fixture = Fixture::start(&plan(1, 2));
    for fault in [
        json!({"cross": true}),
        json!({"wrong_id": 0.5}),
        json!({"truncate": 0.5}),
        json!({"lost_reply": 0.5}),
        json!({"wrong_id": 0.3, "truncate": 0.3, "late_ms": 30, "cross": true}),
    ] {
        fixture.set_faults(false, &fault);
        for (method, path) in [("GET", "/entries"), ("POST", "/submissions")] {
            for (path, answer) in look_up(&fixture, method, path) {
                if answer.status == 200 {
                    assert_eq!(answer.json()["path"], path.as_str(), "{fault}");
                } else {
                    assert!(answer.json()["error"].is_string(), "{fault}");
                    assert!(answer.header("x-request-ran").is_some(), "{fault}");
                }
            }
        }
        fixture.set_faults(false, &json!({"reset": true}));
    }
    // Pooled connections and admission must have recovered from the faults.
    retry_after_faults(|| {
        let answers = look_up(&fixture, "GET", "/entries");
        let is_correct = |(path, answer): &(String, Answer)| {
            answer.status == 200 && answer.json()["path"] == path.as_str()
        };
        let incomplete = answers.into_iter().filter(|answer| !is_correct(answer));
        incomplete.map(|(_, answer)| answer).collect()
    });
}

#[test]
fn answer_of_engine_faulty() {
    let fixture = Fixture::start(&plan(3, 1));
    let mut complete = 0;
    for fault in [
        json!({"cross": true}),
        json!({"wrong_id": 0.4}),
        json!({"truncate": 0.4}),
        json!({"lost_reply": 0.4}),
        json!({"wrong_id": 0.2, "truncate": 0.2, "late_ms": 30, "cross": true}),
    ] {
        fixture.set_faults(true, &fault);
        let answers = generate(&fixture);
        complete += answers.iter().filter(|answer| is_complete(answer)).count();
        fixture.set_faults(true, &json!({"reset": true}));
    }
    assert!(complete > 0);
    retry_after_faults(|| {
        let answers = generate(&fixture).into_iter();
        let incomplete = answers.filter(|answer| !is_complete(answer));
        incomplete.map(|(_, answer)| answer).collect()
    });
}

#[test]
fn answer_after_engine_lost() {
    let plan = fixture::plan_with(2, 1, &["--tokens-per-s=40"]);
    for switch in [
        json!({"crash": true}),
        json!({"silent_after": 4}),
        json!({"gone": true}),
    ] {
        let fixture = Fixture::start(&plan);
        let request = fixture.generate_request(&prompt(40, true));
        let mut connection = connection::Connection::open(fixture.entry());
        connection.send(&request);
        connection.read_head();
        connection.read_until("\"index\":3");
        let engine = fixture.endpoints(true).into_iter().find(|address| {
            let log: serde_json::Value = fakes::blocking::get(*address, "/v1/log").unwrap();
            !log["entries"].as_array().unwrap().is_empty()
        });
        // An engine that crashes does not answer the call.
        let _ = fakes::blocking::set_faults(engine.unwrap(), &switch);
        let body = connection
            .read_chunked_body()
            .expect("a body with its last chunk");
        let events = Answer {
            body,
            ..Answer::default()
        }
        .events();
        let received: Vec<_> = events.iter().filter_map(|e| e["token"].as_str()).collect();
        assert_eq!(received, tokens(40), "{switch}");
        let last = events.last().unwrap();
        assert_eq!(last["text"], tokens(40).join(" ").as_str(), "{switch}");
        assert_eq!(last["usage"]["tokens_out"], 40);
    }
}

#[test]
fn answer_after_engine_frozen() {
    let fixture = Fixture::start(&fixture::plan_with(2, 1, &["--tokens-per-s=40"]));
    let mut connection = connection::Connection::open(fixture.entry());
    connection.send(&fixture.generate_request(&prompt(40, true)));
    connection.read_head();
    connection.read_until("\"index\":3");
    let engines = fixture
        .deployment
        .endpoints
        .iter()
        .filter(|e| e.plan.is_engine);
    let frozen = engines.into_iter().find(|engine| {
        let log: serde_json::Value = fakes::blocking::get(engine.address, "/v1/log").unwrap();
        !log["entries"].as_array().unwrap().is_empty()
    });
    let frozen = frozen.unwrap();
    frozen.process.signal("STOP").unwrap();
    let body = connection
        .read_chunked_body()
        .expect("a body with its last chunk");
    frozen.process.signal("CONT").unwrap();
    let events = Answer {
        body,
        ..Answer::default()
    }
    .events();
    let received: Vec<_> = events.iter().filter_map(|e| e["token"].as_str()).collect();
    assert_eq!(received, tokens(40));
}
