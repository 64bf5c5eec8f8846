//! The data that decisions read and write: identifiers, units, tables of
//! endpoints and requests, the configuration model, and the blackboard that
//! holds them.
//!
//! This crate performs no I/O and reads no clock.

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
