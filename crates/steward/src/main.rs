//! The steward daemon.

use std::path::PathBuf;

use clap::Parser;

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
    link::daemon::run(
        "tarragonseam-steward",
        &arguments.settings,
        tarragonseam_steward::run,
    )
}
