//! Telling VMs of what the platform has accepted.
//!
//! VMs learn it from the platform and from each other in any case. Telling a
//! few of them at once closes the gap in which the platform accepts a change
//! and goes out before any VM has seen it.

use std::time::Duration;

use board::shared::Item;
use link::{
    peer,
    platform::{Client, Vm},
};
use wire::{Answer, Ask};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// VMs told of each failure domain.
const VMS_PER_DOMAIN: usize = 2;

/// Tells VMs of each failure domain of `item` and returns how many took it.
pub(crate) async fn send(client: &Client, item: Item) -> usize {
    match client.vms().await {
        Ok(vms) => send_to(&vms, &item).await,
        Err(_) => 0,
    }
}

/// As [`send`], with the list of VMs at hand.
pub(crate) async fn send_to(vms: &[Vm], item: &Item) -> usize {
    let offer = Ask::Offer(vec![item.clone()]);
    let mut total = 0;
    let mut domains: Vec<_> = vms.iter().map(|vm| vm.failure_domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    for domain in domains {
        let domain_vms = vms.iter().filter(|vm| vm.failure_domain == domain);
        let mut accepted = 0;
        for vm in domain_vms {
            let answer = peer::ask(vm.address, &offer, REQUEST_TIMEOUT).await;
            accepted += usize::from(matches!(answer, Ok(Answer::Done)));
            if accepted == VMS_PER_DOMAIN {
                break;
            }
        }
        total += accepted;
    }
    total
}
