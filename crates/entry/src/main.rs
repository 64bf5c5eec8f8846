//! The entry daemon.

use std::path::PathBuf;

use clap::Parser;
use miette::IntoDiagnostic;

/// Answers callers and trainers of one VM.
#[derive(Parser)]
#[command(name = "tarragonseam-entry", version)]
struct Arguments {
    /// The settings file.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    let settings = link::settings::load(&arguments.settings)?;
    link::log::start("tarragonseam-entry").into_diagnostic()?;
    tarragonseam_entry::run(settings).into_diagnostic()
}
