//! Calls of trainers: steps whose numbers are out of range, and writes whose
//! reply is lost.

use fakes::blocking;
use link::platform::{Client, Condition, Object};
use serde_json::json;

use super::{
    connection,
    fixture::{Fixture, MODEL, plan, request, wait_until},
};

fn post(fixture: &Fixture, key: &str, path: &str, body: &str) -> connection::Answer {
    let path = format!("/v1/trainers/notes/{path}");
    let request = request("POST", &path, key, body);
    connection::fetch(fixture.entry(), request.as_bytes()).expect("an answer")
}

fn declare(fixture: &Fixture, key: &str, number: u64) -> connection::Answer {
    let prompts: Vec<_> = (0..8).map(|group| format!("bottle {group}")).collect();
    let body = json!({ "prompts": prompts }).to_string();
    post(fixture, key, &format!("steps/{number}"), &body)
}

/// Waits until lot 0 is sealed and this VM knows it.
fn wait_lot_served(fixture: &Fixture, key: &str) {
    wait_until("lot served", || {
        let path = "/v1/trainers/notes/lots/0?wait_ms=1000";
        let request = request("GET", path, key, "");
        connection::fetch(fixture.entry(), request.as_bytes()).is_some_and(|a| a.status == 200)
    });
}

/// Makes the platform lose the reply to the next write of `kind`, and
/// unavailable from then on.
fn lose_reply_then_outage(fixture: &Fixture, kind: &str) {
    let switches = json!({
        "lost_reply": 1.0,
        "lost_reply_of": format!("PUT /v1/objects/{kind}/"),
        "outage_after_lost_reply": true,
    });
    blocking::set_faults(fixture.deployment.platform, &switches).unwrap();
}

/// Ends the faults of the platform, and returns a stored object.
fn stored_object(fixture: &Fixture, kind: &str, name: &str) -> Object {
    let platform = fixture.deployment.platform;
    blocking::set_faults(platform, &json!({"reset": true})).unwrap();
    let client = Client::new(platform, "test");
    link::runtime::run(client.get(kind, name)).unwrap().unwrap()
}

fn assert_outcome_unknown(answer: &connection::Answer) {
    assert_eq!(answer.status, 503, "{}", answer.text());
    let ran = (answer.json()["ran"].clone(), answer.header("x-request-ran"));
    assert_eq!(
        ran,
        (json!("unknown"), Some("unknown")),
        "{}",
        answer.text()
    );
}

#[test]
fn declare_step_out_of_range() {
    let mut fixture = Fixture::start(&plan(1, 0));
    let key = fixture.issue_key("festival");
    for number in [u64::MAX, 1 << 63, 1 << 32] {
        let answer = declare(&fixture, &key, number);
        assert_eq!(answer.status, 400, "{number}: {}", answer.text());
        assert_eq!(answer.json()["error"], "bad-number", "{number}");
    }
    // A step that an earlier release has accepted and stored.
    let client = Client::new(fixture.deployment.platform, "test");
    let stored = json!({ "prompts": [] }).to_string();
    let name = format!("notes.{}", u64::MAX);
    let written = client.put("step", &name, Condition::Absent, stored);
    link::runtime::run(written).unwrap().unwrap();
    let answer = declare(&fixture, &key, 0);
    assert_eq!(answer.status, 200, "{}", answer.text());
    wait_lot_served(&fixture, &key);
    fixture.assert_healthy();
}

#[test]
fn acknowledge_lost_reply_then_outage() {
    let fixture = Fixture::start(&plan(1, 0));
    let key = fixture.issue_key("festival");
    assert_eq!(declare(&fixture, &key, 0).status, 200);
    wait_lot_served(&fixture, &key);
    lose_reply_then_outage(&fixture, "cursor");
    let answer = post(&fixture, &key, "lots/0/ack", "");
    let cursor = stored_object(&fixture, "cursor", "notes");
    assert_eq!(cursor.json(), Ok(json!({"acknowledged": 0})));
    assert_outcome_unknown(&answer);
}

#[test]
fn put_weights_lost_reply_then_outage() {
    let fixture = Fixture::start(&plan(1, 0));
    let key = fixture.issue_key("festival");
    lose_reply_then_outage(&fixture, "weights");
    let answer = post(
        &fixture,
        &key,
        "weights",
        &json!({"version": 7}).to_string(),
    );
    let weights = stored_object(&fixture, "weights", MODEL);
    assert_eq!(weights.json(), Ok(json!({"version": 7})));
    assert_outcome_unknown(&answer);
}

#[test]
fn declare_lost_reply_then_outage() {
    let fixture = Fixture::start(&plan(1, 0));
    let key = fixture.issue_key("festival");
    lose_reply_then_outage(&fixture, "step");
    let answer = declare(&fixture, &key, 0);
    let step = stored_object(&fixture, "step", "notes.0");
    let prompts = step.json::<serde_json::Value>().unwrap()["prompts"].clone();
    assert_eq!(prompts[7], "bottle 7");
    assert_outcome_unknown(&answer);
}
