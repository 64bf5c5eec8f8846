//! The paths to endpoints: from this VM, or through another one. All requests,
//! streams and items go through here.
//!
//! A VM may lose its links to all endpoints while the other VMs still reach them
//! ([`policy::path`]). It then sends each attempt through a gateway, another VM
//! that forwards it to the endpoint that this VM has chosen ([`crate::gateway`]).
//! Choice, permits, retries and counts stay with this VM, so an attempt is the
//! same on either path.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::stream::{FuturesUnordered, StreamExt};
use link::{
    StatusCode,
    clock::Clock,
    http::{
        self, Limits, Pool, Response,
        client::{Call, Fetched},
        error::Kind,
    },
};
use platform::header;
use policy::path::{Links, State};

use crate::{
    ask,
    facts::{Endpoint, Facts, Key, Withheld},
    gateway::{self, Check, Checked, Refusal},
    member::Members,
    metrics::Metrics,
    notify::Notifier,
};

/// How long an endpoint may leave sent data, and probes of idle connections,
/// unacknowledged.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a gateway may leave data unacknowledged.
const GATEWAY_SILENCE_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long it may take to connect to a gateway.
const GATEWAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long before the end of an attempt its gateway has to have answered. One that
/// has not, although it ends the attempt itself before, is left.
const GATEWAY_MARGIN: Duration = Duration::from_millis(10);
/// The largest response of a gateway that is read into memory.
const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;
/// How long a connection that only probes an endpoint may take to open. It is
/// less than the time in which a gateway has to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// The number of VMs that are asked at the same time whether they reach an
/// endpoint.
const CHECKS_AT_ONCE: usize = 3;
/// The number of VMs that are asked in one search.
const CHECKS_MAX: usize = 15;
/// The number of endpoints that they are asked about.
const CHECKED_ENDPOINTS_MAX: usize = 2;
/// The number of gateways that an attempt is sent to, of which all but the last
/// have not forwarded it.
const GATEWAYS_MAX: usize = 3;
/// How often the links are checked apart from requests.
const WATCH_PERIOD: Duration = Duration::from_millis(500);
/// How recently an endpoint responded if the links need no proof.
const PROOF_AGE_MAX: Duration = Duration::from_millis(1000);

/// The paths of this VM to endpoints. Clones share the state.
#[derive(Clone)]
pub struct Paths(Rc<Inner>);

struct Inner {
    facts: Rc<RefCell<Facts>>,
    members: Members,
    client: ask::Client,
    /// Connections from this VM to endpoints.
    pool: Pool,
    /// Connections to other VMs.
    gateways: Pool,
    clock: Clock,
    metrics: Metrics,
    links: RefCell<Links<Key>>,
    /// When a connection to an endpoint was last opened.
    opened_at: Cell<Option<Instant>>,
    gateway: Cell<Option<SocketAddr>>,
    is_searching: Cell<bool>,
    searched: Notifier,
}

impl Paths {
    /// Returns paths with the connections of `pool`, and through `members`.
    pub fn new(
        facts: Rc<RefCell<Facts>>,
        members: Members,
        client: ask::Client,
        pool: Pool,
        metrics: Metrics,
    ) -> Self {
        let limits = Limits::new().body_bytes(RESPONSE_BYTES_MAX);
        let gateways = Pool::new(limits)
            .memory(pool.budget())
            .unfinished_memory(pool.unfinished_budget())
            .silence_timeout(GATEWAY_SILENCE_TIMEOUT);
        Self(Rc::new(Inner {
            facts,
            members,
            client,
            pool,
            gateways: gateways.reset_on_close(),
            clock: Clock::default(),
            metrics,
            links: RefCell::default(),
            opened_at: Cell::new(None),
            gateway: Cell::new(None),
            is_searching: Cell::new(false),
            searched: Notifier::default(),
        }))
    }

    /// Returns whether this VM has lost its links to all endpoints, while another
    /// VM reaches them.
    pub fn is_cut_off(&self) -> bool {
        self.state() == State::CutOff
    }

    /// Returns whether this VM is not cut off. Connects to endpoints first if this
    /// is not certain.
    pub(crate) async fn has_links(&self) -> bool {
        if self.is_proven() || self.reaches_other_endpoint().await {
            return true;
        }
        // The second failure makes this VM suspect its links, and search a gateway.
        if self.reaches_other_endpoint().await {
            return true;
        }
        self.gateway().await;
        !self.is_cut_off()
    }

    /// Returns whether a connection to an endpoint was opened just now.
    fn is_proven(&self) -> bool {
        let opened_at = self.0.opened_at.get();
        opened_at.is_some_and(|at| at.elapsed() < PROOF_AGE_MAX)
    }

    fn state(&self) -> State {
        self.0.links.borrow().state()
    }

    /// Sends `call` to `endpoint`, whose key is `key`, and waits for the head of
    /// the response.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`], with the error of the gateway if there is one.
    /// [`Kind::Fenced`] if it must not be sent ([`Facts::record_sent`]).
    pub async fn send(
        &self,
        key: Key,
        endpoint: &Endpoint,
        call: Call,
    ) -> Result<Response, http::Error> {
        let start = Instant::now();
        self.check_evacuations(key, endpoint, &call)?;
        let call = self.prepared(key, endpoint, call);
        for _ in 0..GATEWAYS_MAX {
            let Some(gateway) = self.gateway().await else {
                break;
            };
            let is_permitted = self.0.facts.borrow().needs_permit(key, Instant::now());
            let forwarded = shortened(call.clone(), start.elapsed());
            let limit = forwarded.time_limit().saturating_sub(GATEWAY_MARGIN);
            let forwarded = gateway::encode(forwarded, &endpoint.id, is_permitted)
                .connect_timeout(GATEWAY_CONNECT_TIMEOUT)
                .deadline(limit);
            log_forwarded(&call, endpoint, gateway);
            let sent = self.0.gateways.send(gateway, forwarded).await;
            let refusal = match sent {
                Ok(response) => match gateway::refusal(&response) {
                    None => return Ok(response),
                    Some(Refusal::Failed(e)) => return Err(e),
                    Some(Refusal::Unavailable) => "it forwards nothing".to_string(),
                },
                Err(e) if e.kind() == Kind::Fenced => return Err(e),
                Err(e) if e.is_unsent() => e.to_string(),
                Err(e) => {
                    let problem = e.to_string();
                    self.leave_gateway(gateway, &problem);
                    // The endpoint did not disconnect.
                    return Err(http::Error::new(Kind::Timeout, problem));
                }
            };
            self.leave_gateway(gateway, &refusal);
        }
        self.send_prepared(key, endpoint, shortened(call, start.elapsed()))
            .await
    }

    /// Sends `call` to `endpoint`, whose key is `key`, and returns the complete
    /// response.
    ///
    /// # Errors
    ///
    /// As [`Pool::fetch`].
    pub async fn fetch(
        &self,
        key: Key,
        endpoint: &Endpoint,
        call: Call,
    ) -> Result<Fetched, http::Error> {
        let limit = call.time_limit();
        collect(limit, self.send(key, endpoint, call)).await
    }

    /// Returns whether there is an idle connection to the endpoint at `address`.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        self.0.pool.has_idle(address)
    }

    /// As [`fetch`](Self::fetch), but never through another VM.
    pub(crate) async fn fetch_directly(
        &self,
        key: Key,
        endpoint: &Endpoint,
        call: Call,
    ) -> Result<Fetched, http::Error> {
        let limit = call.time_limit();
        collect(limit, self.send_directly(key, endpoint, call)).await
    }

    /// As [`send`](Self::send), but never through another VM.
    pub(crate) async fn send_directly(
        &self,
        key: Key,
        endpoint: &Endpoint,
        call: Call,
    ) -> Result<Response, http::Error> {
        self.send_prepared(key, endpoint, self.prepared(key, endpoint, call))
            .await
    }

    async fn send_prepared(
        &self,
        key: Key,
        endpoint: &Endpoint,
        call: Call,
    ) -> Result<Response, http::Error> {
        self.check_evacuations(key, endpoint, &call)?;
        let (paths, id) = (self.clone(), endpoint.id.clone());
        let call = call.on_connect(move |is_open| paths.record_connect(key, &id, is_open));
        self.0.pool.send(endpoint.record.address, call).await
    }

    /// Returns `call` to `endpoint` with what all calls to endpoints have, through this
    /// VM or a gateway.
    fn prepared(&self, key: Key, endpoint: &Endpoint, call: Call) -> Call {
        let (endpoint, request) = (Rc::new(endpoint.clone()), Rc::new(request_id(&call)));
        let call = self.with_condition(key, endpoint.clone(), request.clone(), call);
        let paths = self.clone();
        call.on_head(move |status, headers| {
            // Such a response comes from another endpoint at the same address.
            if status != StatusCode::MISDIRECTED_REQUEST && header::is_leaving(headers) {
                paths.record_leaving(key, &endpoint, &request);
            }
        })
    }

    /// Records that `endpoint` stated in the response to `request` that it leaves.
    fn record_leaving(&self, key: Key, endpoint: &Endpoint, request: &str) {
        let mut facts = self.0.facts.borrow_mut();
        if !facts.record_leaving(key, endpoint, Instant::now()) {
            return;
        }
        let grace_ms = facts.leaving_grace.as_millis() as u64;
        drop(facts);
        let (id, service) = (endpoint.id.as_str(), endpoint.record.service.as_str());
        let domain = endpoint.record.failure_domain.as_str();
        spdlog::info!("endpoint states that it leaves", kv: { request, endpoint = id, service, domain, grace_ms });
    }

    /// Returns `call` with the condition that it may be sent to `endpoint` now. Between
    /// the choice of the endpoint and the sending, an evacuation may begin, the endpoint
    /// may become cold or leave, and a permit may expire.
    fn with_condition(
        &self,
        key: Key,
        endpoint: Rc<Endpoint>,
        request: Rc<String>,
        call: Call,
    ) -> Call {
        let paths = self.clone();
        call.condition(move || {
            let mut facts = paths.0.facts.borrow_mut();
            let sent = facts.record_sent(key, &endpoint, Instant::now());
            drop(facts);
            match sent {
                Ok(()) => true,
                Err(reason) => {
                    paths.record_withheld(&endpoint, &request, reason);
                    false
                }
            }
        })
    }

    /// Checks the evacuations before a connection is opened.
    fn check_evacuations(
        &self,
        key: Key,
        endpoint: &Endpoint,
        call: &Call,
    ) -> Result<(), http::Error> {
        if !self.0.facts.borrow().is_evacuated(key, endpoint) {
            return Ok(());
        }
        self.record_withheld(endpoint, &request_id(call), Withheld::Evacuated);
        let detail = "the failure domain of the endpoint is evacuated";
        Err(http::Error::new(Kind::Fenced, detail))
    }

    fn record_withheld(&self, endpoint: &Endpoint, request: &str, reason: Withheld) {
        let reason = reason.name();
        self.0.metrics.record_withheld_attempt(reason);
        let (id, domain) = (
            endpoint.id.as_str(),
            endpoint.record.failure_domain.as_str(),
        );
        spdlog::info!("attempt not sent to its endpoint", kv: { request, endpoint = id, domain, reason });
    }

    fn record_connect(&self, key: Key, endpoint: &str, is_open: bool) {
        let before = self.state();
        if is_open {
            self.0.opened_at.set(Some(Instant::now()));
            self.0.links.borrow_mut().record_open();
        } else {
            let now = self.0.clock.now();
            self.0.links.borrow_mut().record_failure(key, now);
        }
        match (before, self.state()) {
            (State::Connected, State::Suspected) => {
                let failures = self.0.links.borrow().failures().len();
                spdlog::warn!("links to endpoints may be lost", kv: { endpoint, failures });
                self.start_search();
            }
            (State::Suspected | State::CutOff, State::Connected) => {
                spdlog::info!("link to an endpoint works", kv: { endpoint });
                self.0.gateway.set(None);
                self.0.members.set_cut_off(false);
            }
            _ => {}
        }
    }

    /// Returns the VM to send through, or `None` if this VM sends itself.
    async fn gateway(&self) -> Option<SocketAddr> {
        if self.state() == State::Connected {
            return None;
        }
        let current = self.0.gateway.get();
        if current.is_some() {
            return current;
        }
        let seen = self.0.searched.count();
        self.start_search();
        self.0.searched.wait(seen).await;
        self.0.gateway.get()
    }

    /// Searches a gateway, unless a search is in progress.
    fn start_search(&self) {
        if self.0.is_searching.replace(true) {
            return;
        }
        let paths = self.clone();
        monoio::spawn(async move {
            paths.search().await;
            paths.0.is_searching.set(false);
            paths.0.searched.notify();
        });
    }

    fn leave_gateway(&self, gateway: SocketAddr, problem: &str) {
        if self.0.gateway.get() == Some(gateway) {
            self.0.gateway.set(None);
            let vm = gateway.to_string();
            spdlog::warn!("gateway is left", kv: { vm, problem });
        }
    }

    /// Searches a VM that reaches an endpoint which this VM does not reach.
    async fn search(&self) {
        if self.state() == State::Suspected && self.reaches_other_endpoint().await {
            self.refute("an endpoint of this VM responds");
            return;
        }
        let failures = self.0.links.borrow().failures();
        let endpoints = self.endpoint_ids(&failures[..failures.len().min(CHECKED_ENDPOINTS_MAX)]);
        let check = Check { endpoints };
        let others = self.0.members.others();
        let mut linked = 0;
        for vms in others[..others.len().min(CHECKS_MAX)].chunks(CHECKS_AT_ONCE) {
            let mut asked: FuturesUnordered<_> =
                vms.iter().map(|vm| self.ask(*vm, &check)).collect();
            while let Some((vm, checked)) = asked.next().await {
                match checked {
                    Some(checked) if checked.reaches => {
                        drop(asked);
                        self.adopt(vm);
                        return;
                    }
                    Some(checked) => linked += usize::from(checked.is_linked),
                    None => {}
                }
            }
            if linked > 0 {
                break;
            }
        }
        self.refute(match linked {
            0 => "no other VM reaches an endpoint",
            _ => "other VMs do not reach the endpoints",
        });
    }

    async fn ask(&self, vm: SocketAddr, check: &Check) -> (SocketAddr, Option<Checked>) {
        let answer = self.0.client.ask(vm, gateway::CHECK_PATH, check).await;
        if let Err(problem) = &answer {
            let (vm, problem) = (vm.to_string(), problem.as_str());
            spdlog::info!("VM did not tell whether it reaches an endpoint", kv: { vm, problem });
        }
        (vm, answer.ok())
    }

    fn adopt(&self, gateway: SocketAddr) {
        // A connection may have opened meanwhile.
        let before = self.state();
        if before == State::Connected {
            return;
        }
        self.0.links.borrow_mut().record_cut(self.0.clock.now());
        self.0.gateway.set(Some(gateway));
        self.0.members.set_cut_off(true);
        if before == State::Suspected {
            // The failures were those of the links.
            self.0.facts.borrow_mut().end_backoffs();
        }
        let vm = gateway.to_string();
        spdlog::warn!("requests to endpoints go through another VM", kv: { vm });
    }

    fn refute(&self, reason: &str) {
        let now = self.0.clock.now();
        let is_suspected = self.state() == State::Suspected;
        self.0.links.borrow_mut().record_refutation(now);
        if is_suspected {
            spdlog::info!("links to endpoints are not lost", kv: { reason });
        }
    }

    fn endpoint_ids(&self, keys: &[Key]) -> Vec<String> {
        let facts = self.0.facts.borrow();
        let known = keys.iter().filter_map(|key| facts.endpoints.get(*key));
        let known = known.filter(|endpoint| !endpoint.is_evacuated());
        known.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// Connects to an endpoint that has not failed, preferably one of another
    /// service than the one that failed last, and returns whether it can be
    /// connected to.
    async fn reaches_other_endpoint(&self) -> bool {
        let failures = self.0.links.borrow().failures();
        let other = {
            let facts = self.0.facts.borrow();
            let failed = failures.first().and_then(|key| facts.endpoints.get(*key));
            let service = failed.map(|endpoint| endpoint.record.service.clone());
            let others = facts.endpoints.iter();
            let others =
                others.filter(|(key, endpoint)| endpoint.is_open() && !failures.contains(key));
            let is_alike = |endpoint: &Endpoint| Some(&endpoint.record.service) == service.as_ref();
            others
                .min_by_key(|(_, endpoint)| is_alike(endpoint))
                .map(|(key, _)| key)
        };
        match other {
            Some(key) => self.probe(key).await,
            None => false,
        }
    }

    /// Connects to the endpoint `key`, and returns whether it can be connected to.
    async fn probe(&self, key: Key) -> bool {
        let known = self.0.facts.borrow().endpoints.get(key).cloned();
        let Some(endpoint) = known else {
            return false;
        };
        let opened = self.0.pool.open(endpoint.record.address, PROBE_TIMEOUT);
        let is_open = opened.await.is_ok();
        self.record_connect(key, &endpoint.id, is_open);
        is_open
    }

    /// Answers whether this VM reaches one of the endpoints of `check`.
    pub(crate) async fn check(&self, check: &Check) -> Checked {
        let keys: Vec<Key> = {
            let facts = self.0.facts.borrow();
            let ids = check.endpoints.iter();
            let keys = ids.filter_map(|id| facts.key(id));
            keys.filter(|key| {
                let endpoint = facts.endpoints.get(*key);
                endpoint.is_some_and(|endpoint| !endpoint.is_evacuated())
            })
            .collect()
        };
        let probes: FuturesUnordered<_> = keys.iter().map(|key| self.probe(*key)).collect();
        let asked = probes.any(|is_open| async move { is_open });
        let (reaches, is_linked) = if self.is_proven() {
            (asked.await, true)
        } else {
            monoio::join!(asked, self.reaches_other_endpoint())
        };
        Checked {
            reaches,
            is_linked: reaches || is_linked,
        }
    }

    /// Checks the links apart from requests: after an idle connection has failed,
    /// and periodically while this VM is cut off. Never returns.
    pub(crate) async fn watch(self) {
        loop {
            monoio::time::sleep(WATCH_PERIOD).await;
            let failed = self.0.pool.take_failed();
            let now = self.0.clock.now();
            let is_due = self.0.links.borrow_mut().is_probe_due(now);
            if self.state() == State::Connected && !failed.is_empty() {
                self.probe_after_failure(&failed).await;
            } else if is_due {
                self.reaches_other_endpoint().await;
            }
        }
    }

    /// Connects to an endpoint whose idle connection has failed, and to another one
    /// if that is not possible.
    async fn probe_after_failure(&self, failed: &[SocketAddr]) {
        let key = {
            let facts = self.0.facts.borrow();
            let mut endpoints = facts.endpoints.iter();
            let found = endpoints.find(|(_, endpoint)| {
                !endpoint.is_evacuated() && failed.contains(&endpoint.record.address)
            });
            found.map(|(key, _)| key)
        };
        let Some(key) = key else {
            return;
        };
        if !self.probe(key).await {
            self.reaches_other_endpoint().await;
        }
    }
}

/// Returns the id of the request that `call` sends, or an empty string.
fn request_id(call: &Call) -> String {
    let id = call.header_map().get(header::REQUEST_ID);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    id.to_string()
}

fn log_forwarded(call: &Call, endpoint: &Endpoint, gateway: SocketAddr) {
    let request = request_id(call);
    let (endpoint, vm) = (endpoint.id.as_str(), gateway.to_string());
    spdlog::info!("attempt sent through another VM", kv: { request, endpoint, vm });
}

/// Waits for the head of a response and reads its body within `limit`.
pub(crate) async fn collect(
    limit: Duration,
    sent: impl Future<Output = Result<Response, http::Error>>,
) -> Result<Fetched, http::Error> {
    let exchange = async {
        let mut response = sent.await?;
        let body = response.collect().await?;
        Ok(Fetched {
            status: response.status,
            headers: std::mem::take(&mut response.headers),
            body,
            is_repeated: response.is_repeated,
        })
    };
    match monoio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(http::Error::new(
            Kind::Timeout,
            "the response was not complete",
        )),
    }
}

/// Returns `call` with less time, after `elapsed` of it has passed.
fn shortened(call: Call, elapsed: Duration) -> Call {
    let deadline = header::parse_number(call.header_map(), header::DEADLINE);
    let remaining = call.time_limit().saturating_sub(elapsed);
    let call = call.deadline(remaining);
    match deadline {
        Some(ms) => {
            let ms = ms.saturating_sub(elapsed.as_millis() as u64);
            call.header(header::DEADLINE, ms.to_string())
        }
        None => call,
    }
}
