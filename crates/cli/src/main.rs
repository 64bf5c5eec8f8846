//! The `tarragonseam` command for operators.

use clap::Parser;

fn main() -> miette::Result<()> {
    tarragonseam_cli::run(tarragonseam_cli::Arguments::parse())
}
