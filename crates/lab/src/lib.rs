//! Experiments that compare routing decisions in simulated deployments.
//!
//! Each simulated VM has its own board and runs the functions of `policy` on
//! it, as the daemons do. Endpoints are modelled as slots and queues, messages
//! as delays, and time is simulated, so the results do not depend on the load
//! of the machine. They leave out the cost of sockets, parsing and scheduling;
//! [`entry`] measures it with real processes.
//!
//! # Examples
//!
//! ```
//! use tarragonseam_lab::{Plan, Setup, Strategy};
//!
//! let setup = Setup::new(Plan::festival(), Strategy::Independent).load(0.7).seconds(2);
//! let result = tarragonseam_lab::run(&setup, 7);
//! assert!(result.services["entries"].answered > 0);
//! ```

pub(crate) mod account;
pub(crate) mod endpoint;
pub mod entry;
pub mod error;
pub mod experiment;
pub mod measurement;
pub mod plan;
pub mod plot;
pub mod report;
pub mod result;
pub(crate) mod simulation;
pub mod spend;
pub(crate) mod traffic;
pub(crate) mod vm;

pub use error::Error;
pub use measurement::Measurement;
pub use plan::{Plan, Setup, Strategy};
pub use result::{Cell, Summary};
pub use simulation::run;
