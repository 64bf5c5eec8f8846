//! Tests of the platform.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use link::{
    Method,
    http::client::{Call, Fetched},
};
use serde_json::{Value, json};
use tarragonseam_fakes::{
    Config, Handle, blocking,
    platform::{self, Endpoint, State, Vm},
    spawn,
};

fn start(config: platform::Config) -> Handle {
    spawn(Config::Platform(config)).unwrap()
}

fn send(address: SocketAddr, call: Call) -> Fetched {
    blocking::fetch(address, call).unwrap()
}

fn put(address: SocketAddr, path: &str, version: u64, value: &str) -> Fetched {
    let call = Call::new(Method::PUT, path).body(value.to_owned());
    let call = match version {
        0 => call.header("if-none-match", "*"),
        _ => call.header("if-match", format!("\"{version}\"")),
    };
    send(address, call)
}

fn body(fetched: &Fetched) -> Value {
    serde_json::from_slice(&fetched.body).unwrap()
}

fn endpoint(id: &str, class: &str, state: State) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        failure_domain: "f1".to_owned(),
        service: "notes".to_owned(),
        class: class.to_owned(),
        state,
        checks_epoch: false,
        price: 1.0,
    }
}

fn order(key: &str, epoch: u64, changes: Value) -> Value {
    let mut order = json!({
        "key": key, "epoch": epoch, "failure_domain": "f1", "service": "notes",
        "class": "cheap", "action": "start", "count": 1, "endpoint": null,
    });
    let fields = order.as_object_mut().unwrap();
    fields.extend(changes.as_object().unwrap().clone());
    order
}

fn state_of(address: SocketAddr, id: &str) -> Option<String> {
    let list: Value = blocking::get(address, "/v1/endpoints?failure_domain=f1").unwrap();
    let mut all = list["endpoints"].as_array().unwrap().iter();
    let found = all.find(|endpoint| endpoint["id"] == id)?;
    found["state"].as_str().map(str::to_owned)
}

fn wait_for_state(address: SocketAddr, id: &str, state: Option<&str>) {
    let start = Instant::now();
    while state_of(address, id).as_deref() != state {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "{id} did not reach the state {state:?}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn put_conditions() {
    let platform = start(platform::Config::default());
    let (address, path) = (platform.address(), "/v1/objects/lease/f1");
    assert_eq!(send(address, Call::get(path)).status, 404);
    assert_eq!(
        send(address, Call::new(Method::PUT, path).body("x")).status,
        428
    );
    let first = put(address, path, 0, "one");
    assert_eq!(
        (first.status.as_u16(), body(&first)),
        (200, json!({"version": 1}))
    );
    assert_eq!(first.headers["etag"], "\"1\"");
    let again = put(address, path, 0, "two");
    assert_eq!(again.status, 412);
    assert_eq!(body(&again)["version"], 1);
    assert_eq!(body(&put(address, path, 1, "two"))["version"], 2);
    let read = send(address, Call::get(path));
    assert_eq!(
        (&read.body[..], &read.headers["etag"]),
        (&b"two"[..], &"\"2\"".parse().unwrap())
    );
    let absent = put(address, "/v1/objects/lease/f2", 9, "x");
    assert_eq!(
        (absent.status.as_u16(), body(&absent)["version"].as_u64()),
        (412, Some(0))
    );
}

#[test]
fn put_too_large() {
    let platform = start(platform::Config::default());
    let value = "x".repeat(1024 * 1024 + 1);
    assert_eq!(
        put(platform.address(), "/v1/objects/a/b", 0, &value).status,
        413
    );
    let value = &value[1..];
    assert_eq!(
        put(platform.address(), "/v1/objects/a/b", 0, value).status,
        200
    );
}

#[test]
fn delete_conditions() {
    let platform = start(platform::Config::default());
    let (address, path) = (platform.address(), "/v1/objects/key/k1");
    let delete = |version: u64| {
        let call = Call::new(Method::DELETE, path).header("if-match", format!("\"{version}\""));
        send(address, call).status.as_u16()
    };
    assert_eq!(delete(1), 404);
    put(address, path, 0, "one");
    assert_eq!(send(address, Call::new(Method::DELETE, path)).status, 428);
    assert_eq!(delete(7), 412);
    assert_eq!(delete(1), 200);
    assert_eq!(send(address, Call::get(path)).status, 404);
}

#[test]
fn list_prefix() {
    let platform = start(platform::Config::default());
    let address = platform.address();
    for name in ["a.1", "a.2", "b.1"] {
        put(address, &format!("/v1/objects/part/{name}"), 0, "x");
    }
    let list: Value = blocking::get(address, "/v1/objects/part?prefix=a.").unwrap();
    let objects = json!([{"name": "a.1", "version": 1}, {"name": "a.2", "version": 2}]);
    assert_eq!(list, json!({"version": 3, "objects": objects}));
}

#[test]
fn watch_change_and_timeout() {
    let platform = start(platform::Config::default());
    let address = platform.address();
    put(address, "/v1/objects/key/k1", 0, "x");
    let unchanged: Value = blocking::get(address, "/v1/watch/key?after=1&wait_ms=30").unwrap();
    assert_eq!(unchanged, json!({"version": 1, "changes": []}));
    let waiting = thread::spawn(move || -> Value {
        blocking::get(address, "/v1/watch/key?after=1&wait_ms=5000").unwrap()
    });
    thread::sleep(Duration::from_millis(50));
    put(address, "/v1/objects/other/o", 0, "x");
    put(address, "/v1/objects/key/k2", 0, "x");
    let changes = json!([{"name": "k2", "version": 3, "deleted": false}]);
    assert_eq!(
        waiting.join().unwrap(),
        json!({"version": 3, "changes": changes})
    );
    assert_eq!(
        send(address, Call::get("/v1/watch/key?after=9")).status,
        410
    );
}

#[test]
fn rate_reads_and_writes() {
    let platform = start(platform::Config::default());
    let address = platform.address();
    platform
        .set_faults(&json!({"reads_per_s": 1, "writes_per_s": 1}))
        .unwrap();
    let read = |_| send(address, Call::get("/v1/objects/a/b")).status.as_u16();
    let reads: Vec<u16> = (0..5).map(read).collect();
    assert!(reads.contains(&429), "{reads:?}");
    put(address, "/v1/objects/a/b", 0, "x");
    let rejected = put(address, "/v1/objects/a/c", 0, "x");
    assert_eq!(
        (rejected.status.as_u16(), &rejected.headers["retry-after"]),
        (429, &"1".parse().unwrap())
    );
    platform.set_faults(&json!({"reset": true})).unwrap();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(put(address, "/v1/objects/a/c", 0, "x").status, 200);
}

#[test]
fn vms_lag() {
    let vm = |id: &str| Vm {
        id: id.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        failure_domain: "f1".to_owned(),
        state: link::platform::State::Live,
    };
    let platform = start(platform::Config {
        first_vms: vec![vm("v1")],
        vm_lag_ms: 200,
        ..platform::Config::default()
    });
    let address = platform.address();
    let first = || -> Value {
        let list: Value = blocking::get(address, "/v1/vms").unwrap();
        list["vms"][0]["id"].clone()
    };
    blocking::post(address, "/v1/vms", &json!({"vms": [vm("v2")]})).unwrap();
    assert_eq!(first(), "v1");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(first(), "v2");
}

#[test]
fn order_start_and_stop() {
    let platform = start(platform::Config {
        first_endpoints: vec![endpoint("e1", "cheap", State::Spare)],
        order_delay_ms: 100,
        notice_ms: 100,
        gone_ms: 100,
        ..platform::Config::default()
    });
    let address = platform.address();
    let post = |body: Value| blocking::post(address, "/v1/orders", &body).unwrap();
    assert_eq!(state_of(address, "e1"), None);
    let first = post(order("k1", 3, json!({})));
    assert_eq!(
        first,
        (
            200,
            json!({"key": "k1", "state": "accepted", "endpoints": ["e1"]})
        )
    );
    assert_eq!(post(order("k1", 3, json!({}))), first);
    assert_eq!(post(order("k2", 3, json!({}))).0, 503);
    wait_for_state(address, "e1", Some("starting"));
    wait_for_state(address, "e1", Some("ready"));
    let stale = post(order("k3", 2, json!({})));
    assert_eq!((stale.0, &stale.1["error"]), (409, &json!("stale-epoch")));
    let stop = json!({"action": "stop", "endpoint": "e1"});
    assert_eq!(post(order("k4", 3, stop)).0, 200);
    for state in [Some("leaving"), Some("gone"), None] {
        wait_for_state(address, "e1", state);
    }
    let all: Value = blocking::get(address, "/v1/orders").unwrap();
    let keys: Vec<&Value> = all["orders"]
        .as_array()
        .unwrap()
        .iter()
        .map(|o| &o["key"])
        .collect();
    assert_eq!(keys, ["k1", "k4"]);
    let one: Value = blocking::get(address, "/v1/orders/k4").unwrap();
    assert_eq!((&one["epoch"], &one["endpoint"]), (&json!(3), &json!("e1")));
    assert_eq!(send(address, Call::get("/v1/orders/k9")).status, 404);
}

#[test]
fn order_reclaim_and_stock() {
    let platform = start(platform::Config {
        first_endpoints: vec![
            endpoint("e1", "cheap", State::Ready),
            endpoint("e2", "cheap", State::Spare),
            endpoint("e3", "stable", State::Ready),
        ],
        gone_ms: 10_000,
        ..platform::Config::default()
    });
    let address = platform.address();
    let stock = json!({"failure_domain": "f1", "class": "cheap"});
    let reclaim = json!({"failure_domain": "f1", "notice_ms": 100});
    platform
        .set_faults(&json!({"out_of_stock": stock, "reclaim": reclaim}))
        .unwrap();
    assert_eq!(state_of(address, "e1").as_deref(), Some("leaving"));
    wait_for_state(address, "e1", Some("gone"));
    assert_eq!(state_of(address, "e3").as_deref(), Some("ready"));
    let (status, answer) =
        blocking::post(address, "/v1/orders", &order("k1", 1, json!({}))).unwrap();
    assert_eq!((status, &answer["error"]), (503, &json!("out-of-stock")));
    platform.set_faults(&json!({"reset": true})).unwrap();
    assert_eq!(
        blocking::post(address, "/v1/orders", &order("k1", 1, json!({})))
            .unwrap()
            .0,
        200
    );
}

#[test]
fn usage_different_figures() {
    let platform = start(platform::Config::default());
    let address = platform.address();
    let figure = |requests: u64| json!({"account": "a", "requests": requests, "tokens_in": 5, "tokens_out": 6});
    let post = |requests: u64| {
        let report = json!({"window": "w1", "epoch": 1, "figures": [figure(requests)]});
        blocking::post(address, "/v1/usage/w1", &report).unwrap().0
    };
    assert_eq!(send(address, Call::get("/v1/usage/w1")).status, 404);
    assert_eq!((post(1), post(1), post(2)), (200, 200, 409));
    let one: Value = blocking::get(address, "/v1/usage/w1").unwrap();
    assert_eq!(one["figures"], json!([figure(1)]));
    let all: Value = blocking::get(address, "/v1/usage").unwrap();
    assert_eq!(
        (&all["violations"], all["reports"].as_array().unwrap().len()),
        (&json!(1), 1)
    );
}

#[test]
fn lists_from_files() {
    let folder = std::env::temp_dir().join(format!("fakes-lists-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (vms, endpoints) = (folder.join("vms.toml"), folder.join("endpoints.toml"));
    let vm = "[[vm]]\nid = \"v1\"\naddress = \"127.0.0.1:1\"\nfailure_domain = \"f1\"\n";
    std::fs::write(&vms, vm).unwrap();
    let entry = "[[endpoint]]\nid = \"e1\"\naddress = \"127.0.0.1:2\"\nfailure_domain = \"f1\"\n\
                 service = \"notes\"\nclass = \"cheap\"\nstate = \"ready\"\n";
    std::fs::write(&endpoints, entry).unwrap();
    let platform = start(platform::Config {
        vms: Some(vms),
        endpoints: Some(endpoints),
        ..platform::Config::default()
    });
    let list: Value = blocking::get(platform.address(), "/v1/vms").unwrap();
    assert_eq!(list["vms"][0]["state"], "live");
    assert_eq!(state_of(platform.address(), "e1").as_deref(), Some("ready"));
    std::fs::remove_dir_all(&folder).unwrap();
}
