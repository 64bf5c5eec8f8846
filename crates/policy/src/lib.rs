//! Policy decisions as functions of the [`board::Board`].
//!
//! A decision takes the board, the current time and an event, updates the board
//! and returns the actions to perform. It does no I/O, reads no clock, and
//! draws randomness only from the board's seeded generator, so a daemon, a test
//! and an experiment run the same code.

pub mod admission;
pub mod call;
pub mod capacity;
pub mod claim;
pub mod cold;
pub mod crash;
pub mod credit;
pub mod demand;
pub mod deputy;
pub mod dissemination;
pub mod estimate;
pub mod execution;
pub mod fairness;
pub mod health;
pub mod hedge;
pub mod isolation;
pub mod item;
pub mod lease;
pub mod limit;
pub mod lot;
pub mod membership;
pub mod owner;
pub mod path;
pub mod prompt;
pub mod rate;
pub mod relay;
pub mod replica;
pub mod retention;
pub mod retry;
pub mod room;
pub mod routing;
pub mod schedule;
pub mod staleness;
pub mod stop;
pub mod straggler;
pub mod usage;
pub mod weights;
