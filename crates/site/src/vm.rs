//! The start, the main loop and the shutdown of the process.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use clap::Parser;
use link::{
    StatusCode, fault,
    http::{
        Limits, Request,
        server::{self, Drain, Reply},
    },
    net,
};
use platform::{Settings, settings};

use crate::{
    components::Components,
    duty::report,
    facts::Facts,
    job::failover,
    reload::File,
    room::{BODY_BYTES_MAX, Room},
    signal::Signals,
    stop, storage,
};

/// One VM on the users' platform.
#[derive(Debug, Parser)]
#[command(name = "tarragonseam-vm", version)]
pub struct Arguments {
    /// The settings file.
    #[arg(long, env = settings::FILE_VARIABLE)]
    settings: PathBuf,
    /// The port on which metrics are served.
    #[arg(long)]
    metrics_port: Option<u16>,
    /// Accepts faults at `POST /fault` on the metrics port; for tests only.
    #[arg(long, hide = true, requires = "metrics_port")]
    test_faults: bool,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

/// Why a process cannot start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The settings are not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] link::settings::Error),
    /// A system call failed.
    #[error("cannot start the VM: {0}")]
    System(#[from] io::Error),
    /// The log cannot be set up.
    #[error("cannot set up the log: {0}")]
    Log(#[from] spdlog::Error),
}

/// How long after SIGTERM a VM still accepts connections. Load balancers probe
/// readiness once a second, and stop sending requests after two failed probes.
const DRAIN_DELAY: Duration = Duration::from_millis(3000);
/// The time before SIGKILL that is reserved for releasing jobs and submitting
/// usage counts.
const RELEASE_RESERVE: Duration = Duration::from_millis(1500);
/// How long submitting the counts of the last windows may take at least. This
/// time is included in [`RELEASE_RESERVE`].
const USAGE_TIME_MIN: Duration = Duration::from_millis(1200);
/// The time before SIGKILL that submitting counts leaves, if it may take more.
const EXIT_RESERVE: Duration = Duration::from_millis(300);
/// How long the largest body may take: five times as long as alone on a link of
/// 45 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The header with the key of a client account.
const KEY_HEADER: &str = "x-api-key";
/// How long a caller's connection may stay idle. This is a little more than the
/// documented limit, so that callers close the connection first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a VM until it receives a signal to stop.
///
/// # Errors
///
/// An [`Error`] when the VM cannot start.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let file = File::open(&arguments.settings)?;
    if arguments.check {
        let settings = file.settings();
        println!(
            "the settings of VM {} in failure domain {} are valid",
            settings.vm, settings.failure_domain
        );
        return Ok(());
    }
    // Each log line names the VM, so that the logs of several VMs can be
    // merged.
    link::log::start_bounded(&file.settings().vm)?;
    let signals = Signals::register()?;
    link::runtime::run(start(file, signals, arguments))?
}

async fn start(mut file: File, signals: Signals, arguments: &Arguments) -> Result<(), Error> {
    let settings = file.settings().clone();
    let (vm, domain) = (settings.vm.as_str(), settings.failure_domain.as_str());
    let version = env!("CARGO_PKG_VERSION");
    spdlog::info!("started", kv: { vm, domain, version });
    let Some(address) = settings.listen.callers else {
        // A VM without an address for callers only provides its disk.
        storage::run(&mut file, &signals).await?;
        spdlog::info!("stopped", kv: { vm });
        return Ok(());
    };
    let components = Components::new(&settings);
    let drain = Drain::with_memory(components.memory.clone());
    if let Some(port) = arguments.metrics_port {
        let address = SocketAddr::new(settings.ip, port);
        serve_metrics(&components, &drain, address, arguments.test_faults)?;
    }
    let is_draining = Rc::new(Cell::new(false));
    serve(&settings, &components, address, &drain, &is_draining)?;
    let metrics = components.metrics.clone();
    stop::wait(&mut file, &metrics, &signals, |settings| {
        components.apply_settings(settings)
    })
    .await;
    shut_down(&settings, &components, &drain, &is_draining).await;
    spdlog::info!("stopped", kv: { vm });
    Ok(())
}

fn serve_metrics(
    components: &Components,
    drain: &Drain,
    address: SocketAddr,
    has_test_faults: bool,
) -> Result<(), Error> {
    let listener = net::listen(address)?;
    let (metrics, facts) = (components.metrics.clone(), components.facts.clone());
    let store = components.jobs.store.clone();
    let drain = drain.clone();
    let page = move |request: &Request| match request.uri.path() {
        "/fault" if has_test_faults => fault::answer(request),
        _ => {
            metrics.record_callers(&drain);
            let facts = facts.borrow();
            let cold = facts.count_cold(Instant::now());
            metrics.page(store.call_count(), facts.endpoints.len(), cold)
        }
    };
    monoio::spawn(server::serve_pages(listener, page));
    Ok(())
}

fn serve(
    settings: &Settings,
    components: &Components,
    callers: SocketAddr,
    drain: &Drain,
    is_draining: &Rc<Cell<bool>>,
) -> Result<(), Error> {
    let room = Room::new(&settings.limits);
    let limits = Limits::new()
        .body_bytes(BODY_BYTES_MAX)
        .body_time(BODY_TIMEOUT)
        .account_header(KEY_HEADER);
    if let Some(address) = settings.listen.peers {
        let listener = net::listen(address)?;
        let peer = components.peer();
        let handler = move |request| {
            let peer = peer.clone();
            async move { peer.answer(request).await }
        };
        let limits = limits.connections(room.peers);
        let drain = Drain::with_memory(components.memory.clone());
        monoio::spawn(server::serve(listener, limits, drain, handler));
    }
    if let Some(address) = settings.listen.readiness {
        let listener = net::listen(address)?;
        let (facts, is_draining) = (components.facts.clone(), is_draining.clone());
        let crashes = components.crashes.clone();
        let page = move |_: &Request| {
            let is_informed = has_facts(&facts.borrow()) && crashes.are_known();
            readiness_reply(is_informed && !is_draining.get())
        };
        monoio::spawn(server::serve_pages(listener, page));
    }
    let listener = net::listen(callers)?;
    let limits = limits.idle_time(IDLE_TIMEOUT).connections(room.callers);
    let front = components.front.clone();
    let handler = move |request| {
        let front = front.clone();
        async move { front.answer(request).await }
    };
    monoio::spawn(server::serve(listener, limits, drain.clone(), handler));
    components.spawn_tasks(settings);
    Ok(())
}

/// Drains this VM: reports that it is not ready, finishes requests and jobs
/// that have begun, and releases jobs that do not finish in time.
async fn shut_down(
    settings: &Settings,
    components: &Components,
    drain: &Drain,
    is_draining: &Cell<bool>,
) {
    let busy = drain.busy_requests();
    spdlog::info!("stopping", kv: { busy });
    let start = Instant::now();
    is_draining.set(true);
    drain.begin();
    components.jobs.proxy.drain();
    components.duties.lease.release().await;
    let end = settings
        .bounds
        .shutdown_grace
        .saturating_sub(RELEASE_RESERVE);
    // The requests that arrive until the close need time too.
    monoio::time::sleep(DRAIN_DELAY.min(end / 2)).await;
    drain.close();
    let remaining = || end.saturating_sub(start.elapsed());
    failover::wait_until_idle(&components.jobs, remaining()).await;
    failover::release_jobs(&components.jobs).await;
    let is_done = drain.wait(remaining()).await;
    spdlog::info!("drained", kv: { is_done });
    let end = settings.bounds.shutdown_grace.saturating_sub(EXIT_RESERVE);
    let limit = end.saturating_sub(start.elapsed()).max(USAGE_TIME_MIN);
    submit_usage(components, limit).await;
}

/// Submits the usage counts of this VM, for at most `limit`.
async fn submit_usage(components: &Components, limit: Duration) {
    let submission = report::submit_remaining(&components.duties);
    if monoio::time::timeout(limit, submission).await.is_err() {
        let requests = components.duties.usage.unconfirmed_requests();
        spdlog::warn!("submitting usage counts timed out, those of the last windows may be lost", kv: { requests });
    }
}

/// Returns whether this VM knows where requests may be sent.
fn has_facts(facts: &Facts) -> bool {
    facts.config.is_some() && facts.endpoints_known_since.is_some() && facts.are_evacuations_known()
}

fn readiness_reply(is_ready: bool) -> Reply {
    match is_ready {
        true => Reply::new(StatusCode::OK, ""),
        false => Reply::new(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}
