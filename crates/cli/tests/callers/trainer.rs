//! Requests of trainers that no lot can come of.

use link::platform::{Client, Condition};
use serde_json::json;

use super::{
    raw,
    world::{World, plan, request, within},
};

fn declare(world: &World, key: &str, number: u64) -> raw::Answer {
    let prompts: Vec<_> = (0..8).map(|group| format!("bottle {group}")).collect();
    let path = format!("/v1/trainers/notes/steps/{number}");
    let request = request(
        "POST",
        &path,
        key,
        &json!({ "prompts": prompts }).to_string(),
    );
    raw::ask(world.entry(), request.as_bytes()).expect("an answer")
}

#[test]
fn declare_step_out_of_range() {
    let mut world = World::start(&plan(1, 0));
    let key = world.issue("festival");
    for number in [u64::MAX, 1 << 63, 1 << 32] {
        let answer = declare(&world, &key, number);
        assert_eq!(answer.status, 400, "{number}: {}", answer.text());
        assert_eq!(answer.json()["error"], "bad-number", "{number}");
    }
    // One that an earlier release has kept.
    let client = Client::new(world.deployment.platform, "test");
    let kept = json!({ "prompts": [] }).to_string();
    let name = format!("notes.{}", u64::MAX);
    let written = client.put("step", &name, Condition::Absent, kept);
    link::runtime::run(written).unwrap().unwrap();
    let answer = declare(&world, &key, 0);
    assert_eq!(answer.status, 200, "{}", answer.text());
    within("the lot", || {
        let path = "/v1/trainers/notes/lots/0?wait_ms=1000";
        let request = request("GET", path, &key, "");
        raw::ask(world.entry(), request.as_bytes()).is_some_and(|a| a.status == 200)
    });
    world.assert_well();
}
