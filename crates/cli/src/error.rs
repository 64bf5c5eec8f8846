//! Errors of the command line, with their position in a file and advice for the
//! operator.

use board::config;
use miette::{Diagnostic, NamedSource, SourceSpan};

/// One fault in a configuration file.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{file}: {problem}")]
pub(crate) struct FileFault {
    file: String,
    problem: String,
    #[help]
    help: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
}

impl FileFault {
    /// Returns a report of `fault`, which quotes `text` at the position of the
    /// fault.
    pub(crate) fn new(fault: config::Fault, text: String) -> Self {
        Self {
            text: NamedSource::new(&fault.file, text),
            file: fault.file,
            problem: fault.problem,
            help: fault.help,
            span: fault.span.map(SourceSpan::from),
        }
    }
}

/// All faults found in the configuration files.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("the configuration has {} faults", faults.len())]
pub(crate) struct InvalidConfig {
    #[related]
    pub(crate) faults: Vec<FileFault>,
}

/// The failure of a command, with advice for the operator.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{problem}")]
pub(crate) struct Failure {
    problem: String,
    #[help]
    help: String,
}

impl Failure {
    pub(crate) fn new(problem: impl Into<String>, help: &str) -> Self {
        Self {
            problem: problem.into(),
            help: help.to_string(),
        }
    }
}
