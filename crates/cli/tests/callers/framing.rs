//! Malformed and hostile requests get a 4xx answer with a JSON body, or a clean
//! close.

use std::time::Duration;

use super::{
    connection::{self, Connection},
    fixture::{self, Fixture, plan},
};

const OVERSIZED_BODY_BYTES: usize = 3 * 1024 * 1024;
/// Far below the time limit for a head.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);
const ENDLESS_HEAD_BYTES: usize = 64 * 1024 * 1024;
/// Growth of the daemon's memory that one hostile connection may cause.
const GROWTH_KIB_MAX: u64 = 8 * 1024;

/// Returns malformed requests, each with a description and the status of the
/// answer.
fn malformed_requests(key: &str) -> Vec<(&'static str, Vec<u8>, u16)> {
    let model = "/v1/models/tasting-notes/generate";
    let with = |head: &str, body: &str| {
        format!("{head}\r\nhost: e\r\nauthorization: Bearer {key}\r\n{body}").into_bytes()
    };
    let post = |headers_and_body: &str| with(&format!("POST {model} HTTP/1.1"), headers_and_body);
    let get = |headers_and_body: &str| with("GET /entries/1 HTTP/1.1", headers_and_body);
    let name = "n".repeat(70_000);
    let many_headers = (0..97).fold(String::new(), |headers, n| format!("{headers}h{n}: 1\r\n"));
    let chunk = "transfer-encoding: chunked\r\n\r\n";
    vec![
        (
            "name of 70,000 bytes",
            get(&format!("{name}: 1\r\n\r\n")),
            431,
        ),
        ("97 more headers", get(&format!("{many_headers}\r\n")), 400),
        (
            "length and chunked",
            post("content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            400,
        ),
        (
            "two lengths",
            post("content-length: 3\r\ncontent-length: 5\r\n\r\n12345"),
            400,
        ),
        ("signed length", post("content-length: +3\r\n\r\n123"), 400),
        (
            "unsupported transfer coding",
            post("transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
            400,
        ),
        (
            "trailers",
            post(&format!("{chunk}2\r\n{{}}\r\n0\r\nx: 1\r\n\r\n")),
            400,
        ),
        (
            "chunk extension",
            post(&format!("{chunk}2;x=1\r\n{{}}\r\n0\r\n\r\n")),
            400,
        ),
        (
            "chunk size overflow",
            post(&format!("{chunk}fffffffffffffffff\r\n")),
            400,
        ),
        (
            "chunk size of 2^64 - 1",
            post(&format!("{chunk}ffffffffffffffff\r\n")),
            400,
        ),
        ("no chunk size", post(&format!("{chunk}zz\r\n")), 400),
        (
            "space in the target",
            with("GET /a b HTTP/1.1", "\r\n"),
            400,
        ),
        ("blank in a name", get("x y: 1\r\n\r\n"), 400),
        (
            "line feed before a name",
            get("content-length: 0\r\n\nx: 1\r\n\r\n"),
            400,
        ),
        ("line feed after a value", get("x: 1\ny: 2\r\n\r\n"), 400),
        (
            "not HTTP",
            b"\x16\x03\x01\x02\x00\x01\r\n\r\n".to_vec(),
            400,
        ),
        (
            "malformed JSON",
            post("content-length: 4\r\n\r\n{\"a\""),
            400,
        ),
        (
            "JSON of the wrong type",
            post("content-length: 2\r\n\r\n[]"),
            400,
        ),
        ("unknown path", with("GET /nowhere HTTP/1.1", "\r\n"), 404),
        (
            "unknown call",
            with("GET /v1/nowhere HTTP/1.1", "\r\n"),
            404,
        ),
        (
            "unknown model",
            with(
                "POST /v1/models/x/generate HTTP/1.1",
                "content-length: 2\r\n\r\n{}",
            ),
            404,
        ),
        (
            "wrong method",
            with(&format!("GET {model} HTTP/1.1"), "\r\n"),
            404,
        ),
    ]
}

#[test]
fn request_malformed() {
    let mut fixture = Fixture::start(&plan(1, 1));
    for (case, bytes, status) in malformed_requests(&fixture.key) {
        let answer = connection::fetch(fixture.entry(), &bytes)
            .unwrap_or_else(|| panic!("{case}: no answer"));
        assert_eq!(answer.status, status, "{case}: {}", answer.text());
        assert!(answer.json()["error"].is_string(), "{case}");
    }
    fixture.assert_healthy();
}

#[test]
fn request_body_too_large() {
    let mut fixture = Fixture::start(&plan(1, 1));
    let with_length = fixture::request(
        "POST",
        "/submissions",
        &fixture.key,
        &"x".repeat(OVERSIZED_BODY_BYTES),
    );
    let chunked = format!(
        "POST /submissions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {}\r\n\
         transfer-encoding: chunked\r\n\r\n{OVERSIZED_BODY_BYTES:x}\r\n{}\r\n0\r\n\r\n",
        fixture.key,
        "x".repeat(OVERSIZED_BODY_BYTES)
    );
    for bytes in [with_length, chunked] {
        let mut connection = Connection::open(fixture.entry());
        let length = bytes.len();
        let sent = connection.send_in_background(bytes.into_bytes());
        // The caller sends the entire request before it reads, as simple
        // clients do.
        assert_eq!(sent.join().unwrap(), length, "the connection broke");
        let answer = connection.read_answer().expect("an answer");
        assert_eq!(answer.status, 413);
        assert_eq!(answer.json()["error"], "body-too-large");
    }
    assert!(fixture.log(false).is_empty());
    fixture.assert_healthy();
}

#[test]
fn request_head_endless() {
    let mut fixture = Fixture::start(&plan(1, 1));
    let before = fixture.resident_kib();
    let mut connection = Connection::open(fixture.entry());
    let mut bytes = b"GET /entries/1 HTTP/1.1\r\nx: ".to_vec();
    bytes.resize(ENDLESS_HEAD_BYTES, b'x');
    let sent = connection.send_in_background(bytes);
    let answer = connection.read_answer().expect("an answer");
    assert_eq!(answer.status, 431);
    assert!(
        sent.join().unwrap() < ENDLESS_HEAD_BYTES,
        "the daemon read the entire head"
    );
    let grown = fixture.resident_kib().saturating_sub(before);
    assert!(grown < GROWTH_KIB_MAX, "grew by {grown} KiB");
    fixture.assert_healthy();
}

#[test]
fn request_head_slow() {
    let mut fixture = Fixture::start(&plan(1, 1));
    let mut connection = Connection::open(fixture.entry());
    connection.send(b"GET /entries/1 HTTP/1.1\r\n");
    std::thread::sleep(Duration::from_secs(1));
    connection.send(b"host: e\r\n");
    let answer = connection.read_answer().expect("an answer");
    assert_eq!(answer.status, 408);
    let body = format!(
        "POST /submissions HTTP/1.1\r\nauthorization: Bearer {}\r\n",
        fixture.key
    );
    let mut connection = Connection::open(fixture.entry());
    connection.send(format!("{body}content-length: 10\r\n\r\n12345").as_bytes());
    let answer = connection.read_answer().expect("an answer");
    assert_eq!(answer.status, 408);
    assert!(fixture.log(false).is_empty());
    fixture.assert_healthy();
}

/// A client that sends one byte at a time does not extend the time limit for a
/// head or a body.
#[test]
fn request_trickled() {
    let mut fixture = Fixture::start(&plan(1, 1));
    let post = format!(
        "POST /submissions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {}\r\n",
        fixture.key
    );
    let starts = [
        ("head", format!("{post}x: "), "head-too-slow"),
        (
            "body",
            format!("{post}content-length: 100000\r\n\r\n"),
            "body-too-slow",
        ),
        (
            "chunk",
            format!("{post}transfer-encoding: chunked\r\n\r\nfffff\r\n"),
            "body-too-slow",
        ),
    ];
    let callers = starts.map(|(case, start, code)| {
        let mut connection = Connection::open(fixture.entry());
        connection.send(start.as_bytes());
        let sending = connection.send_slowly(TRICKLE_PAUSE);
        (case, connection, sending, code)
    });
    for (case, mut connection, sending, code) in callers {
        let answer = connection
            .read_answer()
            .unwrap_or_else(|| panic!("{case}: no answer"));
        assert_eq!(answer.status, 408, "{case}: {}", answer.text());
        assert_eq!(answer.json()["error"], code, "{case}");
        // The daemon closes the connection while bytes are still arriving.
        sending.join().unwrap();
    }
    assert!(fixture.log(false).is_empty());
    fixture.assert_healthy();
}

#[test]
fn request_pipelined() {
    let fixture = Fixture::start(&plan(1, 1));
    let mut connection = Connection::open(fixture.entry());
    let get_entry = |n: u32| format!("GET /entries/{n} HTTP/1.1\r\nhost: e\r\n\r\n");
    let post = fixture::request("POST", "/submissions/4", &fixture.key, "{}");
    let pipeline = format!(
        "{}{}{}{post}{}",
        get_entry(1),
        get_entry(2),
        get_entry(3),
        get_entry(5)
    );
    connection.send(pipeline.as_bytes());
    for path in [
        "/entries/1",
        "/entries/2",
        "/entries/3",
        "/submissions/4",
        "/entries/5",
    ] {
        let answer = connection.read_answer().expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["path"], path);
    }
}

#[test]
fn request_versions_and_expect() {
    let fixture = Fixture::start(&plan(1, 1));
    let mut http_1_0 = Connection::open(fixture.entry());
    http_1_0.send(b"GET /entries/1 HTTP/1.0\r\n\r\n");
    assert_eq!(http_1_0.read_answer().unwrap().status, 200);
    assert!(http_1_0.is_closed());
    let mut head = Connection::open(fixture.entry());
    head.send(b"HEAD /entries/1 HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n");
    assert!(head.read_head().starts_with("HTTP/1.1 200"));
    assert!(head.is_closed());
    let mut connection = Connection::open(fixture.entry());
    let request = format!(
        "POST /submissions HTTP/1.1\r\nauthorization: Bearer {}\r\nexpect: 100-continue\r\n\
         content-length: 2\r\n\r\n",
        fixture.key
    );
    connection.send(request.as_bytes());
    assert!(connection.read_head().starts_with("HTTP/1.1 100"));
    connection.send(b"{}");
    assert_eq!(connection.read_answer().unwrap().status, 200);
}

#[test]
fn connection_reused_after_error() {
    let fixture = Fixture::start(&plan(1, 1));
    let mut connection = Connection::open(fixture.entry());
    connection.send(b"GET /nowhere HTTP/1.1\r\n\r\n");
    assert_eq!(connection.read_answer().unwrap().status, 404);
    connection.send(b"GET /entries/1 HTTP/1.1\r\n\r\n");
    assert_eq!(connection.read_answer().unwrap().status, 200);
}
