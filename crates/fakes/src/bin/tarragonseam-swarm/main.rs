//! Measures the cost of control traffic per VM, and the time that changes take to
//! reach all VMs, with simulated VMs in one process or with the processes of a
//! deployment.

mod decisions;
mod process;
mod processes;
mod row;
mod traffic;

use std::{path::PathBuf, time::Duration};

use clap::Parser;

use row::Row;

/// The failure domains of simulated VMs; a run uses the first ones.
const DOMAINS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// The failure domains of a deployment.
const PROCESS_DOMAINS: &[&str] = &["a", "b", "c"];

/// Measures the cost of control traffic and the propagation time of changes.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Simulate many VMs in one process, without sockets.
    Decisions {
        /// Numbers of VMs, endpoints and failure domains of each run, such as
        /// `390x6100x8`.
        sizes: Vec<String>,
        /// Simulated seconds of the measurement without changes.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// Run an entry and a steward process for each VM, on loopback.
    Processes {
        /// The command-line program, which runs the daemons.
        #[arg(long)]
        program: PathBuf,
        /// The folder with the operators' files.
        #[arg(long, default_value = "examples/cider-festival")]
        tree: PathBuf,
        /// Number of VMs of each run.
        vms: Vec<usize>,
        /// Seconds of the measurement without changes.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
        /// Seconds between the start and the measurement without changes.
        #[arg(long, default_value_t = 5)]
        settle: u64,
    },
}

fn main() {
    let rows: Vec<Row> = match Arguments::parse().command {
        Command::Decisions { sizes, seconds } => sizes
            .iter()
            .map(|size| decisions::run(size, seconds))
            .collect(),
        Command::Processes {
            program,
            tree,
            vms,
            seconds,
            settle,
        } => {
            let setup = processes::Setup {
                program,
                tree,
                stabilization_time: Duration::from_secs(settle),
                quiet_time: Duration::from_secs(seconds),
            };
            let run = |count| link::runtime::run(processes::run(&setup, count));
            vms.into_iter()
                .map(|count| run(count).expect("the runtime should start"))
                .collect()
        }
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&rows).unwrap_or_default()
    );
}
