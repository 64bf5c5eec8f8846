//! The file format of snapshots: JSON with a checksum.

use std::{fs, io::Write, path::Path};

use board::key::Digest;
use miette::IntoDiagnostic;

use super::Body;
use crate::error::Failure;

/// The version of the file format that this release writes and reads.
const FORMAT_VERSION: u32 = 1;

board::record! {
    /// The content of a file.
    struct File {
        /// The version of the file format.
        format: u32,
        /// The SHA-256 digest of the body as compact JSON.
        sha256: Digest,
        /// The objects of the snapshot.
        body: Body,
    }
}

/// Writes `body` to `path` atomically, by renaming a temporary file.
///
/// # Errors
///
/// When the file cannot be written. An older file at `path` is then unchanged.
pub(crate) fn write(path: &Path, body: &Body) -> miette::Result<()> {
    let file = File {
        format: FORMAT_VERSION,
        sha256: compute_digest(body)?,
        body: body.clone(),
    };
    let text = serde_json::to_vec_pretty(&file).into_diagnostic()?;
    let mut temporary_path = path.as_os_str().to_owned();
    temporary_path.push(".tmp");
    let write_error = |e: std::io::Error| {
        let problem = format!("cannot write {}: {e}", path.display());
        Failure::new(
            problem,
            "check the path, its permissions and the free disk space",
        )
    };
    let write_and_rename = || {
        let mut temporary_file = fs::File::create(&temporary_path)?;
        temporary_file.write_all(&text)?;
        temporary_file.sync_all()?;
        fs::rename(&temporary_path, path)
    };
    write_and_rename().map_err(write_error)?;
    Ok(())
}

/// Reads the snapshot at `path`.
///
/// # Errors
///
/// When the file cannot be read, has another format, or does not match its
/// checksum.
pub(crate) fn read(path: &Path) -> miette::Result<Body> {
    let failure = |problem: String, help: &str| Failure::new(problem, help);
    let name = path.display();
    let text = fs::read(path)
        .map_err(|e| failure(format!("cannot read {name}: {e}"), "check the path"))?;
    let file: File = serde_json::from_slice(&text).map_err(|e| {
        let help = "pass a file that `snapshot save` wrote";
        failure(format!("not a snapshot: {name}: {e}"), help)
    })?;
    if file.format != FORMAT_VERSION {
        let problem = format!(
            "format {} of {name} is not supported; this release reads format {FORMAT_VERSION}",
            file.format
        );
        return Err(failure(problem, "use the release that wrote the snapshot").into());
    }
    if compute_digest(&file.body)? != file.sha256 {
        let problem = format!("wrong checksum in {name}: the file was modified or damaged");
        return Err(failure(problem, "use another copy of the snapshot").into());
    }
    Ok(file.body)
}

fn compute_digest(body: &Body) -> miette::Result<Digest> {
    let bytes = serde_json::to_vec(body).into_diagnostic()?;
    Ok(Digest::of_bytes(&bytes))
}
