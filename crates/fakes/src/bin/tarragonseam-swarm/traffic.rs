//! Bytes between VMs and calls to the platform, from the counters of the
//! processes.

use std::collections::BTreeMap;

use link::http::client::Call;
use serde_json::Value;
use tarragonseam_fakes::{
    deployment::Deployment,
    metrics::{self, Sample},
};

/// The metric that counts bytes between VMs.
const CONTROL_BYTES: &str = "tarragonseam_control_bytes";

/// Returns the bytes that all VMs sent and received, by direction and kind.
pub(crate) async fn bytes(deployment: &Deployment) -> BTreeMap<String, f64> {
    let mut bytes = BTreeMap::new();
    for vm in &deployment.vms {
        let page = deployment
            .pool
            .fetch(vm.entry_admin, Call::get("/metrics"))
            .await;
        let page = page.map(|answer| answer.body).unwrap_or_default();
        let page = String::from_utf8_lossy(&page).into_owned();
        let is_control = |sample: &Sample<'_>| sample.series.starts_with(CONTROL_BYTES);
        for sample in metrics::samples(&page).filter(is_control) {
            if let (Some(direction), Some(kind)) = (sample.label("direction"), sample.label("kind"))
            {
                *bytes.entry(format!("{direction} {kind}")).or_default() += sample.value;
            }
        }
    }
    bytes
}

/// Returns the number of calls to the platform, by kind.
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
