//! End-to-end tests of odd entries that another program writes among the records
//! of endpoints.

mod common;

use common::Deployment;
use fakes::site::Plan;
use link::Method;
use serde_json::{Value, json};

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
