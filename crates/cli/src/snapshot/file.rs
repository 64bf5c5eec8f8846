//! The file of a snapshot: JSON with a checksum.

use std::{fs, io::Write, path::Path};

use board::key::Digest;
use miette::IntoDiagnostic;

use super::Body;
use crate::error::Failure;

/// The form of the file that this release writes and reads.
const FORMAT_VERSION: u32 = 1;

board::record! {
    /// A file.
    struct File {
        /// The form.
        format: u32,
        /// The SHA-256 of the body as JSON without spaces.
        sha256: Digest,
        /// The body.
        body: Body,
    }
}

/// Writes `body` to `path`, whole or not at all.
///
/// # Errors
///
/// When the file cannot be written.
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
            "check the path, its permissions and the room there",
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
/// When it cannot be read, has another form, or was changed.
pub(crate) fn read(path: &Path) -> miette::Result<Body> {
    let failure = |problem: String, help: &str| Failure::new(problem, help);
    let name = path.display();
    let text = fs::read(path)
        .map_err(|e| failure(format!("cannot read {name}: {e}"), "check the path"))?;
    let file: File = serde_json::from_slice(&text).map_err(|e| {
        let help = "give a file that `snapshot save` wrote";
        failure(format!("{name} is no snapshot: {e}"), help)
    })?;
    if file.format != FORMAT_VERSION {
        let problem = format!(
            "{name} has form {}, this release reads {FORMAT_VERSION}",
            file.format
        );
        return Err(failure(problem, "use the release that wrote it").into());
    }
    if compute_digest(&file.body)? != file.sha256 {
        let problem = format!("the checksum of {name} is wrong: it was changed or damaged");
        return Err(failure(problem, "use another copy of the snapshot").into());
    }
    Ok(file.body)
}

fn compute_digest(body: &Body) -> miette::Result<Digest> {
    let bytes = serde_json::to_vec(body).into_diagnostic()?;
    Ok(Digest::of_bytes(&bytes))
}
