//! The figures of one run.

use std::{collections::BTreeMap, fs};

use serde::Serialize;
use serde_json::Value;

/// The figures of one run, written as JSON.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Row {
    pub(crate) mode: &'static str,
    pub(crate) vms: usize,
    pub(crate) endpoints: usize,
    pub(crate) failure_domains: usize,
    pub(crate) load_average: String,
    /// Bytes per second sent and received by one VM while nothing changes.
    pub(crate) quiet_bytes_per_s: f64,
    /// Fraction of a core that one VM uses while nothing changes.
    pub(crate) quiet_core: f64,
    /// Memory of one VM, in bytes.
    pub(crate) memory_bytes: f64,
    /// Time from the write of a key's withdrawal until all VMs have received it,
    /// in milliseconds. No VM is notified of the write.
    pub(crate) withdrawal_ms: Vec<u64>,
    /// Time from the start of a publication until all VMs have received it, in
    /// milliseconds. It includes the run time of the command.
    pub(crate) configuration_ms: Vec<u64>,
    /// Time from a crash until all VMs consider the VM dead, in milliseconds.
    pub(crate) crash_ms: Option<u64>,
    /// Bytes sent and received by one VM for one change of an endpoint.
    pub(crate) change_bytes: f64,
    /// Further figures by name, such as the rate of each kind of traffic.
    pub(crate) detail: BTreeMap<String, Value>,
}

/// Returns the system load averages over 1, 5 and 15 minutes.
pub(crate) fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}
