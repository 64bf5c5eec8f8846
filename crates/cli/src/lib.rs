//! The command line for operators, as a library.

pub(crate) mod announce;
pub mod command;
pub(crate) mod demo;
pub(crate) mod diff;
pub(crate) mod error;
pub(crate) mod explain;
pub(crate) mod files;
pub(crate) mod keys;
pub(crate) mod publish;
pub(crate) mod snapshot;
pub(crate) mod status;
pub(crate) mod trace;

pub use command::{Arguments, run};
