//! Errors of the command line, with the place and the cure.

use board::config;
use miette::{Diagnostic, NamedSource, SourceSpan};

/// One fault in an operator's file.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{file}: {problem}")]
pub(crate) struct File {
    file: String,
    problem: String,
    #[help]
    cure: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
}

impl File {
    /// Returns the fault as a report with the text that it is about.
    pub(crate) fn new(fault: config::Fault, text: String) -> Self {
        Self {
            text: NamedSource::new(&fault.file, text),
            file: fault.file,
            problem: fault.problem,
            cure: fault.help,
            span: fault.span.map(SourceSpan::from),
        }
    }
}

/// Every fault of a set of files.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("the configuration has {} faults", faults.len())]
pub(crate) struct Set {
    #[related]
    pub(crate) faults: Vec<File>,
}

/// A command that failed.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{problem}")]
pub(crate) struct Failed {
    problem: String,
    #[help]
    cure: String,
}

impl Failed {
    pub(crate) fn new(problem: impl Into<String>, cure: &str) -> Self {
        Self {
            problem: problem.into(),
            cure: cure.to_string(),
        }
    }
}
