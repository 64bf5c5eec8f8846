//! The process of one VM on the users' platform.

use clap::Parser;

fn main() -> miette::Result<()> {
    Ok(tarragonseam_site::run(
        &tarragonseam_site::Arguments::parse(),
    )?)
}
