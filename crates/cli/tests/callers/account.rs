//! Keys: who a request runs for, and what no endpoint may see.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{
    raw::{self, Raw},
    world::{self, ACCOUNT, World, plan, plan_with, prompt, within},
};

/// The promised time from a withdrawal to the end of a stream. A stream that
/// lasts until the tests' own patience ends would take ten times as long.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(2);

/// Returns every name and value that endpoints saw, as one text.
fn seen(world: &World) -> String {
    let mut entries = world.log(true);
    entries.extend(world.log(false));
    Value::from(entries).to_string()
}

#[test]
fn key_checked_each_request() {
    let world = World::start(&plan(1, 1));
    let good = world::request("POST", "/submissions", &world.key, "{}");
    let mut raw = Raw::open(world.entry());
    raw.send(good.as_bytes());
    assert_eq!(raw.answer().unwrap().status, 200);
    for key in ["", "ts-unknown"] {
        raw.send(world::request("POST", "/submissions", key, "{}").as_bytes());
        let answer = raw.answer().unwrap();
        assert_eq!(answer.status, 401);
        assert_eq!(answer.header("x-request-ran"), Some("not-run"));
    }
    raw.send(b"POST /submissions HTTP/1.1\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(raw.answer().unwrap().status, 401);
    raw.send(good.as_bytes());
    assert_eq!(raw.answer().unwrap().status, 200);
    world.withdraw(&world.key);
    // The same connection, which was good a moment ago.
    within("withdrawal in force", || {
        raw.send(good.as_bytes());
        raw.answer().unwrap().status == 401
    });
    let ran = world.log(false).len();
    raw.send(good.as_bytes());
    assert_eq!(raw.answer().unwrap().status, 401);
    assert_eq!(world.log(false).len(), ran);
}

#[test]
fn key_unseen_by_endpoints() {
    let world = World::start(&plan(1, 1));
    let key = &world.key;
    let head = format!(
        "host: e\r\nAuthorization: bearer {key}\r\nauthorization: Bearer {key}\r\n\
         cookie: k={key}\r\nproxy-authorization: Bearer {key}\r\nx-api-key: {key}\r\n"
    );
    // Stripped where the header is for keys, refused where it is for anything.
    let misplaced = [
        format!("GET /entries/1?a=1&key={key} HTTP/1.1\r\nhost: e\r\n\r\n"),
        format!(
            "GET /entries/1?key=%74s%2D{} HTTP/1.1\r\nhost: e\r\n\r\n",
            &key[3..]
        ),
        format!("GET /entries/{key} HTTP/1.1\r\nhost: e\r\n\r\n"),
        format!("GET /entries/1 HTTP/1.1\r\nx-note: {key}\r\n\r\n"),
        format!("GET /entries/1 HTTP/1.1\r\n{head}\r\n"),
        world::request(
            "POST",
            "/submissions",
            key,
            &format!("{{\"note\":\"{key}\"}}"),
        ),
        world::request(
            "POST",
            "/v1/models/tasting-notes/generate",
            key,
            &json!({"prompt": key, "max_tokens": 2}).to_string(),
        ),
    ];
    for request in &misplaced {
        let answer = raw::ask(world.entry(), request.as_bytes()).unwrap();
        assert_eq!(answer.status, 400, "{request}");
        assert_eq!(answer.json()["error"], "key-misplaced");
        assert!(!answer.text().contains(key));
    }
    let good = format!(
        "GET /entries/1?a=1&a=2&a=1 HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {key}\r\n\
         authorization: Basic {key}\r\nproxy-authorization: x\r\nx-api-key: other\r\n\
         connection: x-private\r\nx-private: 1\r\n\r\n"
    );
    let answer = raw::ask(world.entry(), good.as_bytes()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(world.ask_model(&prompt(4, false)).status, 200);
    let seen = seen(&world);
    assert!(!seen.contains(key), "{seen}");
    for name in ["authorization", "x-api-key", "x-private"] {
        assert!(!seen.contains(&format!("\"{name}\"")), "{seen}");
    }
    assert_eq!(world.log(false).len(), 1);
}

#[test]
fn key_withdrawn_mid_stream() {
    let mut world = World::start(&plan_with(1, 1, &["--tokens-per-s=20"]));
    let other = world.issue("trois-pommes");
    let mut streams: Vec<Raw> = Vec::new();
    // One that gets tokens, then one whose engine is silent.
    for silent in [false, true] {
        if silent {
            world.fault(true, &json!({"silent_after": 3}));
        }
        let mut raw = Raw::open(world.entry());
        raw.send(&world.generate(&prompt(200, true)));
        raw.head();
        raw.until("\"index\":1");
        streams.push(raw);
    }
    world.withdraw(&world.key);
    let start = Instant::now();
    for raw in &mut streams {
        let body = raw.chunks().expect("a body with its end mark");
        let text = String::from_utf8(body).unwrap();
        assert!(text.contains("\"error\":\"key-withdrawn\""), "{text}");
        assert!(!text.contains("\"finish\""), "{text}");
    }
    assert!(start.elapsed() < WITHDRAWN_WITHIN, "{:?}", start.elapsed());
    world.fault(true, &json!({"reset": true}));
    within("cancelled at the engine", || {
        world
            .log(true)
            .iter()
            .all(|entry| entry["finish"] != "running")
    });
    within("usage billed", || {
        let figures = world.usage();
        let mine = figures.iter().filter(|f| f["account"] == ACCOUNT);
        let requests: u64 = mine.map(|f| f["requests"].as_u64().unwrap()).sum();
        requests == 2
    });
    world.key = other;
    assert_eq!(world.ask_model(&prompt(2, false)).status, 200);
}
