//! Why a stand-in could not start or a driver's call failed.

use std::{io, path::PathBuf};

/// A failure of a stand-in or of a driver.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket or the runtime failed.
    #[error("cannot listen or run: {0}")]
    Io(#[from] io::Error),
    /// An initial list could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// An initial list is malformed.
    #[error("cannot parse {path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: Box<toml::de::Error>,
    },
    /// A call of a driver failed.
    #[error("call failed: {0}")]
    Call(#[from] link::http::Error),
    /// An answer is not the JSON that was expected.
    #[error("unexpected answer: {0}")]
    Json(#[from] serde_json::Error),
    /// Something did not come about in time.
    #[error("not in time: {0}")]
    Deployment(String),
    /// A stand-in ended before it listened.
    #[error("the stand-in ended before it listened")]
    NotStarted,
}
