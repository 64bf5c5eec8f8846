//! The main function of a daemon: reads the command line and the settings,
//! starts logging, then runs the daemon.

use std::path::{Path, PathBuf};

use clap::{Args, Command, FromArgMatches};
use miette::IntoDiagnostic;
use serde::de::DeserializeOwned;

use crate::{log, settings};

/// The command line arguments of every daemon.
#[derive(Args)]
struct Arguments {
    /// The settings file.
    #[arg(long)]
    settings: PathBuf,
}

/// Reads the command line of the daemon `name`, which is described by `about`
/// in its help, and runs the daemon with `start`.
///
/// # Errors
///
/// As [`run`].
pub fn main<S, E>(
    name: &'static str,
    about: &'static str,
    start: fn(S) -> Result<(), E>,
) -> miette::Result<()>
where
    S: DeserializeOwned,
    E: std::error::Error + Send + Sync + 'static,
{
    let command = Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"));
    let matches = Arguments::augment_args(command).get_matches();
    let arguments = Arguments::from_arg_matches(&matches).into_diagnostic()?;
    run(name, &arguments.settings, start)
}

/// Reads the settings in `path` and runs the daemon `name` with them.
///
/// # Errors
///
/// A report on the settings file, or the error of the log or of `start`.
pub fn run<S, E>(name: &str, path: &Path, start: fn(S) -> Result<(), E>) -> miette::Result<()>
where
    S: DeserializeOwned,
    E: std::error::Error + Send + Sync + 'static,
{
    let settings = settings::load(path)?;
    log::start(name).into_diagnostic()?;
    start(settings).into_diagnostic()
}
