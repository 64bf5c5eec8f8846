//! Requests under which endpoints end.
//!
//! A request that crashes each endpoint that runs it is stopped by its content
//! and not by its id: its caller sends it again under new ids, to any VM. One
//! lost connection says little, since innocent requests are lost with it. So a
//! request is quarantined only after several endpoints ended under it, and an
//! answer from any endpoint clears it.

use std::time::Duration;

use board::{Time, hash::Map};

/// The number of endpoints that may end under a request before it is
/// quarantined.
pub const ENDPOINTS_MAX: usize = 3;
/// How long after the last loss a request is quarantined. After that it is
/// tried once more, since the endpoints may have been repaired.
const QUARANTINE: Duration = Duration::from_secs(600);
/// How long the losses of a request that was quarantined are remembered after
/// the last one.
const RETENTION: Duration = Duration::from_secs(3600);
/// How long the losses of any other request are remembered.
const SUSPICION_RETENTION: Duration = Duration::from_secs(600);

/// An endpoint that ended while it had a request.
#[derive(Clone, Debug)]
struct Loss {
    endpoint: String,
    at: Time,
    is_shared: bool,
}

/// The requests that endpoints lost and none has answered since, by content.
///
/// # Examples
///
/// ```
/// use board::Time;
/// use tarragonseam_policy::crash::Suspects;
///
/// let (mut suspects, now) = (Suspects::default(), Time::from_millis(1));
/// for endpoint in ["a", "b", "b", "c"] {
///     assert!(suspects.quarantine("request", now).is_none());
///     suspects.record(now, "request", endpoint, false);
/// }
/// assert!(suspects.quarantine("request", now).is_some());
/// suspects.clear("request");
/// assert!(suspects.quarantine("request", now).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects(Map<String, Vec<Loss>>);

impl Suspects {
    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records that `endpoint` ended while it had the request `content`.
    /// `is_shared` tells whether other VMs know this. Returns whether this VM
    /// did not know it.
    pub fn record(&mut self, now: Time, content: &str, endpoint: &str, is_shared: bool) -> bool {
        self.prune(now);
        let losses = self.0.entry(content.to_string()).or_default();
        if let Some(known) = losses.iter_mut().find(|loss| loss.endpoint == endpoint) {
            known.is_shared |= is_shared;
            return false;
        }
        losses.push(Loss {
            endpoint: endpoint.to_string(),
            at: now,
            is_shared,
        });
        true
    }

    /// Returns how many endpoints ended under the request `content`.
    pub fn count(&self, content: &str) -> usize {
        self.0.get(content).map_or(0, Vec::len)
    }

    /// Returns for how much longer the request `content` must not be sent to an
    /// endpoint, if so.
    pub fn quarantine(&self, content: &str, now: Time) -> Option<Duration> {
        let losses = self.0.get(content)?;
        let newest = losses.iter().map(|loss| loss.at).max()?;
        let rest = QUARANTINE.saturating_sub(now - newest);
        (losses.len() >= ENDPOINTS_MAX && !rest.is_zero()).then_some(rest)
    }

    /// Records that other VMs know a loss. Returns whether it is known here: an
    /// answer may have cleared it.
    pub fn mark_shared(&mut self, content: &str, endpoint: &str) -> bool {
        let mut losses = self.0.get_mut(content).into_iter().flatten();
        let loss = losses.find(|loss| loss.endpoint == endpoint);
        let is_known = loss.is_some();
        if let Some(loss) = loss {
            loss.is_shared = true;
        }
        is_known
    }

    /// Returns whether a loss is known here and not to other VMs.
    pub fn is_unshared(&self, content: &str, endpoint: &str) -> bool {
        let losses = self.0.get(content).into_iter().flatten();
        let mut unshared = losses.filter(|loss| !loss.is_shared);
        unshared.any(|loss| loss.endpoint == endpoint)
    }

    /// Forgets the request `content`, which an endpoint has answered. Returns
    /// the endpoints whose loss other VMs know.
    pub fn clear(&mut self, content: &str) -> Vec<String> {
        let losses = self.0.remove(content).unwrap_or_default();
        let shared = losses.into_iter().filter(|loss| loss.is_shared);
        shared.map(|loss| loss.endpoint).collect()
    }

    /// Forgets the losses that other VMs knew and `is_known` returns false for.
    /// It is called with the content and the endpoint.
    pub fn retain_shared(&mut self, is_known: impl Fn(&str, &str) -> bool) {
        self.0.retain(|content, losses| {
            losses.retain(|loss| !loss.is_shared || is_known(content, &loss.endpoint));
            !losses.is_empty()
        });
    }

    fn prune(&mut self, now: Time) {
        self.0.retain(|_, losses| {
            let limit = match losses.len() >= ENDPOINTS_MAX {
                true => RETENTION,
                false => SUSPICION_RETENTION,
            };
            losses.iter().any(|loss| now - loss.at < limit)
        });
    }
}
