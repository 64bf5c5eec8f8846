//! Errors of experiments and their results.

/// An error of running an experiment, or of reading, writing, comparing or
/// plotting its results.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum Error {
    /// No experiment has this name. The second field lists the known names.
    #[error("unknown experiment {0:?}; the experiments are: {1}")]
    UnknownExperiment(String, String),
    /// A file cannot be read or written.
    #[error("cannot access {path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Results cannot be converted from or to the JSON of a file.
    #[error("cannot convert the results of {path} from or to JSON: {source}")]
    Json {
        /// The file.
        path: String,
        /// The error of the JSON library.
        source: serde_json::Error,
    },
    /// A runtime, file or process of a measurement failed.
    #[error("cannot run the measurement: {0}")]
    Runtime(std::io::Error),
    /// The measured deployment did not start.
    #[error(transparent)]
    Deployment(#[from] fakes::Error),
    /// A command on the measured deployment failed. The field is its standard
    /// error.
    #[error("a command on the measured deployment failed: {0}")]
    Command(String),
    /// A new deployment did not answer successfully in time at this address.
    #[error("no successful answer from {0} after the deployment started")]
    NoAnswer(String),
    /// A results file does not name its experiment.
    #[error("{path} does not name its experiment")]
    #[diagnostic(help(
        "use a file written by `run --out` or one of docs/measurements; its `experiment` or \
         `command` names the experiment"
    ))]
    NoExperiment {
        /// The file.
        path: String,
    },
    /// Two files hold results of different experiments.
    #[error("{a} holds results of `{a_kind}`, but {b} holds results of `{b_kind}`")]
    #[diagnostic(help("compare two files of the same experiment"))]
    DifferentExperiments {
        /// The first file.
        a: String,
        /// The experiment of the first file.
        a_kind: String,
        /// The second file.
        b: String,
        /// The experiment of the second file.
        b_kind: String,
    },
    /// No chart is defined for an experiment.
    #[error("no chart is defined for `{kind}` ({path})")]
    #[diagnostic(help("charts are defined for: {known}"))]
    NoChart {
        /// The file.
        path: String,
        /// The experiment of the file.
        kind: String,
        /// The experiments for which charts are defined.
        known: String,
    },
    /// A chart cannot be drawn or written.
    #[error("cannot draw {path}: {problem}")]
    Draw {
        /// The file of the chart.
        path: String,
        /// The error of the plotting library.
        problem: String,
    },
    /// The path of the daemons' program is missing.
    #[error("`entry` needs --program with the path of the `tarragonseam` program")]
    NoProgram,
}
