//! Deployments for the tests of control, and what their stand-ins saw.

#![allow(dead_code)]

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use fakes::deployment::{Deployment, Endpoint, Plan};
use serde_json::Value;

use crate::common;

// Each test file uses some of them.
#[allow(unused_imports)]
pub(crate) use crate::common::{PROGRAM, get, issue_key, publish};

/// How long anything may take to come about on a busy machine.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(50);

/// The operators' file of a test.
pub(crate) struct Tree(pub(crate) PathBuf);

impl Tree {
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let name = format!("tarragonseam-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("tarragonseam.toml"), text).unwrap();
        Self(folder)
    }
}

impl Drop for Tree {
    fn drop(&mut self) {
        // What is left behind costs only disk space.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Adds `count` spare endpoints of a plain service.
pub(crate) fn spare(mut plan: Plan, service: &str, domain: &str, class: &str, count: u32) -> Plan {
    for number in 1..=count {
        plan.endpoints.push(Endpoint {
            id: format!("{service}-{domain}-{class}-{number}"),
            service: service.to_string(),
            is_model: false,
            failure_domain: domain.to_string(),
            class: class.to_string(),
            is_ready: false,
            checks_epoch: false,
            arguments: Vec::new(),
        });
    }
    plan
}

/// Starts `plan` and puts its files in force.
pub(crate) async fn start(plan: &Plan) -> Deployment {
    let deployment = common::bare(plan).await;
    publish(&deployment);
    deployment.wait_ready().await.unwrap();
    deployment
}

/// Sets fault switches.
pub(crate) async fn fault(deployment: &Deployment, address: SocketAddr, switches: Value) {
    common::fault(deployment, address, &switches).await;
}

/// Polls until `found` finds something.
pub(crate) async fn until<T>(what: &str, mut found: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = found().await {
            return value;
        }
        assert!(start.elapsed() < PATIENCE, "no {what} in {PATIENCE:?}");
        monoio::time::sleep(POLL).await;
    }
}

/// Returns the VM whose steward holds an epoch of `job`, besides `but`.
pub(crate) async fn holder(
    deployment: &Deployment,
    job: &str,
    domain: &str,
    but: Option<usize>,
) -> Option<(usize, u64)> {
    for (place, vm) in deployment.vms.iter().enumerate() {
        if Some(place) == but || !vm.vm.failure_domain.starts_with(domain) {
            continue;
        }
        let status = get(deployment, vm.steward_admin, "/status").await;
        if let Some(epoch) = status[job].as_u64() {
            return Some((place, epoch));
        }
    }
    None
}

/// Counts the endpoints that start or take work.
pub(crate) async fn present(deployment: &Deployment, service: &str, domain: &str) -> (u32, u32) {
    let list = get(deployment, deployment.platform, "/v1/endpoints").await;
    let endpoints = list["endpoints"].as_array().unwrap();
    let count = |class: &str| {
        let is_present = |e: &&Value| {
            e["service"] == service
                && e["failure_domain"] == domain
                && e["class"] == class
                && (e["state"] == "starting" || e["state"] == "ready")
        };
        endpoints.iter().filter(is_present).count() as u32
    };
    (count("stable"), count("cheap"))
}

/// Checks that epochs never fall and each has one holder, and returns the
/// number of orders.
pub(crate) fn check_orders(history: &Value, domain: &str) -> usize {
    let orders = history["orders"].as_array().unwrap();
    let orders: Vec<_> = orders
        .iter()
        .filter(|order| order["failure_domain"] == domain)
        .collect();
    for pair in orders.windows(2) {
        let epoch = |order: &Value| order["epoch"].as_u64().unwrap();
        assert!(epoch(pair[0]) <= epoch(pair[1]), "{pair:#?}");
        if epoch(pair[0]) == epoch(pair[1]) {
            assert_eq!(pair[0]["holder"], pair[1]["holder"], "{pair:#?}");
        }
    }
    orders.len()
}
