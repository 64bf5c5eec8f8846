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
use futures_util::future::join;
use link::{
    StatusCode, fault,
    http::{
        Limits, Request,
        server::{self, Drain, Reply},
    },
    net,
};
use platform::{Settings, settings};
use policy::stop::Terms;

use crate::{
    components::Components,
    duty::report::{self, Way},
    facts::Facts,
    forward::Stop,
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
/// The time before SIGKILL from which on jobs are released and usage counts are
/// submitted. Requests are served meanwhile.
const RELEASE_RESERVE: Duration = Duration::from_millis(1500);
/// The part of the time until SIGKILL in whose end no request is sent to another
/// endpoint: its answer is not owed any more, and its count could not be stored.
const LAST_PART: u32 = 6;
/// The time before SIGKILL at which the process ends at the latest. The exit took
/// 0.07 s at most after that time, with 14 busy processes on 7 cores, of which up to
/// 0.05 s are the delay until the signal is seen. It must stay well below a sixth of
/// the time until SIGKILL, which is 0.67 s where that is 4 s.
const EXIT_RESERVE: Duration = Duration::from_millis(250);
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
    let grace = settings.bounds.shutdown_grace;
    let release_after = grace.saturating_sub(RELEASE_RESERVE);
    let terms = Terms {
        // The requests that arrive until the close need time too.
        late: DRAIN_DELAY.min(release_after / 2),
        last_send: grace.saturating_sub(grace / LAST_PART),
        exit: grace.saturating_sub(EXIT_RESERVE),
    };
    let last_send = start + terms.last_send;
    let stop = Stop { start, terms };
    components.front.forwarder.stop.set(Some(stop));
    components.duties.lease.release().await;
    monoio::time::sleep(terms.late).await;
    drain.close();
    let remaining = || release_after.saturating_sub(start.elapsed());
    failover::wait_until_idle(&components.jobs, remaining()).await;
    let exit_at = start + terms.exit;
    let release = failover::release_jobs(&components.jobs);
    let drained = finish_requests(components, drain, remaining(), last_send);
    let rest = exit_at.saturating_duration_since(Instant::now());
    let end = monoio::time::timeout(rest, join(release, drained)).await;
    if end.is_err() {
        let requests = components.duties.usage.unconfirmed_requests();
        let busy = drain.busy_requests();
        spdlog::warn!("stopping before requests, jobs or usage counts were finished", kv: { busy, requests });
    }
}

/// Waits until all requests are answered, and submits the usage counts of this VM.
/// If requests are still open after `limit`, the counts so far are submitted then,
/// and those of later sends once no request is sent any more, at `last_send`.
async fn finish_requests(
    components: &Components,
    drain: &Drain,
    limit: Duration,
    last_send: Instant,
) {
    let is_done = drain.wait(limit).await;
    spdlog::info!("drained", kv: { is_done });
    let duties = &components.duties;
    if is_done {
        return report::submit_remaining(duties, Way::Collected).await;
    }
    let first = duties.clone();
    monoio::spawn(async move { report::submit_all(&first, Way::Collected).await });
    let until_last_send = last_send.saturating_duration_since(Instant::now());
    drain.wait(until_last_send).await;
    let submission = report::submit_remaining(duties, Way::Direct);
    join(submission, drain.wait(Duration::MAX)).await;
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
