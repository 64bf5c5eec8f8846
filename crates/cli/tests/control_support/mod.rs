//! Deployments for the `control_*` tests, and functions that read the state of
//! the fakes.

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

// Each test file uses some of these items.
#[allow(unused_imports)]
pub(crate) use crate::common::{PROGRAM, fetch_json, issue_key, publish};

/// The timeout of each wait, long enough for a busy host.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(60);

const POLL_PERIOD: Duration = Duration::from_millis(50);

/// A temporary folder with the configuration file of a test.
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
        // A folder that cannot be removed costs only disk space.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Adds `count` spare endpoints of a plain service, which orders can start.
pub(crate) fn add_spares(
    mut plan: Plan,
    service: &str,
    domain: &str,
    class: &str,
    count: u32,
) -> Plan {
    for number in 1..=count {
        plan.endpoints.push(Endpoint {
            id: format!("{service}-{domain}-{class}-{number}"),
            service: service.to_string(),
            is_engine: false,
            failure_domain: domain.to_string(),
            class: class.to_string(),
            is_ready: false,
            checks_epoch: false,
            arguments: Vec::new(),
        });
    }
    plan
}

/// Starts `plan` and publishes its configuration files.
pub(crate) async fn start(plan: &Plan) -> Deployment {
    let deployment = common::start_unconfigured(plan).await;
    publish(&deployment);
    deployment.wait_ready().await.unwrap();
    deployment
}

/// Sets fault switches.
pub(crate) async fn set_faults(deployment: &Deployment, address: SocketAddr, switches: Value) {
    common::set_faults(deployment, address, &switches).await;
}

/// Polls until `probe` returns a value, and returns this value.
pub(crate) async fn wait_for<T>(description: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_MAX,
            "no {description} in {WAIT_MAX:?}"
        );
        monoio::time::sleep(POLL_PERIOD).await;
    }
}

/// Returns the VM whose steward holds the lease of `job`, and the epoch of the
/// lease. Considers the VMs whose failure domain begins with `domain`, other
/// than `excluded`.
pub(crate) async fn find_holder(
    deployment: &Deployment,
    job: &str,
    domain: &str,
    excluded: Option<usize>,
) -> Option<(usize, u64)> {
    for (index, vm) in deployment.vms.iter().enumerate() {
        if Some(index) == excluded || !vm.vm.failure_domain.starts_with(domain) {
            continue;
        }
        let status = fetch_json(deployment, vm.steward_admin, "/status").await;
        if let Some(epoch) = status[job].as_u64() {
            return Some((index, epoch));
        }
    }
    None
}

/// Counts the stable and the cheap endpoints of `service` that are starting or
/// ready.
pub(crate) async fn count_active(
    deployment: &Deployment,
    service: &str,
    domain: &str,
) -> (u32, u32) {
    let list = fetch_json(deployment, deployment.platform, "/v1/endpoints").await;
    let endpoints = list["endpoints"].as_array().unwrap();
    let count = |class: &str| {
        let is_active = |e: &&Value| {
            e["service"] == service
                && e["failure_domain"] == domain
                && e["class"] == class
                && (e["state"] == "starting" || e["state"] == "ready")
        };
        endpoints.iter().filter(is_active).count() as u32
    };
    (count("stable"), count("cheap"))
}

/// Checks that the epochs of orders never decrease and that each has one
/// holder, and returns the number of orders.
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
