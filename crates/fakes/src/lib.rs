//! Stand-ins for the systems around tarragonseam, at the interfaces of
//! `docs/INTERFACES.md`.
//!
//! Each stand-in runs as a subcommand of the `tarragonseam-fakes` program or,
//! through [`spawn`], in a thread of a test. All of them take fault switches
//! at `POST /fault` and report counters at `GET /stats`.
//!
//! Where the page of interfaces leaves room, the stand-ins do this:
//!
//! - An engine serves a higher `priority` first.
//! - The `tokens` of a stream's last event count the resumed ones as well.
//! - An order for more endpoints than are spare gets those that there are.
//! - Usage reports of a window are the same when their figures are, in any
//!   order and under any epoch.
//! - The switch `gone` cuts every call and stream of a stand-in, as when its
//!   machine was taken away; `platform --cut-gone` sets it on the endpoints
//!   that it lists as gone.
//! - `POST /v1/vms` on the platform replaces the list of VMs.
//! - The log of an engine also holds the orders that it took or refused.
//! - `POST /fault` without a body returns the switches as they are.
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
pub mod deployment;
pub mod engine;
pub mod error;
pub mod fault;
pub(crate) mod host;
pub mod metrics;
pub mod platform;
pub mod run;
pub mod scorer;
pub mod service;
pub(crate) mod signal;
pub mod site;
pub(crate) mod stats;
pub mod swarm;
pub mod text;
pub mod weights;

pub use error::Error;
pub use run::{Bind, Config, Handle, serve, spawn};
