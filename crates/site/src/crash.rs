//! Stops callers' requests that crash endpoints.
//!
//! VMs share the losses of a request as objects in the store, each created once
//! for a content and an endpoint, and follow them: the request may come again at
//! any VM, also after a restart. Most requests that an endpoint loses are
//! answered by the next one within milliseconds, so a loss is shared after a
//! delay.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use board::{hash::Set, key::Digest};
use link::{
    clock::{self, Clock},
    http::{self, error},
};
use platform::store::{Error, Event, Object, Store};
use policy::crash::Suspects;

use crate::{
    facts::Endpoint,
    follow::{self, Change, Plan, View},
    forward::{Dispatch, Origin},
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

board::record! {
    /// A loss that VMs share.
    struct Report {
        /// The id of the endpoint.
        endpoint: String,
        /// The wall-clock time in milliseconds since 1970.
        at_ms: u64,
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
            are_known: Cell::new(false),
        }))
    }

    /// Returns whether this VM knows what other VMs have shared so far.
    pub(crate) fn are_known(&self) -> bool {
        self.0.are_known.get()
    }

    /// Returns for how much longer `dispatch` must not be sent to an endpoint,
    /// if so.
    pub(crate) fn quarantine(&self, dispatch: &Dispatch) -> Option<Duration> {
        let content = self.suspected_content(dispatch)?;
        let now = self.0.clock.now();
        let rest = self.0.suspects.borrow().quarantine(content, now)?;
        self.0.metrics.record_quarantined_request();
        let (request, rest_s) = (dispatch.id.as_str(), rest.as_secs());
        spdlog::warn!("request is in quarantine, endpoints ended under it", kv: { request, content, rest_s });
        Some(rest)
    }

    /// Records that `dispatch` failed at `endpoint` with `error`. If the endpoint
    /// may have ended under the request, other VMs are told.
    pub(crate) fn record_failure(
        &self,
        dispatch: &Dispatch,
        endpoint: &Endpoint,
        error: &http::Error,
    ) {
        let is_disconnect = matches!(error.kind(), error::Kind::Incomplete | error::Kind::Send);
        // Jobs are run whatever happens to endpoints.
        if !is_disconnect || dispatch.origin == Origin::Job {
            return;
        }
        let content = dispatch.content();
        let incarnation = incarnation(endpoint);
        let now = self.0.clock.now();
        let mut suspects = self.0.suspects.borrow_mut();
        let is_new = suspects.record(now, content, &incarnation, false);
        let endpoints = suspects.count(content);
        drop(suspects);
        let (request, id) = (dispatch.id.as_str(), endpoint.id.as_str());
        spdlog::info!("endpoint may have ended under a request", kv: { request, endpoint = id, content, endpoints });
        if is_new {
            self.start_sharing(content.to_string(), incarnation, id);
        }
    }

    /// Records that an endpoint answered `dispatch` without a failure.
    pub(crate) fn record_answer(&self, dispatch: &Dispatch) {
        let Some(content) = self.suspected_content(dispatch) else {
            return;
        };
        let shared = self.0.suspects.borrow_mut().clear(content);
        if shared.is_empty() {
            return;
        }
        let (request, endpoints) = (dispatch.id.as_str(), shared.len());
        spdlog::info!("request was answered, its losses are removed", kv: { request, content, endpoints });
        let (crashes, content) = (self.clone(), content.to_string());
        monoio::spawn(async move {
            for incarnation in shared {
                crashes.remove(&object_name(&content, &incarnation)).await;
            }
        });
    }

    /// Returns the content of `dispatch` if any request is suspected. The digest
    /// of a large body takes time.
    fn suspected_content<'a>(&self, dispatch: &'a Dispatch) -> Option<&'a str> {
        let has_suspects = !self.0.suspects.borrow().is_empty();
        (dispatch.origin == Origin::Caller && has_suspects).then(|| dispatch.content())
    }

    fn start_sharing(&self, content: String, incarnation: String, endpoint: &str) {
        let sharing = self.0.sharing.get();
        if sharing >= SHARING_MAX {
            spdlog::warn!("loss of a request is not shared, too many are", kv: { content, endpoint, sharing });
            return;
        }
        self.0.sharing.set(sharing + 1);
        let report = Report {
            endpoint: endpoint.to_string(),
            at_ms: clock::wall_millis(),
        };
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
                Ok(_) => {
                    let suspects = &self.0.suspects;
                    let is_known = suspects.borrow_mut().mark_shared(content, incarnation);
                    // An endpoint answered the request meanwhile.
                    if !is_known {
                        self.remove(&name).await;
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
                objects.iter().for_each(|object| self.put(&object.name));
                self.0.are_known.set(true);
            }
            Change::Events(events) => {
                for event in events {
                    match event {
                        Event::Put(object) => self.put(&object.name),
                        Event::Removed(name) => self.retain(|known| known != name),
                    }
                }
            }
        };
        follow::follow(store, LOSSES, view, apply).await;
    }

    fn put(&self, name: &str) {
        let Some((content, incarnation)) = name.split_once('.') else {
            spdlog::warn!("name of a shared loss cannot be decoded", kv: { name });
            return;
        };
        let now = self.0.clock.now();
        let mut suspects = self.0.suspects.borrow_mut();
        if suspects.record(now, content, incarnation, true) {
            let endpoints = suspects.count(content);
            spdlog::info!("another VM lost a request", kv: { content, endpoints });
        }
    }

    fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut suspects = self.0.suspects.borrow_mut();
        suspects.retain_shared(|content, incarnation| is_known(&object_name(content, incarnation)));
    }
}

/// Returns a short name for the process of an endpoint: a restart under the same
/// id has another one.
fn incarnation(endpoint: &Endpoint) -> String {
    let process = format!("{}/{}", endpoint.id, endpoint.record.started_ms);
    let mut digest = Digest::of(&process).to_string();
    digest.truncate(ENDPOINT_DIGITS);
    digest
}

fn object_name(content: &str, incarnation: &str) -> String {
    format!("{content}.{incarnation}")
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
