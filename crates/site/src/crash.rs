//! Stops callers' requests that crash endpoints.
//!
//! VMs share the losses of a request as objects in the store, each created once
//! for a content and an endpoint, and follow them: the request may come again at
//! any VM, also after a restart. Most requests that an endpoint loses are
//! answered by the next one within milliseconds, so a loss is shared after a
//! delay. A loss is taken back once its endpoint has written its record again
//! without a restart.
//!
//! A VM that probes whether a quarantine can end creates an object for it first,
//! so that all VMs together send each probe once at most, also if VMs are killed
//! or restarted. Without the store there are no probes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use board::{
    hash::{Map, Set},
    key::Digest,
};
use link::{
    clock::{self, Clock},
    http::{self, error},
};
use platform::store::{Error, Event, Object, Store, Written};
use policy::crash::{PROBES_MAX, Suspects, Verdict};

use crate::{
    facts::Endpoint,
    follow::{self, Change, Plan, View},
    forward::{Dispatch, Hold, Origin},
    metrics::Metrics,
    retention::remove_objects,
};

/// The kind of the objects that share losses.
const KIND: &str = "crash-reports";
/// The plan for the losses. A quarantine must be in force at all VMs within 3 s,
/// also where a mirror has lost the store.
const LOSSES: Plan = Plan {
    kind: KIND,
    wait: Duration::from_millis(1000),
    batch_time: Duration::ZERO,
    is_probe: false,
    is_required: true,
};
/// The time in which another endpoint may answer a request before its loss is
/// shared.
const SHARE_DELAY: Duration = Duration::from_millis(200);
/// The pause before sharing a loss is tried again, and the number of tries.
const SHARE_RETRY_DELAY: Duration = Duration::from_millis(500);
const SHARE_ATTEMPTS_MAX: usize = 20;
/// The number of losses that a VM shares at a time. When a failure domain is
/// lost, most of the requests there are innocent.
const SHARING_MAX: usize = 64;
/// How long objects are kept, which is as long as VMs remember a loss.
const OBJECT_RETENTION: Duration = Duration::from_secs(3600);
/// The number of hexadecimal digits that distinguish endpoints in names.
const ENDPOINT_DIGITS: usize = 16;
/// Separates the content and the number in the name of a probe. Builds without
/// probes ignore names without a dot.
const PROBE_SEPARATOR: &str = "-probe-";
/// When a request may come again whose probe is being claimed.
const CLAIM_TIME: Duration = Duration::from_secs(1);

board::record! {
    /// A loss that VMs share, or the claim of a probe, which has no endpoint.
    struct Report {
        /// The id of the endpoint.
        endpoint: String,
        /// The wall-clock time in milliseconds since 1970.
        at_ms: u64,
        /// How long the endpoint had the request, in milliseconds.
        #[serde(default)]
        ran_ms: u64,
        /// As `at_ms`, in microseconds. It is 0 in reports of earlier builds, which
        /// ignore it.
        #[serde(default)]
        at_us: u64,
        /// As `ran_ms`, in microseconds.
        #[serde(default)]
        ran_us: u64,
        /// The process that claims the probe.
        #[serde(default)]
        holder: String,
    }
}

impl Report {
    /// Returns the report that a loss was noticed at the wall-clock time `at_us`, when
    /// the endpoint had had the request for `ran`.
    fn of_loss(endpoint: &str, at_us: u64, ran: Duration) -> Self {
        Self {
            endpoint: endpoint.to_string(),
            at_ms: at_us / 1000,
            ran_ms: ran.as_millis() as u64,
            at_us,
            ran_us: ran.as_micros() as u64,
            holder: String::new(),
        }
    }

    /// Returns the claim of a probe by the process `holder` at the wall-clock time
    /// `at_us`.
    fn of_claim(holder: &str, at_us: u64) -> Self {
        Self {
            holder: holder.to_string(),
            ..Self::of_loss("", at_us, Duration::ZERO)
        }
    }

    /// Returns how long ago the loss was noticed at the wall-clock time `now_us`, and
    /// how long the endpoint had had the request.
    fn age_and_ran(&self, now_us: u64) -> (Duration, Duration) {
        let (at_us, ran_us) = match self.at_us {
            0 => (
                self.at_ms.saturating_mul(1000),
                self.ran_ms.saturating_mul(1000),
            ),
            at_us => (at_us, self.ran_us),
        };
        let age_us = now_us.saturating_sub(at_us);
        (Duration::from_micros(age_us), Duration::from_micros(ran_us))
    }
}

/// Whether a request may be sent to an endpoint.
pub(crate) enum Admission {
    /// It may be sent.
    Free,
    /// It may be sent once the probe with this number is claimed.
    Probe(usize),
    /// It must not be sent for this time.
    Held(Duration),
}

/// A claimed probe. Dropping it keeps the claim for another request at this VM,
/// unless the probe was sent.
pub(crate) struct Probe {
    crashes: Crashes,
    content: String,
    number: usize,
    was_sent: Cell<bool>,
}

impl Probe {
    /// Records whether the probe was sent, or may have been sent.
    pub(crate) fn set_sent(&self, was_sent: bool) {
        self.was_sent.set(was_sent);
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        let inner = &self.crashes.0;
        let result = if self.was_sent.get() {
            "sent"
        } else {
            "not-sent"
        };
        inner.metrics.record_crash_probe(result);
        let (content, number) = (self.content.as_str(), self.number);
        spdlog::info!("quarantine probed", kv: { content, number, result });
        if !self.was_sent.get() {
            inner
                .unsent
                .borrow_mut()
                .insert(self.content.clone(), number);
        }
    }
}

/// The losses that this VM knows. Clones share them.
#[derive(Clone)]
pub struct Crashes(Rc<Inner>);

struct Inner {
    store: Store,
    metrics: Metrics,
    clock: Clock,
    suspects: RefCell<Suspects>,
    /// The number of losses that are being shared.
    sharing: Cell<usize>,
    /// The name of this process, which no other process has.
    process: String,
    /// The names of the objects for losses that this process created.
    own: RefCell<Set<String>>,
    /// The names of the probes that this process has claimed, or is claiming.
    claims: RefCell<Set<String>>,
    /// The claimed probes that were not sent yet, by content.
    unsent: RefCell<Map<String, usize>>,
    /// Whether the shared losses have been listed.
    are_known: Cell<bool>,
}

impl Crashes {
    /// Returns an empty set of losses, which are shared in `store`.
    pub fn new(store: Store, metrics: Metrics) -> Self {
        Self(Rc::new(Inner {
            store,
            metrics,
            clock: Clock::default(),
            suspects: RefCell::default(),
            sharing: Cell::new(0),
            process: format!("{:016x}", rand::random::<u64>()),
            own: RefCell::default(),
            claims: RefCell::default(),
            unsent: RefCell::default(),
            are_known: Cell::new(false),
        }))
    }

    /// Returns whether this VM knows what other VMs have shared so far.
    pub(crate) fn are_known(&self) -> bool {
        self.0.are_known.get()
    }

    /// Returns whether `dispatch` may be sent to an endpoint.
    pub(crate) fn admit(&self, dispatch: &Dispatch) -> Admission {
        let Some(content) = self.suspected_content(dispatch) else {
            return Admission::Free;
        };
        let now = self.0.clock.now();
        let verdict = self.0.suspects.borrow().verdict(content, now);
        let unsent = self.0.unsent.borrow().get(content).copied();
        let rest = match (verdict, unsent) {
            (Verdict::Free, _) => return Admission::Free,
            (_, Some(number)) => return Admission::Probe(number),
            (Verdict::Probe(number), None) if !self.is_claimed(content, number) => {
                return Admission::Probe(number);
            }
            (Verdict::Probe(_), None) => CLAIM_TIME,
            (Verdict::Held(rest), None) => rest,
        };
        self.0.metrics.record_quarantined_request();
        let (request, rest_s) = (dispatch.id.as_str(), rest.as_secs_f64());
        spdlog::warn!("request is in quarantine, endpoints ended under it", kv: { request, content, rest_s });
        Admission::Held(rest)
    }

    fn is_claimed(&self, content: &str, number: usize) -> bool {
        self.0
            .claims
            .borrow()
            .contains(&probe_name(content, number))
    }

    /// Claims a probe for `dispatch`, unless another VM has claimed it or the store
    /// does not answer.
    pub(crate) async fn claim(&self, dispatch: &Dispatch, number: usize) -> Result<Probe, Hold> {
        let content = dispatch.content();
        let name = probe_name(content, number);
        let has_unsent = self.0.unsent.borrow().contains_key(content);
        if !has_unsent && self.0.claims.borrow_mut().insert(name) {
            // The claim is kept for another request if this one is dropped.
            let (crashes, content) = (self.clone(), content.to_string());
            monoio::spawn(async move { crashes.create_claim(content, number).await }).await;
        }
        let number = self.0.unsent.borrow_mut().remove(content);
        let number = number.ok_or(Hold::Quarantine(CLAIM_TIME))?;
        Ok(Probe {
            crashes: self.clone(),
            content: content.to_string(),
            number,
            was_sent: Cell::new(false),
        })
    }

    /// Creates the object for a probe. If this succeeds, the probe is to be sent.
    async fn create_claim(&self, content: String, number: usize) {
        let name = probe_name(&content, number);
        let claim = Report::of_claim(&self.0.process, clock::wall_micros());
        let is_own = |object: Option<Object>| {
            let claim: Option<Report> = object.and_then(|object| object.read());
            claim.is_some_and(|claim| claim.holder == self.0.process)
        };
        let is_claimed = match self.0.store.create(KIND, &name, &claim).await {
            Ok(Written::Done(_)) => true,
            // An earlier attempt of this write may have succeeded.
            Ok(Written::Conflict(object)) => is_own(object),
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("cannot claim a probe", kv: { content, problem });
                self.0.claims.borrow_mut().remove(&name);
                return;
            }
        };
        let now = self.0.clock.now();
        let suspects = &self.0.suspects;
        suspects.borrow_mut().record_probe(now, &content, number);
        if is_claimed {
            self.0.unsent.borrow_mut().insert(content, number);
        }
    }

    /// Records that the endpoint `id`, which started at `started_ms`, wrote its
    /// record again, less than `age` ago.
    pub(crate) fn record_alive(&self, id: &str, started_ms: u64, age: Duration) {
        if self.0.suspects.borrow().is_empty() {
            return;
        }
        let incarnation = incarnation(id, started_ms);
        let written_after = self.0.clock.now() - age;
        let refuted = self
            .0
            .suspects
            .borrow_mut()
            .refute(&incarnation, written_after);
        for (content, is_shared) in refuted {
            self.0.metrics.record_refuted_loss();
            let age_ms = age.as_millis() as u64;
            let name = object_name(&content, &incarnation);
            spdlog::info!("endpoint did not end under a request, its loss is taken back", kv: { endpoint = id, content, age_ms, is_shared });
            if self.0.own.borrow_mut().remove(&name) {
                let crashes = self.clone();
                monoio::spawn(async move { crashes.remove(&name).await });
            }
        }
    }

    /// Records that `dispatch`, which was sent to `endpoint` at `sent`, failed there
    /// with `error`. If the endpoint may have ended under the request, other VMs are told.
    pub(crate) fn record_failure(
        &self,
        dispatch: &Dispatch,
        endpoint: &Endpoint,
        sent: Instant,
        error: &http::Error,
    ) {
        let is_disconnect = matches!(error.kind(), error::Kind::Incomplete | error::Kind::Send);
        // Jobs are run whatever happens to endpoints.
        if !is_disconnect || dispatch.origin == Origin::Job {
            return;
        }
        let content = dispatch.content();
        let incarnation = incarnation(&endpoint.id, endpoint.record.started_ms);
        // Measured first, so that the request does not seem to have been there before
        // it was sent.
        let ran = sent.elapsed();
        let (now, at_us) = (self.0.clock.now(), clock::wall_micros());
        let mut suspects = self.0.suspects.borrow_mut();
        let is_new = suspects.record_lost(now, now, ran, content, &incarnation, false);
        let endpoints = suspects.count(content);
        drop(suspects);
        let (request, id) = (dispatch.id.as_str(), endpoint.id.as_str());
        spdlog::info!("endpoint may have ended under a request", kv: { request, endpoint = id, content, endpoints });
        if is_new {
            let report = Report::of_loss(id, at_us, ran);
            self.start_sharing(content.to_string(), incarnation, report);
        }
    }

    /// Records that an endpoint answered `dispatch` without a failure.
    pub(crate) fn record_answer(&self, dispatch: &Dispatch) {
        let Some(content) = self.suspected_content(dispatch) else {
            return;
        };
        let probes = self.0.suspects.borrow().probes(content);
        let shared = self.0.suspects.borrow_mut().clear(content);
        self.0.unsent.borrow_mut().remove(content);
        if shared.is_empty() && probes.is_empty() {
            return;
        }
        let (request, endpoints) = (dispatch.id.as_str(), shared.len());
        spdlog::info!("request was answered, its losses are removed", kv: { request, content, endpoints });
        let (crashes, content) = (self.clone(), content.to_string());
        monoio::spawn(async move {
            for incarnation in shared {
                let name = object_name(&content, &incarnation);
                crashes.0.own.borrow_mut().remove(&name);
                crashes.remove(&name).await;
            }
            // Removed last, so that a VM which learns this late has no other probe.
            for number in probes {
                let name = probe_name(&content, number);
                crashes.remove(&name).await;
                crashes.0.claims.borrow_mut().remove(&name);
            }
        });
    }

    /// Returns the content of `dispatch` if any request is suspected. The digest
    /// of a large body takes time.
    fn suspected_content<'a>(&self, dispatch: &'a Dispatch) -> Option<&'a str> {
        let has_suspects = !self.0.suspects.borrow().is_empty();
        (dispatch.origin == Origin::Caller && has_suspects).then(|| dispatch.content())
    }

    fn start_sharing(&self, content: String, incarnation: String, report: Report) {
        let sharing = self.0.sharing.get();
        if sharing >= SHARING_MAX {
            let endpoint = report.endpoint;
            spdlog::warn!("loss of a request is not shared, too many are", kv: { content, endpoint, sharing });
            return;
        }
        self.0.sharing.set(sharing + 1);
        let crashes = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(SHARE_DELAY).await;
            crashes.share(&content, &incarnation, &report).await;
            crashes.0.sharing.set(crashes.0.sharing.get() - 1);
        });
    }

    /// Creates the object for a loss, unless the request is answered first.
    async fn share(&self, content: &str, incarnation: &str, report: &Report) {
        let name = object_name(content, incarnation);
        for _ in 0..SHARE_ATTEMPTS_MAX {
            if !self.0.suspects.borrow().is_unshared(content, incarnation) {
                return;
            }
            match self.0.store.create(KIND, &name, report).await {
                Ok(written) => {
                    let suspects = &self.0.suspects;
                    let is_known = suspects.borrow_mut().mark_shared(content, incarnation);
                    if !is_known {
                        // An endpoint answered the request meanwhile, or the
                        // loss was taken back.
                        self.remove(&name).await;
                    } else if matches!(written, Written::Done(_)) {
                        self.0.own.borrow_mut().insert(name);
                    }
                    return;
                }
                Err(e) => {
                    let problem = e.to_string();
                    spdlog::warn!("cannot share the loss of a request, retrying", kv: { content, problem });
                    monoio::time::sleep(SHARE_RETRY_DELAY).await;
                }
            }
        }
        spdlog::warn!("loss of a request was not shared", kv: { content });
    }

    async fn remove(&self, name: &str) {
        if let Err(e) = self.0.store.remove(KIND, name).await {
            let problem = e.to_string();
            spdlog::warn!("cannot remove the loss of a request", kv: { name, problem });
        }
    }

    /// Follows the losses that VMs share. Never returns.
    pub(crate) async fn follow(self, view: View) {
        let store = self.0.store.clone();
        let apply = |change: Change, _| match change {
            Change::Snapshot(objects) => {
                let names: Set<&str> = objects.iter().map(|object| &*object.name).collect();
                self.retain(|name| names.contains(name));
                objects.iter().for_each(|object| self.put(object));
                self.0.are_known.set(true);
            }
            Change::Events(events) => {
                for event in events {
                    match event {
                        Event::Put(object) => self.put(&object),
                        Event::Removed(name) => {
                            self.0.claims.borrow_mut().remove(&name);
                            self.retain(|known| known != name);
                        }
                    }
                }
            }
        };
        follow::follow(store, LOSSES, view, apply).await;
    }

    fn put(&self, object: &Object) {
        let name = object.name.as_str();
        let (now, wall_us) = (self.0.clock.now(), clock::wall_micros());
        let mut suspects = self.0.suspects.borrow_mut();
        if let Some((content, number)) = decode_probe(name) {
            return suspects.record_probe(now, content, number);
        }
        let Some((content, incarnation)) = name.split_once('.') else {
            spdlog::warn!("name of a shared loss cannot be decoded", kv: { name });
            return;
        };
        let report: Option<Report> = object.read();
        let (age, ran) = report.map_or_else(Default::default, |report| report.age_and_ran(wall_us));
        if suspects.record_lost(now, now - age, ran, content, incarnation, true) {
            let endpoints = suspects.count(content);
            spdlog::info!("another VM lost a request", kv: { content, endpoints });
        }
    }

    fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut suspects = self.0.suspects.borrow_mut();
        suspects.retain_shared(|content, incarnation| is_known(&object_name(content, incarnation)));
        suspects.retain_probes(|content, number| is_known(&probe_name(content, number)));
    }
}

/// Returns a short name for the process of the endpoint `id` that started at
/// `started_ms`: a restart under the same id has another one.
fn incarnation(id: &str, started_ms: u64) -> String {
    let mut digest = Digest::of(&format!("{id}/{started_ms}")).to_string();
    digest.truncate(ENDPOINT_DIGITS);
    digest
}

fn object_name(content: &str, incarnation: &str) -> String {
    format!("{content}.{incarnation}")
}

fn probe_name(content: &str, number: usize) -> String {
    format!("{content}{PROBE_SEPARATOR}{number}")
}

fn decode_probe(name: &str) -> Option<(&str, usize)> {
    let (content, number) = name.split_once(PROBE_SEPARATOR)?;
    let number = number.parse().ok()?;
    (number < PROBES_MAX).then_some((content, number))
}

/// Removes at most `limit` expired losses from the store, and returns the number
/// of removed objects.
///
/// # Errors
///
/// An [`Error`] when they cannot be listed or removed.
pub(crate) async fn remove_expired(store: &Store, limit: usize) -> Result<usize, Error> {
    let objects = store.list_after(KIND, "").await?.value;
    let oldest_ms = clock::wall_millis().saturating_sub(OBJECT_RETENTION.as_millis() as u64);
    let is_expired = |object: &&Object| {
        let report: Option<Report> = object.read();
        report.is_none_or(|report| report.at_ms < oldest_ms)
    };
    let expired = objects.iter().filter(is_expired);
    remove_objects(store, KIND, expired.take(limit)).await
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Reports of earlier builds have milliseconds, and these builds read no others.
    #[test]
    fn report_of_earlier_build() {
        let earlier = r#"{"endpoint": "a", "at_ms": 1000, "ran_ms": 7, "holder": ""}"#;
        let report: Report = serde_json::from_str(earlier).unwrap();
        let (age, ran) = report.age_and_ran(1_002_500);
        assert_eq!((age.as_micros(), ran.as_micros()), (2500, 7000));
        let odd = format!(
            r#"{{"endpoint": "a", "at_ms": {0}, "ran_ms": {0}}}"#,
            u64::MAX
        );
        let report: Report = serde_json::from_str(&odd).unwrap();
        assert!(report.age_and_ran(1_002_500).0.is_zero());
        let report = Report::of_loss("a", 1_000_400, Duration::from_micros(7300));
        assert_eq!((report.at_ms, report.ran_ms), (1000, 7));
        let (age, ran) = report.age_and_ran(1_002_500);
        assert_eq!((age.as_micros(), ran.as_micros()), (2100, 7300));
    }
}
