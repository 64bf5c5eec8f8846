//! Tests of the model engine and the weight store.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use link::http::client::Call;
use serde_json::{Value, json};
use tarragonseam_fakes::{
    Config, Handle, blocking,
    engine::{self, Model},
    spawn, text, weights,
};

const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
const WAIT_MAX: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(2);

fn config() -> engine::Config {
    engine::Config {
        models: vec![Model {
            name: "notes".to_owned(),
            version: 1,
        }],
        tokens_per_s: 2000.0,
        first_token_ms: 5,
        load_ms: 5,
        report_lag_ms: 0,
        ..engine::Config::default()
    }
}

fn start(config: engine::Config) -> Handle {
    spawn(Config::Engine(config)).unwrap()
}

fn request(id: &str, max_tokens: u64) -> Value {
    json!({
        "request_id": id, "model": "notes", "prompt": "a dry cider", "max_tokens": max_tokens,
        "priority": 0, "seed": 7, "resume": [],
    })
}

fn with(mut request: Value, name: &str, value: impl Into<Value>) -> Value {
    request[name] = value.into();
    request
}

fn generate(address: SocketAddr, request: &Value) -> blocking::Stream {
    blocking::generate(address, request, SILENCE_TIMEOUT).unwrap()
}

/// Sends a request from another thread, and waits until the engine has it.
fn in_background(address: SocketAddr, request: Value) -> thread::JoinHandle<blocking::Stream> {
    let id = request["request_id"].as_str().unwrap().to_owned();
    let running = thread::spawn(move || generate(address, &request));
    wait("the request", || find_entry(address, &id).is_some());
    running
}

fn expected(from: u64, to: u64) -> Vec<&'static str> {
    let token = |index| text::token("notes", "a dry cider", 7, index);
    (from..to).map(token).collect()
}

fn wait(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_MAX,
            "waited too long for {description}"
        );
        thread::sleep(POLL_PERIOD);
    }
}

fn find_entry(address: SocketAddr, id: &str) -> Option<Value> {
    let log: Value = blocking::get(address, "/v1/log").unwrap();
    let mut entries = log["entries"].as_array().unwrap().iter();
    entries.find(|entry| entry["request_id"] == id).cloned()
}

fn entry(address: SocketAddr, id: &str) -> Value {
    find_entry(address, id).unwrap()
}

/// Waits until the engine has logged tokens of `count` versions for a request.
fn wait_for_spans(address: SocketAddr, id: &str, count: usize) {
    wait("tokens", || {
        entry(address, id)["spans"].as_array().unwrap().len() == count
    });
}

fn cancel(address: SocketAddr, id: &str) -> u16 {
    let body = json!({ "request_id": id });
    blocking::post(address, "/v1/cancel", &body).unwrap().0
}

fn weights(address: SocketAddr, key: &str, epoch: u64, version: u64) -> (u16, Value) {
    let order = json!({"key": key, "epoch": epoch, "model": "notes", "version": version});
    blocking::post(address, "/v1/weights", &order).unwrap()
}

#[test]
fn generate_complete() {
    let engine = start(config());
    let stream = generate(engine.address(), &request("r1", 20));
    assert_eq!(stream.request_id.as_deref(), Some("r1"));
    assert_eq!(stream.tokens(), expected(0, 20));
    let done = json!({"done": true, "request_id": "r1", "tokens": 20, "finish": "length"});
    assert_eq!((stream.done(), stream.failure), (Some(&done), None));
    let entry = entry(engine.address(), "r1");
    assert_eq!(entry["spans"], json!([{"version": 1, "from": 0, "to": 20}]));
    assert_eq!(
        (&entry["tokens"], &entry["finish"]),
        (&json!(20), &json!("length"))
    );
    let headers = entry["headers"].as_array().unwrap();
    assert!(headers.contains(&json!(["x-request-id", "r1"])));
}

#[test]
fn generate_resume_elsewhere() {
    let engine = start(config());
    let resumed = with(request("r1", 20), "resume", expected(0, 12));
    let stream = generate(engine.address(), &resumed);
    assert_eq!(stream.tokens(), expected(12, 20));
    assert_eq!(stream.events[0]["index"], 12);
    assert_eq!(stream.done().unwrap()["tokens"], 20);
}

#[test]
fn generate_natural_length() {
    let engine = start(config());
    let natural = with(request("r1", 100_000), "natural", true);
    let stream = generate(engine.address(), &natural);
    let length = text::natural_length("notes", "a dry cider", 7);
    assert_eq!(stream.tokens().len() as u64, length);
    assert_eq!(stream.done().unwrap()["finish"], "stop");
}

#[test]
fn generate_unknown_model() {
    let engine = start(config());
    let other = with(request("r1", 5), "model", "other");
    assert_eq!(generate(engine.address(), &other).status, 404);
}

#[test]
fn generate_queue_full_and_priority() {
    let engine = start(engine::Config {
        slots: 1,
        queue: 2,
        tokens_per_s: 100.0,
        ..config()
    });
    let address = engine.address();
    // The stream occupies the slot until the queue has been checked.
    let running = in_background(address, request("r1", 100_000));
    let low = in_background(address, request("low", 3));
    let high = in_background(address, with(request("high", 3), "priority", 5));
    assert_eq!(generate(address, &request("r4", 3)).status, 503);
    let load: Value = blocking::get(address, "/v1/load").unwrap();
    assert_eq!(
        (&load["in_flight"], &load["queued"]),
        (&json!(1), &json!(2))
    );
    let started = Instant::now();
    let high = thread::spawn(move || (high.join().unwrap(), started.elapsed()));
    let low = thread::spawn(move || (low.join().unwrap(), started.elapsed()));
    assert_eq!(cancel(address, "r1"), 200);
    let tokens = running.join().unwrap().tokens().len() as u64;
    assert_eq!(entry(address, "r1")["tokens"], tokens);
    assert!(high.join().unwrap().1 < low.join().unwrap().1);
}

#[test]
fn generate_shares_rate() {
    let engine = start(engine::Config {
        tokens_per_s: 200.0,
        ..config()
    });
    let address = engine.address();
    let start = Instant::now();
    let first = in_background(address, request("r1", 40));
    let second = in_background(address, request("r2", 40));
    first.join().unwrap();
    second.join().unwrap();
    // Together 80 tokens at 200 per second; one stream alone takes half as long.
    let elapsed = start.elapsed();
    assert!(elapsed > Duration::from_millis(350), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(900), "{elapsed:?}");
}

#[test]
fn cancel_running_stream() {
    let engine = start(engine::Config {
        tokens_per_s: 50.0,
        ..config()
    });
    let address = engine.address();
    let running = in_background(address, request("r1", 1000));
    assert_eq!(cancel(address, "r1"), 200);
    let stream = running.join().unwrap();
    assert_eq!(
        stream.events.last().unwrap(),
        &json!({"error": "cancelled"})
    );
    assert_eq!(entry(address, "r1")["finish"], "cancelled");
}

#[test]
fn cache_first_token_and_events() {
    let engine = start(engine::Config {
        first_token_ms: 300,
        cache_prefixes: 1,
        ..config()
    });
    let address = engine.address();
    let time = |prompt: &str| {
        let start = Instant::now();
        generate(address, &with(request("r", 1), "prompt", prompt));
        start.elapsed()
    };
    let (cold, warm) = (time("one"), time("one"));
    assert!(cold >= Duration::from_millis(300) && warm < Duration::from_millis(250));
    time("two");
    thread::sleep(Duration::from_millis(10));
    let events: Value = blocking::get(address, "/v1/cache-events?after=0").unwrap();
    let next = events["next"].as_u64().unwrap();
    assert_eq!(next, 3);
    let evicted = json!({"seq": 2, "kind": "evicted", "prefix": text::prefix("one")});
    assert!(
        events["events"].as_array().unwrap().contains(&evicted),
        "{events}"
    );
    let later: Value = blocking::get(address, "/v1/cache-events?after=3").unwrap();
    assert_eq!(later, json!({"next": 3, "events": []}));
}

#[test]
fn load_report_lag() {
    let engine = start(engine::Config {
        report_lag_ms: 400,
        ..config()
    });
    let address = engine.address();
    weights(address, "k1", 1, 2);
    let version = || -> Value {
        let load: Value = blocking::get(address, "/v1/load").unwrap();
        assert!(load["age_ms"].as_u64().unwrap() < 600);
        load["versions"]["notes"].clone()
    };
    assert_eq!(version(), 1);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(version(), 2);
}

#[test]
fn weights_mid_stream() {
    let engine = start(engine::Config {
        tokens_per_s: 100.0,
        ..config()
    });
    let address = engine.address();
    // The stream does not end before the test has changed the weights.
    let running = in_background(address, request("r1", 100_000));
    wait_for_spans(address, "r1", 1);
    assert_eq!(weights(address, "k1", 1, 2), (200, json!({"version": 2})));
    wait_for_spans(address, "r1", 2);
    assert_eq!(cancel(address, "r1"), 200);
    let stream = running.join().unwrap();
    let entry = entry(address, "r1");
    let count = entry["tokens"].as_u64().unwrap();
    assert_eq!(stream.tokens(), expected(0, count));
    let spans = entry["spans"].as_array().unwrap();
    assert_eq!(spans.len(), 2, "{entry}");
    assert_eq!(spans[1]["to"], count);
    assert_eq!(
        (&spans[0]["version"], &spans[1]["version"]),
        (&json!(1), &json!(2))
    );
    let split = spans[0]["to"].as_u64().unwrap() as usize;
    assert_eq!(stream.events[split - 1]["version"], 1);
    assert_eq!(stream.events[split]["version"], 2);
}

#[test]
fn weights_stale_epoch() {
    let checking = start(engine::Config {
        checks_epoch: true,
        ..config()
    });
    let address = checking.address();
    assert_eq!(weights(address, "k1", 5, 2).0, 200);
    assert_eq!(weights(address, "k2", 4, 3).0, 409);
    assert_eq!(weights(address, "k1", 4, 2).0, 200);
    let ignoring = start(config());
    assert_eq!(weights(ignoring.address(), "k1", 5, 2).0, 200);
    assert_eq!(weights(ignoring.address(), "k2", 4, 3).0, 200);
}

#[test]
fn weights_swap_failure() {
    let engine = start(config());
    let address = engine.address();
    engine.set_faults(&json!({"swap_fail": 1.0})).unwrap();
    let (status, answer) = weights(address, "k1", 1, 2);
    assert_eq!((status, &answer["error"]), (500, &json!("swap-failed")));
    let load: Value = blocking::get(address, "/v1/load").unwrap();
    assert_eq!(load["versions"], json!({"notes": 1}));
    engine.set_faults(&json!({"swap_fail": 0.0})).unwrap();
    assert_eq!(weights(address, "k1", 1, 2).0, 200);
}

#[test]
fn weights_store_rate_limit() {
    let store = spawn(Config::Weights(weights::Config {
        transfer_ms: 150,
        concurrent: 1,
        rate_per_s: 8,
        ..weights::Config::default()
    }))
    .unwrap();
    let engine = start(engine::Config {
        weight_store: Some(store.address()),
        ..config()
    });
    let start = Instant::now();
    assert_eq!(weights(engine.address(), "k1", 1, 2).0, 200);
    assert!(start.elapsed() >= Duration::from_millis(150));
    let store = store.address();
    let get = move || {
        let fetched = blocking::fetch(store, Call::get("/v1/weights/notes/3")).unwrap();
        (
            fetched.status.as_u16(),
            fetched.headers.contains_key("retry-after"),
        )
    };
    let start = Instant::now();
    let running: Vec<_> = (0..6).map(|_| thread::spawn(get)).collect();
    let answers: Vec<_> = running.into_iter().map(|get| get.join().unwrap()).collect();
    let started_transfers = answers
        .iter()
        .filter(|answer| **answer == (200, false))
        .count();
    assert!((1..=3).contains(&started_transfers), "{answers:?}");
    assert!(answers.contains(&(429, true)), "{answers:?}");
    assert!(start.elapsed() >= Duration::from_millis(150 * started_transfers as u64));
}

#[test]
fn adapter_and_role() {
    let engine = start(config());
    let address = engine.address();
    let adapter = json!({"key": "a", "epoch": 1, "model": "notes", "adapter": "x"});
    let answer = blocking::post(address, "/v1/adapters", &adapter).unwrap();
    assert_eq!(answer, (200, json!({"adapter": "x"})));
    let role = json!({"key": "b", "epoch": 1, "role": "prefill"});
    let answer = blocking::post(address, "/v1/role", &role).unwrap();
    assert_eq!(answer, (200, json!({"role": "prefill"})));
    let log: Value = blocking::get(address, "/v1/log").unwrap();
    assert_eq!(log["orders"].as_array().unwrap().len(), 4);
}
