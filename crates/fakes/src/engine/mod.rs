//! A model engine: continuous batching, a prefix cache and weight loading.

pub(crate) mod cache;
pub(crate) mod log;
pub(crate) mod order;
pub(crate) mod stream;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    str::FromStr,
    time::Instant,
};

use board::hash::Map;
use clap::Parser;
use link::{
    StatusCode,
    http::{Limits, Pool, Reply, Request},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    Bind,
    batch::Batch,
    clock,
    host::{Callbacks, Host},
};

/// A model and the version of its weights, written `NAME=VERSION`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The model's name.
    pub name: String,
    /// The version of the weights.
    pub version: u64,
}

impl FromStr for Model {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, version) = text.split_once('=').ok_or("expected NAME=VERSION")?;
        let version = version.parse().map_err(|e| format!("version: {e}"))?;
        Ok(Self {
            name: name.to_owned(),
            version,
        })
    }
}

/// Settings of an engine.
#[derive(Clone, Debug, Parser)]
pub struct Config {
    /// Addresses to listen on.
    #[command(flatten)]
    pub bind: Bind,
    /// The endpoint's id.
    #[arg(long, default_value = "e1")]
    pub id: String,
    /// A model that the engine serves; may be repeated.
    #[arg(long = "model", value_name = "NAME=VERSION")]
    pub models: Vec<Model>,
    /// Concurrent streams; further streams wait in the order of their priority.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// Streams that may wait; further streams are answered with 503.
    #[arg(long, default_value_t = 64)]
    pub queue: usize,
    /// Tokens per second, shared by the running streams.
    #[arg(long, default_value_t = 400.0)]
    pub tokens_per_s: f64,
    /// Time to the first token without a cached prefix, in milliseconds.
    #[arg(long, default_value_t = 40)]
    pub first_token_ms: u64,
    /// Capacity of the prefix cache.
    #[arg(long, default_value_t = 64)]
    pub cache_prefixes: usize,
    /// Reject orders with an epoch below the highest epoch received.
    #[arg(long)]
    pub checks_epoch: bool,
    /// Address of the weight store; without it, an order loads weights without
    /// fetching them.
    #[arg(long)]
    pub weight_store: Option<SocketAddr>,
    /// Time to load fetched weights, in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub load_ms: u64,
    /// Period of load reports and lag of cache events, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub report_lag_ms: u64,
    /// Seed of the random generator for faults.
    #[arg(long, default_value_t = 0)]
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self::parse_from(["engine"])
    }
}

/// The state of an engine.
pub(crate) struct Engine {
    config: Config,
    host: Rc<Host>,
    pool: Pool,
    batch: Rc<Batch>,
    versions: RefCell<Map<String, u64>>,
    cache: RefCell<cache::Cache>,
    log: RefCell<log::Log>,
    orders: RefCell<order::History>,
    cancel_flags: RefCell<Map<String, Rc<Cell<bool>>>>,
    latest_report: RefCell<(Instant, Load)>,
}

/// A load report.
#[derive(Clone, Debug, Default, Serialize)]
struct Load {
    in_flight: usize,
    queued: usize,
    slots: usize,
    tokens_per_s: f64,
    cached_prefixes: usize,
    versions: Map<String, u64>,
    age_ms: u64,
}

#[derive(Deserialize)]
struct Cancellation {
    request_id: String,
}

pub(crate) fn callbacks(config: Config, host: &Rc<Host>) -> Callbacks {
    let engine = Engine::new(config, host.clone());
    if engine.config.report_lag_ms > 0 {
        monoio::spawn(report_periodically(engine.clone()));
    }
    Callbacks {
        answer: Box::new(move |request| {
            let engine = engine.clone();
            Box::pin(async move { answer(engine, request).await })
        }),
        on_fault: Box::new(|_| {}),
    }
}

async fn report_periodically(engine: Rc<Engine>) {
    loop {
        clock::sleep_ms(engine.config.report_lag_ms).await;
        let load = engine.current_load();
        *engine.latest_report.borrow_mut() = (Instant::now(), load);
    }
}

async fn answer(engine: Rc<Engine>, request: Request) -> Reply {
    match (request.method.as_str(), request.uri.path()) {
        ("POST", "/v1/generate") => stream::generate(&engine, &request),
        ("POST", "/v1/cancel") => engine.cancel(&request),
        ("GET", "/v1/load") => engine.load(),
        ("GET", "/v1/cache-events") => engine.cache_events(&request),
        ("POST", "/v1/weights") => order::weights(&engine, &request).await,
        ("POST", "/v1/adapters") => order::adapter(&engine, &request).await,
        ("POST", "/v1/role") => order::role(&engine, &request).await,
        ("GET", "/v1/log") => engine.read_log(),
        _ => Reply::error(StatusCode::NOT_FOUND, "not-found", "no such call"),
    }
}

impl Engine {
    fn new(config: Config, host: Rc<Host>) -> Rc<Self> {
        let models = config.models.iter();
        let versions = models.map(|model| (model.name.clone(), model.version));
        let engine = Self {
            host,
            pool: Pool::new(Limits::new()),
            batch: Batch::new(config.slots, config.queue),
            versions: RefCell::new(versions.collect()),
            cache: RefCell::new(cache::Cache::new(config.cache_prefixes)),
            log: RefCell::default(),
            orders: RefCell::default(),
            cancel_flags: RefCell::default(),
            latest_report: RefCell::new((Instant::now(), Load::default())),
            config,
        };
        let load = engine.current_load();
        engine.latest_report.borrow_mut().1 = load;
        Rc::new(engine)
    }

    fn version(&self, model: &str) -> Option<u64> {
        self.versions.borrow().get(model).copied()
    }

    fn current_load(&self) -> Load {
        Load {
            in_flight: self.batch.active(),
            queued: self.batch.queued(),
            slots: self.config.slots,
            tokens_per_s: self.config.tokens_per_s,
            cached_prefixes: self.cache.borrow().len(),
            versions: self.versions.borrow().clone(),
            age_ms: 0,
        }
    }

    fn load(&self) -> Reply {
        if self.config.report_lag_ms == 0 {
            return Reply::json(StatusCode::OK, &self.current_load());
        }
        let (at, mut load) = self.latest_report.borrow().clone();
        load.age_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Reply::json(StatusCode::OK, &load)
    }

    fn cancel(&self, request: &Request) -> Reply {
        let cancellation: Cancellation = match request.json() {
            Ok(cancellation) => cancellation,
            Err(reply) => return reply,
        };
        let found = self
            .cancel_flags
            .borrow()
            .get(&cancellation.request_id)
            .cloned();
        if let Some(flag) = &found {
            flag.set(true);
        }
        Reply::json(StatusCode::OK, &json!({"cancelled": found.is_some()}))
    }

    fn cache_events(&self, request: &Request) -> Reply {
        let after = request.query("after").and_then(|text| text.parse().ok());
        let visible_ms = clock::now_ms().saturating_sub(self.config.report_lag_ms);
        let events = self.cache.borrow().events(after.unwrap_or(0), visible_ms);
        Reply::json(StatusCode::OK, &events)
    }

    fn read_log(&self) -> Reply {
        let (log, orders) = (self.log.borrow(), self.orders.borrow());
        let body = json!({"entries": log.entries(), "orders": orders.entries()});
        Reply::json(StatusCode::OK, &body)
    }
}
