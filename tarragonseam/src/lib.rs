//! The coordination logic of a rollout service for reinforcement learning.
//!
//! [`board`] holds the state that one VM knows, and [`policy`] makes decisions
//! based on that state. Neither does I/O or reads a clock, so both behave the
//! same in a daemon, a test and a simulation.
//!
//! # Examples
//!
//! A lease is acquired and then expires. The time is passed as a parameter:
//!
//! ```
//! use tarragonseam::{
//!     board::{Time, lease::{Lease, Terms}},
//!     policy::lease::{self, Outcome, Step},
//! };
//!
//! let terms = Terms::default();
//! let mut lease = Lease::default();
//! let start = Time::from_millis(60_000);
//! assert_eq!(lease::step(&mut lease, start, terms, "vm-1"), Step::Read);
//! lease::record_read(&mut lease, start, None, terms);
//! let Step::Write { record, .. } = lease::step(&mut lease, start, terms, "vm-1") else {
//!     panic!("an absent lease is free");
//! };
//! lease::record_write(&mut lease, start, record, Outcome::Written(1), terms);
//! assert_eq!(lease::epoch(&lease, start), Some(1));
//! assert_eq!(lease::epoch(&lease, start + terms.ttl), None);
//! ```

pub use board;
pub use policy;
