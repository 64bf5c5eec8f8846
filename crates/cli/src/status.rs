//! `status`: a summary of the state that each VM knows.

use std::{net::SocketAddr, time::Duration};

use link::{peer, platform::Client};
use wire::{Request, Response, message::Status};

use crate::{command::Platform, publish::platform_failure};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Prints one line for each of `vms`, or for each VM that the platform lists if
/// `vms` is empty.
pub(crate) async fn run(platform: &Platform, mut vms: Vec<SocketAddr>) -> miette::Result<()> {
    if vms.is_empty() {
        let client = Client::new(platform.address, "cli");
        let vm_list = client.vms().await.map_err(|e| platform_failure(&e))?;
        vms = vm_list.into_iter().map(|vm| vm.address).collect();
    }
    println!(
        "{:<22} {:<10} {:<8} {:>8} {:>6} {:>9} {:>5} {:>6} {:>9}",
        "peer", "vm", "domain", "revision", "keys", "endpoints", "live", "relay", "keys_age"
    );
    for address in vms {
        match peer::request(address, &Request::Status, REQUEST_TIMEOUT).await {
            Ok(Response::Status(status)) => println!("{}", format_line(address, &status)),
            Ok(_) => println!("{address:<22} sent an unexpected response"),
            Err(e) => println!("{address:<22} {e}"),
        }
    }
    Ok(())
}

fn format_line(address: SocketAddr, status: &Status) -> String {
    let relay = if status.is_relay { "yes" } else { "no" };
    let keys_age = match status.keys_age_ms {
        Some(keys_age) => format!("{keys_age} ms"),
        None => "never".to_string(),
    };
    let isolated = if status.is_isolated {
        " isolated: rejects keys"
    } else {
        ""
    };
    format!(
        "{:<22} {:<10} {:<8} {:>8} {:>6} {:>9} {:>5} {:>6} {:>9}{isolated}",
        address.to_string(),
        status.vm,
        status.failure_domain,
        status.revision,
        status.keys,
        status.endpoints,
        status.live_vms,
        relay,
        keys_age
    )
}
