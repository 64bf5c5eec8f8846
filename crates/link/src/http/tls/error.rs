//! Why a certificate cannot be used.

use std::{io, path::PathBuf};

/// Why a certificate and its key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file does not hold what it should.
    #[error("{path} holds no {kind} in PEM")]
    Empty {
        /// The file.
        path: PathBuf,
        /// What is missed.
        kind: &'static str,
    },
    /// The library does not take the certificate or the key.
    #[error("cannot use the key in {path} with its certificate: {problem}")]
    Rejected {
        /// The file of the key.
        path: PathBuf,
        /// What the library says.
        problem: String,
    },
}
