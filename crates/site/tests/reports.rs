//! End-to-end tests of failures that operators of similar systems have reported.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    Deployment, HOST, KEY, Vm, caller,
    stream::{Attempt, Stream, start},
    wait,
};
use fakes::{
    blocking,
    site::{ENGINE_SERVICE, Plan},
};
use link::{Method, http::client::Call};
use serde_json::{Value, json};

/// Adds a route of event streams whose callers wait for four times `aim_ms`.
fn add_patient_route(deployment: &Deployment, aim_ms: u64, is_resumable: bool) {
    let mut config = common::config(3);
    let route = json!({
        "name": "stream", "host": HOST, "path-prefix": "/stream/", "kind": "unsafe",
        "timeout-ms": 5000, "aim-ms": aim_ms, "service": ENGINE_SERVICE, "max-attempts": 1,
        "public": false, "streaming": true, "resumable": is_resumable,
    });
    config["routes"].as_array_mut().unwrap().push(route);
    deployment.site.state().put("config", "main", config);
    for vm in &deployment.vms {
        wait("the configuration", || vm.log().contains("\"version\":3"));
    }
}

#[test]
fn slow_stream_is_not_cut() {
    // Slower than the shortest patience of callers, faster than that of these.
    let deployment = start(1, Duration::from_millis(2100));
    for is_resumable in [false, true] {
        add_patient_route(&deployment, 1000, is_resumable);
        let mut stream = Stream::new(&format!("s-{is_resumable}"));
        Attempt::open(deployment.vms[0].callers, &stream, 2).finish(&mut stream);
        assert!(stream.is_whole(2), "{:?}", stream.events);
    }
}

/// Sends requests to `address` until `is_stopped`, each on a new connection. Returns
/// how many were answered, and the ids of those whose connection ended without an
/// answer.
fn press(address: SocketAddr, worker: usize, is_stopped: &AtomicBool) -> (usize, Vec<String>) {
    let (mut answered, mut lost) = (0, Vec::new());
    for number in 0.. {
        if is_stopped.load(Ordering::Relaxed) {
            break;
        }
        let Ok(mut connection) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        let timeout = Some(Duration::from_secs(5));
        connection.set_read_timeout(timeout).unwrap();
        let id = format!("w{worker}-{number}");
        let head = format!(
            "POST /unsafe/a HTTP/1.1\r\nhost: {HOST}\r\nx-api-key: {KEY}\r\n\
             request-id: {id}\r\ndeadline-ms: 2000\r\ncontent-length: 0\r\n\r\n"
        );
        if connection.write_all(head.as_bytes()).is_err() {
            continue;
        }
        let mut buffer = [0; 1024];
        match connection.read(&mut buffer) {
            Err(_) | Ok(0) => lost.push(id),
            Ok(_) => answered += 1,
        }
    }
    (answered, lost)
}

#[test]
fn planned_stop_under_load_answers_what_was_accepted() {
    let mut deployment = Deployment::start(2, Plan::default());
    let address = deployment.vms[0].callers;
    let is_stopped = AtomicBool::new(false);
    let (answered, lost) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for worker in 0..16 {
            let (is_stopped, answered, lost) = (&is_stopped, &answered, &lost);
            scope.spawn(move || {
                let counts = press(address, worker, is_stopped);
                answered.fetch_add(counts.0, Ordering::Relaxed);
                lost.lock().unwrap().extend(counts.1);
            });
        }
        thread::sleep(Duration::from_millis(500));
        deployment.vms[0].signal("TERM");
        wait("the end of the VM", || {
            deployment.vms[0].exit_code().is_some()
        });
        is_stopped.store(true, Ordering::Relaxed);
    });
    let (answered, lost) = (answered.into_inner(), lost.into_inner().unwrap());
    assert!(answered > 100, "{answered}");
    // Others crossed the close of their connection, and were not read.
    let log = deployment.vms[0].log();
    let arrivals = &deployment.site.state().arrivals;
    let was_read = |id: &&String| {
        let is_passed_on = arrivals.iter().any(|arrival| arrival.id == **id);
        is_passed_on || log.contains(&format!("\"{id}\""))
    };
    let read: Vec<&String> = lost.iter().filter(was_read).collect();
    assert!(read.is_empty(), "{read:?} of {answered}");
    assert!(lost.len() * 500 < answered, "{} of {answered}", lost.len());
}

/// Bodies that no receiver expects.
const MALFORMED: [&str; 8] = [
    "",
    "{",
    "null",
    "[]",
    "{\"Record\":[1,2]}",
    "\u{0}\u{ffff}",
    "{\"address\":\"127.0.0.1:99999\",\"is_cut_off\":7}",
    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
];

/// Sends malformed bodies to all paths for other VMs at `address`.
fn send_malformed(address: SocketAddr) {
    let paths = [
        "/streams",
        "/vms",
        "/permits",
        "/gateway-check",
        "/gateway/a",
        "/jobs/x/y",
        "/jobs",
        "/usage/1",
        "/usage/-1",
        "/mirror/objects/config",
        "/mirror/objects/config?watch=x",
        "/objects/config/main/a/b",
        "/",
        "/%ff",
    ];
    for path in paths {
        for body in MALFORMED {
            let call = Call::post(path, body).deadline(Duration::from_secs(3));
            // Some are answered with a closed connection.
            let _ = blocking::fetch(address, call);
        }
    }
}

fn peers(vm: &Vm) -> SocketAddr {
    let settings = vm.settings_text();
    let line = settings
        .lines()
        .find(|line| line.starts_with("control"))
        .unwrap();
    line.split('"').nth(1).unwrap().parse().unwrap()
}

#[test]
fn malformed_message_ends_no_process() {
    let mut deployment = Deployment::start(2, Plan::default());
    deployment.add_disks(1);
    send_malformed(peers(&deployment.vms[0]));
    send_malformed(deployment.disks[0].peers);
    // Objects that other writers have stored.
    let kinds = [
        ("config", "other"),
        ("servers", "bad"),
        ("versions", "m9"),
        ("crash-reports", "x"),
        ("crash-reports", "a.b.c"),
        ("duty-leases", "other"),
        ("rollout-jobs", "bad"),
        ("rollout-jobs", "h.%"),
        ("usage-counts", "1"),
        ("retirements", "nobody"),
    ];
    let specs: [Value; 5] = [
        json!(null),
        json!(7),
        json!([]),
        json!({}),
        json!({"version": "x"}),
    ];
    for spec in specs {
        for (kind, name) in kinds {
            deployment.site.state().put(kind, name, spec.clone());
        }
        thread::sleep(Duration::from_millis(200));
    }
    // Requests that are no requests.
    for bytes in [
        "\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9\r\n\r\n",
        "\u{1}\u{2}\u{3}\r\n\r\n",
    ] {
        let mut connection = TcpStream::connect(deployment.vms[0].callers).unwrap();
        connection.write_all(bytes.as_bytes()).unwrap();
    }
    thread::sleep(Duration::from_millis(1500));
    for vm in &mut deployment.vms {
        assert_eq!(vm.exit_code(), None);
        let answer = vm.request(Method::GET, "/safe/a", "after");
        assert_eq!(answer.status, 200);
        assert!(!vm.log().contains("panicked"));
    }
    assert!(deployment.disks[0].is_running());
    assert!(!deployment.disks[0].log().contains("panicked"));
}

#[test]
fn left_endpoint_and_withdrawn_key_not_in_use_after_restarts() {
    let mut deployment = Deployment::start(3, Plan::default());
    let mut config = common::config(4);
    config["tenants"][0]["api-keys"] = json!(["new-key"]);
    let mut state = deployment.site.state();
    state.put("config", "main", config);
    state.remove("servers", "plain-0");
    drop(state);
    for vm in &deployment.vms {
        wait("the new configuration", || {
            vm.log().contains("\"version\":4")
        });
        wait("the removal", || vm.log().contains("endpoint removed"));
    }
    let mut number = 0;
    let mut check = |deployment: &Deployment| {
        let before = deployment.site.state().arrivals.len();
        for vm in &deployment.vms {
            for _ in 0..4 {
                number += 1;
                let id = format!("r{number}");
                assert_eq!(vm.request(Method::GET, "/safe/a", &id).status, 401);
                let call = caller(Method::GET, "/safe/a", &id).header("x-api-key", "new-key");
                assert_eq!(vm.send(call).status, 200);
            }
        }
        let state = deployment.site.state();
        let arrivals = &state.arrivals[before..];
        assert!(arrivals.iter().all(|arrival| arrival.endpoint != "plain-0"));
    };
    check(&deployment);
    deployment.vms[1].kill();
    deployment.vms[1].restart();
    check(&deployment);
    deployment.site.state().compact_history();
    deployment.kill_all(false);
    deployment.restart_all();
    check(&deployment);
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(2) {
        check(&deployment);
    }
}
