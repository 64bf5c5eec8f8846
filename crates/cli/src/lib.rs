//! The operators' command line as a library.

pub(crate) mod announce;
pub(crate) mod collect;
pub mod command;
pub(crate) mod demo;
pub(crate) mod diff;
pub(crate) mod explain;
pub(crate) mod fault;
pub(crate) mod keys;
pub(crate) mod publish;
pub(crate) mod snapshot;
pub(crate) mod status;
pub(crate) mod trace;

pub use command::{Arguments, run};
