//! Permits to send requests to endpoints that name a rate limit, or that are cold.
//!
//! The limit holds for the requests of all VMs together, so a VM asks the
//! coordinators for a permit before each request. They need neither the store
//! nor each other for this ([`policy::rate`]). A VM that reaches no coordinator
//! sends nothing to such an endpoint.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use link::{
    StatusCode,
    clock::Clock,
    http::{Request, server::Reply},
};
use policy::rate::Bucket;

use crate::{
    ask,
    coordinator::Coordinators,
    facts::{Facts, Key, PermitTerms},
    metrics::Metrics,
};

/// The path at which coordinators grant permits.
pub(crate) const PATH: &str = "/permits";
/// The bounds of the time for which an endpoint gets no requests of this VM
/// after no permit was granted. Other VMs may learn meanwhile that the limit
/// has ended.
const WAIT_MIN: Duration = Duration::from_millis(20);
const WAIT_MAX: Duration = Duration::from_millis(2000);
/// How long an unused bucket is retained.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);

board::record! {
    /// A request for a permit.
    struct Ask {
        /// The id of the endpoint.
        endpoint: String,
        /// The limit that the endpoint named, in requests per second, or what it bears
        /// while it is cold if that is less.
        per_s: f64,
        /// The age of the response that named it, in milliseconds; 0 if none did.
        age_ms: u64,
        /// The requests per second that the endpoint bears, if it is cold.
        #[serde(default)]
        cold_per_s: Option<f64>,
    }
}

board::record! {
    /// The answer to a request for a permit.
    struct Grant {
        /// The time until there is a permit, in milliseconds; 0 if one is
        /// granted.
        wait_ms: u64,
        /// Whether a newer response of the endpoint named no limit.
        is_ended: bool,
    }
}

impl Ask {
    fn new(terms: PermitTerms) -> Self {
        let rates = [terms.limit.map(|limit| limit.per_s), terms.cold_per_s];
        let age = terms.limit.map(|limit| limit.named_at.elapsed());
        Self {
            endpoint: terms.endpoint,
            per_s: rates.into_iter().flatten().fold(f64::MAX, f64::min),
            age_ms: age.unwrap_or_default().as_millis() as u64,
            cold_per_s: terms.cold_per_s,
        }
    }
}

/// A VM that grants permits.
#[derive(Clone, Copy, Debug)]
enum Coordinator {
    /// This VM.
    Own,
    /// The VM with this peer address.
    Other(SocketAddr),
}

/// Asks for permits, and grants them if this VM is a coordinator. Clones share
/// the state.
#[derive(Clone)]
pub struct Permits(Rc<Inner>);

struct Inner {
    facts: Rc<RefCell<Facts>>,
    coordinators: Coordinators,
    metrics: Metrics,
    vm: String,
    client: ask::Client,
    clock: Clock,
    /// This VM's share of the limit of each endpoint, by its id.
    buckets: RefCell<Map<String, Bucket>>,
}

impl Permits {
    /// Returns the permits of `vm`.
    pub fn new(
        facts: Rc<RefCell<Facts>>,
        coordinators: Coordinators,
        client: ask::Client,
        metrics: Metrics,
        vm: &str,
    ) -> Self {
        Self(Rc::new(Inner {
            facts,
            coordinators,
            metrics,
            vm: vm.to_string(),
            client,
            clock: Clock::default(),
            buckets: RefCell::default(),
        }))
    }

    /// Returns whether this VM may send `request` to the endpoint `key` now. If
    /// not, [`placement`](crate::placement) leaves the endpoint out until a
    /// permit is expected.
    pub async fn acquire(&self, key: Key, request: &str) -> bool {
        let terms = self.0.facts.borrow().permit_terms(key, Instant::now());
        let Some(terms) = terms else {
            return true;
        };
        let is_cold = terms.cold_per_s.is_some();
        let mut ask = Ask::new(terms);
        let mut wait = None;
        for coordinator in self.ranked_coordinators(&ask.endpoint) {
            let mut grant = self.call(coordinator, &ask).await;
            if grant.as_ref().is_some_and(|grant| grant.is_ended) {
                self.0.facts.borrow_mut().end_rate_limit(key);
                let terms = self.0.facts.borrow().permit_terms(key, Instant::now());
                let Some(terms) = terms else {
                    return true;
                };
                // It is still cold, so what it bears then decides alone.
                ask = Ask::new(terms);
                grant = self.call(coordinator, &ask).await;
            }
            let Some(grant) = grant else {
                continue;
            };
            if grant.wait_ms == 0 {
                self.0.metrics.record_permit("granted");
                let mut facts = self.0.facts.borrow_mut();
                facts.record_permit(key, Instant::now());
                return true;
            }
            let stated = Duration::from_millis(grant.wait_ms);
            wait = Some(wait.map_or(stated, |wait: Duration| wait.min(stated)));
        }
        let is_answered = wait.is_some();
        let label = if is_answered { "denied" } else { "unreachable" };
        self.0.metrics.record_permit(label);
        let wait = wait.unwrap_or(ask::BACKOFF).clamp(WAIT_MIN, WAIT_MAX);
        let until = Instant::now() + wait;
        self.0.facts.borrow_mut().record_denial(key, until);
        let (endpoint, wait_ms) = (ask.endpoint.as_str(), wait.as_millis() as u64);
        let per_s = ask.per_s;
        spdlog::info!("no permit for an endpoint with a rate limit", kv: { request, endpoint, per_s, is_cold, is_answered, wait_ms });
        false
    }

    /// As [`acquire`](Self::acquire), for an order or the read of a state, to which a
    /// rate limit does not apply.
    pub(crate) async fn acquire_if_cold(&self, key: Key, request: &str) -> bool {
        let terms = self.0.facts.borrow().permit_terms(key, Instant::now());
        let is_cold = terms.is_some_and(|terms| terms.cold_per_s.is_some());
        !is_cold || self.acquire(key, request).await
    }

    async fn call(&self, coordinator: Coordinator, ask: &Ask) -> Option<Grant> {
        match coordinator {
            Coordinator::Own => Some(self.grant(ask)),
            Coordinator::Other(vm) => self.ask(vm, ask).await,
        }
    }

    /// Returns the coordinators to ask in turn: this VM first if it is one, and
    /// the others in an order that differs by VM and endpoint, which spreads
    /// the requests over them. Without seeds, this VM is the only one.
    fn ranked_coordinators(&self, endpoint: &str) -> Vec<Coordinator> {
        let coordinators = &self.0.coordinators;
        let now = Instant::now();
        let subject = format!("{}/{endpoint}", self.0.vm);
        let mut others = coordinators.rank(&subject, now);
        others.retain(|vm| !coordinators.is_own(*vm));
        others.retain(|vm| !self.0.client.is_backing_off(*vm, now));
        let own = coordinators.is_seed().then_some(Coordinator::Own);
        let others = others.into_iter().map(Coordinator::Other);
        own.into_iter().chain(others).collect()
    }

    async fn ask(&self, coordinator: SocketAddr, ask: &Ask) -> Option<Grant> {
        // A permit that is granted twice is lost.
        match self.0.client.ask(coordinator, PATH, ask).await {
            Ok(grant) => Some(grant),
            Err(problem) => {
                let (endpoint, vm) = (ask.endpoint.as_str(), coordinator.to_string());
                spdlog::warn!("coordinator did not answer a request for a permit", kv: { endpoint, vm, problem });
                None
            }
        }
    }

    /// Answers a request for a permit from this VM's share.
    fn grant(&self, ask: &Ask) -> Grant {
        let mut per_s = ask.per_s;
        let known = self.0.facts.borrow().newest_rate_limit(&ask.endpoint);
        if let Some((limit, at)) = known
            && at.elapsed() < Duration::from_millis(ask.age_ms)
        {
            let Some(limit) = limit else {
                return Grant {
                    wait_ms: 0,
                    is_ended: true,
                };
            };
            per_s = limit;
        }
        let own = self
            .0
            .facts
            .borrow()
            .cold_per_s(&ask.endpoint, Instant::now());
        let cold_per_s = [ask.cold_per_s, own].into_iter().flatten();
        let is_cold = ask.cold_per_s.is_some() || own.is_some();
        let per_s = cold_per_s.fold(per_s, f64::min);
        let now = self.0.clock.now();
        let mut buckets = self.0.buckets.borrow_mut();
        if !buckets.contains_key(&ask.endpoint) {
            buckets.retain(|_, bucket| now - bucket.used_at() < BUCKET_RETENTION);
        }
        let bucket = buckets
            .entry(ask.endpoint.clone())
            .or_insert_with(|| Bucket::new(now));
        let coordinators = self.0.coordinators.count();
        let taken = match is_cold {
            true => bucket.take_unsaved(per_s, coordinators, now),
            false => bucket.take(per_s, coordinators, now),
        };
        let wait = match taken {
            Ok(()) => 0,
            Err(wait) => (wait.as_millis() as u64).max(1),
        };
        Grant {
            wait_ms: wait,
            is_ended: false,
        }
    }

    /// Serves another VM's request for a permit.
    pub(crate) fn answer(&self, request: &Request) -> Reply {
        // The shares of the seeds add up to the limit.
        if !self.0.coordinators.is_seed() {
            return Reply::new(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        match request.json::<Ask>() {
            Ok(ask) => Reply::json(StatusCode::OK, &self.grant(&ask)),
            Err(reply) => reply,
        }
    }
}
