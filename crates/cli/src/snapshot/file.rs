//! The file of a snapshot: JSON with a checksum.

use std::{fs, io::Write, path::Path};

use board::key::Digest;
use miette::IntoDiagnostic;

use super::Body;
use crate::fault::Failed;

/// The form of the file that this release writes and reads.
const FORMAT: u32 = 1;

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
        format: FORMAT,
        sha256: digest(body)?,
        body: body.clone(),
    };
    let text = serde_json::to_vec_pretty(&file).into_diagnostic()?;
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".tmp");
    let unwritten = |e: std::io::Error| {
        let problem = format!("cannot write {}: {e}", path.display());
        Failed::new(
            problem,
            "check the path, its permissions and the room there",
        )
    };
    let store = || {
        let mut out = fs::File::create(&temporary)?;
        out.write_all(&text)?;
        out.sync_all()?;
        fs::rename(&temporary, path)
    };
    store().map_err(unwritten)?;
    Ok(())
}

/// Reads the snapshot at `path`.
///
/// # Errors
///
/// When it cannot be read, has another form, or was changed.
pub(crate) fn read(path: &Path) -> miette::Result<Body> {
    let fault = |problem: String, cure: &str| Failed::new(problem, cure);
    let name = path.display();
    let text =
        fs::read(path).map_err(|e| fault(format!("cannot read {name}: {e}"), "check the path"))?;
    let file: File = serde_json::from_slice(&text).map_err(|e| {
        let cure = "give a file that `snapshot save` wrote";
        fault(format!("{name} is no snapshot: {e}"), cure)
    })?;
    if file.format != FORMAT {
        let problem = format!(
            "{name} has form {}, this release reads {FORMAT}",
            file.format
        );
        return Err(fault(problem, "use the release that wrote it").into());
    }
    if digest(&file.body)? != file.sha256 {
        let problem = format!("the checksum of {name} is wrong: it was changed or damaged");
        return Err(fault(problem, "use another copy of the snapshot").into());
    }
    Ok(file.body)
}

fn digest(body: &Body) -> miette::Result<Digest> {
    let bytes = serde_json::to_vec(body).into_diagnostic()?;
    Ok(Digest::of_bytes(&bytes))
}
