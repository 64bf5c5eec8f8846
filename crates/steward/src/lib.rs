//! The steward daemon, which orders endpoints, loads weights on them, reports
//! usage and deletes expired data, each under a lease.

pub(crate) mod endpoints;
pub(crate) mod lease;
pub(crate) mod metrics;
pub(crate) mod order;
pub(crate) mod retention;
pub mod run;
pub mod settings;
pub(crate) mod unsettled;
pub(crate) mod usage;
pub(crate) mod vm;
pub(crate) mod weights;

pub use run::run;
pub use settings::Settings;
