//! One run's figures.

use std::{collections::BTreeMap, fs};

use serde::Serialize;
use serde_json::Value;

/// What one run measured.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Row {
    pub(crate) mode: &'static str,
    pub(crate) vms: usize,
    pub(crate) endpoints: usize,
    pub(crate) failure_domains: usize,
    pub(crate) load_average: String,
    /// Bytes sent and received by a VM each second while nothing changes.
    pub(crate) quiet_bytes_per_s: f64,
    /// Part of a core that one VM uses while nothing changes.
    pub(crate) quiet_core: f64,
    /// Memory of one VM, in bytes.
    pub(crate) memory_bytes: f64,
    /// From the acceptance of a withdrawal, told to no VM by the command, to
    /// all VMs, in milliseconds.
    pub(crate) withdrawal_ms: Vec<u64>,
    /// From the start of a publication, with the command's own time, to all
    /// VMs, in milliseconds.
    pub(crate) configuration_ms: Vec<u64>,
    /// From a crash to all VMs thinking so, in milliseconds.
    pub(crate) crash_ms: Option<u64>,
    /// Bytes of one VM for one change of an endpoint.
    pub(crate) change_bytes: f64,
    /// Further counters.
    pub(crate) detail: BTreeMap<String, Value>,
}

/// Returns the load of the machine over 1, 5 and 15 minutes.
pub(crate) fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}
