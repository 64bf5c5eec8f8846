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
}
