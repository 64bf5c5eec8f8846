//! Reading of settings files, with errors that name the file and the place.

use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

/// Why a settings file cannot be used.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read settings file {file}: {source}")]
    #[diagnostic(help("check the path given with --settings and its permissions"))]
    Read {
        /// The file.
        file: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not TOML of the right shape.
    #[error("bad settings in {}: {problem}", text.name())]
    #[diagnostic(help("see docs/OPERATING.md for every setting"))]
    Parse {
        /// What is wrong.
        problem: String,
        /// The text of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Where it is wrong.
        #[label("here")]
        span: Option<SourceSpan>,
    },
}

/// Reads the settings in `path`.
///
/// # Errors
///
/// An [`Error`] that names the file, the place and what to do.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        file: file.clone(),
        source,
    })?;
    toml::from_str(&text).map_err(|e| Error::Parse {
        problem: e.message().to_string(),
        text: NamedSource::new(&file, text.clone()),
        span: e.span().map(SourceSpan::from),
    })
}
