//! What VMs know.

use std::{net::SocketAddr, time::Duration};

use link::{peer, platform::Client};
use wire::{Answer, Ask};

use crate::{command::Platform, publish::failed};

const ASK_TIME: Duration = Duration::from_secs(2);

/// Prints a line for each VM.
pub(crate) async fn run(platform: &Platform, mut vms: Vec<SocketAddr>) -> miette::Result<()> {
    if vms.is_empty() {
        let client = Client::new(platform.platform, "cli");
        let listed = client.vms().await.map_err(|e| failed(&e))?;
        vms = listed.into_iter().map(|vm| vm.address).collect();
    }
    println!(
        "{:<22} {:<10} {:<8} {:>8} {:>6} {:>9}",
        "peer", "vm", "domain", "revision", "keys", "endpoints"
    );
    for address in vms {
        match peer::ask(address, &Ask::Status, ASK_TIME).await {
            Ok(Answer::Status(s)) => println!(
                "{:<22} {:<10} {:<8} {:>8} {:>6} {:>9}",
                address, s.vm, s.failure_domain, s.revision, s.keys, s.endpoints
            ),
            Ok(_) => println!("{address:<22} gave another answer"),
            Err(e) => println!("{address:<22} {e}"),
        }
    }
    Ok(())
}
