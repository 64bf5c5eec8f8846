//! Errors of the fakes, of deployments and of blocking calls.

use std::{io, path::PathBuf};

/// An error of a fake, a deployment or a blocking call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket, a file, the start of a process or the runtime failed.
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
    /// A file with initial VMs or endpoints cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file with initial VMs or endpoints is malformed.
    #[error("cannot parse {path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The error of the parser.
        source: Box<toml::de::Error>,
    },
    /// An HTTP call failed.
    #[error("HTTP call failed: {0}")]
    Call(#[from] link::http::Error),
    /// An answer is not JSON of the expected type.
    #[error("cannot decode the answer: {0}")]
    Json(#[from] serde_json::Error),
    /// A deployment has no free ports, or one of its processes cannot be
    /// signalled or does not reach the expected state in time.
    #[error("deployment: {0}")]
    Deployment(String),
    /// A fake in a thread ended before it listened, or did not listen in time.
    #[error("the fake did not start to listen")]
    NotStarted,
}
