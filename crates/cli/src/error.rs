//! Errors of the command line, with the place and the cure.

use board::config;
use miette::{Diagnostic, NamedSource, SourceSpan};

/// One fault in an operator's file.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{file}: {problem}")]
pub(crate) struct InvalidFile {
    file: String,
    problem: String,
    #[help]
    help: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
}

impl InvalidFile {
    /// Returns the fault as a report with the text that it is about.
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

/// Every fault of a set of files.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("the configuration has {} faults", faults.len())]
pub(crate) struct InvalidConfig {
    #[related]
    pub(crate) faults: Vec<InvalidFile>,
}

/// A command that failed.
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
