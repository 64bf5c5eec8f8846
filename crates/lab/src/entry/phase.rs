//! One phase of the measurement: load, latency, and what the entry spent.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{
    load::{self, Tally, Target},
    process,
};

/// What came back on one way to the endpoint.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Side {
    /// Whole answers.
    pub answered: u64,
    /// Calls without a whole answer.
    pub failed: u64,
    /// Whole answers a second.
    pub rate: f64,
    /// Time to the first part of the body, in microseconds.
    pub p50_us: f64,
    /// As `p50_us`, for 99 of 100.
    pub p99_us: f64,
    /// As `p50_us`, for 999 of 1,000.
    pub p999_us: f64,
}

/// A phase.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Phase {
    /// What was called and how.
    pub name: String,
    /// The same calls without the entry daemon, in the same phase for an open
    /// loop and right before for a closed one.
    pub direct: Side,
    /// Through the entry daemon.
    pub entry: Side,
    /// Processor time of the entry daemon for each answer through it, in
    /// microseconds.
    pub cpu_us: f64,
    /// Part of a core that the entry daemon used.
    pub entry_core: f64,
    /// Cores that the load process used.
    pub load_core: f64,
    /// Resident memory of the entry daemon at the end, in bytes.
    pub memory_bytes: u64,
}

/// Whom to call, and whom to watch.
pub(super) struct Stage {
    pub(super) direct: Target,
    pub(super) entry: Target,
    /// The process of the entry daemon.
    pub(super) process: u32,
    pub(super) time: Duration,
    pub(super) seed: u64,
}

/// Processor time used since it was made.
struct Meter {
    process: u32,
    start: Instant,
    entry_s: f64,
    load_s: f64,
}

impl Meter {
    fn new(process: u32) -> Self {
        Self {
            process,
            start: Instant::now(),
            entry_s: process::cpu_s(process),
            load_s: process::cpu_s(std::process::id()),
        }
    }

    fn phase(self, name: String, direct: Side, tally: &Tally) -> Phase {
        let took = self.start.elapsed().as_secs_f64();
        // Progress, since the whole takes minutes.
        eprintln!("done: {name}");
        let used = process::cpu_s(self.process) - self.entry_s;
        let load = process::cpu_s(std::process::id()) - self.load_s;
        Phase {
            name,
            direct,
            entry: side(tally, took),
            cpu_us: used * 1e6 / tally.answered.max(1) as f64,
            entry_core: used / took,
            load_core: load / took,
            memory_bytes: process::memory_bytes(self.process),
        }
    }
}

impl Stage {
    /// Finds the highest rate of each way, one after the other.
    pub(super) fn closed(&self, name: &str) -> Phase {
        let start = Instant::now();
        let direct = load::closed(&self.direct, self.time);
        let direct = side(&direct, start.elapsed().as_secs_f64());
        let meter = Meter::new(self.process);
        let entry = load::closed(&self.entry, self.time);
        let name = format!("{name}, closed loop, {} connections", load::CONNECTIONS);
        meter.phase(name, direct, &entry)
    }

    /// Sends `rate` calls a second on each way, in turn.
    pub(super) fn open(&self, name: &str, rate: f64) -> Phase {
        let meter = Meter::new(self.process);
        let targets = [self.direct.clone(), self.entry.clone()];
        let tallies = load::open(&targets, rate, self.time, self.seed);
        let direct = side(&tallies[0], meter.start.elapsed().as_secs_f64());
        let name = format!("{name}, open loop, {rate:.0} a second each way");
        meter.phase(name, direct, &tallies[1])
    }
}

fn side(tally: &Tally, took: f64) -> Side {
    let us = |quantile| tally.first.value_at_quantile(quantile) as f64 / 1e3;
    Side {
        answered: tally.answered,
        failed: tally.failed,
        rate: tally.answered as f64 / took,
        p50_us: us(0.5),
        p99_us: us(0.99),
        p999_us: us(0.999),
    }
}
