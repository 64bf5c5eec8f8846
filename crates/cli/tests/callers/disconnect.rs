//! Callers that disconnect, read slowly or only hold connections open.

use std::time::Duration;

use serde_json::{Value, json};

use super::{
    connection::Connection,
    fixture::{self, ACCOUNT, Fixture, plan, plan_with, prompt, wait_until},
};

const IDLE_CONNECTION_COUNT: usize = 1000;
const SLOW_READER_COUNT: usize = 200;
/// Memory that one idle connection may take.
const IDLE_CONNECTION_BYTES_MAX: u64 = 32 * 1024;
/// Memory that one slow reader may take: buffers of its connection and of the
/// one to the engine, and a few events.
const SLOW_READER_BYTES_MAX: u64 = 128 * 1024;

fn is_running(entry: &Value) -> bool {
    entry["finish"] == "running"
}

fn engine_load(fixture: &Fixture) -> u64 {
    let mut sum = 0;
    for address in fixture.endpoints(true) {
        let load: Value = fakes::blocking::get(address, "/v1/load").unwrap();
        sum += load["in_flight"].as_u64().unwrap() + load["queued"].as_u64().unwrap();
    }
    sum
}

#[test]
fn disconnect_while_streaming_and_waiting() {
    let arguments = ["--tokens-per-s=10", "--report-lag-ms=0"];
    let fixture = Fixture::start(&plan_with(1, 1, &arguments));
    for stream in [true, false] {
        let mut connection = Connection::open(fixture.entry());
        connection.send(&fixture.generate_request(&prompt(200, stream)));
        wait_until("running", || fixture.log(true).iter().any(is_running));
        drop(connection);
        wait_until("cancelled", || !fixture.log(true).iter().any(is_running));
        wait_until("slot free", || engine_load(&fixture) == 0);
    }
    // The entry daemon counts the engine's slot as free too.
    assert_eq!(fixture.generate(&prompt(2, false)).status, 200);
}

#[test]
fn disconnect_while_engine_silent() {
    let fixture = Fixture::start(&plan(1, 1));
    fixture.set_faults(true, &json!({"silent_after": 2}));
    let mut connection = Connection::open(fixture.entry());
    connection.send(&fixture.generate_request(&prompt(200, true)));
    connection.read_head();
    connection.read_until("\"index\":1");
    drop(connection);
    let is_counted = || {
        let admin = fixture.deployment.vms[0].entry_admin;
        let text =
            fakes::blocking::fetch(admin, link::http::client::Call::get("/metrics")).unwrap();
        String::from_utf8_lossy(&text.body).contains("caller-left")
    };
    wait_until("disconnect counted", is_counted);
    fixture.set_faults(true, &json!({"reset": true}));
}

/// Returns the sum of one figure of the account over all reported windows.
fn sum_reported(fixture: &Fixture, name: &str) -> u64 {
    let lines = fixture.reported_figures();
    let of_account = lines.iter().filter(|line| line["account"] == ACCOUNT);
    of_account
        .map(|line| line[name].as_u64().unwrap_or_default())
        .sum()
}

#[test]
fn disconnect_while_service_runs() {
    let mut plan = plan(1, 1);
    for endpoint in plan
        .endpoints
        .iter_mut()
        .filter(|endpoint| !endpoint.is_engine)
    {
        endpoint.arguments.push("--service-ms=1000".into());
    }
    let fixture = Fixture::start(&plan);
    let submit = fixture::request("POST", "/submissions/1", &fixture.key, "{}");
    let mut disconnected = Connection::open(fixture.entry());
    disconnected.send(submit.as_bytes());
    wait_until("running", || fixture.log(false).len() == 1);
    drop(disconnected);
    let mut connected = Connection::open(fixture.entry());
    connected.send(submit.as_bytes());
    assert_eq!(connected.read_answer().unwrap().status, 200);
    wait_until("both billed", || sum_reported(&fixture, "requests") == 2);
    assert_eq!(sum_reported(&fixture, "abandoned"), 1);
    assert_eq!(fixture.log(false).len(), 2);
}

#[test]
fn disconnect_while_queued() {
    // The engine has a single slot, so the other callers wait in the daemon or
    // in the engine until they disconnect.
    let arguments = ["--tokens-per-s=20", "--slots=1", "--report-lag-ms=0"];
    let fixture = Fixture::start(&plan_with(1, 1, &arguments));
    let mut first = Connection::open(fixture.entry());
    first.send(&fixture.generate_request(&prompt(100, true)));
    first.read_head();
    first.read_until("\"index\":0");
    let waiting: Vec<_> = (0..8)
        .map(|_| {
            let mut connection = Connection::open(fixture.entry());
            connection.send(&fixture.generate_request(&prompt(100, false)));
            connection
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    drop(waiting);
    first.read_until("\"finish\"");
    // The requests of the disconnected callers would take 40 s of the engine's
    // time.
    assert_eq!(fixture.generate(&prompt(2, false)).status, 200);
    let tokens: u64 = fixture
        .log(true)
        .iter()
        .map(|e| e["tokens"].as_u64().unwrap())
        .sum();
    assert!(
        tokens < 200,
        "{tokens} tokens for callers that disconnected"
    );
}

#[test]
fn memory_idle_connections() {
    let mut fixture = Fixture::start(&plan(1, 1));
    let warm: Vec<_> = (0..50).map(|_| Connection::open(fixture.entry())).collect();
    drop(warm);
    let before = fixture.resident_kib();
    let mut idle: Vec<_> = (0..IDLE_CONNECTION_COUNT)
        .map(|_| Connection::open(fixture.entry()))
        .collect();
    for connection in &mut idle {
        connection.send(b"GET /nowhere HTTP/1.1\r\n\r\n");
        assert_eq!(connection.read_answer().unwrap().status, 404);
    }
    let bytes_each = (fixture.resident_kib() - before) * 1024 / IDLE_CONNECTION_COUNT as u64;
    println!("{bytes_each} bytes for each of {IDLE_CONNECTION_COUNT} idle connections");
    assert!(
        bytes_each < IDLE_CONNECTION_BYTES_MAX,
        "{bytes_each} bytes each"
    );
    fixture.assert_healthy();
}

#[test]
fn memory_slow_readers() {
    let arguments = [
        "--tokens-per-s=100000",
        "--slots=256",
        "--report-lag-ms=100",
    ];
    let mut fixture = Fixture::start(&plan_with(1, 1, &arguments));
    assert_eq!(fixture.generate(&prompt(256, true)).status, 200);
    let before = fixture.resident_kib();
    let mut slow: Vec<_> = (0..SLOW_READER_COUNT)
        .map(|_| Connection::open(fixture.entry()))
        .collect();
    for connection in &mut slow {
        connection.send(&fixture.generate_request(&prompt(256, true)));
    }
    for connection in &mut slow {
        connection.wait_first_bytes();
    }
    let bytes_each =
        fixture.resident_kib().saturating_sub(before) * 1024 / SLOW_READER_COUNT as u64;
    println!("{bytes_each} bytes for each of {SLOW_READER_COUNT} slow readers");
    assert!(
        bytes_each < SLOW_READER_BYTES_MAX,
        "{bytes_each} bytes each"
    );
    // A slow reader still gets its complete answer, even if it is a rejection.
    for connection in &mut slow {
        assert!(connection.read_answer().is_some());
    }
    assert_eq!(fixture.generate(&fixture::prompt(2, false)).status, 200);
    fixture.assert_healthy();
}
