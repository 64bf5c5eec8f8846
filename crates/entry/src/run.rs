//! The daemon from start to shutdown.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use link::{
    feed::Feed,
    http::{
        Limits, Tls, server,
        tls::{self, Files},
    },
    load::Poller,
    net, peer, runtime,
};
use monoio::net::TcpListener;

use crate::{
    admin, handler, peers, rollout,
    settings::Settings,
    slot,
    usage::{self, copy},
    vm::Vm,
};

/// Why the daemon failed to run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon cannot listen on an address.
    #[error("cannot listen on {address} (setting {setting:?}): {source}")]
    Listen {
        /// The name of the setting with the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// Only one of the two settings for TLS is set.
    #[error(
        "only one of the settings \"tls_certificate\" and \"tls_key\" is set: set both or none"
    )]
    IncompleteTls,
    /// The certificate or the key for TLS cannot be used.
    #[error("cannot use the settings \"tls_certificate\" and \"tls_key\": {0}")]
    Tls(#[from] tls::Error),
    /// The folder for bulk data cannot be used.
    #[error(transparent)]
    Disk(#[from] crate::bulk::disk::Error),
    /// The runtime or its signal handlers cannot be set up.
    #[error("cannot start the daemon: {0}")]
    Start(#[from] io::Error),
}

/// Runs the daemon until SIGINT or SIGTERM, then drains it.
///
/// # Errors
///
/// An [`Error`] when the daemon cannot start.
pub fn run(settings: Settings) -> Result<(), Error> {
    runtime::run(serve(settings))?
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let callers = listen("callers", settings.callers)?;
    let peer_listener = listen("peers", settings.peers)?;
    let admin_listener = listen("admin", settings.admin)?;
    let files = tls_files(&settings)?;
    let vm = Vm::new(settings)?;
    let tls = files
        .map(|files| load_certificate(&vm, files))
        .transpose()?;
    if let Some(collector) = vm.settings.collector {
        vm.telemetry.export_to(collector);
    }
    follow_platform(&vm);
    monoio::spawn(copy::run(vm.clone()));
    rollout::start(&vm);

    let for_peers = vm.clone();
    monoio::spawn(peer::serve(peer_listener, move |request| {
        peers::serve(for_peers.clone(), request)
    }));
    let for_admin = vm.clone();
    let handle_admin = move |request: &server::Request| admin::handle(&for_admin, request);
    monoio::spawn(server::serve_pages(admin_listener, handle_admin));
    let drain = server::Drain::default();
    let for_callers = vm.clone();
    let server = monoio::spawn(server::serve_with(
        callers,
        tls,
        Limits::new(),
        drain.clone(),
        move |request| handler::handle(for_callers.clone(), request),
    ));

    spdlog::info!("started", kv: { vm = vm.settings.vm.as_str() });
    runtime::stop_signal().await?;
    shut_down(&vm, &drain, server).await;
    Ok(())
}

fn tls_files(settings: &Settings) -> Result<Option<Files>, Error> {
    match (&settings.tls_certificate, &settings.tls_key) {
        (Some(certificate), Some(key)) => Ok(Some(Files::new(certificate, key))),
        (None, None) => Ok(None),
        _ => Err(Error::IncompleteTls),
    }
}

/// Loads the certificate and its key, and reloads them when they change.
fn load_certificate(vm: &Rc<Vm>, files: Files) -> Result<Tls, Error> {
    let counters = vm.clone();
    let tls = Tls::new(files)?.on_event(move |event| counters.metrics.record_tls(event));
    monoio::spawn(tls.clone().watch_files());
    Ok(tls)
}

/// Starts the tasks that keep the board up to date.
fn follow_platform(vm: &Rc<Vm>) {
    let for_gossip = vm.clone();
    vm.gossip.start(move || slot::dispatch(&for_gossip));
    Feed::new(vm.gossip.clone(), vm.platform.clone()).start();
    Poller::new(vm.gossip.clone(), vm.pool.clone()).start();
    let for_join = vm.clone();
    monoio::spawn(async move {
        for seed in &for_join.settings.seeds {
            for_join.gossip.join(*seed).await;
        }
    });
}

/// How long a shutdown waits until other VMs hold copies of all usage records.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    net::listen(address).map_err(|source| Error::Listen {
        setting,
        address,
        source,
    })
}

async fn shut_down(vm: &Rc<Vm>, drain: &server::Drain, server: impl Future<Output = ()>) {
    vm.is_draining.set(true);
    spdlog::info!("leaving", kv: { vm = vm.settings.vm.as_str() });
    drain.begin();
    vm.gossip.leave().await;
    monoio::time::sleep(vm.settings.unready).await;
    drain.close();
    // Wait until the listening socket is closed, because connections are
    // accepted until then.
    server.await;
    let is_drained = drain.wait(vm.settings.drain).await;
    usage::wait_detached(vm, vm.settings.drain).await;
    copy::flush(vm, FLUSH_TIMEOUT).await;
    usage::reject_detached(vm);
    spdlog::info!("stopped", kv: { all_answered = is_drained });
}
