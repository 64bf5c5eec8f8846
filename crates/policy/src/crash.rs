//! Requests under which endpoints end.
//!
//! A request that crashes each endpoint that runs it is stopped by its content
//! and not by its id: its caller sends it again under new ids, to any VM. One
//! lost connection says little, since innocent requests are lost with an
//! endpoint, and connections are reset under live ones. So a request is
//! quarantined only after several endpoints ended under it, a loss is taken back
//! once its endpoint has shown that it went on, and an answer from any endpoint
//! clears the request.
//!
//! A quarantine can end early by a probe: one VM sends the request to one
//! endpoint. How soon depends on whether the endpoints ended one after the other
//! under the request, or together, as in a failure that it did not cause. The
//! platform allows three retries after the third crash over all VMs, so there
//! are at most three probes, and the last one is not before ten minutes.

use std::time::Duration;

use board::{Time, hash::Map};

/// The number of endpoints that may end under a request before it is
/// quarantined.
pub const ENDPOINTS_MAX: usize = 3;
/// The number of probes of a quarantined request, over all VMs. The last one is the
/// try after [`QUARANTINE`].
pub const PROBES_MAX: usize = 3;
/// How long after the last loss or probe a request is quarantined. After that it
/// is tried once more, since the endpoints may have been repaired.
const QUARANTINE: Duration = Duration::from_secs(600);
/// How long the losses of a request that was quarantined are remembered after
/// the last one.
const RETENTION: Duration = Duration::from_secs(3600);
/// How long the losses of any other request are remembered.
const SUSPICION_RETENTION: Duration = Duration::from_secs(600);
/// Endpoints that end later than this after the first one are not of its wave.
const WAVE: Duration = Duration::from_millis(1000);
/// By how much the times of two shared losses can be off to each other: the wall clock
/// and the monotonic one are read one after the other.
const CLOCK_PRECISION: Duration = Duration::from_micros(10);
/// The pauses before the probes after a wave, since the last loss or probe. A
/// crashed endpoint is back after about 3 s; a probe that finds none is not
/// counted.
const WAVE_PAUSES: [Duration; PROBES_MAX] =
    [Duration::from_secs(1), Duration::from_secs(4), QUARANTINE];
/// The pauses before the probes of a request under which endpoints ended one
/// after the other. Each probe probably costs another endpoint.
const SEQUENCE_PAUSES: [Duration; PROBES_MAX] = [
    Duration::from_secs(90),
    Duration::from_secs(240),
    QUARANTINE,
];
/// How long after a loss its endpoint may take to show that it went on. Records are
/// written every 1.2 s, and reach all VMs within about a second.
const VERIFICATION: Duration = Duration::from_millis(2500);
/// How much later than a loss a record has to be written to show that the endpoint
/// went on. A record may be on its way to the store when its endpoint ends.
const RECORD_DELAY: Duration = Duration::from_millis(300);

/// An endpoint that seems to have ended while it had a request.
#[derive(Clone, Debug)]
struct Loss {
    endpoint: String,
    /// When this VM learned of the loss.
    known_at: Time,
    /// When the connection broke.
    lost_at: Time,
    /// The earliest known time at which the endpoint got the request.
    sent_at: Time,
    is_shared: bool,
    /// Whether the endpoint went on, so that only the connection broke.
    is_refuted: bool,
}

/// What is known about one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    losses: Vec<Loss>,
    /// When each probe was claimed by a VM, as far as known.
    probes: Map<usize, Time>,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Free,
    /// One VM may send it once, if it can claim the probe with this number.
    Probe(usize),
    /// The request must not be sent for this time.
    Held(Duration),
}

/// The requests that endpoints lost and none has answered since, by content.
///
/// # Examples
///
/// ```
/// use board::Time;
/// use tarragonseam_policy::crash::{Suspects, Verdict};
///
/// let (mut suspects, now) = (Suspects::default(), Time::from_millis(1));
/// for endpoint in ["a", "b", "b", "c"] {
///     assert_eq!(suspects.verdict("request", now), Verdict::Free);
///     suspects.record(now, "request", endpoint, false);
/// }
/// assert!(matches!(suspects.verdict("request", now), Verdict::Held(_)));
/// suspects.clear("request");
/// assert_eq!(suspects.verdict("request", now), Verdict::Free);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects(Map<String, Suspect>);

impl Suspects {
    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records that `endpoint` seems to have ended while it had the request
    /// `content`, which it has just got. `is_shared` tells whether other VMs know
    /// this. Returns whether this VM did not know it.
    pub fn record(&mut self, now: Time, content: &str, endpoint: &str, is_shared: bool) -> bool {
        self.record_lost(now, now, Duration::ZERO, content, endpoint, is_shared)
    }

    /// As [`record`](Self::record), for a connection that broke at `lost_at`, when
    /// the endpoint had had the request for `ran`.
    pub fn record_lost(
        &mut self,
        now: Time,
        lost_at: Time,
        ran: Duration,
        content: &str,
        endpoint: &str,
        is_shared: bool,
    ) -> bool {
        self.prune(now);
        let sent_at = lost_at - ran;
        let losses = &mut self.0.entry(content.to_string()).or_default().losses;
        if let Some(known) = losses.iter_mut().find(|loss| loss.endpoint == endpoint) {
            known.is_shared |= is_shared;
            known.sent_at = known.sent_at.min(sent_at);
            return false;
        }
        losses.push(Loss {
            endpoint: endpoint.to_string(),
            known_at: now,
            lost_at,
            sent_at,
            is_shared,
            is_refuted: false,
        });
        true
    }

    /// Records that a VM claimed the probe `number` of the request `content`.
    pub fn record_probe(&mut self, now: Time, content: &str, number: usize) {
        let suspect = self.0.entry(content.to_string()).or_default();
        suspect.probes.entry(number).or_insert(now);
    }

    /// Forgets the probes that `is_known` returns false for. It is called with the
    /// content and the number.
    pub fn retain_probes(&mut self, is_known: impl Fn(&str, usize) -> bool) {
        self.0.retain(|content, suspect| {
            suspect
                .probes
                .retain(|number, _| is_known(content, *number));
            !suspect.losses.is_empty() || !suspect.probes.is_empty()
        });
    }

    /// Records that `endpoint` wrote its record later than `written_after`, and
    /// with the same time of its start. Returns the contents whose losses there
    /// are refuted by that, and whether other VMs know the loss.
    pub fn refute(&mut self, endpoint: &str, written_after: Time) -> Vec<(String, bool)> {
        let mut refuted = Vec::new();
        for (content, suspect) in &mut self.0 {
            let lost = suspect.losses.iter_mut().filter(|loss| {
                let is_later = written_after >= loss.known_at + RECORD_DELAY;
                loss.endpoint == endpoint && is_later && !loss.is_refuted
            });
            for loss in lost {
                loss.is_refuted = true;
                refuted.push((content.clone(), loss.is_shared));
            }
        }
        refuted
    }

    /// Returns how many endpoints seem to have ended under the request `content`.
    pub fn count(&self, content: &str) -> usize {
        self.0.get(content).map_or(0, |s| s.ended().count())
    }

    /// Returns how much longer the request `content` is in quarantine at least, if
    /// no probe of it is answered before.
    pub fn quarantine(&self, content: &str, now: Time) -> Option<Duration> {
        self.0.get(content)?.quarantine(now)
    }

    /// Returns whether the request `content` may be sent to an endpoint.
    pub fn verdict(&self, content: &str, now: Time) -> Verdict {
        self.0
            .get(content)
            .map_or(Verdict::Free, |suspect| suspect.verdict(now))
    }

    /// Records that other VMs know a loss. Returns whether it is known here and
    /// counts: an answer may have cleared it, or a record refuted it.
    pub fn mark_shared(&mut self, content: &str, endpoint: &str) -> bool {
        let Some(loss) = self.loss_mut(content, endpoint) else {
            return false;
        };
        loss.is_shared = true;
        !loss.is_refuted
    }

    /// Returns whether a loss counts here and is not known to other VMs.
    pub fn is_unshared(&self, content: &str, endpoint: &str) -> bool {
        let losses = self.0.get(content).into_iter().flat_map(|s| &s.losses);
        let mut unshared = losses.filter(|loss| !loss.is_shared && !loss.is_refuted);
        unshared.any(|loss| loss.endpoint == endpoint)
    }

    /// Returns the numbers of the known probes of the request `content`.
    pub fn probes(&self, content: &str) -> Vec<usize> {
        let probes = self.0.get(content).map(|suspect| suspect.probes.keys());
        probes.into_iter().flatten().copied().collect()
    }

    /// Forgets the request `content`, which an endpoint has answered. Returns
    /// the endpoints whose loss other VMs know.
    pub fn clear(&mut self, content: &str) -> Vec<String> {
        let suspect = self.0.remove(content).unwrap_or_default();
        let shared = suspect.losses.into_iter().filter(|loss| loss.is_shared);
        shared.map(|loss| loss.endpoint).collect()
    }

    /// Forgets the losses that other VMs knew and `is_known` returns false for.
    /// It is called with the content and the endpoint.
    pub fn retain_shared(&mut self, is_known: impl Fn(&str, &str) -> bool) {
        self.0.retain(|content, suspect| {
            suspect
                .losses
                .retain(|loss| !loss.is_shared || is_known(content, &loss.endpoint));
            !suspect.losses.is_empty() || !suspect.probes.is_empty()
        });
    }

    fn loss_mut(&mut self, content: &str, endpoint: &str) -> Option<&mut Loss> {
        let losses = &mut self.0.get_mut(content)?.losses;
        losses.iter_mut().find(|loss| loss.endpoint == endpoint)
    }

    fn prune(&mut self, now: Time) {
        self.0.retain(|_, suspect| {
            let limit = match suspect.losses.len() >= ENDPOINTS_MAX {
                true => RETENTION,
                false => SUSPICION_RETENTION,
            };
            let times = suspect.losses.iter().map(|loss| loss.known_at);
            let newest = times.chain(suspect.probes.values().copied()).max();
            newest.is_some_and(|newest| now - newest < limit)
        });
    }
}

impl Suspect {
    /// Returns the losses that are not refuted.
    fn ended(&self) -> impl Iterator<Item = &Loss> {
        self.losses.iter().filter(|loss| !loss.is_refuted)
    }

    fn quarantine(&self, now: Time) -> Option<Duration> {
        let newest = self.ended().map(|loss| loss.known_at).max()?;
        let rest = QUARANTINE.saturating_sub(now - newest);
        (self.ended().count() >= ENDPOINTS_MAX && !rest.is_zero()).then_some(rest)
    }

    fn verdict(&self, now: Time) -> Verdict {
        let newest = self.ended().map(|loss| loss.known_at).max();
        let since_loss = newest.map_or(RETENTION, |newest| now - newest);
        if self.ended().count() < ENDPOINTS_MAX || since_loss >= RETENTION {
            return Verdict::Free;
        }
        // A claim counts as a probe also if its VM ended before it sent one.
        let claimed = (0..PROBES_MAX).rev().find(|n| self.probes.contains_key(n));
        let next = claimed.map_or(0, |number| number + 1);
        let since_probe = self.probes.values().map(|at| now - *at).min();
        let since = since_probe.map_or(since_loss, |time| time.min(since_loss));
        let is_sequence = self.count_events() >= ENDPOINTS_MAX;
        let pauses = if is_sequence {
            SEQUENCE_PAUSES
        } else {
            WAVE_PAUSES
        };
        let until_probe = pauses.get(next).map(|pause| pause.saturating_sub(since));
        if until_probe.is_some_and(|time| time.is_zero()) {
            return Verdict::Probe(next);
        }
        let until_verified = VERIFICATION.saturating_sub(since_loss);
        let until_verified = Some(until_verified).filter(|time| !time.is_zero());
        let rest = RETENTION - since_loss;
        let ends = [until_probe, until_verified].into_iter().flatten();
        Verdict::Held(ends.fold(rest, Duration::min))
    }

    /// Returns the number of events in which endpoints ended. Where several endpoints had
    /// the request when the first one ended, and end soon after it, they count as one
    /// event, with those that it is sent to meanwhile: these end as well. A request that
    /// is at one endpoint at a time causes an event at each.
    fn count_events(&self) -> usize {
        let mut losses: Vec<&Loss> = self.ended().collect();
        losses.sort_by_key(|loss| loss.lost_at);
        let mut events = 0;
        while !losses.is_empty() {
            let first = losses.remove(0).lost_at;
            let is_soon = |loss: &Loss| loss.lost_at - first <= WAVE;
            let is_beside = |loss: &Loss| first - loss.sent_at > CLOCK_PRECISION;
            let is_wave = losses.iter().any(|loss| is_soon(loss) && is_beside(loss));
            losses.retain(|loss| !(is_wave && is_soon(loss)));
            events += 1;
        }
        events
    }
}
