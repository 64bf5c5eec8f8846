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
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file contains no certificate or no key.
    #[error("{path} contains no {kind} in PEM format")]
    Empty {
        /// The file.
        path: PathBuf,
        /// What the file should contain.
        kind: &'static str,
    },
    /// The certificate or the key is not supported, or they do not belong
    /// together.
    #[error("cannot use the key in {path} with its certificate: {problem}")]
    Rejected {
        /// The file of the key.
        path: PathBuf,
        /// Why they cannot be used.
        problem: String,
    },
}
