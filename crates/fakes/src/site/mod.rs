//! Stand-ins for the users' platform: its object store, the endpoints that
//! announce themselves there, and the part that takes usage reports.
//!
//! All of them run in one thread over one [`State`], which a test reads and
//! changes from its own thread. They speak the platform's words, as it does.
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
    collections::BTreeMap,
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
    thread,
    time::Duration,
};

use link::{
    http::{
        Limits, Reply, Request,
        server::{self, Drain},
    },
    net, runtime,
};
use serde_json::{Value, json};

pub use engine::event_text;
pub use provider::Report;

/// What is stood in for.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many model engines there are.
    pub engines: usize,
    /// How many endpoints of a plain service there are.
    pub plain: usize,
    /// The pause between two events of an engine.
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

/// The fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It serves.
    #[default]
    None,
    /// It answers 503 and does nothing.
    Unavailable,
    /// It does what it is asked to and does not answer.
    DroppedReplies,
    /// The same for calls about one kind.
    DroppedRepliesOf(&'static str),
    /// Watches hear nothing; other calls are served.
    SilentWatches,
}

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// The endpoint.
    pub endpoint: String,
    /// The path.
    pub path: String,
    /// The account that it was sent for.
    pub account: Option<String>,
    /// The event that it goes on after.
    pub last_event_id: Option<u64>,
    /// The milliseconds that its caller still waits.
    pub deadline_ms: Option<u64>,
}

/// The faults of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Requests that it still turns away without running them.
    pub rejects: u32,
    /// Requests that it still answers with 500.
    pub errors: u32,
    /// Requests that it still runs without an answer.
    pub dropped_replies: u32,
    /// The event after which it still cuts the next stream.
    pub cut_after: Option<u64>,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version of its weights, by model; empty for a plain service.
    pub versions: BTreeMap<String, u64>,
    /// The orders that it accepted.
    pub orders: u64,
    /// The highest epoch that it saw.
    pub epoch: u64,
    /// Its faults.
    pub faults: Faults,
}

/// What the stand-ins hold.
#[derive(Debug, Default)]
pub struct State {
    /// The fault of the store.
    pub fault: Fault,
    /// Calls that the store took, by method and kind.
    pub calls: BTreeMap<String, u64>,
    pub(crate) revision: u64,
    pub(crate) compacted_revision: u64,
    pub(crate) objects: BTreeMap<(String, String), Value>,
    pub(crate) log: Vec<store::Change>,
    /// The endpoints by id.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// The requests that reached them, in order.
    pub arrivals: Vec<Arrival>,
    /// The usage reports that were taken.
    pub reports: Vec<Report>,
}

/// The model that the engines serve.
pub const MODEL: &str = "m0";
/// The service of the engines.
pub const ENGINE_SERVICE: &str = "writer";
/// The plain service.
pub const PLAIN_SERVICE: &str = "registry";

/// Stand-ins that run until the process ends.
#[derive(Debug)]
pub struct Site {
    /// Where the store listens.
    pub store: SocketAddr,
    /// Where reports of usage are taken.
    pub provider: SocketAddr,
    state: Arc<Mutex<State>>,
}

pub(crate) type SharedState = Arc<Mutex<State>>;

/// Locks the world; a test that failed meanwhile does not matter.
pub(crate) fn lock(state: &SharedState) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Site {
    /// Returns what the stand-ins hold, locked until it is dropped.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Starts the stand-ins of `plan`, with every endpoint announced.
///
/// # Errors
///
/// The error of a socket.
pub fn spawn(plan: Plan) -> io::Result<Site> {
    let state = SharedState::default();
    let (sender, receiver) = mpsc::channel();
    let thread_state = state.clone();
    thread::spawn(move || {
        let run = async move {
            let addresses = start(&thread_state, &plan);
            let has_started = addresses.is_ok();
            // The other side waits for this one message.
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
            engine::answer(state, request, name.clone(), time)
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
            plain::answer(state, request, name.clone())
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
        faults: Faults::default(),
    }
}

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
    monoio::spawn(server::serve(
        listener,
        Limits::new(),
        Drain::default(),
        handler,
    ));
    Ok(address)
}

impl State {
    /// Announces the endpoint `id` in the store with `state`.
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
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "models": models.collect::<Vec<Value>>(),
            "born": 1,
        });
        self.put("servers", id, record);
    }

    /// Returns how many requests the reports name that were taken.
    pub fn reported_requests(&self) -> u64 {
        let counts = self
            .reports
            .iter()
            .flat_map(|report| report.counts.values());
        counts.sum()
    }

    /// Returns the arrivals of the request `id`.
    pub fn arrivals_of(&self, id: &str) -> Vec<Arrival> {
        let arrivals = self.arrivals.iter().filter(|arrival| arrival.id == id);
        arrivals.cloned().collect()
    }
}

/// Returns the header `name` of `request` as text.
pub(crate) fn header_text(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(str::to_string)
}

/// Notes that `request` reached the endpoint `id`, and returns its faults.
pub(crate) fn record_arrival(state: &SharedState, request: &Request, id: &str) -> Faults {
    let mut state = lock(state);
    let number = |name| request.header(name).and_then(|value| value.parse().ok());
    let arrival = Arrival {
        id: header_text(request, "request-id").unwrap_or_default(),
        endpoint: id.to_string(),
        path: request.uri.path().to_string(),
        account: header_text(request, "tenant"),
        last_event_id: number("last-event-id"),
        deadline_ms: number("deadline-ms"),
    };
    state.arrivals.push(arrival);
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return Faults::default();
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

/// Returns the answer of an endpoint that does not run the request, if it
/// does not: it is another one than expected, or turns it away.
pub(crate) fn rejection(request: &Request, id: &str, faults: &Faults) -> Option<Reply> {
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

/// Adds the id of the request, as every endpoint does.
pub(crate) fn echo_request_id(request: &Request, reply: Reply) -> Reply {
    reply.header(
        "request-id",
        header_text(request, "request-id").unwrap_or_default(),
    )
}
