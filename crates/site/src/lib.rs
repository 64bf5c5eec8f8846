//! One VM on the users' platform. It serves callers and trainers and runs the
//! items of jobs. The VM that holds the duty lease also performs the duties.
//!
//! All durable state is in the platform's store, except for what began each
//! stream, which VMs with disks keep ([`origin`]). So any VM can continue the
//! work of another one.

pub mod ask;
pub(crate) mod components;
pub mod coordinator;
pub mod crash;
pub mod duty;
pub mod expiry;
pub mod facts;
pub mod follow;
pub mod forward;
pub mod front;
pub mod gateway;
pub mod job;
pub mod latency;
pub mod member;
pub mod metrics;
pub mod mirror;
pub mod notify;
pub mod origin;
pub(crate) mod pace;
pub mod path;
pub mod peer;
pub mod permit;
pub mod placement;
pub mod prompt;
pub mod reload;
pub(crate) mod retention;
pub mod room;
pub mod signal;
pub(crate) mod stop;
pub(crate) mod storage;
pub(crate) mod stream;
pub mod usage;
pub mod vm;

pub use vm::{Arguments, run};
