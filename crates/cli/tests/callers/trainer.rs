//! Steps whose numbers are out of range, so that no lot can be produced from
//! them.

use link::platform::{Client, Condition};
use serde_json::json;

use super::{
    connection,
    fixture::{Fixture, plan, request, wait_until},
};

fn declare(fixture: &Fixture, key: &str, number: u64) -> connection::Answer {
    let prompts: Vec<_> = (0..8).map(|group| format!("bottle {group}")).collect();
    let path = format!("/v1/trainers/notes/steps/{number}");
    let request = request(
        "POST",
        &path,
        key,
        &json!({ "prompts": prompts }).to_string(),
    );
    connection::fetch(fixture.entry(), request.as_bytes()).expect("an answer")
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
    wait_until("lot served", || {
        let path = "/v1/trainers/notes/lots/0?wait_ms=1000";
        let request = request("GET", path, &key, "");
        connection::fetch(fixture.entry(), request.as_bytes()).is_some_and(|a| a.status == 200)
    });
    fixture.assert_healthy();
}
