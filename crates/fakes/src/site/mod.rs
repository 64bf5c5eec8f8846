//! Fakes of the users' platform: its object store, the endpoints that announce
//! themselves there, and the provider, which accepts usage reports.
//!
//! All of them run in one thread and share one [`State`], which a test reads and
//! changes from its own thread. Their paths, headers and keys are those of the
//! platform.
//!
//! # Examples
//!
//! ```
//! use link::http::client::Call;
//! use tarragonseam_fakes::{blocking, site};
//!
//! let site = site::spawn(site::Plan::default())?;
//! site.state().put("config", "main", serde_json::json!({"version": 1}));
//! let list = blocking::fetch(site.store, Call::get("/objects/config"))?;
//! assert_eq!(list.status, 200);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod engine;
mod plain;
mod provider;
mod store;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
    thread,
    time::{Duration, Instant},
};

use link::{
    http::{
        Limits, Reply, Request,
        server::{self, Drain},
    },
    net, runtime,
};
use serde_json::{Value, json};

pub use engine::{event_software, event_text};
pub use provider::Report;

/// The endpoints to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of model engines.
    pub engines: usize,
    /// The number of endpoints of the plain service.
    pub plain: usize,
    /// The time before each event of an engine's stream.
    pub event_time: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            engines: 2,
            plain: 2,
            event_time: Duration::from_millis(5),
        }
    }
}

/// A fault of the object store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every call is answered with 503 and not executed.
    Unavailable,
    /// Every call is executed and its answer dropped.
    DroppedReplies,
    /// Calls about one kind of object are executed and their answers dropped.
    DroppedRepliesOf(&'static str),
    /// Every call is executed and answered with this status and no body.
    ExecutedWithStatus(u16),
    /// The next write to one kind of object is executed and its answer dropped.
    /// The store is [`Unavailable`](Self::Unavailable) from then on.
    LostWriteOf(&'static str),
    /// Writes are executed after this time, also if the caller or the fault has
    /// gone by then, and get no answer. Reads are answered.
    LateWrites(Duration),
    /// The same for writes to one kind of object.
    LateWritesOf(&'static str, Duration),
    /// The next write to one kind of object is answered with 503 and not executed. No
    /// fault follows.
    FailedWriteOf(&'static str),
    /// Writes to one kind of object are executed and answered after this time.
    SlowWritesOf(&'static str, Duration),
    /// Watches report no changes; other calls are answered.
    SilentWatches,
}

/// A request that an endpoint received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The id of the request.
    pub id: String,
    /// The id of the endpoint.
    pub endpoint: String,
    /// When it arrived.
    pub at: Instant,
    /// The path.
    pub path: String,
    /// The account of the request.
    pub account: Option<String>,
    /// The last event that the caller has; the stream resumes after it.
    pub last_event_id: Option<u64>,
    /// The time that the caller will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A connection to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection {
    /// The id of the endpoint.
    pub endpoint: String,
    /// The address of the client.
    pub peer: SocketAddr,
    /// Whether an order arrived on it.
    pub has_orders: bool,
}

/// The pending faults of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct PendingFaults {
    /// The number of requests to reject without running them.
    pub rejects: u32,
    /// The number of requests to answer with 500.
    pub errors: u32,
    /// The number of requests to run without an answer.
    pub dropped_replies: u32,
    /// The event after which to cut the next stream.
    pub cut_after: Option<u64>,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's id.
    pub id: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The version of the weights by model; empty for a plain service.
    pub versions: BTreeMap<String, u64>,
    /// The number of accepted orders.
    pub orders: u64,
    /// The highest epoch of the accepted orders.
    pub epoch: u64,
    /// The pending faults.
    pub faults: PendingFaults,
    /// The requests per second that its answers name as its limit.
    pub rate_limit: Option<f64>,
    /// The load that its answers state, if they state one.
    pub load: Option<&'static str>,
    /// Whether its answers state that it leaves.
    pub is_leaving: bool,
    /// How long a request takes, at a plain service.
    pub work_time: Duration,
    /// The time for which its record states that it stays cold, in milliseconds.
    pub cold_left_ms: u64,
    /// When it last started, in the unit of its record.
    pub born: u64,
    /// Its failure domain.
    pub domain: &'static str,
    /// The version of its software, which its events show.
    pub software: &'static str,
}

/// The version of the software of all endpoints at first.
pub const SOFTWARE: &str = "v1";

/// The state that the fakes share.
#[derive(Debug, Default)]
pub struct State {
    /// The current fault of the store.
    pub fault: Fault,
    /// The number of calls to the store, by method and kind.
    pub calls: BTreeMap<String, u64>,
    /// The most objects on a page of a list, if only their size does not limit it.
    pub page_length: Option<usize>,
    pub(crate) revision: u64,
    pub(crate) compacted_revision: u64,
    pub(crate) objects: BTreeMap<(String, String), Value>,
    pub(crate) log: Vec<store::Change>,
    /// The endpoints by id.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// The requests that the endpoints received, in order.
    pub arrivals: Vec<Arrival>,
    /// The connections on which endpoints received requests.
    pub connections: BTreeSet<Connection>,
    /// Whether endpoints repeat the ids of orders and of reads of their state.
    pub repeats_order_ids: bool,
    /// The orders and the reads of states that the engines received, in order.
    pub control_calls: Vec<Arrival>,
    /// How many more endpoints crash under requests with a path.
    pub crashes: BTreeMap<String, u32>,
    /// How many more connections are cut under requests with a path, while their
    /// endpoints go on.
    pub cuts: BTreeMap<String, u32>,
    /// How long plain endpoints take for the next requests with a path, in order.
    pub delays: BTreeMap<String, VecDeque<Duration>>,
    /// The number of streams that engines are writing.
    pub open_streams: usize,
    /// The accepted usage reports, in order.
    pub reports: Vec<Report>,
    /// Whether the provider and the engines accept orders of any epoch.
    pub ignores_epochs: bool,
}

/// The model that the engines serve.
pub const MODEL: &str = "m0";
/// The name of the service that the engines provide.
pub const ENGINE_SERVICE: &str = "writer";
/// The name of the plain service.
pub const PLAIN_SERVICE: &str = "registry";

/// Running fakes of a platform, which end with the process.
#[derive(Debug)]
pub struct Site {
    /// The address of the object store.
    pub store: SocketAddr,
    /// The address of the provider, which accepts usage reports.
    pub provider: SocketAddr,
    state: Arc<Mutex<State>>,
}

pub(crate) type SharedState = Arc<Mutex<State>>;

/// Locks the state, also if a test thread panicked while it held the lock.
pub(crate) fn lock(state: &SharedState) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Site {
    /// Returns the shared state, locked until the guard is dropped.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Starts a platform with the endpoints of `plan`, all of them announced in its
/// store.
///
/// # Errors
///
/// When a socket cannot be opened.
pub fn spawn(plan: Plan) -> io::Result<Site> {
    let state = SharedState::default();
    let (sender, receiver) = mpsc::channel();
    let thread_state = state.clone();
    thread::spawn(move || {
        let run = async move {
            let addresses = start(&thread_state, &plan);
            let has_started = addresses.is_ok();
            // `spawn` waits for this message, so the receiver exists.
            let _ = sender.send(addresses);
            if has_started {
                std::future::pending::<()>().await;
            }
        };
        runtime::run(run)
    });
    let addresses = receiver.recv().map_err(io::Error::other)?;
    let (store, provider) = addresses?;
    Ok(Site {
        store,
        provider,
        state,
    })
}

fn start(state: &SharedState, plan: &Plan) -> io::Result<(SocketAddr, SocketAddr)> {
    let store = listen(state, store::answer)?;
    let provider = listen(state, provider::answer)?;
    for number in 0..plan.engines {
        let id = format!("engine-{number}");
        let (name, time) = (id.clone(), plan.event_time);
        let address = listen(state, move |state, request| {
            let name = name.clone();
            async move {
                let reply = engine::answer(state.clone(), request, name.clone(), time).await;
                add_statements(&state, &name, reply)
            }
        })?;
        let mut state = lock(state);
        let versions = BTreeMap::from([(MODEL.to_string(), 1)]);
        state
            .endpoints
            .insert(id.clone(), endpoint(&id, address, versions));
        state.announce(&id, "ready");
    }
    for number in 0..plan.plain {
        let id = format!("plain-{number}");
        let name = id.clone();
        let address = listen(state, move |state, request| {
            let name = name.clone();
            async move {
                let reply = plain::answer(state.clone(), request, name.clone()).await;
                add_statements(&state, &name, reply)
            }
        })?;
        let mut state = lock(state);
        state
            .endpoints
            .insert(id.clone(), endpoint(&id, address, BTreeMap::new()));
        state.announce(&id, "ready");
    }
    Ok((store, provider))
}

fn endpoint(id: &str, address: SocketAddr, versions: BTreeMap<String, u64>) -> Endpoint {
    Endpoint {
        id: id.to_string(),
        address,
        versions,
        orders: 0,
        epoch: 0,
        faults: PendingFaults::default(),
        rate_limit: None,
        load: None,
        is_leaving: false,
        work_time: Duration::ZERO,
        cold_left_ms: 0,
        born: 1,
        domain: "zone-a",
        software: SOFTWARE,
    }
}

/// The largest body that endpoints accept, as the platform documents.
const BODY_BYTES_MAX: usize = 33_554_432;
/// How many such bodies fit at once.
const BODIES_MAX: usize = 8;

fn listen<F>(
    state: &SharedState,
    answer: impl Fn(SharedState, Request) -> F + 'static,
) -> io::Result<SocketAddr>
where
    F: Future<Output = Reply> + 'static,
{
    let listener = net::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    let state = state.clone();
    let handler = move |request| answer(state.clone(), request);
    let limits = Limits::new()
        .body_bytes(BODY_BYTES_MAX)
        .total_body_bytes(BODIES_MAX * BODY_BYTES_MAX);
    monoio::spawn(server::serve(listener, limits, Drain::default(), handler));
    Ok(address)
}

impl State {
    /// Writes the record of the endpoint `id` to the store, with `state`.
    pub fn announce(&mut self, id: &str, state: &str) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let service = match endpoint.versions.is_empty() {
            true => PLAIN_SERVICE,
            false => ENGINE_SERVICE,
        };
        let models = endpoint.versions.iter();
        let models = models.map(|(name, version)| json!({"name": name, "version": version}));
        let record = json!({
            "service": service,
            "address": endpoint.address.to_string(),
            "zone": endpoint.domain,
            "version": endpoint.software,
            "slots": 4,
            "state": state,
            "models": models.collect::<Vec<Value>>(),
            "born": endpoint.born,
            "cold-left-ms": endpoint.cold_left_ms,
        });
        self.put("servers", id, record);
    }

    /// Returns the sum of the requests in all accepted usage reports.
    pub fn reported_requests(&self) -> u64 {
        let counts = self
            .reports
            .iter()
            .flat_map(|report| report.counts.values());
        counts.sum()
    }

    /// Returns the arrivals of the request `id` at any endpoint, in order.
    pub fn arrivals_of(&self, id: &str) -> Vec<Arrival> {
        let arrivals = self.arrivals.iter().filter(|arrival| arrival.id == id);
        arrivals.cloned().collect()
    }
}

/// Returns the value of the header `name`.
pub(crate) fn header_text(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(str::to_string)
}

/// Records the connection on which the endpoint `id` received `request`.
pub(crate) fn record_connection(state: &SharedState, request: &Request, id: &str) {
    lock(state).connections.insert(Connection {
        endpoint: id.to_string(),
        peer: request.peer,
        has_orders: request.uri.path() == engine::ORDER_PATH,
    });
}

fn arrival(request: &Request, id: &str) -> Arrival {
    let number = |name| request.header(name).and_then(|value| value.parse().ok());
    Arrival {
        id: header_text(request, "request-id").unwrap_or_default(),
        endpoint: id.to_string(),
        at: Instant::now(),
        path: request.uri.path().to_string(),
        account: header_text(request, "tenant"),
        last_event_id: number("last-event-id"),
        deadline_ms: number("deadline-ms"),
    }
}

/// Records that the engine `id` received an order, or a read of its state.
pub(crate) fn record_control_call(state: &SharedState, request: &Request, id: &str) {
    lock(state).control_calls.push(arrival(request, id));
}

/// Records that the endpoint `id` received `request`, and returns the faults that
/// apply to it.
pub(crate) fn record_arrival(state: &SharedState, request: &Request, id: &str) -> PendingFaults {
    let mut state = lock(state);
    state.arrivals.push(arrival(request, id));
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return PendingFaults::default();
    };
    let faults = &mut endpoint.faults;
    let current_faults = faults.clone();
    faults.rejects = faults.rejects.saturating_sub(1);
    if current_faults.rejects > 0 {
        return current_faults;
    }
    faults.errors = faults.errors.saturating_sub(1);
    if current_faults.errors > 0 {
        return current_faults;
    }
    faults.dropped_replies = faults.dropped_replies.saturating_sub(1);
    faults.cut_after = None;
    current_faults
}

/// Returns whether the endpoint `id` crashes under `request`. It starts again at
/// once.
pub(crate) fn crashes(state: &SharedState, request: &Request, id: &str) -> bool {
    let mut state = lock(state);
    match state.crashes.get_mut(request.uri.path()) {
        None | Some(0) => return false,
        Some(left) => *left -= 1,
    }
    if let Some(endpoint) = state.endpoints.get_mut(id) {
        endpoint.born += 1;
    }
    state.announce(id, "ready");
    true
}

/// Returns whether the connection of `request` is cut while its endpoint goes on.
pub(crate) fn is_cut(state: &SharedState, request: &Request) -> bool {
    let mut state = lock(state);
    match state.cuts.get_mut(request.uri.path()) {
        None | Some(0) => false,
        Some(left) => {
            *left -= 1;
            true
        }
    }
}

/// Returns the answer to a request that the endpoint does not run, because the
/// request expects another endpoint, or a fault rejects or fails it.
pub(crate) fn rejection(request: &Request, id: &str, faults: &PendingFaults) -> Option<Reply> {
    let is_other_endpoint = request
        .header("expect-instance")
        .is_some_and(|expected| expected != id);
    let reply = match (is_other_endpoint, faults.rejects > 0, faults.errors > 0) {
        (true, ..) => Reply::new(link::StatusCode::MISDIRECTED_REQUEST, ""),
        (_, true, _) => {
            Reply::new(link::StatusCode::SERVICE_UNAVAILABLE, "").header("not-run", "1")
        }
        (.., true) => Reply::new(link::StatusCode::INTERNAL_SERVER_ERROR, "failed")
            .header("server-stamp", "failed"),
        _ => return None,
    };
    Some(echo_request_id(request, reply))
}

/// Adds the rate limit and the load that the endpoint `id` states, and whether it
/// leaves, to a reply.
pub(crate) fn add_statements(state: &SharedState, id: &str, mut reply: Reply) -> Reply {
    let state = lock(state);
    let Some(endpoint) = state.endpoints.get(id) else {
        return reply;
    };
    if let Some(limit) = endpoint.rate_limit {
        reply = reply.header("server-limit", limit.to_string());
    }
    if let Some(load) = endpoint.load {
        reply = reply.header("server-load", load);
    }
    if endpoint.is_leaving {
        reply = reply.header("server-leaving", "1");
    }
    reply
}

/// Adds the id of the request to a reply, as every endpoint does.
pub(crate) fn echo_request_id(request: &Request, reply: Reply) -> Reply {
    reply.header(
        "request-id",
        header_text(request, "request-id").unwrap_or_default(),
    )
}
