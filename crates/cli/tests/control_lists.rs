//! Who reads the platform's list of VMs.

mod common;
mod control_setup;

use control_setup::{Tree, fault, get, holder, start, until};
use fakes::deployment::{Deployment, Plan};
use serde_json::json;

/// Returns how often the VM at `place` has read the list of VMs.
async fn lists(deployment: &Deployment, place: usize) -> u64 {
    let stats = get(deployment, deployment.platform, "/stats").await;
    let vm = deployment.vms[place].vm.id.as_str();
    stats["by_vm"][vm]["GET /v1/vms"].as_u64().unwrap_or(0)
}

/// Returns the places of the VMs that watch the platform for their failure
/// domain, once all VMs know each other.
async fn relays(deployment: &Deployment) -> Vec<usize> {
    until("relays", async || {
        let mut relays = Vec::new();
        for (place, vm) in deployment.vms.iter().enumerate() {
            let status = get(deployment, vm.entry_admin, "/status").await;
            if status["live"] != deployment.vms.len() as u64 {
                return None;
            }
            if status["is_relay"] == true {
                relays.push(place);
            }
        }
        Some(relays)
    })
    .await
}

#[test]
fn vms_listed_by_relays_and_by_one_cut_off() {
    let tree = Tree::new("vms", "[accounts.a]\n");
    let mut plan = Plan::new(&tree.0).vms(5, &["a"]);
    for vm in &mut plan.vms {
        vm.entry_settings = "test_faults = true\n".to_string();
    }
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let relays = relays(&deployment).await;
        // Whoever reports usage reads the list once it closes a window.
        let (reporter, _) = until("holder", async || {
            holder(&deployment, "reports_epoch", "a", None).await
        })
        .await;
        let others = 0..deployment.vms.len();
        let mut others = others.filter(|vm| !relays.contains(vm) && *vm != reporter);
        let one = others.next().unwrap();
        let (before, of_relay) = (
            lists(&deployment, one).await,
            lists(&deployment, relays[0]).await,
        );
        until("lists of a relay", async || {
            (lists(&deployment, relays[0]).await >= of_relay + 2).then_some(())
        })
        .await;
        assert_eq!(lists(&deployment, one).await, before);

        let peers = deployment.vms.iter().map(|vm| vm.peers);
        let peers: Vec<_> = peers.filter(|p| *p != deployment.vms[one].peers).collect();
        let cuts = json!({"to": peers, "from": peers});
        fault(&deployment, deployment.vms[one].entry_admin, cuts).await;
        until("list of the VM cut off", async || {
            (lists(&deployment, one).await > before).then_some(())
        })
        .await;
    })
    .unwrap();
}
