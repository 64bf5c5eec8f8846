//! The process: its start, its parts and its end.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use link::{
    StatusCode,
    http::{
        Limits, Pool, Request,
        server::{self, Drain, Reply},
    },
    net,
};
use platform::{Settings, settings, store::Store};

use crate::{
    duty::{self, Duties, lease::Office},
    facts::Facts,
    follow::{self, Contact},
    forward::Forwarder,
    front::Front,
    job::{Jobs, Registry, attempt::Runner, keep, produce::Producer, runner::Runners},
    peer::Peer,
    signal::Signals,
    usage::Usage,
};

/// Why a process cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The variable that names the settings file is not set.
    #[error("the variable {} does not name a settings file", settings::VARIABLE)]
    Unnamed,
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] link::settings::Error),
    /// The system refused something.
    #[error("cannot start: {0}")]
    System(#[from] io::Error),
}

/// How often signals are looked at.
const SIGNAL_PERIOD: Duration = Duration::from_millis(50);
/// How long after SIGTERM a VM still takes connections: readiness is asked
/// once a second, and two misses take it out of rotation.
const LEAVE_TIME: Duration = Duration::from_millis(3000);
/// What is kept of the time until SIGKILL for giving up jobs and the lease.
const END_TIME: Duration = Duration::from_millis(1500);
/// The largest answer of an endpoint that is kept in memory.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// The largest body of a request that is read: the limit that the platform
/// documents. The configuration's own limit is not known at the start.
const BODY_BYTES: usize = 32 * 1024 * 1024;
/// How long a caller's connection may stay idle: a little over the limit that
/// callers are told, so that they close first.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Runs a VM until it is told to stop.
///
/// # Errors
///
/// An [`Error`] that says why it could not start.
pub fn run() -> Result<(), Error> {
    let path = std::env::var_os(settings::VARIABLE).ok_or(Error::Unnamed)?;
    let settings: Settings = link::settings::load(&PathBuf::from(path))?;
    let signals = Signals::catch()?;
    link::runtime::run(start(settings, signals))?
}

async fn start(settings: Settings, signals: Signals) -> Result<(), Error> {
    let (vm, domain) = (settings.vm.as_str(), settings.domain.as_str());
    spdlog::info!("started", kv: { vm, domain });
    match settings.listen.callers {
        Some(address) => serve(&settings, address, &signals).await?,
        None => rest(&signals).await,
    }
    spdlog::info!("stopped", kv: { vm });
    Ok(())
}

/// Does nothing: what lasts is kept on the platform, not on this VM.
async fn rest(signals: &Signals) {
    while !signals.is_stop() {
        monoio::time::sleep(SIGNAL_PERIOD).await;
        if signals.take_reload() {
            spdlog::info!("reload asked for, nothing to take over");
        }
    }
}

/// The parts of a VM that serves callers.
struct Parts {
    facts: Rc<RefCell<Facts>>,
    jobs: Jobs,
    duties: Duties,
    front: Front,
}

impl Parts {
    fn new(settings: &Settings) -> Self {
        let own = settings.listen.peers;
        let mut seeds = settings.seeds.clone();
        // All VMs that are told the same seeds see them in the same order.
        seeds.sort();
        let others = seeds.iter().copied();
        let relays = others.filter(|seed| Some(*seed) != own).collect();
        let store = Store::new(settings.store.address, relays, seeds.first().copied());
        let facts: Rc<RefCell<Facts>> = Rc::default();
        let pool = Pool::new(Limits::new().body_bytes(ANSWER_BYTES)).resets();
        let usage = Usage::new(settings.bounds.window);
        let domain = settings.domain.as_str();
        let forwarder = Forwarder::new(facts.clone(), pool.clone(), usage.clone(), domain);
        let registry = Registry::default();
        let producer = Producer {
            runner: Runner {
                facts: facts.clone(),
                pool: pool.clone(),
                forwarder: forwarder.clone(),
            },
            registry: registry.clone(),
            store: store.clone(),
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
        };
        let jobs = Jobs {
            registry,
            store: store.clone(),
            contact: Contact::default(),
            producer,
            vm: settings.vm.clone(),
            runners: Runners::new(seeds, own, pool.clone()),
        };
        let duties = Duties {
            office: Office::new(store.clone(), jobs.contact.other(), &settings.vm),
            jobs: jobs.registry.clone(),
            facts: facts.clone(),
            store,
            pool,
            provider: settings.provider.address,
            usage,
        };
        let front = Front {
            facts: facts.clone(),
            forwarder,
            jobs: jobs.clone(),
        };
        Self {
            facts,
            jobs,
            duties,
            front,
        }
    }

    /// Starts what runs as long as the process.
    fn spawn(&self, settings: &Settings) {
        let (store, facts) = (self.jobs.store.clone(), self.facts.clone());
        let pool = self.duties.pool.clone();
        let others = self.jobs.contact.other();
        monoio::spawn(follow::config(store.clone(), others.clone(), facts.clone()));
        monoio::spawn(follow::versions(
            store.clone(),
            others.clone(),
            facts.clone(),
        ));
        monoio::spawn(follow::endpoints(store, others, facts, pool));
        monoio::spawn(keep::follow(self.jobs.clone()));
        monoio::spawn(keep::take_over(self.jobs.clone()));
        let office = self.duties.office.clone();
        let other = office.clone();
        monoio::spawn(async move { office.hold().await });
        monoio::spawn(async move { other.follow().await });
        monoio::spawn(duty::weights::run(self.duties.clone()));
        monoio::spawn(duty::report::run(self.duties.clone()));
        monoio::spawn(duty::report::hand_on(
            self.duties.clone(),
            settings.vm.clone(),
        ));
        monoio::spawn(duty::retire::run(self.duties.clone()));
    }
}

async fn serve(settings: &Settings, callers: SocketAddr, signals: &Signals) -> Result<(), Error> {
    let parts = Parts::new(settings);
    let drain = Drain::default();
    let is_leaving = Rc::new(Cell::new(false));
    if let Some(address) = settings.listen.peers {
        let listener = net::listen(address)?;
        let peer = Peer::new(parts.jobs.clone());
        let handler = move |request| {
            let peer = peer.clone();
            async move { peer.answer(request).await }
        };
        let limits = Limits::new().body_bytes(BODY_BYTES);
        monoio::spawn(server::serve(listener, limits, Drain::default(), handler));
    }
    if let Some(address) = settings.listen.readiness {
        let listener = net::listen(address)?;
        let (facts, is_leaving) = (parts.facts.clone(), is_leaving.clone());
        let page = move |_: &Request| readiness(&facts.borrow(), is_leaving.get());
        monoio::spawn(server::serve_pages(listener, page));
    }
    let listener = net::listen(callers)?;
    let limits = Limits::new().body_bytes(BODY_BYTES).idle_time(IDLE_TIME);
    let front = parts.front.clone();
    let handler = move |request| {
        let front = front.clone();
        async move { front.answer(request).await }
    };
    monoio::spawn(server::serve(listener, limits, drain.clone(), handler));
    parts.spawn(settings);
    while !signals.is_stop() {
        monoio::time::sleep(SIGNAL_PERIOD).await;
        if signals.take_reload() {
            spdlog::info!("reload asked for");
        }
    }
    stop(settings, &parts, &drain, &is_leaving).await;
    Ok(())
}

/// Leaves the rotation, finishes what was begun and gives up the rest.
async fn stop(settings: &Settings, parts: &Parts, drain: &Drain, is_leaving: &Cell<bool>) {
    let busy = drain.busy();
    spdlog::info!("stopping", kv: { busy });
    is_leaving.set(true);
    drain.leave();
    parts.duties.office.release().await;
    keep::release(&parts.jobs).await;
    monoio::time::sleep(LEAVE_TIME).await;
    drain.close();
    let left = settings.bounds.stop.saturating_sub(LEAVE_TIME + END_TIME);
    let is_done = drain.wait(left).await;
    spdlog::info!("drained", kv: { is_done });
}

fn readiness(facts: &Facts, is_leaving: bool) -> Reply {
    match facts.config.is_some() && !is_leaving {
        true => Reply::new(StatusCode::OK, ""),
        false => Reply::new(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}
