//! A VM that provides its disk to the others, and serves no callers.

use std::{io, net::SocketAddr};

use link::{
    http::{
        Limits,
        server::{self, Drain},
    },
    net,
};
use platform::Settings;

use crate::{
    ask,
    coordinator::Coordinators,
    member::{Members, Role},
    metrics::Metrics,
    origin::archive::Archive,
    reload::File,
    signal::Signals,
    stop,
};

/// The folder of the records of streams, on the disk.
const STREAMS: &str = "streams";

/// Serves the disk of this VM until it receives a signal to stop. A VM whose
/// settings name no disk, or no port for it, has no work.
///
/// # Errors
///
/// An error of the operating system if it cannot listen.
pub(crate) async fn run(file: &mut File, signals: &Signals) -> io::Result<()> {
    let settings = file.settings().clone();
    let metrics = Metrics::default();
    let (Some(data), Some(address)) = (&settings.data, peer_address(&settings)) else {
        spdlog::info!("no disk or no port for other VMs, nothing is stored here");
        stop::wait(file, &metrics, signals, |_| {}).await;
        return Ok(());
    };
    let archive = Archive::open(&data.join(STREAMS));
    let listener = net::listen(address)?;
    let coordinators = Coordinators::new(settings.seeds.clone(), Some(address));
    let role = Role {
        domain: settings.failure_domain.clone(),
        is_disk: true,
        power: 0.0,
    };
    let members = Members::new(coordinators.clone(), ask::Client::default(), role);
    let server = archive.clone();
    let handler = move |request| {
        let archive = server.clone();
        async move { archive.answer(&request).await }
    };
    let limits = Limits::new();
    monoio::spawn(server::serve(listener, limits, Drain::default(), handler));
    monoio::spawn(archive.run());
    monoio::spawn(members.run());
    stop::wait(file, &metrics, signals, |settings| {
        coordinators.set_seeds(settings.seeds.clone());
    })
    .await;
    Ok(())
}

/// Returns the address for other VMs. The platform names none for a VM with a
/// disk, but leaves ports free.
fn peer_address(settings: &Settings) -> Option<SocketAddr> {
    let free = settings.ports.map(|(first, _)| first);
    let free = free.map(|port| SocketAddr::new(settings.ip, port));
    settings.listen.peers.or(free)
}
