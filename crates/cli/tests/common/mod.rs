//! Helpers for tests with a deployment: they start it, run the `tarragonseam`
//! command against it, set faults and read its state.

#![allow(dead_code)]

use std::{
    net::SocketAddr,
    path::Path,
    process::{Command, Output},
};

use fakes::deployment::{Deployment, Plan};
use link::http::client::Call;
use serde_json::Value;

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_tarragonseam");
/// The folder with the configuration files of the `cider-festival` example.
pub(crate) const FESTIVAL_TREE: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/cider-festival");

/// Starts the processes of `plan` without publishing a configuration.
pub(crate) async fn start_unconfigured(plan: &Plan) -> Deployment {
    Deployment::start(Path::new(PROGRAM), plan).await.unwrap()
}

/// Returns a `tarragonseam` command that uses the deployment's platform.
pub(crate) fn command(deployment: &Deployment, arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command
        .args(arguments)
        .arg(format!("--platform={}", deployment.platform));
    command
}

/// Runs a `tarragonseam` command and returns its output.
pub(crate) fn run(deployment: &Deployment, arguments: &[&str]) -> Output {
    command(deployment, arguments).output().unwrap()
}

/// Runs a command that must succeed and returns what it prints.
pub(crate) fn run_ok(deployment: &Deployment, arguments: &[&str]) -> String {
    let output = run(deployment, arguments);
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Publishes the deployment's configuration files.
pub(crate) fn publish(deployment: &Deployment) {
    let tree = deployment.tree.display().to_string();
    run_ok(deployment, &["publish", &tree]);
}

/// Issues a key for `account`.
pub(crate) fn issue_key(deployment: &Deployment, account: &str) -> String {
    let key = run_ok(deployment, &["key", "issue", account]);
    let key = key.trim();
    assert!(key.len() > 20 && !key.contains(' '), "no key in {key:?}");
    key.to_string()
}

/// Reads JSON from a fake or a daemon.
pub(crate) async fn fetch_json(deployment: &Deployment, address: SocketAddr, path: &str) -> Value {
    let answer = deployment.pool.fetch(address, Call::get(path)).await;
    let answer = answer.unwrap_or_else(|e| panic!("{path}: {e}"));
    serde_json::from_slice(&answer.body).unwrap()
}

/// Sets fault switches of a fake or a daemon.
pub(crate) async fn set_faults(deployment: &Deployment, address: SocketAddr, switches: &Value) {
    let call = Call::post("/fault", switches.to_string());
    let answer = deployment.pool.fetch(address, call).await.unwrap();
    assert!(answer.status.is_success(), "{answer:?}");
}
