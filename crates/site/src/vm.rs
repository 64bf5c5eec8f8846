//! The process: its start and its end.

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
    StatusCode,
    http::{
        Limits, Request,
        server::{self, Drain, Reply},
    },
    net,
};
use platform::{Settings, settings};

use crate::{duty::report, facts::Facts, job::keep, parts::Parts, reload::File, signal::Signals};

/// One VM of a site on the users' platform.
#[derive(Debug, Parser)]
#[command(name = "tarragonseam-vm", version)]
pub struct Arguments {
    /// The settings file.
    #[arg(long, env = settings::FILE_VARIABLE)]
    settings: PathBuf,
    /// The port on which metrics are served.
    #[arg(long)]
    metrics_port: Option<u16>,
    /// Reads the settings, says whether they can be used, and ends.
    #[arg(long)]
    check: bool,
}

/// Why a process cannot start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The settings cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] link::settings::Error),
    /// The system refused something.
    #[error("cannot start: {0}")]
    System(#[from] io::Error),
    /// The log cannot be written.
    #[error("cannot log: {0}")]
    Log(#[from] spdlog::Error),
}

/// How often signals are looked at.
const SIGNAL_PERIOD: Duration = Duration::from_millis(50);
/// How often the settings file and the log are looked at, in looks at
/// signals: once a second.
const FILE_LOOKS: u32 = 20;
/// How long after SIGTERM a VM still takes connections: readiness is asked
/// once a second, and two misses take it out of rotation.
const LEAVE_TIME: Duration = Duration::from_millis(3000);
/// What is kept of the time until SIGKILL for giving up jobs and the lease.
const END_TIME: Duration = Duration::from_millis(1500);
/// How long the counts of the last windows may take to be handed on, of that.
const USAGE_TIME: Duration = Duration::from_millis(1200);
/// The largest body of a request that is read: the limit that the platform
/// documents. The configuration's own limit is not known at the start.
const BODY_BYTES: usize = 32 * 1024 * 1024;
/// The part of a VM's memory that bodies of requests may take at once, of
/// which a copy may wait to be sent on.
const BODY_SHARE: u64 = 4;
/// How long a caller's connection may stay idle: a little over the limit that
/// callers are told, so that they close first.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Runs a VM until it is told to stop.
///
/// # Errors
///
/// An [`Error`] that says why it could not start.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let file = File::open(&arguments.settings)?;
    if arguments.check {
        let settings = file.settings();
        println!(
            "the settings of {} in {} can be used",
            settings.vm, settings.failure_domain
        );
        return Ok(());
    }
    // Lines name the VM, so that those of several can be read together.
    link::log::start_bounded(&file.settings().vm)?;
    let signals = Signals::catch()?;
    link::runtime::run(start(file, signals, arguments.metrics_port))?
}

async fn start(mut file: File, signals: Signals, metrics_port: Option<u16>) -> Result<(), Error> {
    let settings = file.settings().clone();
    let (vm, domain) = (settings.vm.as_str(), settings.failure_domain.as_str());
    let version = env!("CARGO_PKG_VERSION");
    spdlog::info!("started", kv: { vm, domain, version });
    let parts = Parts::new(&settings);
    if let Some(port) = metrics_port {
        serve_metrics(&parts, SocketAddr::new(settings.ip, port))?;
    }
    match settings.listen.callers {
        Some(address) => {
            let drain = Drain::default();
            let is_leaving = Rc::new(Cell::new(false));
            serve(&settings, &parts, address, &drain, &is_leaving)?;
            wait(&mut file, &parts, &signals).await;
            stop(&settings, &parts, &drain, &is_leaving).await;
        }
        // What lasts is kept on the platform, so a VM with a disk has nothing
        // to do.
        None => wait(&mut file, &parts, &signals).await,
    }
    spdlog::info!("stopped", kv: { vm });
    Ok(())
}

/// Waits until the process is told to stop, and takes over changed settings.
async fn wait(file: &mut File, parts: &Parts, signals: &Signals) {
    let mut looks = 0;
    while !signals.is_stop() {
        monoio::time::sleep(SIGNAL_PERIOD).await;
        looks = (looks + 1) % FILE_LOOKS;
        let is_due = looks == 0;
        let is_asked = signals.take_reload();
        if (is_asked || (is_due && file.has_changed()))
            && let Some(settings) = file.reload()
        {
            parts.set(settings);
        }
        if is_due {
            tell_dropped(parts);
        }
    }
}

fn tell_dropped(parts: &Parts) {
    let lines = link::log::take_dropped();
    if lines > 0 {
        parts.metrics.lines_dropped(lines);
        spdlog::warn!("log lines dropped", kv: { lines });
    }
}

fn serve_metrics(parts: &Parts, address: SocketAddr) -> Result<(), Error> {
    let listener = net::listen(address)?;
    let (metrics, facts) = (parts.metrics.clone(), parts.facts.clone());
    let store = parts.jobs.store.clone();
    let page = move |_: &Request| metrics.page(store.call_count(), facts.borrow().endpoints.len());
    monoio::spawn(server::serve_pages(listener, page));
    Ok(())
}

fn serve(
    settings: &Settings,
    parts: &Parts,
    callers: SocketAddr,
    drain: &Drain,
    is_leaving: &Rc<Cell<bool>>,
) -> Result<(), Error> {
    let room = settings.limits.memory_mb * 1024 * 1024 / BODY_SHARE;
    let limits = Limits::new()
        .body_bytes(BODY_BYTES)
        .room_bytes(room as usize);
    if let Some(address) = settings.listen.peers {
        let listener = net::listen(address)?;
        let peer = parts.peer();
        let handler = move |request| {
            let peer = peer.clone();
            async move { peer.answer(request).await }
        };
        monoio::spawn(server::serve(listener, limits, Drain::default(), handler));
    }
    if let Some(address) = settings.listen.readiness {
        let listener = net::listen(address)?;
        let (facts, is_leaving) = (parts.facts.clone(), is_leaving.clone());
        let page = move |_: &Request| readiness(&facts.borrow(), is_leaving.get());
        monoio::spawn(server::serve_pages(listener, page));
    }
    let listener = net::listen(callers)?;
    let limits = limits.idle_time(IDLE_TIME);
    let front = parts.front.clone();
    let handler = move |request| {
        let front = front.clone();
        async move { front.answer(request).await }
    };
    monoio::spawn(server::serve(listener, limits, drain.clone(), handler));
    parts.spawn(settings);
    Ok(())
}

/// Leaves the rotation, finishes what was begun and gives up the rest.
async fn stop(settings: &Settings, parts: &Parts, drain: &Drain, is_leaving: &Cell<bool>) {
    let busy = drain.busy();
    spdlog::info!("stopping", kv: { busy });
    let start = Instant::now();
    is_leaving.set(true);
    drain.leave();
    parts.jobs.handover.leave();
    parts.duties.steward.release().await;
    monoio::time::sleep(LEAVE_TIME).await;
    drain.close();
    let end = settings.bounds.shutdown_grace.saturating_sub(END_TIME);
    let left = || end.saturating_sub(start.elapsed());
    keep::finish(&parts.jobs, left()).await;
    keep::release(&parts.jobs).await;
    let is_done = drain.wait(left()).await;
    spdlog::info!("drained", kv: { is_done });
    let rest = report::hand_on_rest(&parts.duties);
    if monoio::time::timeout(USAGE_TIME, rest).await.is_err() {
        spdlog::warn!("usage of the last windows may be lost");
    }
}

fn readiness(facts: &Facts, is_leaving: bool) -> Reply {
    match facts.config.is_some() && !is_leaving {
        true => Reply::new(StatusCode::OK, ""),
        false => Reply::new(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}
