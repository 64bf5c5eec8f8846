//! What can go wrong with an experiment.

/// Why an experiment was not run, kept or compared.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum Error {
    /// There is no experiment of that name.
    #[error("no experiment {0:?}; there are: {1}")]
    UnknownExperiment(String, String),
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
    NoAnswer(String),
    /// A file of results does not say what was measured.
    #[error("{path} does not say which experiment it is of")]
    #[diagnostic(help(
        "give a file that `run --out` wrote, or one of docs/measurements; its `experiment` or \
         `command` names the experiment"
    ))]
    NoExperiment {
        /// The file.
        path: String,
    },
    /// Two files are of different experiments.
    #[error("{a} is of `{a_kind}`, {b} of `{b_kind}`")]
    #[diagnostic(help("compare two files of the same experiment"))]
    DifferentExperiments {
        /// The first file.
        a: String,
        /// What it is of.
        a_kind: String,
        /// The second file.
        b: String,
        /// What it is of.
        b_kind: String,
    },
    /// There is no chart for an experiment.
    #[error("no chart is defined for `{kind}` ({path})")]
    #[diagnostic(help("charts are defined for: {known}"))]
    NoChart {
        /// The file.
        path: String,
        /// What it is of.
        kind: String,
        /// The experiments with charts.
        known: String,
    },
    /// A chart cannot be drawn or written.
    #[error("{path}: {problem}")]
    Draw {
        /// The file of the chart.
        path: String,
        /// What the library says.
        problem: String,
    },
    /// A measurement of processes needs the program that has them.
    #[error("`entry` needs --program with the path of tarragonseam")]
    NoProgram,
}
