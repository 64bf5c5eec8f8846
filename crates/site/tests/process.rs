//! The process: its settings, signals and metrics.

mod common;

use std::process::Command;

use common::{Deployment, wait};
use fakes::{drive, site::Plan};
use link::{Method, http::client::Call};

fn vm() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonseam-vm"));
    command.env_remove("TARRAGONSEAM_NODE_FILE");
    command
}

#[test]
fn settings_with_a_missing_field_name_it() {
    let folder = std::env::temp_dir().join(format!("tarragonseam-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("local.toml");
    for (text, said) in [
        ("node = \"vm-1\"\n", "`zone`"),
        ("node = 7\n", "invalid type"),
        ("node = \n", "local.toml"),
    ] {
        std::fs::write(&path, text).unwrap();
        let output = vm()
            .arg("--settings")
            .arg(&path)
            .arg("--check")
            .output()
            .unwrap();
        let problem = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert!(problem.contains(said), "{problem}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn settings_that_are_not_named() {
    let output = vm().output().unwrap();
    assert!(!output.status.success());
    let problem = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(problem.contains("--settings"), "{problem}");
}

#[test]
fn reload_on_request_and_without() {
    let deployment = Deployment::start(1, Plan::default());
    let vm = &deployment.vms[0];
    vm.signal("HUP");
    wait("a reload", || {
        vm.log().contains("settings reloaded, nothing changed")
    });
    vm.change_settings(|text| text.replace("memory-mb = 260", "memory-mb = 300"));
    wait("another reload", || {
        vm.log().contains("\"needs_restart\":false")
    });
    vm.change_settings(|_| "node = ".to_string());
    wait("a refusal", || vm.log().contains("settings not reloaded"));
    // It goes on with what it had.
    assert_eq!(vm.request(Method::GET, "/safe/a", "r1").status, 200);
}

#[test]
fn metrics_count_requests() {
    let deployment = Deployment::start(1, Plan::default());
    let vm = &deployment.vms[0];
    assert_eq!(vm.request(Method::GET, "/safe/a", "r1").status, 200);
    let page = drive::fetch(vm.metrics, Call::get("/metrics")).unwrap();
    let page = String::from_utf8_lossy(&page.body).to_string();
    for name in [
        "tarragonseam_requests_total",
        "tarragonseam_request_duration_seconds_bucket",
        "tarragonseam_store_calls",
    ] {
        assert!(page.contains(name), "{name} is not in {page}");
    }
}

#[test]
fn stopping_vm_finishes_what_it_began() {
    let mut deployment = Deployment::start(1, Plan::default());
    deployment.vms[0].signal("TERM");
    wait("the end of readiness", || {
        let ready = drive::fetch(deployment.vms[0].ready, Call::get("/ready"));
        ready.is_ok_and(|answer| answer.status == 503)
    });
    // Connections that still come are served.
    assert_eq!(
        deployment.vms[0]
            .request(Method::GET, "/safe/a", "r1")
            .status,
        200
    );
    let vm = &mut deployment.vms[0];
    wait("its exit", || vm.exit_code().is_some());
    assert_eq!(vm.exit_code(), Some(0));
    assert!(vm.log().contains("\"drained\",\"kv\":{\"is_done\":true}"));
}
