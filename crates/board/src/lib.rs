//! The state that decisions read and write: ids, units, arenas, the model of
//! the configuration and the blackboard itself.
//!
//! Nothing here does I/O or reads a clock.

pub mod blackboard;
pub mod budget;
pub mod capacity;
pub mod config;
pub mod endpoint;
pub mod hash;
pub mod histogram;
pub mod key;
pub mod latency;
pub mod lease;
pub mod limit;
pub mod lot;
pub mod member;
pub mod queue;
mod record;
pub mod retention;
pub mod service;
pub mod shared;
pub mod throughput;
pub mod ticket;
pub mod time;
pub mod usage;
pub mod weights;

pub use blackboard::Board;
pub use time::Time;
