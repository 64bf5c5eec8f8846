//! Tests of the fault switches, on the fakes that they apply to.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use link::http::{
    client::{Call, Fetched},
    error::Kind,
};
use serde_json::{Value, json};
use tarragonseam_fakes::{
    Config, Error, Handle, blocking,
    engine::{self, Model},
    platform, scorer, service, spawn,
};

const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const WAIT_MAX: Duration = Duration::from_secs(20);

fn start_service() -> Handle {
    spawn(Config::Service(service::Config::default())).unwrap()
}

fn start_engine() -> Handle {
    let config = engine::Config {
        models: vec![Model {
            name: "notes".to_owned(),
            version: 1,
        }],
        first_token_ms: 1,
        slots: 1,
        ..engine::Config::default()
    };
    spawn(Config::Engine(config)).unwrap()
}

fn call(id: &str) -> Call {
    Call::get(format!("/entry/{id}"))
        .header("x-request-id", id)
        .deadline(CALL_TIMEOUT)
}

fn fetch(address: SocketAddr, id: &str) -> Result<Fetched, Kind> {
    blocking::fetch(address, call(id)).map_err(|e| match e {
        Error::Call(e) => e.kind(),
        other => panic!("{other}"),
    })
}

fn status(address: SocketAddr, id: &str) -> Result<u16, Kind> {
    fetch(address, id).map(|fetched| fetched.status.as_u16())
}

fn stream(address: SocketAddr, tokens: u64) -> blocking::Stream {
    let request = json!({
        "request_id": "r1", "model": "notes", "prompt": "p", "max_tokens": tokens, "seed": 1,
    });
    blocking::generate(address, &request, CALL_TIMEOUT).unwrap()
}

fn runs(address: SocketAddr) -> usize {
    let log: Value = blocking::get(address, "/v1/log").unwrap();
    log["entries"].as_array().unwrap().len()
}

#[test]
fn service_answer_and_log() {
    let service = start_service();
    let fetched = fetch(service.address(), "r1").unwrap();
    assert_eq!(fetched.headers["x-request-id"], "r1");
    let body: Value = serde_json::from_slice(&fetched.body).unwrap();
    let expected = json!({
        "service": "registry", "endpoint": "s1", "path": "/entry/r1", "method": "GET", "run": 1,
    });
    assert_eq!(body, expected);
    let log: Value = blocking::get(service.address(), "/v1/log").unwrap();
    assert_eq!(log["entries"][0]["request_id"], "r1");
    let load: Value = blocking::get(service.address(), "/v1/load").unwrap();
    assert_eq!((&load["slots"], &load["in_flight"]), (&json!(8), &json!(0)));
}

#[test]
fn scorer_same_key() {
    let scorer = spawn(Config::Scorer(scorer::Config::default())).unwrap();
    let sample = json!({"key": "k1", "prompt": "p", "tokens": ["a"]});
    let first = blocking::post(scorer.address(), "/v1/score", &sample).unwrap();
    assert_eq!(
        first,
        (200, json!({"key": "k1", "score": scorer::score("k1")}))
    );
    assert_eq!(
        blocking::post(scorer.address(), "/v1/score", &sample).unwrap(),
        first
    );
}

#[test]
fn switch_unknown_and_reset() {
    let service = start_service();
    let address = service.address();
    assert_eq!(
        blocking::post(address, "/fault", &json!({"nonsense": 1}))
            .unwrap()
            .0,
        400
    );
    let (_, switches) = blocking::post(address, "/fault", &json!({"latency_ms": 7})).unwrap();
    assert_eq!(switches["latency_ms"], 7);
    let (_, switches) = blocking::post(address, "/fault", &json!({"outage": true})).unwrap();
    assert_eq!(switches["latency_ms"], 7);
    let (_, switches) = blocking::post(address, "/fault", &json!({"reset": true})).unwrap();
    assert_eq!(
        (&switches["latency_ms"], &switches["outage"]),
        (&json!(0), &json!(false))
    );
}

#[test]
fn outage_and_error_rate() {
    let service = start_service();
    service.set_faults(&json!({"outage": true})).unwrap();
    assert_eq!(status(service.address(), "r1"), Ok(503));
    service
        .set_faults(&json!({"outage": false, "error_rate": 1.0}))
        .unwrap();
    assert_eq!(status(service.address(), "r2"), Ok(500));
    service.set_faults(&json!({"reset": true})).unwrap();
    assert_eq!(
        (status(service.address(), "r3"), runs(service.address())),
        (Ok(200), 1)
    );
}

#[test]
fn latency_and_late() {
    let service = start_service();
    service
        .set_faults(&json!({"latency_ms": 60, "late_ms": 60}))
        .unwrap();
    let start = Instant::now();
    assert_eq!(status(service.address(), "r1"), Ok(200));
    assert!(start.elapsed() >= Duration::from_millis(120));
}

#[test]
fn refuse_and_reset() {
    let service = start_service();
    service.set_faults(&json!({"refuse": true})).unwrap();
    assert!(status(service.address(), "r1").is_err());
    service.set_faults(&json!({"reset": true})).unwrap();
    assert_eq!(status(service.address(), "r1"), Ok(200));
}

#[test]
fn mute_and_reset() {
    let service = start_service();
    service.set_faults(&json!({"mute": true})).unwrap();
    assert_eq!(status(service.address(), "r1"), Err(Kind::Timeout));
    service.set_faults(&json!({"reset": true})).unwrap();
    assert_eq!(
        (status(service.address(), "r2"), runs(service.address())),
        (Ok(200), 1)
    );
}

#[test]
fn lost_reply_call_is_executed() {
    let service = start_service();
    service.set_faults(&json!({"lost_reply": 1.0})).unwrap();
    assert_eq!(status(service.address(), "r1"), Err(Kind::Incomplete));
    service.set_faults(&json!({"reset": true})).unwrap();
    assert_eq!(runs(service.address()), 1);
}

#[test]
fn outage_after_lost_reply_of_executed_call() {
    let service = start_service();
    let address = service.address();
    let switches = json!({
        "lost_reply": 1.0,
        "lost_reply_of": "GET /entry",
        "outage_after_lost_reply": true,
    });
    service.set_faults(&switches).unwrap();
    assert_eq!(status(address, "r1"), Err(Kind::Incomplete));
    assert_eq!(status(address, "r2"), Ok(503));
    service.set_faults(&json!({"reset": true})).unwrap();
    assert_eq!(runs(address), 1);
}

#[test]
fn transit_call_is_executed_later() {
    let service = start_service();
    let switches = json!({"lost_reply": 1.0, "transit_ms": 200});
    service.set_faults(&switches).unwrap();
    let start = Instant::now();
    assert_eq!(status(service.address(), "r1"), Err(Kind::Incomplete));
    service.set_faults(&json!({"reset": true})).unwrap();
    while runs(service.address()) == 0 {
        assert!(start.elapsed() < WAIT_MAX, "the call is not executed");
        thread::sleep(Duration::from_millis(5));
    }
    assert!(start.elapsed() >= Duration::from_millis(200));
    assert_eq!(runs(service.address()), 1);
}

#[test]
fn outage_of_some_calls() {
    let service = start_service();
    let switches = json!({"outage": true, "outage_of": "GET /entry/r1"});
    service.set_faults(&switches).unwrap();
    let statuses = ["r1", "r2"].map(|id| status(service.address(), id));
    assert_eq!(statuses, [Ok(503), Ok(200)]);
}

#[test]
fn cut_by_vm() {
    let platform = spawn(Config::Platform(platform::Config::default())).unwrap();
    platform.set_faults(&json!({"cut": ["v1"]})).unwrap();
    let get = |vm: &str| {
        let call = Call::get("/v1/vms")
            .header("x-vm", vm)
            .deadline(CALL_TIMEOUT);
        blocking::fetch(platform.address(), call).is_ok()
    };
    assert!(!get("v1"));
    assert!(get("v2"));
    let stats: Value = blocking::get(platform.address(), "/stats").unwrap();
    assert_eq!(stats["by_vm"]["v2"]["GET /v1/vms"], 1);
    assert_eq!(stats["calls"]["GET /v1/vms"], 2);
}

#[test]
fn service_truncate_and_wrong_id() {
    let service = start_service();
    service.set_faults(&json!({"truncate": 1.0})).unwrap();
    assert_eq!(status(service.address(), "r1"), Err(Kind::Incomplete));
    service
        .set_faults(&json!({"truncate": 0.0, "wrong_id": 1.0}))
        .unwrap();
    let fetched = fetch(service.address(), "r2").unwrap();
    assert_eq!(fetched.headers["x-request-id"], "foreign-r2");
}

#[test]
fn service_replies_swapped() {
    let service = start_service();
    service.set_faults(&json!({"cross": true})).unwrap();
    let address = service.address();
    let first = thread::spawn(move || fetch(address, "r1").unwrap());
    let second = fetch(address, "r2").unwrap();
    assert_eq!(second.headers["x-request-id"], "r1");
    assert_eq!(first.join().unwrap().headers["x-request-id"], "r2");
}

#[test]
fn engine_truncate() {
    let engine = start_engine();
    engine.set_faults(&json!({"truncate": 1.0})).unwrap();
    let mut failures = Vec::new();
    for _ in 0..12 {
        let stream = stream(engine.address(), 5);
        assert!(stream.tokens().len() < 5 && stream.done().is_none());
        failures.push(stream.failure);
    }
    assert!(failures.contains(&None), "{failures:?}");
    assert!(failures.contains(&Some(Kind::Incomplete)), "{failures:?}");
}

#[test]
fn engine_silent_after() {
    let engine = start_engine();
    let address = engine.address();
    engine.set_faults(&json!({"silent_after": 3})).unwrap();
    let silent = stream(address, 10);
    assert_eq!(
        (silent.tokens().len(), silent.failure),
        (3, Some(Kind::Timeout))
    );
    let short = stream(address, 2);
    assert_eq!((short.tokens().len(), short.failure), (2, None));
}

#[test]
fn engine_mute_mid_stream() {
    let engine = start_engine();
    let address = engine.address();
    let running = thread::spawn(move || stream(address, 1000));
    thread::sleep(Duration::from_millis(100));
    engine.set_faults(&json!({"mute": true})).unwrap();
    let muted = running.join().unwrap();
    assert!(!muted.tokens().is_empty());
    assert_eq!(muted.failure, Some(Kind::Timeout));
    engine.set_faults(&json!({"mute": false})).unwrap();
    assert_eq!(stream(address, 3).tokens().len(), 3);
}

#[test]
fn watch_outage() {
    let platform = spawn(Config::Platform(platform::Config::default())).unwrap();
    let address = platform.address();
    let watch =
        move || blocking::fetch(address, Call::get("/v1/watch/key?after=0&wait_ms=8000")).unwrap();
    let waiting = thread::spawn(watch);
    thread::sleep(Duration::from_millis(50));
    platform.set_faults(&json!({"outage": true})).unwrap();
    assert_eq!(waiting.join().unwrap().status, 503);
}

#[test]
fn engine_wrong_id() {
    let engine = start_engine();
    engine.set_faults(&json!({"wrong_id": 1.0})).unwrap();
    let stream = stream(engine.address(), 2);
    assert_eq!(stream.request_id.as_deref(), Some("foreign-r1"));
    assert_eq!(stream.done().unwrap()["request_id"], "foreign-r1");
}

#[test]
fn engine_gone_mid_stream() {
    let engine = start_engine();
    let address = engine.address();
    let running = thread::spawn(move || stream(address, 1000));
    thread::sleep(Duration::from_millis(100));
    engine.set_faults(&json!({"gone": true})).unwrap();
    assert_eq!(running.join().unwrap().failure, Some(Kind::Incomplete));
    assert!(blocking::fetch(address, Call::get("/health")).is_err());
    engine.set_faults(&json!({"gone": false})).unwrap();
    assert_eq!(stream(address, 3).tokens().len(), 3);
}

#[test]
fn engine_crash_mid_stream() {
    let engine = start_engine();
    let address = engine.address();
    let running = thread::spawn(move || stream(address, 1000));
    thread::sleep(Duration::from_millis(100));
    assert!(engine.set_faults(&json!({"crash": true})).is_err());
    assert_eq!(running.join().unwrap().failure, Some(Kind::Incomplete));
    assert!(blocking::fetch(address, Call::get("/health").deadline(CALL_TIMEOUT)).is_err());
}
