//! Bytes between VMs and calls to the platform, as the processes count them.

use std::collections::BTreeMap;

use link::http::client::Call;
use serde_json::Value;
use tarragonseam_fakes::deployment::Deployment;

/// Returns the bytes that all VMs sent and received, by kind.
pub(crate) async fn bytes(deployment: &Deployment) -> BTreeMap<String, f64> {
    let mut bytes = BTreeMap::new();
    for vm in &deployment.vms {
        let page = deployment
            .pool
            .fetch(vm.entry_admin, Call::get("/metrics"))
            .await;
        let page = page.map(|answer| answer.body).unwrap_or_default();
        let page = String::from_utf8_lossy(&page).into_owned();
        let lines = page
            .lines()
            .filter(|line| line.starts_with("tarragonseam_control_bytes"));
        for line in lines {
            let label = |name: &str| line.split(&format!("{name}=\"")).nth(1)?.split('"').next();
            let value = line
                .rsplit(' ')
                .next()
                .and_then(|value| value.parse::<f64>().ok());
            let (Some(direction), Some(kind), Some(value)) =
                (label("direction"), label("kind"), value)
            else {
                continue;
            };
            *bytes.entry(format!("{direction} {kind}")).or_default() += value;
        }
    }
    bytes
}

/// Returns the calls that the platform took, by kind.
pub(crate) async fn calls(deployment: &Deployment) -> BTreeMap<String, f64> {
    let page = deployment
        .pool
        .fetch(deployment.platform, Call::get("/stats"))
        .await;
    let stats: Value = page
        .ok()
        .and_then(|answer| serde_json::from_slice(&answer.body).ok())
        .unwrap_or_default();
    let calls = stats["calls"].as_object().cloned().unwrap_or_default();
    let number = |(kind, count): (String, Value)| Some((kind, count.as_f64()?));
    calls.into_iter().filter_map(number).collect()
}
