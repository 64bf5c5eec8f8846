//! The steward daemon.

use std::path::PathBuf;

use clap::Parser;
use miette::IntoDiagnostic;

/// Orders endpoints, puts weights in force and reports usage.
#[derive(Parser)]
#[command(name = "tarragonseam-steward", version)]
struct Arguments {
    /// The settings file.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    let settings = link::settings::load(&arguments.settings)?;
    link::log::start("tarragonseam-steward").into_diagnostic()?;
    tarragonseam_steward::run(settings).into_diagnostic()
}
