//! The entry daemon.

use std::path::PathBuf;

use clap::Parser;

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
    link::daemon::run(
        "tarragonseam-entry",
        &arguments.settings,
        tarragonseam_entry::run,
    )
}
