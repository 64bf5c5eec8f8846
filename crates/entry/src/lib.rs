//! The entry daemon, which answers the requests of callers and trainers.

pub(crate) mod admin;
pub(crate) mod auth;
pub mod bulk;
pub(crate) mod engine;
pub(crate) mod exchange;
pub(crate) mod explain;
pub(crate) mod failure;
pub(crate) mod generate;
pub(crate) mod generation;
pub(crate) mod handler;
pub(crate) mod metrics;
pub(crate) mod peers;
pub(crate) mod proxy;
pub(crate) mod rollout;
pub mod run;
pub mod settings;
pub(crate) mod slot;
pub(crate) mod timeouts;
pub(crate) mod trainer;
pub(crate) mod usage;
pub(crate) mod vm;

pub use run::run;
pub use settings::Settings;
