//! The adaptive limit on one VM's concurrent requests to one endpoint.

use crate::time::Time;

/// The limit on this VM's concurrent requests to an endpoint, and the
/// measurements that it is computed from. `policy::limit` updates it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    /// The limit, or `None` before the first observation. It keeps fractions,
    /// so that small changes add up.
    pub value: Option<f64>,
    /// Moving average of the latency per unit of cost, in microseconds.
    pub latency_us: f64,
    /// Latency per unit of cost when the endpoint was least loaded, in
    /// microseconds.
    pub base_latency_us: f64,
    /// Moving average of the latency of complete responses, in seconds; 0
    /// before the first one.
    pub response_s: f64,
    /// When the limit was last lowered because of high latency.
    pub lowered_at: Time,
    /// Whether the limit has made requests wait since the endpoint's last
    /// report.
    pub has_delayed_work: bool,
}

/// The number of other VMs' requests at an endpoint, derived from the
/// endpoint's delayed reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct OtherLoad {
    /// The number derived from the latest report.
    pub latest: f64,
    /// Moving average of the number over all reports.
    pub mean: f64,
    /// When the endpoint made the latest report, or `None` before the first
    /// one.
    pub reported_at: Option<Time>,
}

/// Slots that the owner of an endpoint has granted to this VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Credit {
    /// The number of concurrent requests allowed, which may be fractional.
    pub slots: f64,
    /// When the grant expires.
    pub expires_at: Time,
}
