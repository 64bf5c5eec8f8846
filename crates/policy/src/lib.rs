//! Decisions: pure functions over the board.
//!
//! A decision takes the board, the time and what happened, and returns what to
//! do. It does no I/O, reads no clock, and draws randomness only from the
//! generator on the board, so it runs the same in a daemon, a test and an
//! experiment.

pub mod admission;
pub mod call;
pub mod capacity;
pub mod claim;
pub mod credit;
pub mod demand;
pub mod dissemination;
pub mod fairness;
pub mod health;
pub mod hedge;
pub mod isolation;
pub mod lease;
pub mod limit;
pub mod lot;
pub mod membership;
pub mod owner;
pub mod relay;
pub mod retention;
pub mod retry;
pub mod routing;
pub mod staleness;
pub mod straggler;
pub mod usage;
pub mod weights;
