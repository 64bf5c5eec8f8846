//! The state that decisions read and write: ids, units, arenas, the model of
//! the configuration and the blackboard itself.
//!
//! Nothing here does I/O or reads a clock.

pub mod blackboard;
pub mod capacity;
pub mod config;
pub mod endpoint;
pub mod hash;
pub mod key;
pub mod lease;
pub mod lot;
mod record;
pub mod ticket;
pub mod time;
pub mod usage;

pub use blackboard::Board;
pub use time::Time;
