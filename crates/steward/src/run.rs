//! The daemon from start to shutdown.

use std::{io, net::SocketAddr, rc::Rc};

use link::{
    StatusCode, fault,
    http::{Reply, Request, server},
    net, runtime,
};
use serde::Serialize;

use crate::{endpoints, lease, retention, settings::Settings, usage, vm::Vm, weights};

/// Why the daemon failed to run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon cannot listen on its admin address.
    #[error("cannot listen on {address} (setting \"admin\"): {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// The runtime or its signal handlers cannot be set up.
    #[error("cannot start the daemon: {0}")]
    Start(#[from] io::Error),
}

#[derive(Serialize)]
struct Status {
    vm: String,
    revision: u64,
    orders_epoch: Option<u64>,
    reports_epoch: Option<u64>,
}

/// Runs the daemon until SIGINT or SIGTERM.
///
/// # Errors
///
/// An [`Error`] when the daemon cannot start.
pub fn run(settings: Settings) -> Result<(), Error> {
    runtime::run(serve(settings))?
}

/// The name of the lease on usage reports.
const REPORTS_LEASE: &str = "usage";

async fn serve(settings: Settings) -> Result<(), Error> {
    let address = settings.admin;
    let listener = net::listen(address).map_err(|source| Error::Listen { address, source })?;
    let vm = Vm::new(settings);
    if let Some(collector) = vm.settings.collector {
        vm.telemetry.export_to(collector);
    }
    vm.follower.start();
    let domain = vm.settings.failure_domain.clone();
    let orders = format!("orders.{domain}");
    let task = lease::run(vm.clone(), orders.clone(), Some(domain), |vm| &vm.orders);
    monoio::spawn(task);
    let task = lease::run(vm.clone(), REPORTS_LEASE.to_string(), None, |vm| {
        &vm.reports
    });
    monoio::spawn(task);
    monoio::spawn(endpoints::run(vm.clone()));
    monoio::spawn(weights::run(vm.clone()));
    monoio::spawn(usage::run(vm.clone()));
    monoio::spawn(retention::run(vm.clone()));

    let for_admin = vm.clone();
    let handle_admin = move |request: &Request| admin(&for_admin, request);
    monoio::spawn(server::serve_pages(listener, handle_admin));
    spdlog::info!("started", kv: { vm = vm.settings.vm.as_str() });
    runtime::stop_signal().await?;
    lease::release(&vm, &orders, |vm| &vm.orders).await;
    lease::release(&vm, REPORTS_LEASE, |vm| &vm.reports).await;
    spdlog::info!("stopped");
    Ok(())
}

fn admin(vm: &Rc<Vm>, request: &Request) -> Reply {
    match request.uri.path() {
        "/metrics" => vm.telemetry.metrics_page(),
        "/status" => Reply::json(
            StatusCode::OK,
            &Status {
                vm: vm.settings.vm.clone(),
                revision: vm.board.borrow().revision,
                orders_epoch: vm.epoch(&vm.orders),
                reports_epoch: vm.epoch(&vm.reports),
            },
        ),
        "/fault" if vm.settings.test_faults => set_faults(request),
        _ => Reply::error(StatusCode::NOT_FOUND, "no-page", "no such page"),
    }
}

/// Sets which calls are held back, for tests, and answers with the paths of the
/// calls that are held back.
fn set_faults(request: &Request) -> Reply {
    if request.body.is_empty() {
        return Reply::json(StatusCode::OK, &fault::held_paths());
    }
    let reply = fault::answer(request);
    match reply.status() {
        StatusCode::OK => Reply::json(StatusCode::OK, &fault::held_paths()),
        _ => reply,
    }
}
