//! Phases of the measurement: a load, its latency, and the resources used.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{
    load::{self, Tally, Target},
    process,
};

/// The results of calls, either direct to the endpoint or through the entry.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Stats {
    /// Calls with a complete answer.
    pub answered: u64,
    /// Calls without a complete answer.
    pub failed: u64,
    /// Complete answers per second.
    pub rate: f64,
    /// The median time to the first part of the body, in microseconds.
    pub p50_us: f64,
    /// The 99th percentile of the time to the first part of the body, in
    /// microseconds.
    pub p99_us: f64,
    /// The 99.9th percentile of the time to the first part of the body, in
    /// microseconds.
    pub p999_us: f64,
}

/// The figures of a phase.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Phase {
    /// The target and the kind of load.
    pub name: String,
    /// The same calls sent directly to the endpoint: interleaved with the calls
    /// through the entry in an open loop, and right before them in a closed
    /// loop.
    pub direct: Stats,
    /// The calls through the entry daemon.
    pub entry: Stats,
    /// Processor time of the entry daemon for each answer through it, in
    /// microseconds.
    pub cpu_us: f64,
    /// Cores that the entry daemon used.
    pub entry_core: f64,
    /// Cores that the load process used.
    pub load_core: f64,
    /// Resident memory of the entry daemon at the end, in bytes.
    pub memory_bytes: u64,
}

/// Calls to send directly and through the entry, and the process to measure.
pub(super) struct Benchmark {
    pub(super) direct: Target,
    pub(super) entry: Target,
    /// The process id of the entry daemon.
    pub(super) entry_pid: u32,
    /// The duration of each loop.
    pub(super) duration: Duration,
    pub(super) seed: u64,
}

/// Measures the processor time used since its creation.
struct Meter {
    entry_pid: u32,
    start: Instant,
    entry_cpu_s: f64,
    load_cpu_s: f64,
}

impl Meter {
    fn new(entry_pid: u32) -> Self {
        Self {
            entry_pid,
            start: Instant::now(),
            entry_cpu_s: process::cpu_s(entry_pid),
            load_cpu_s: process::cpu_s(std::process::id()),
        }
    }

    fn finish(self, name: String, direct: Stats, tally: &Tally) -> Phase {
        let elapsed_s = self.start.elapsed().as_secs_f64();
        // Report progress, because all phases together take minutes.
        eprintln!("phase finished: {name}");
        let entry_cpu_s = process::cpu_s(self.entry_pid) - self.entry_cpu_s;
        let load_cpu_s = process::cpu_s(std::process::id()) - self.load_cpu_s;
        Phase {
            name,
            direct,
            entry: summarize(tally, elapsed_s),
            cpu_us: entry_cpu_s * 1e6 / tally.answered.max(1) as f64,
            entry_core: entry_cpu_s / elapsed_s,
            load_core: load_cpu_s / elapsed_s,
            memory_bytes: process::memory_bytes(self.entry_pid),
        }
    }
}

impl Benchmark {
    /// Finds the highest rate of direct calls, then of calls through the entry.
    pub(super) fn run_closed_loop(&self, name: &str) -> Phase {
        let start = Instant::now();
        let direct = load::run_closed_loop(&self.direct, self.duration);
        let direct = summarize(&direct, start.elapsed().as_secs_f64());
        let meter = Meter::new(self.entry_pid);
        let entry = load::run_closed_loop(&self.entry, self.duration);
        let name = format!("{name}, closed loop, {} connections", load::CONNECTIONS);
        meter.finish(name, direct, &entry)
    }

    /// Sends `rate` calls per second directly and as many through the entry,
    /// alternately.
    pub(super) fn run_open_loop(&self, name: &str, rate: f64) -> Phase {
        let meter = Meter::new(self.entry_pid);
        let targets = [self.direct.clone(), self.entry.clone()];
        let tallies = load::run_open_loop(&targets, rate, self.duration, self.seed);
        let direct = summarize(&tallies[0], meter.start.elapsed().as_secs_f64());
        let name = format!("{name}, open loop, {rate:.0} a second each way");
        meter.finish(name, direct, &tallies[1])
    }
}

fn summarize(tally: &Tally, elapsed_s: f64) -> Stats {
    let us = |quantile| tally.first_byte_ns.value_at_quantile(quantile) as f64 / 1e3;
    Stats {
        answered: tally.answered,
        failed: tally.failed,
        rate: tally.answered as f64 / elapsed_s,
        p50_us: us(0.5),
        p99_us: us(0.99),
        p999_us: us(0.999),
    }
}
