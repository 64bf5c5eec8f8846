//! Runs experiments, compares their results and plots them.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use tarragonseam_lab::{Error, Measurement, entry, experiment, measurement, plot, report, spend};

/// Runs experiments with simulated deployments or real processes, compares their
/// results and plots them.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an experiment and prints its table.
    Run(Run),
    /// Compares two results files of one experiment.
    Compare {
        /// The results file before a change.
        a: String,
        /// The results file after a change.
        b: String,
    },
    /// Plots results as SVG charts.
    Plot {
        /// The results file.
        file: String,
        /// The folder for the charts.
        #[arg(long)]
        out: PathBuf,
    },
}

/// The parameters of a run.
#[derive(Debug, Args)]
struct Run {
    /// The name of the experiment.
    name: String,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of consecutive seeds.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// The file to which the results are written as JSON.
    #[arg(long)]
    out: Option<String>,
    /// For `entry`: the path of the `tarragonseam` program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// For `entry`: the duration of each phase in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// For `entry`: the number of VMs; runs with 1 and with 2 by default.
    #[arg(long)]
    vms: Option<usize>,
    /// For `entry`: calls per second of the open loops, both direct and through
    /// the entry daemon; half of the highest rate by default.
    #[arg(long)]
    rate: Option<f64>,
}

/// The experiment that measures an entry daemon with real processes.
const ENTRY_EXPERIMENT: &str = "entry";
/// The experiment that simulates the cost of endpoints.
const SPEND_EXPERIMENT: &str = "spend";

impl Run {
    fn run(self) -> Result<(), Error> {
        match self.name.as_str() {
            ENTRY_EXPERIMENT => self.run_entry(),
            SPEND_EXPERIMENT => {
                let report = spend::Report::new(&self.seeds());
                print!("{}", report.table());
                self.out.map_or(Ok(()), |path| report.write(&path))
            }
            name => {
                let setups = experiment::setups(name)?;
                let cells = experiment::run(&setups, &self.seeds());
                let report = report::Report::new(name, cells);
                print!("{}", report.table());
                self.out.map_or(Ok(()), |path| report.write(&path))
            }
        }
    }

    fn run_entry(self) -> Result<(), Error> {
        let config = entry::Config::new(self.program.ok_or(Error::NoProgram)?);
        let config = config.seconds(self.seconds).seed(self.seed);
        let report = entry::run(&config.vms(self.vms).rate(self.rate))?;
        print!("{}", report.table());
        self.out.map_or(Ok(()), |path| report.write(&path))
    }

    fn seeds(&self) -> Vec<u64> {
        (self.seed..self.seed + self.seeds).collect()
    }
}

fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Run(run) => run.run(),
        Command::Compare { a, b } => {
            let (a, b) = (Measurement::read(&a)?, Measurement::read(&b)?);
            print!("{}", measurement::compare(&a, &b)?);
            Ok(())
        }
        Command::Plot { file, out } => {
            for path in plot::draw(&Measurement::read(&file)?, &out)? {
                println!("{}", path.display());
            }
            Ok(())
        }
    }
}

fn main() -> miette::Result<()> {
    Ok(run(Arguments::parse().command)?)
}
