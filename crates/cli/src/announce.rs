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
use wire::{Request, Response};

const ASK_TIME: Duration = Duration::from_secs(1);
/// VMs told of each failure domain.
const TOLD: usize = 2;

/// Tells VMs of each failure domain of `item` and returns how many took it.
pub(crate) async fn tell(client: &Client, item: Item) -> usize {
    match client.vms().await {
        Ok(vms) => tell_vms(&vms, &item).await,
        Err(_) => 0,
    }
}

/// As [`tell`], with the list of VMs at hand.
pub(crate) async fn tell_vms(vms: &[Vm], item: &Item) -> usize {
    let ask = Request::Offer(vec![item.clone()]);
    let mut took = 0;
    let mut domains: Vec<_> = vms.iter().map(|vm| vm.failure_domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    for domain in domains {
        let of_domain = vms.iter().filter(|vm| vm.failure_domain == domain);
        let mut told = 0;
        for vm in of_domain {
            let answer = peer::request(vm.address, &ask, ASK_TIME).await;
            told += usize::from(matches!(answer, Ok(Response::Done)));
            if told == TOLD {
                break;
            }
        }
        took += told;
    }
    took
}
