//! The start of a daemon: its settings, its logs, then its work.

use std::path::Path;

use miette::IntoDiagnostic;
use serde::de::DeserializeOwned;

use crate::{log, settings};

/// Reads the settings in `path` and runs the daemon `name` with them.
///
/// # Errors
///
/// A report on the settings, or what the daemon could not start with.
pub fn run<S, E>(name: &str, path: &Path, run: fn(S) -> Result<(), E>) -> miette::Result<()>
where
    S: DeserializeOwned,
    E: std::error::Error + Send + Sync + 'static,
{
    let settings = settings::load(path)?;
    log::start(name).into_diagnostic()?;
    run(settings).into_diagnostic()
}
