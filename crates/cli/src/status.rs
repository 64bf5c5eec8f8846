//! What VMs know.

use std::{net::SocketAddr, time::Duration};

use link::{peer, platform::Client};
use wire::{Request, Response, message::Status};

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
        "{:<22} {:<10} {:<8} {:>8} {:>6} {:>9} {:>5} {:>6} {:>9}",
        "peer", "vm", "domain", "revision", "keys", "endpoints", "live", "relay", "keys_age"
    );
    for address in vms {
        match peer::request(address, &Request::Status, ASK_TIME).await {
            Ok(Response::Status(status)) => println!("{}", line(address, &status)),
            Ok(_) => println!("{address:<22} gave another answer"),
            Err(e) => println!("{address:<22} {e}"),
        }
    }
    Ok(())
}

fn line(address: SocketAddr, s: &Status) -> String {
    let relay = if s.is_relay { "yes" } else { "no" };
    let age = match s.keys_age_ms {
        Some(age) => format!("{age} ms"),
        None => "never".to_string(),
    };
    let isolated = if s.is_isolated {
        " cut off: refuses keys"
    } else {
        ""
    };
    format!(
        "{:<22} {:<10} {:<8} {:>8} {:>6} {:>9} {:>5} {:>6} {:>9}{isolated}",
        address.to_string(),
        s.vm,
        s.failure_domain,
        s.revision,
        s.keys,
        s.endpoints,
        s.live_vms,
        relay,
        age
    )
}
