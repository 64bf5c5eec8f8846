//! Measures what control costs a VM, and how long changes take: with many VMs'
//! decisions in one process, or with processes of a deployment.

mod decisions;
mod process;
mod processes;
mod row;
mod traffic;

use std::{path::PathBuf, time::Duration};

use clap::Parser;

use row::Row;

/// The failure domains of a swarm, as many as it asks for.
const DOMAINS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// The failure domains of a deployment of processes.
const PROCESS_DOMAINS: &[&str] = &["a", "b", "c"];

/// Measures control.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Many VMs' decisions in one process, over a made-up network.
    Decisions {
        /// VMs, endpoints and failure domains of each run, as `390x6100x8`.
        sizes: Vec<String>,
        /// Simulated seconds of the quiet part.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// An entry and a steward process for each VM, on loopback.
    Processes {
        /// The program with the daemons.
        #[arg(long)]
        program: PathBuf,
        /// The operators' files.
        #[arg(long, default_value = "examples/cider-festival")]
        tree: PathBuf,
        /// VMs of each run.
        vms: Vec<usize>,
        /// Seconds of the quiet part.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
        /// Seconds between the start and the quiet part.
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
                settle: Duration::from_secs(settle),
                quiet: Duration::from_secs(seconds),
            };
            let run = |count| link::runtime::run(processes::run(&setup, count));
            vms.into_iter()
                .map(|count| run(count).expect("a runtime"))
                .collect()
        }
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&rows).unwrap_or_default()
    );
}
