//! Measures the latency that an entry daemon adds to a call, and the processor
//! time and memory that it uses.
//!
//! The measurement runs real processes on the loopback interface: first the
//! entry daemon of a single VM, then one with a second VM that stores copies of
//! its usage records. The daemon forwards calls to a plain service and to
//! engines. The load comes from threads of this process.

mod load;
mod phase;
mod process;
mod table;
mod testbed;

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::{Error, report};

pub use phase::{Phase, Stats};

/// Settings of the measurement.
///
/// # Examples
///
/// ```
/// use tarragonseam_lab::entry::Config;
///
/// let config = Config::new("target/release/tarragonseam").seconds(5).seed(7);
/// assert_eq!(config.seed, 7);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    /// The path of the program with the daemons and the fakes.
    pub program: PathBuf,
    /// The duration of each phase in seconds.
    pub seconds: u64,
    /// The seed of the arrival times.
    pub seed: u64,
    /// The number of VMs. When not set, one run with one VM and one with two.
    pub vms: Option<usize>,
    /// Calls per second of the open loops, both direct and through the entry
    /// daemon. When not set, half of the highest rate that the closed loop
    /// reached. Set it to compare two programs at the same rate.
    pub rate: Option<f64>,
}

const PHASE_SECONDS_DEFAULT: u64 = 5;
const PHASE_SECONDS_MAX: u64 = 60;

impl Config {
    /// Returns the default settings for `program`.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            seconds: PHASE_SECONDS_DEFAULT,
            seed: 1,
            vms: None,
            rate: None,
        }
    }

    /// Sets the duration of each phase in seconds, between 1 and 60.
    pub fn seconds(mut self, seconds: u64) -> Self {
        self.seconds = seconds.clamp(1, PHASE_SECONDS_MAX);
        self
    }

    /// Sets the number of VMs.
    pub fn vms(mut self, vms: Option<usize>) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the calls per second of the open loops, both direct and through the
    /// entry daemon.
    pub fn rate(mut self, rate: Option<f64>) -> Self {
        self.rate = rate;
        self
    }

    /// Sets the seed of the arrival times.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// The figures of one deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The number of VMs; the entry daemon of the first one is measured.
    pub vms: usize,
    /// The load average of the machine at the start.
    pub load_average_before: String,
    /// The load average of the machine at the end.
    pub load_average_after: String,
    /// Cores that the entry daemon uses without calls.
    pub idle_core: f64,
    /// Resident memory of the entry daemon without calls, in bytes.
    pub idle_memory_bytes: u64,
    /// The phases, in order.
    pub phases: Vec<Phase>,
    /// Processor time of the entry daemon for each further token of a stream, in
    /// microseconds.
    pub token_cpu_us: f64,
}

/// The figures of all deployments.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The command line of the measurement.
    pub command: String,
    /// The seed of the arrival times.
    pub seed: u64,
    /// The duration of each phase in seconds.
    pub seconds: u64,
    /// The number of processors of the machine.
    pub processors: usize,
    /// One run for each number of VMs.
    pub runs: Vec<Run>,
}

/// The numbers of VMs of the default runs: a single VM, and one with a second VM
/// that stores copies of its usage records.
const VM_COUNTS: [usize; 2] = [1, 2];

/// Runs the measurement and returns its figures.
///
/// # Errors
///
/// When a process does not start or a call of the set-up fails.
pub fn run(config: &Config) -> Result<Report, Error> {
    let measure =
        |vms| link::runtime::run(testbed::measure(config, vms)).map_err(Error::Runtime)?;
    let vm_counts = config.vms.map_or(VM_COUNTS.to_vec(), |vms| vec![vms]);
    let runs: Result<Vec<_>, Error> = vm_counts.into_iter().map(measure).collect();
    Ok(Report {
        command: std::env::args().collect::<Vec<_>>().join(" "),
        seed: config.seed,
        seconds: config.seconds,
        processors: std::thread::available_parallelism().map_or(0, usize::from),
        runs: runs?,
    })
}

impl Report {
    /// Writes the figures as JSON.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write(&self, path: &str) -> Result<(), Error> {
        report::write(path, self)
    }

    /// Returns the figures as a table.
    pub fn table(&self) -> String {
        self.runs.iter().map(table::format_run).collect()
    }
}
