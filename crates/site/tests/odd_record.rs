//! End-to-end tests of odd entries that another program writes among the records
//! of endpoints.

mod common;

use common::{Deployment, Vm, wait};
use fakes::{
    script::{self, Answer},
    site::{PLAIN_SERVICE, Plan},
};
use link::Method;
use serde_json::{Value, json};

/// Names of entries with characters that mean something else in a query, or that are
/// not allowed there. The last ones sort before and after all endpoints.
const ODD_NAMES: [&str; 9] = [
    "engine-1&x",
    "engine-1&after=z",
    "engine-1+x",
    "engine-1#x",
    "engine-1%x",
    "engine-1%41",
    "engine-1 x",
    " ",
    "z/?&=\u{e9}\u{1}",
];

/// Returns the record of an endpoint at a port where nothing listens, with
/// `field` replaced by the JSON text `value`.
fn record_with(field: &str, value: &str) -> Value {
    let mut record = json!({
        "service": "registry", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1",
        "slots": 4, "state": "ready", "born": 1, "models": [],
    });
    record[field] = serde_json::from_str(value).unwrap();
    record
}

/// A VM that read an odd entry ended, or stopped following the endpoints.
#[test]
fn odd_record_ends_vm_or_its_view_of_endpoints() {
    let deployment = Deployment::start(3, Plan::default());
    let fields = [
        ("address", "\"127.0.0.1:70000\""),
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"127.0.0.1:-1\""),
        ("address", "\"[::1\""),
        ("address", "12"),
        ("slots", "18446744073709551615"),
        ("slots", "4294967295"),
        ("slots", "1e300"),
        ("slots", "-4"),
        ("born", "18446744073709551615"),
        ("born", "1e300"),
        (
            "models",
            "[{\"name\": \"m0\", \"version\": 18446744073709551615}]",
        ),
        ("models", "[{\"name\": \"m0\", \"version\": 1e300}]"),
        ("models", "{}"),
        ("state", "\"unheard-of\""),
        ("version", "null"),
        ("other", "[[[[]]]]"),
    ];
    for (number, (field, value)) in fields.iter().enumerate() {
        let mut state = deployment.site.state();
        state.put(
            "servers",
            &format!("odd-{number}"),
            record_with(field, value),
        );
        drop(state);
        for vm in &deployment.vms {
            let answer = vm.request(Method::GET, "/safe/a", &format!("r{number}"));
            assert_eq!(answer.status, 200, "{field} {value}");
        }
    }
    // All VMs run, and follow the endpoints.
    deployment.site.state().announce("plain-0", "draining");
    for vm in &deployment.vms {
        vm.wait_until_logged("endpoint is draining");
        assert_eq!(vm.log().matches("\"payload\":\"started\"").count(), 1);
        let answer = vm.request(Method::GET, "/safe/a", "last");
        assert_eq!(answer.status, 200);
    }
}

/// Announces one endpoint of the plain service as ready and the other as draining, by
/// turns, and returns the id of the ready one.
fn announce_one_ready(deployment: &Deployment, turn: usize) -> &'static str {
    let mut state = deployment.site.state();
    let mut ids = ["plain-0", "plain-1"];
    ids.rotate_left(turn % 2);
    state.announce(ids[0], "ready");
    state.announce(ids[1], "draining");
    ids[0]
}

/// Sends requests, all of which must be answered, and returns whether only the endpoint
/// `id` received them.
fn is_only_used(deployment: &Deployment, vm: &Vm, id: &str) -> bool {
    deployment.site.state().arrivals.clear();
    for number in 0..4 {
        let answer = vm.request(Method::GET, "/safe/a", &format!("r{number}"));
        assert_eq!(answer.status, 200);
    }
    let state = deployment.site.state();
    state.arrivals.iter().all(|arrival| arrival.endpoint == id)
}

/// VMs that started while an entry with an odd name was the last one of a page could
/// not read the next page, and were never ready.
#[test]
fn odd_name_between_pages_keeps_vms_from_starting() {
    let mut deployment = Deployment::start(2, Plan::default());
    // Each entry ends a page.
    deployment.site.state().page_length = Some(1);
    for (turn, odd) in ODD_NAMES.iter().enumerate() {
        let ready = announce_one_ready(&deployment, turn);
        let entry = json!({"written-by": "another program"});
        deployment.site.state().put("servers", odd, entry);
        deployment.kill_all(false);
        deployment.restart_all();
        for vm in &deployment.vms {
            assert!(is_only_used(&deployment, vm, ready), "{odd:?}");
        }
        deployment.site.state().remove("servers", odd);
    }
}

/// The same, for a VM that lists the endpoints again since the history was lost.
#[test]
fn odd_name_between_pages_stops_view_of_endpoints() {
    let deployment = Deployment::start(1, Plan::default());
    deployment.site.state().page_length = Some(1);
    for (turn, odd) in ODD_NAMES.iter().enumerate() {
        let mut state = deployment.site.state();
        state.put("servers", odd, json!({}));
        state.compact_history();
        drop(state);
        let ready = announce_one_ready(&deployment, turn);
        wait("the list with the states of the endpoints", || {
            is_only_used(&deployment, &deployment.vms[0], ready)
        });
        deployment.site.state().remove("servers", odd);
    }
}

/// An entry with an odd name whose fields are those of an endpoint got requests. No
/// endpoint has such a name.
#[test]
fn odd_name_with_fields_of_endpoint_gets_requests() {
    let deployment = Deployment::start(1, Plan::default());
    let vm = &deployment.vms[0];
    let endpoints = deployment.site.state().endpoints.len();
    let script = script::spawn(vec![vec![Answer::Body("not an endpoint")]; 50]).unwrap();
    for (number, odd) in ODD_NAMES.iter().enumerate() {
        let record = json!({
            "service": PLAIN_SERVICE, "address": script.address.to_string(), "zone": "zone-a",
            "version": "v1", "slots": 4, "state": "ready", "born": 1, "models": [],
        });
        let mut state = deployment.site.state();
        state.put("servers", odd, record);
        drop(state);
        // The VM logs what it makes of each record.
        wait("the entry to be read", || {
            let log = vm.log();
            let count = |line: &str| log.matches(line).count();
            count("endpoint added") + count("endpoint record is not valid") > endpoints + number
        });
        for request in 0..4 {
            let answer = vm.request(Method::GET, "/safe/a", &format!("r{number}-{request}"));
            assert_eq!(answer.status, 200, "{odd:?}");
        }
        assert_eq!(script.requests(), 0, "{odd:?}");
    }
}
