//! End-to-end tests of endpoints whose answers have an invalid status code or an invalid
//! header. Such bytes are no answer, so nothing of them may reach a caller.

mod common;

use common::{Deployment, Vm, caller, job, text};
use fakes::{
    blocking,
    script::{self, Answer, Script},
    site::{ENGINE_SERVICE, PLAIN_SERVICE},
};
use link::Method;

/// Answers that are no HTTP, in the parts that an endpoint in trouble may spoil.
const ANSWERS: [&str; 27] = [
    "HTTP/1.1 000 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 000 \r\n{id}content-length: 0\r\n\r\n",
    "HTTP/1.1 001 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 099 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 600 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 999 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 20 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 2000 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 2x0 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scri\u{1}pted\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad name: v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad\u{1}name: v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad\u{0}name: v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad\tname: v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad\u{7f}name: v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad\u{e9}name: v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad : v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n bad: v\r\n{id}content-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id} bad: v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}: v\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad name\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}content-length: 5\r\ncontent length: 2\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}content-length: 9\r\ntransfer-encoding\u{b}: chunked\r\n\r\n\
     4\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad: a\u{1}b\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}content-length: 5\r\n\nbad: v\r\n\r\nwrong",
    "HTTP/1.1 200 Scripted\r\n{id}bad: v\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 103 Scripted\r\nbad name: v\r\n\r\n\
     HTTP/1.1 200 Scripted\r\n{id}content-length: 5\r\n\r\nwrong",
];

/// Starts a VM, one endpoint of each service, and another one of `service` that gives
/// `answer` on each connection.
fn start(service: &str, answer: &'static str) -> (Deployment, Script) {
    let script = script::spawn(vec![vec![Answer::Text(answer)]; 50]).unwrap();
    let deployment = common::start_beside_script(service, &script);
    (deployment, script)
}

/// Asserts that requests to `vm` are answered by the other endpoint if they may be
/// repeated, and not at all if they may not.
fn assert_requests(vm: &Vm, script: &Script, answer: &str) {
    let response = vm.request(Method::POST, "/safe/a", "safe");
    assert_eq!(response.status, 200, "{answer:?}");
    assert_ne!(response.body, "wrong", "{answer:?}");
    assert!(script.requests() > 0, "{answer:?}");
    let before = script.requests();
    // The endpoint backs off, and gets a request again within two seconds.
    common::wait("an unsafe request at the endpoint in trouble", || {
        let id = format!("unsafe-{}", script.requests());
        let status = vm.request(Method::POST, "/unsafe/a", &id).status;
        let is_met = script.requests() > before;
        assert_eq!(status, if is_met { 504 } else { 200 }, "{answer:?}");
        is_met
    });
}

#[test]
fn request_to_endpoint_with_invalid_head() {
    for answer in ANSWERS {
        let (deployment, script) = start(PLAIN_SERVICE, answer);
        assert_requests(&deployment.vms[0], &script, answer);
    }
}

#[test]
fn stream_from_endpoint_with_invalid_head() {
    for answer in ANSWERS {
        let (deployment, script) = start(ENGINE_SERVICE, answer);
        common::add_stream_route(&deployment, true);
        let vm = &deployment.vms[0];
        let response = vm.send(caller(Method::POST, "/stream/a", "s").header("x-events", "2"));
        assert_eq!(response.status, 200, "{answer:?}");
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(
            body, "id: 0\ndata: s/0\n\nid: 1\ndata: s/1\n\n",
            "{answer:?}"
        );
        assert!(script.requests() > 0, "{answer:?}");
    }
}

#[test]
fn unresumable_stream_from_endpoint_with_invalid_head() {
    for answer in ANSWERS {
        let (deployment, script) = start(ENGINE_SERVICE, answer);
        common::add_stream_route(&deployment, false);
        let vm = &deployment.vms[0];
        let call = caller(Method::POST, "/stream/a", "s").header("x-events", "2");
        let response = blocking::fetch(vm.callers, call).unwrap();
        assert_eq!(response.status, 504, "{answer:?}");
        assert_eq!(script.requests(), 1, "{answer:?}");
    }
}

#[test]
fn item_at_engine_with_invalid_head() {
    for answer in ANSWERS {
        let (deployment, script) = start(ENGINE_SERVICE, answer);
        let vm = &deployment.vms[0];
        assert_eq!(vm.submit("j1", &job("i", 4, 3)), 202);
        for sample in vm.read_all("j1", 4) {
            let id = sample["id"].as_str().unwrap();
            assert_eq!(sample["state"], "done", "{answer:?}");
            assert_eq!(sample["text"], text(id, 3), "{answer:?}");
        }
        assert!(script.requests() > 0, "{answer:?}");
    }
}
