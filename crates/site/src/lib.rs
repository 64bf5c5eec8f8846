//! One VM on the users' platform: it answers callers and trainers, runs the
//! items of jobs, and takes its turn at the duties that one VM has at a time.
//!
//! What must last lives in the platform's store; a VM keeps nothing of its
//! own, so any of them can go on where another one stopped.

pub(crate) mod components;
pub mod coordinator;
pub mod duty;
pub mod expiry;
pub mod facts;
pub mod follow;
pub mod forward;
pub mod front;
pub mod job;
pub mod latency;
pub mod metrics;
pub mod mirror;
pub mod notify;
pub mod peer;
pub mod placement;
pub mod reload;
pub(crate) mod retention;
pub mod signal;
pub(crate) mod stream;
pub mod usage;
pub mod vm;

pub use vm::{Arguments, run};
