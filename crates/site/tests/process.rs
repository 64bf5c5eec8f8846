//! Tests of the process: its settings, signals and metrics.

mod common;

use std::process::Command;

use common::{Deployment, Vm, wait};
use fakes::{
    blocking,
    site::{Fault, Plan},
};
use link::{Method, http::client::Call};

fn vm() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonseam-vm"));
    command.env_remove("TARRAGONSEAM_NODE_FILE");
    command
}

#[test]
fn check_invalid_settings() {
    let folder = std::env::temp_dir().join(format!("tarragonseam-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("local.toml");
    for (text, expected) in [
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
        assert!(problem.contains(expected), "{problem}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn start_without_settings() {
    let output = vm().output().unwrap();
    assert!(!output.status.success());
    let problem = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(problem.contains("--settings"), "{problem}");
}

#[test]
fn reload_on_signal_and_on_change() {
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
    wait("a failed reload", || {
        vm.log().contains("settings not reloaded")
    });
    // The VM continues with the previous settings.
    assert_eq!(vm.request(Method::GET, "/safe/a", "r1").status, 200);
}

#[test]
fn not_ready_before_endpoints_are_known() {
    let mut deployment = Deployment::start(1, Plan::default());
    deployment.vms[0].kill();
    let count = |vm: &Vm| vm.log().matches("configuration in force").count();
    let before = count(&deployment.vms[0]);
    deployment.site.state().fault = Fault::DroppedRepliesOf("servers");
    deployment.vms[0].start_again();
    let vm = &deployment.vms[0];
    wait("the configuration after the restart", || count(vm) > before);
    let ready = blocking::fetch(vm.ready, Call::get("/ready")).unwrap();
    assert_eq!(ready.status, 503);
    deployment.site.state().fault = Fault::None;
    vm.wait_until_ready();
    assert_eq!(vm.request(Method::GET, "/safe/a", "r1").status, 200);
}

#[test]
fn metrics_count_requests() {
    let deployment = Deployment::start(1, Plan::default());
    let vm = &deployment.vms[0];
    assert_eq!(vm.request(Method::GET, "/safe/a", "r1").status, 200);
    let page = blocking::fetch(vm.metrics, Call::get("/metrics")).unwrap();
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
fn stop_serves_requests_first() {
    let mut deployment = Deployment::start(1, Plan::default());
    deployment.vms[0].signal("TERM");
    wait("a VM that is not ready", || {
        let ready = blocking::fetch(deployment.vms[0].ready, Call::get("/ready"));
        ready.is_ok_and(|answer| answer.status == 503)
    });
    // New connections are still served.
    assert_eq!(
        deployment.vms[0]
            .request(Method::GET, "/safe/a", "r1")
            .status,
        200
    );
    let vm = &mut deployment.vms[0];
    wait("the exit of the VM", || vm.exit_code().is_some());
    assert_eq!(vm.exit_code(), Some(0));
    assert!(vm.log().contains("\"drained\",\"kv\":{\"is_done\":true}"));
}
