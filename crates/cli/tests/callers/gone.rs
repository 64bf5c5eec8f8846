//! Callers that leave, read slowly or only hold connections.

use std::time::Duration;

use serde_json::{Value, json};

use super::{
    raw::Raw,
    world::{self, ACCOUNT, World, plan, plan_with, prompt, within},
};

const IDLE: usize = 1000;
const SLOW: usize = 200;
/// What one idle connection may cost, in bytes.
const IDLE_BYTES: u64 = 32 * 1024;
/// What one slow reader may cost, in bytes: buffers of the connection, the
/// engine's side and a few events.
const SLOW_BYTES: u64 = 128 * 1024;

fn is_running(entry: &Value) -> bool {
    entry["finish"] == "running"
}

fn load(world: &World) -> u64 {
    let mut sum = 0;
    for address in world.endpoints(true) {
        let load: Value = fakes::blocking::get(address, "/v1/load").unwrap();
        sum += load["in_flight"].as_u64().unwrap() + load["queued"].as_u64().unwrap();
    }
    sum
}

#[test]
fn leave_while_streaming_and_waiting() {
    let arguments = ["--tokens-per-s=10", "--report-lag-ms=0"];
    let world = World::start(&plan_with(1, 1, &arguments));
    for stream in [true, false] {
        let mut raw = Raw::open(world.entry());
        raw.send(&world.generate(&prompt(200, stream)));
        within("running", || world.log(true).iter().any(is_running));
        drop(raw);
        within("cancelled", || !world.log(true).iter().any(is_running));
        within("slot free", || load(&world) == 0);
    }
    // The engine's place is free again here too.
    assert_eq!(world.ask_model(&prompt(2, false)).status, 200);
}

#[test]
fn leave_while_silent() {
    let world = World::start(&plan(1, 1));
    world.fault(true, &json!({"silent_after": 2}));
    let mut raw = Raw::open(world.entry());
    raw.send(&world.generate(&prompt(200, true)));
    raw.head();
    raw.until("\"index\":1");
    drop(raw);
    let in_flight = || {
        let admin = world.deployment.vms[0].entry_admin;
        let text =
            fakes::blocking::fetch(admin, link::http::client::Call::get("/metrics")).unwrap();
        String::from_utf8_lossy(&text.body).contains("caller-left")
    };
    within("noticed", in_flight);
    world.fault(true, &json!({"reset": true}));
}

/// Adds up one figure of the reported windows.
fn reported(world: &World, name: &str) -> u64 {
    let lines = world.usage();
    let of_account = lines.iter().filter(|line| line["account"] == ACCOUNT);
    of_account
        .map(|line| line[name].as_u64().unwrap_or_default())
        .sum()
}

#[test]
fn leave_while_service_runs() {
    let mut plan = plan(1, 1);
    for back in plan.endpoints.iter_mut().filter(|back| !back.is_model) {
        back.arguments.push("--service-ms=1000".into());
    }
    let world = World::start(&plan);
    let submit = world::request("POST", "/submissions/1", &world.key, "{}");
    let mut left = Raw::open(world.entry());
    left.send(submit.as_bytes());
    within("running", || world.log(false).len() == 1);
    drop(left);
    let mut stays = Raw::open(world.entry());
    stays.send(submit.as_bytes());
    assert_eq!(stays.answer().unwrap().status, 200);
    within("both billed", || reported(&world, "requests") == 2);
    assert_eq!(reported(&world, "abandoned"), 1);
    assert_eq!(world.log(false).len(), 2);
}

#[test]
fn leave_while_queued() {
    // One slot and no second one: the second caller waits in the daemon or in
    // the engine, and leaves.
    let arguments = ["--tokens-per-s=20", "--slots=1", "--report-lag-ms=0"];
    let world = World::start(&plan_with(1, 1, &arguments));
    let mut first = Raw::open(world.entry());
    first.send(&world.generate(&prompt(100, true)));
    first.head();
    first.until("\"index\":0");
    let waiting: Vec<_> = (0..8)
        .map(|_| {
            let mut raw = Raw::open(world.entry());
            raw.send(&world.generate(&prompt(100, false)));
            raw
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    drop(waiting);
    first.until("\"finish\"");
    // All that left would take 40 s of the engine's time.
    assert_eq!(world.ask_model(&prompt(2, false)).status, 200);
    let tokens: u64 = world
        .log(true)
        .iter()
        .map(|e| e["tokens"].as_u64().unwrap())
        .sum();
    assert!(tokens < 200, "{tokens} tokens for callers that left");
}

#[test]
fn memory_idle_connections() {
    let mut world = World::start(&plan(1, 1));
    let warm: Vec<_> = (0..50).map(|_| Raw::open(world.entry())).collect();
    drop(warm);
    let before = world.resident();
    let mut idle: Vec<_> = (0..IDLE).map(|_| Raw::open(world.entry())).collect();
    for raw in &mut idle {
        raw.send(b"GET /nowhere HTTP/1.1\r\n\r\n");
        assert_eq!(raw.answer().unwrap().status, 404);
    }
    let each = (world.resident() - before) * 1024 / IDLE as u64;
    println!("{each} bytes for each of {IDLE} idle connections");
    assert!(each < IDLE_BYTES, "{each} bytes each");
    world.assert_well();
}

#[test]
fn memory_slow_readers() {
    let arguments = [
        "--tokens-per-s=100000",
        "--slots=256",
        "--report-lag-ms=100",
    ];
    let mut world = World::start(&plan_with(1, 1, &arguments));
    assert_eq!(world.ask_model(&prompt(256, true)).status, 200);
    let before = world.resident();
    let mut slow: Vec<_> = (0..SLOW).map(|_| Raw::open(world.entry())).collect();
    for raw in &mut slow {
        raw.send(&world.generate(&prompt(256, true)));
    }
    for raw in &mut slow {
        raw.begin();
    }
    let each = world.resident().saturating_sub(before) * 1024 / SLOW as u64;
    println!("{each} bytes for each of {SLOW} slow readers");
    assert!(each < SLOW_BYTES, "{each} bytes each");
    // A slow one still gets its whole answer, be it a refusal.
    for raw in &mut slow {
        assert!(raw.answer().is_some());
    }
    assert_eq!(world.ask_model(&world::prompt(2, false)).status, 200);
    world.assert_well();
}
