//! Processor time and memory of processes, and the load average, from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Indices of the fields with the time in user and in system mode, counted from
/// the first field after the program's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Returns the processor time that process `pid` has used, in seconds.
pub(super) fn cpu_s(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    (ticks(USER_TIME_FIELD).unwrap_or_default() + ticks(SYSTEM_TIME_FIELD).unwrap_or_default())
        / TICKS_PER_S
}

/// Returns the resident memory of process `pid` in bytes.
pub(super) fn memory_bytes(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or_default() * 1024
}

/// Returns the load averages of the machine over 1, 5 and 15 minutes.
pub(super) fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}
