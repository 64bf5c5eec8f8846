//! Runs experiments with decisions and compares their results.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use tarragonseam_lab::{Error, Measurement, entry, experiment, measurement, plot, report, spend};

/// Experiments with decisions: state machines of many VMs in one process.
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
    /// Prints two results of one experiment side by side.
    Compare {
        /// The file of results before.
        a: String,
        /// The file of results after.
        b: String,
    },
    /// Draws results as SVG charts.
    Plot {
        /// The file of results.
        file: String,
        /// The folder for the charts.
        #[arg(long)]
        out: PathBuf,
    },
}

/// What an experiment is run with.
#[derive(Debug, Args)]
struct Run {
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
}

/// The experiment with real processes.
const ENTRY_EXPERIMENT: &str = "entry";
/// The experiment with the cost of endpoints.
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
