//! Sends an accepted change directly to some VMs.
//!
//! VMs also receive changes from the platform and by gossip. The direct message
//! covers the case that the platform accepts a change and becomes unavailable
//! before any VM has read the change.

use std::time::Duration;

use board::shared::Item;
use link::{
    peer,
    platform::{Client, Vm},
};
use wire::{Request, Response};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The change is sent to VMs of each failure domain until this many accept it.
/// Gossip spreads it to the others.
const VMS_PER_DOMAIN: usize = 2;

/// Sends `item` to VMs of each failure domain and returns how many accepted it.
///
/// Returns 0 if the VMs cannot be listed. They then receive the change later,
/// from the platform.
pub(crate) async fn send(client: &Client, item: Item) -> usize {
    match client.vms().await {
        Ok(vms) => send_to(&vms, &item).await,
        Err(_) => 0,
    }
}

/// Like [`send`], for a list of VMs that was read before.
pub(crate) async fn send_to(vms: &[Vm], item: &Item) -> usize {
    let offer = Request::Offer(vec![item.clone()]);
    let mut total = 0;
    let mut domains: Vec<_> = vms.iter().map(|vm| vm.failure_domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    for domain in domains {
        let domain_vms = vms.iter().filter(|vm| vm.failure_domain == domain);
        let mut accepted = 0;
        for vm in domain_vms {
            let answer = peer::request(vm.address, &offer, REQUEST_TIMEOUT).await;
            accepted += usize::from(matches!(answer, Ok(Response::Done)));
            if accepted == VMS_PER_DOMAIN {
                break;
            }
        }
        total += accepted;
    }
    total
}
