//! The adaptive limit of one VM's requests at one endpoint.

use crate::time::Time;

/// How many requests this VM may have at an endpoint, and what that was
/// learned from. Decisions about it are in `policy::limit`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    /// The limit, or `None` before the first observation. Fractions carry over
    /// from step to step.
    pub value: Option<f64>,
    /// Moving average of the latency of a unit of cost, in microseconds.
    pub latency_us: f64,
    /// Latency when the endpoint was least loaded, in microseconds.
    pub base_latency_us: f64,
    /// Moving average of the latency of whole answers, in seconds; 0 before
    /// the first one.
    pub response_s: f64,
    /// When it was last lowered for latency.
    pub lowered_at: Time,
    /// Whether work has waited for want of a higher limit since the last
    /// report.
    pub has_delayed_work: bool,
}

/// What other VMs have at an endpoint, by its lagging reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct OtherLoad {
    /// By the last report.
    pub latest: f64,
    /// Moving average over reports.
    pub mean: f64,
    /// When the last report was made, or `None` before the first one.
    pub reported_at: Option<Time>,
}

/// Slots granted by the owner of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Credit {
    /// How many requests this VM may have there, with a fraction.
    pub slots: f64,
    /// When the grant ends.
    pub expires_at: Time,
}
