//! What can go wrong with an experiment.

/// Why an experiment was not run, kept or compared.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is no experiment of that name.
    #[error("no experiment {0:?}; there are: {1}")]
    Name(String, String),
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// A file does not hold results.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: String,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// A runtime, file or process of a measurement failed.
    #[error("cannot run: {0}")]
    Runtime(std::io::Error),
    /// A deployment did not come up.
    #[error(transparent)]
    Deployment(#[from] fakes::Error),
    /// A command on a deployment failed.
    #[error("command failed: {0}")]
    Command(String),
    /// An address gave no good answer in time.
    #[error("no good answer from {0}")]
    Silent(String),
    /// A measurement of processes needs the program that has them.
    #[error("`entry` needs --program with the path of tarragonseam")]
    Program,
}
