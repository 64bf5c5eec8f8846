//! Runs one fake until it is stopped.

use std::process::ExitCode;

use clap::Parser;
use tarragonseam_fakes::{Config, serve};

/// Fakes of the systems around tarragonseam.
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
