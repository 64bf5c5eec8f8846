//! Fault switches, set by `POST /fault`.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{OneOrMany, serde_as};

/// The switches of one stand-in; each acts where the stand-in knows it.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Delay before a call is acted on, in milliseconds.
    pub latency_ms: u64,
    /// Delay after a call was acted on, in milliseconds.
    pub late_ms: u64,
    /// Whether every call is answered with 503.
    pub outage: bool,
    /// Whether connections are closed as soon as they are accepted.
    pub refuse: bool,
    /// Whether connections are accepted and never answered.
    pub mute: bool,
    /// Whether every call and stream is cut, as by a machine taken away.
    pub gone: bool,
    /// Probability that a call is acted on and then cut.
    pub lost_reply: f64,
    /// The only calls that lose replies, by method and start of the path, as
    /// in `POST /v1/orders`.
    pub lost_reply_of: Option<String>,
    /// Probability that a call fails with 500 before it is acted on.
    pub error_rate: f64,
    /// Probability that a stream or body ends short.
    pub truncate: f64,
    /// Probability that an answer carries a foreign request id.
    pub wrong_id: f64,
    /// Whether answers are swapped, two by two.
    pub cross: bool,
    /// Number of tokens after which a stream goes silent.
    pub silent_after: Option<u64>,
    /// Ends the process, or the thread of [`crate::spawn`].
    pub crash: bool,
    /// Probability that loading weights fails.
    pub swap_fail: f64,
    /// Takes the cheap endpoints of a failure domain away; acts once.
    pub reclaim: Option<Reclaim>,
    /// What cannot be ordered.
    #[serde_as(as = "OneOrMany<_>")]
    pub out_of_stock: Vec<Stock>,
    /// Time until a change of an endpoint shows in their list, in milliseconds.
    pub endpoint_lag_ms: u64,
    /// Whether orders of an old epoch are taken, as by a platform that does not
    /// check epochs.
    pub ignore_epochs: bool,
    /// Client addresses, with or without port, and VM ids that get no answer.
    pub cut: Vec<String>,
    /// Reads allowed each second, in place of the configured rate.
    pub reads_per_s: Option<u32>,
    /// Writes allowed each second, in place of the configured rate.
    pub writes_per_s: Option<u32>,
}

/// An order to take cheap endpoints away.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reclaim {
    /// The failure domain that loses its cheap endpoints.
    pub failure_domain: String,
    /// Time between the notice and the end, in milliseconds.
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
    /// Returns the switches after a JSON object of changes.
    ///
    /// # Errors
    ///
    /// A sentence that says which switch is unknown or malformed.
    pub(crate) fn apply(&self, body: &[u8]) -> Result<Self, String> {
        let changes: Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let Value::Object(mut changes) = changes else {
            return Err("switches are not a JSON object".to_owned());
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
        let call = format!("{method} {path}");
        let matches = |of: &String| call.starts_with(of.as_str());
        if self.lost_reply_of.as_ref().is_none_or(matches) {
            self.lost_reply
        } else {
            0.0
        }
    }

    /// Returns whether a caller is cut off.
    pub(crate) fn is_cut(&self, vm: Option<&str>, peer: std::net::SocketAddr) -> bool {
        if self.cut.is_empty() {
            return false;
        }
        let (full, ip) = (peer.to_string(), peer.ip().to_string());
        let matches = |name: &String| vm == Some(name) || *name == full || *name == ip;
        self.cut.iter().any(matches)
    }
}
