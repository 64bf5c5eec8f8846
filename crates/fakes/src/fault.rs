//! Fault switches, set by `POST /fault`.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{OneOrMany, serde_as};

/// The fault switches of one fake. A fake ignores the switches that do not
/// apply to its kind.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Delay before a call is handled, in milliseconds.
    pub latency_ms: u64,
    /// Delay between the handling of a call and its answer, in milliseconds.
    pub late_ms: u64,
    /// Whether every call is answered with 503.
    pub outage: bool,
    /// Restricts `outage` to calls with this method and path prefix.
    pub outage_of: Option<String>,
    /// Whether connections are closed as soon as they are accepted.
    pub refuse: bool,
    /// Whether connections are accepted but calls are not answered.
    pub mute: bool,
    /// Whether every call and stream is cut, as by the loss of the VM.
    pub gone: bool,
    /// Probability that a call is handled and the connection then closed without
    /// an answer.
    pub lost_reply: f64,
    /// Restricts `lost_reply` to calls with this method and path prefix, such
    /// as `POST /v1/orders`.
    pub lost_reply_of: Option<String>,
    /// Whether `outage` is switched on as soon as a reply is lost.
    pub outage_after_lost_reply: bool,
    /// Time after which a call whose reply is lost is handled, in milliseconds,
    /// as by a network that delivers it late.
    pub transit_ms: u64,
    /// Probability that a call is answered with 500 instead of being handled.
    pub error_rate: f64,
    /// Probability that a stream or body ends early.
    pub truncate: f64,
    /// Probability that an answer carries the id of another request.
    pub wrong_id: f64,
    /// Whether two concurrent calls get each other's answer.
    pub cross: bool,
    /// Number of tokens after which a stream stalls with an open connection.
    pub silent_after: Option<u64>,
    /// Whether to end the process, or the thread of [`crate::spawn`], at once.
    pub crash: bool,
    /// Probability that loading weights fails.
    pub swap_fail: f64,
    /// Reclaim of the cheap endpoints of a failure domain, which happens once.
    pub reclaim: Option<Reclaim>,
    /// Failure domains and classes of which no further endpoints can be ordered.
    #[serde_as(as = "OneOrMany<_>")]
    pub out_of_stock: Vec<Stock>,
    /// Time until a change of an endpoint appears in the list of endpoints, in
    /// milliseconds.
    pub endpoint_lag_ms: u64,
    /// Whether orders with an old epoch are accepted, as by a platform that does
    /// not check epochs.
    pub ignore_epochs: bool,
    /// Callers that get no answer, given by address with or without port, or by
    /// VM id.
    pub cut: Vec<String>,
    /// Allowed reads per second, instead of the configured rate.
    pub reads_per_s: Option<u32>,
    /// Allowed writes per second, instead of the configured rate.
    pub writes_per_s: Option<u32>,
}

/// A reclaim of cheap endpoints by the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reclaim {
    /// The failure domain whose cheap endpoints are reclaimed.
    pub failure_domain: String,
    /// Time between the notice and the end of the endpoints, in milliseconds.
    pub notice_ms: u64,
}

/// Endpoints of one class in one failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Stock {
    /// The failure domain.
    pub failure_domain: String,
    /// The class, `stable` or `cheap`.
    pub class: String,
}

impl Switches {
    /// Returns the switches with the changes of a JSON object applied.
    ///
    /// # Errors
    ///
    /// Returns a message that names the unknown or malformed switch.
    pub(crate) fn apply(&self, body: &[u8]) -> Result<Self, String> {
        let changes: Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let Value::Object(mut changes) = changes else {
            return Err("the body is not a JSON object of switches".to_owned());
        };
        let reset = changes.remove("reset") == Some(Value::Bool(true));
        let base = if reset { Self::default() } else { self.clone() };
        let mut all = serde_json::to_value(base).map_err(|e| e.to_string())?;
        if let Value::Object(all) = &mut all {
            all.extend(changes);
        }
        serde_json::from_value(all).map_err(|e| e.to_string())
    }

    /// Returns the probability that the reply to a call is lost.
    pub(crate) fn reply_loss_probability(&self, method: &str, path: &str) -> f64 {
        if is_call_of(self.lost_reply_of.as_deref(), method, path) {
            self.lost_reply
        } else {
            0.0
        }
    }

    /// Returns whether a call is answered with 503.
    pub(crate) fn has_outage(&self, method: &str, path: &str) -> bool {
        self.outage && is_call_of(self.outage_of.as_deref(), method, path)
    }

    /// Returns whether the switch `cut` names the caller.
    pub(crate) fn is_cut(&self, vm: Option<&str>, peer: std::net::SocketAddr) -> bool {
        if self.cut.is_empty() {
            return false;
        }
        let (full, ip) = (peer.to_string(), peer.ip().to_string());
        let matches = |name: &String| vm == Some(name) || *name == full || *name == ip;
        self.cut.iter().any(matches)
    }
}

fn is_call_of(prefix: Option<&str>, method: &str, path: &str) -> bool {
    prefix.is_none_or(|prefix| format!("{method} {path}").starts_with(prefix))
}
