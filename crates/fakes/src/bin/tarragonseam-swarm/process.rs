//! Memory and processor time of a process, as `/proc` reports them.

use std::fs;

/// Returns the resident memory of this process in bytes.
pub(crate) fn own_resident_bytes() -> f64 {
    resident_bytes("self")
}

/// Returns the resident memory of a process in bytes.
pub(crate) fn resident_bytes(process: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or_default() * 1024.0
}

/// Returns the processor time of a process in seconds.
pub(crate) fn cpu_seconds(process: u32) -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = after_name.split_whitespace().collect();
    // The fields at 11 and 12 are the times in user and in system mode.
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS_PER_S
}
