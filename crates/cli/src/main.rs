//! The operators' command line.

use clap::Parser;

fn main() -> miette::Result<()> {
    tarragonseam_cli::run(tarragonseam_cli::Arguments::parse())
}
