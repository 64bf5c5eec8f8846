//! Runs experiments with decisions and compares their results.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};
use tarragonseam_lab::{Error, entry, experiment, report};

/// Experiments with decisions: state machines of many VMs in one process.
#[derive(Debug, Parser)]
#[command(version)]
struct Command {
    #[command(subcommand)]
    job: Job,
}

#[derive(Debug, Subcommand)]
enum Job {
    /// Runs an experiment and prints its table.
    Run {
        /// The name of the experiment.
        name: String,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, one after another.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Where to write the results as JSON.
        #[arg(long)]
        out: Option<String>,
        /// For `entry`: the program with the daemons.
        #[arg(long)]
        program: Option<PathBuf>,
        /// For `entry`: the seconds of each phase.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// For `entry`: the number of VMs, both 1 and 2 when not given.
        #[arg(long)]
        vms: Option<usize>,
        /// For `entry`: calls a second of the open loops, each way, half of
        /// the highest rate when not given.
        #[arg(long)]
        rate: Option<f64>,
    },
    /// Prints two results side by side.
    Compare {
        /// One file of results.
        a: String,
        /// Another one.
        b: String,
    },
}

/// The experiment with real processes.
const ENTRY: &str = "entry";

fn run(job: Job) -> Result<(), Error> {
    match job {
        Job::Run {
            name,
            seed,
            out,
            program,
            seconds,
            vms,
            rate,
            ..
        } if name == ENTRY => {
            let config = entry::Config::new(program.ok_or(Error::Program)?);
            let config = config.seconds(seconds).seed(seed).vms(vms).rate(rate);
            let report = entry::run(&config)?;
            print!("{}", report.table());
            out.map_or(Ok(()), |path| report.write(&path))
        }
        Job::Run {
            name,
            seed,
            seeds,
            out,
            ..
        } => {
            let setups = experiment::setups(&name)?;
            let seeds: Vec<_> = (seed..seed + seeds).collect();
            let file = report::File::new(&name, experiment::run(&setups, &seeds));
            print!("{}", file.table());
            out.map_or(Ok(()), |path| file.write(&path))
        }
        Job::Compare { a, b } => {
            let (a, b) = (report::File::read(&a)?, report::File::read(&b)?);
            print!("{}", report::compare(&a, &b));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(Command::parse().job) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("tarragonseam-experiment: {e}");
            ExitCode::FAILURE
        }
    }
}
