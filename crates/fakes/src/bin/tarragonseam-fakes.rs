//! Runs one stand-in until it is stopped.

use std::process::ExitCode;

use clap::Parser;
use tarragonseam_fakes::{Config, serve};

/// Stand-ins for the systems around tarragonseam.
#[derive(Debug, Parser)]
#[command(version)]
struct Command {
    #[command(subcommand)]
    config: Config,
}

fn main() -> ExitCode {
    match serve(Command::parse().config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("tarragonseam-fakes: {e}");
            ExitCode::FAILURE
        }
    }
}
