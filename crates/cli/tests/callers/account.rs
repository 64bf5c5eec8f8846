//! API keys are checked for each request, can be withdrawn during a stream, and
//! reach no endpoint.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{
    connection::{self, Connection},
    fixture::{self, ACCOUNT, Fixture, plan, plan_with, prompt, wait_until},
};

/// The promised time from the withdrawal of a key to the end of its streams.
/// Without the withdrawal, a stream of 200 tokens at 20 per second takes 10 s.
const WITHDRAWAL_TIME_MAX: Duration = Duration::from_secs(2);

/// Returns the logs of all endpoints as one text. They contain the name and
/// value of every header that an endpoint received.
fn seen_by_endpoints(fixture: &Fixture) -> String {
    let mut entries = fixture.log(true);
    entries.extend(fixture.log(false));
    Value::from(entries).to_string()
}

#[test]
fn key_checked_each_request() {
    let fixture = Fixture::start(&plan(1, 1));
    let valid_request = fixture::request("POST", "/submissions", &fixture.key, "{}");
    let mut connection = Connection::open(fixture.entry());
    connection.send(valid_request.as_bytes());
    assert_eq!(connection.read_answer().unwrap().status, 200);
    for key in ["", "ts-unknown"] {
        connection.send(fixture::request("POST", "/submissions", key, "{}").as_bytes());
        let answer = connection.read_answer().unwrap();
        assert_eq!(answer.status, 401);
        assert_eq!(answer.header("x-request-ran"), Some("not-run"));
    }
    connection.send(b"POST /submissions HTTP/1.1\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(connection.read_answer().unwrap().status, 401);
    connection.send(valid_request.as_bytes());
    assert_eq!(connection.read_answer().unwrap().status, 200);
    fixture.withdraw_key(&fixture.key);
    // The withdrawal also applies to a connection that is already open.
    wait_until("withdrawal in effect", || {
        connection.send(valid_request.as_bytes());
        connection.read_answer().unwrap().status == 401
    });
    let runs_before = fixture.log(false).len();
    connection.send(valid_request.as_bytes());
    assert_eq!(connection.read_answer().unwrap().status, 401);
    assert_eq!(fixture.log(false).len(), runs_before);
}

#[test]
fn key_unseen_by_endpoints() {
    let fixture = Fixture::start(&plan(1, 1));
    let key = &fixture.key;
    let head = format!(
        "host: e\r\nAuthorization: bearer {key}\r\nauthorization: Bearer {key}\r\n\
         cookie: k={key}\r\nproxy-authorization: Bearer {key}\r\nx-api-key: {key}\r\n"
    );
    // A key is stripped from headers that carry credentials. A request with a
    // key anywhere else is rejected.
    let requests_with_misplaced_key = [
        format!("GET /entries/1?a=1&key={key} HTTP/1.1\r\nhost: e\r\n\r\n"),
        format!(
            "GET /entries/1?key=%74s%2D{} HTTP/1.1\r\nhost: e\r\n\r\n",
            &key[3..]
        ),
        format!("GET /entries/{key} HTTP/1.1\r\nhost: e\r\n\r\n"),
        format!("GET /entries/1 HTTP/1.1\r\nx-note: {key}\r\n\r\n"),
        format!("GET /entries/1 HTTP/1.1\r\n{head}\r\n"),
        fixture::request(
            "POST",
            "/submissions",
            key,
            &format!("{{\"note\":\"{key}\"}}"),
        ),
        fixture::request(
            "POST",
            "/v1/models/tasting-notes/generate",
            key,
            &json!({"prompt": key, "max_tokens": 2}).to_string(),
        ),
    ];
    for request in &requests_with_misplaced_key {
        let answer = connection::fetch(fixture.entry(), request.as_bytes()).unwrap();
        assert_eq!(answer.status, 400, "{request}");
        assert_eq!(answer.json()["error"], "key-misplaced");
        assert!(!answer.text().contains(key));
    }
    let valid_request = format!(
        "GET /entries/1?a=1&a=2&a=1 HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {key}\r\n\
         authorization: Basic {key}\r\nproxy-authorization: x\r\nx-api-key: other\r\n\
         connection: x-private\r\nx-private: 1\r\n\r\n"
    );
    let answer = connection::fetch(fixture.entry(), valid_request.as_bytes()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(fixture.generate(&prompt(4, false)).status, 200);
    let seen = seen_by_endpoints(&fixture);
    assert!(!seen.contains(key), "{seen}");
    for name in ["authorization", "x-api-key", "x-private"] {
        assert!(!seen.contains(&format!("\"{name}\"")), "{seen}");
    }
    assert_eq!(fixture.log(false).len(), 1);
}

#[test]
fn key_withdrawn_mid_stream() {
    let mut fixture = Fixture::start(&plan_with(1, 1, &["--tokens-per-s=20"]));
    let other = fixture.issue_key("trois-pommes");
    let mut streams: Vec<Connection> = Vec::new();
    // One stream that gets tokens, then one whose engine falls silent.
    for silent in [false, true] {
        if silent {
            fixture.set_faults(true, &json!({"silent_after": 3}));
        }
        let mut connection = Connection::open(fixture.entry());
        connection.send(&fixture.generate_request(&prompt(200, true)));
        connection.read_head();
        connection.read_until("\"index\":1");
        streams.push(connection);
    }
    fixture.withdraw_key(&fixture.key);
    let start = Instant::now();
    for connection in &mut streams {
        let body = connection
            .read_chunked_body()
            .expect("a body with its last chunk");
        let text = String::from_utf8(body).unwrap();
        assert!(text.contains("\"error\":\"key-withdrawn\""), "{text}");
        assert!(!text.contains("\"finish\""), "{text}");
    }
    assert!(
        start.elapsed() < WITHDRAWAL_TIME_MAX,
        "{:?}",
        start.elapsed()
    );
    fixture.set_faults(true, &json!({"reset": true}));
    wait_until("cancelled at the engine", || {
        fixture
            .log(true)
            .iter()
            .all(|entry| entry["finish"] != "running")
    });
    wait_until("usage billed", || {
        let figures = fixture.reported_figures();
        let of_account = figures.iter().filter(|f| f["account"] == ACCOUNT);
        let requests: u64 = of_account.map(|f| f["requests"].as_u64().unwrap()).sum();
        requests == 2
    });
    fixture.key = other;
    assert_eq!(fixture.generate(&prompt(2, false)).status, 200);
}
