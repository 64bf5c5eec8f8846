//! Fakes of the systems around tarragonseam, with the interfaces of
//! `docs/INTERFACES.md`.
//!
//! Each fake runs as a subcommand of the `tarragonseam-fakes` program or,
//! through [`spawn`], in a thread of a test. Every fake accepts fault switches
//! at `POST /fault` and reports counters at `GET /stats`.
//!
//! Where `docs/INTERFACES.md` does not define the behaviour, the fakes behave
//! as follows:
//!
//! - An engine serves requests of a higher `priority` first.
//! - The `tokens` of a stream's last event include the resumed tokens.
//! - An order for more endpoints than are spare starts all the spare ones.
//! - Two usage reports of a window are equal if their figures are equal,
//!   whatever the order of the figures and the epoch of the report.
//! - The switch `gone` cuts every call and stream of a fake, as the loss of
//!   its VM would; `platform --cut-gone` sets it on the endpoints that the
//!   platform lists as gone.
//! - `POST /v1/vms` on the platform replaces the list of VMs.
//! - The log of an engine also contains the orders that it accepted or
//!   rejected.
//! - `POST /fault` without a body returns the current switches.
//!
//! # Examples
//!
//! ```
//! use link::http::client::Call;
//! use tarragonseam_fakes::{Config, blocking, scorer, spawn};
//!
//! let scorer = spawn(Config::Scorer(scorer::Config::default()))?;
//! let health = blocking::fetch(scorer.address(), Call::get("/health"))?;
//! assert_eq!(health.status, 200);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub(crate) mod batch;
pub mod blocking;
pub(crate) mod bucket;
pub(crate) mod clock;
pub mod crowd;
pub mod deployment;
pub mod engine;
pub mod error;
pub mod fault;
pub(crate) mod host;
pub mod metrics;
pub mod platform;
pub mod run;
pub mod scorer;
pub mod script;
pub mod seeds;
pub mod service;
pub(crate) mod signal;
pub mod site;
pub(crate) mod stats;
pub mod swarm;
mod target;
pub mod text;
pub mod weights;

pub use error::Error;
pub use run::{Bind, Config, Handle, serve, spawn};
