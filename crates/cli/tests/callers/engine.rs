//! An engine that loses a reply. The test writes its answers as raw bytes.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use serde_json::{Value, json};

use super::fixture::{Fixture, MODEL, plan, prompt, wait_until};

/// What the engine does with requests for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// It generates one token.
    Serve,
    /// It runs the next request on a connection that was used before, closes the
    /// connection without an answer, and is full from then on.
    LoseNextReply,
    /// It rejects the request.
    Full,
}

struct State {
    mode: Mode,
    /// The id of the request whose reply was lost.
    lost: Option<String>,
    /// The ids of cancelled requests.
    cancelled: Vec<String>,
}

type SharedState = Arc<Mutex<State>>;

/// Replaces the process of the fake engine by a listener in the test.
fn replace_engine(fixture: &mut Fixture) -> SharedState {
    let mut endpoints = fixture.deployment.endpoints.iter_mut();
    let endpoint = endpoints.find(|endpoint| endpoint.plan.is_engine).unwrap();
    endpoint.process.kill();
    let state = Arc::new(Mutex::new(State {
        mode: Mode::Serve,
        lost: None,
        cancelled: Vec::new(),
    }));
    listen(endpoint.address, state.clone());
    state
}

fn listen(address: SocketAddr, state: SharedState) {
    let listener = TcpListener::bind(address).unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let state = state.clone();
            thread::spawn(move || serve(&stream.unwrap(), &state));
        }
    });
}

/// Answers the requests on one connection.
fn serve(mut stream: &TcpStream, state: &SharedState) {
    let mut reader = BufReader::new(stream);
    let mut has_served = false;
    while let Some((path, id, body)) = read_request(&mut reader) {
        let answer = match path.as_str() {
            "/v1/load" => {
                let load = json!({
                    "in_flight": 0, "queued": 0, "slots": 8, "versions": {MODEL: 1}, "age_ms": 0,
                });
                answer("200 OK", "", &load.to_string())
            }
            "/v1/generate" => {
                let mut state = state.lock().unwrap();
                match state.mode {
                    Mode::LoseNextReply if has_served => {
                        state.mode = Mode::Full;
                        state.lost = Some(id);
                        return;
                    }
                    Mode::Full => {
                        let headers = format!("x-request-id: {id}\r\nretry-after: 1\r\n");
                        answer("503 Service Unavailable", &headers, "")
                    }
                    _ => {
                        has_served = true;
                        let headers = format!("x-request-id: {id}\r\n");
                        answer("200 OK", &headers, &one_token(&id))
                    }
                }
            }
            "/v1/cancel" => {
                let request: Value = serde_json::from_slice(&body).unwrap();
                let id = request["request_id"].as_str().unwrap().to_string();
                state.lock().unwrap().cancelled.push(id);
                answer("200 OK", "", "{}")
            }
            _ => answer("404 Not Found", "", ""),
        };
        // The entry daemon may close the connection first.
        let _ = stream.write_all(answer.as_bytes());
    }
}

/// Returns the path, the id and the body of the next request.
fn read_request(reader: &mut impl BufRead) -> Option<(String, String, Vec<u8>)> {
    let path = read_line(reader)?.split(' ').nth(1)?.to_string();
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => id = value.trim().to_string(),
            "content-length" => length = value.trim().parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((path, id, body))
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0).then(|| line.trim_end().to_string())
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn one_token(id: &str) -> String {
    let token = json!({"index": 0, "token": "dry", "version": 1});
    let done = json!({"done": true, "request_id": id, "tokens": 1, "finish": "length"});
    format!("data: {token}\n\ndata: {done}\n\n")
}

#[test]
fn generate_lost_reply_then_engine_full() {
    let mut fixture = Fixture::start(&plan(1, 0));
    let state = replace_engine(&mut fixture);
    let body = prompt(1, false);
    wait_until("answer of the engine", || {
        fixture.generate(&body).status == 200
    });
    state.lock().unwrap().mode = Mode::LoseNextReply;
    let answer = fixture.generate(&body);
    assert_eq!(
        state.lock().unwrap().mode,
        Mode::Full,
        "no request was lost"
    );
    assert_eq!(answer.json()["ran"], "unknown", "{}", answer.text());
    assert_eq!(answer.header("x-request-ran"), Some("unknown"));
    wait_until("cancellation of the lost request", || {
        let state = state.lock().unwrap();
        state.cancelled.iter().eq(&state.lost)
    });
}
