//! Which VMs read the platform's list of VMs.

mod common;
mod control_support;

use control_support::{Tree, fetch_json, find_holder, set_faults, start, wait_for};
use fakes::deployment::{Deployment, Plan};
use serde_json::json;

/// Returns how often the VM at `index` has read the list of VMs.
async fn count_vm_lists(deployment: &Deployment, index: usize) -> u64 {
    let stats = fetch_json(deployment, deployment.platform, "/stats").await;
    let vm = deployment.vms[index].vm.id.as_str();
    stats["by_vm"][vm]["GET /v1/vms"].as_u64().unwrap_or(0)
}

/// Returns the indices of the VMs that watch the platform for their failure
/// domain, once every VM knows all others.
async fn wait_relays(deployment: &Deployment) -> Vec<usize> {
    wait_for("relays", async || {
        let mut relays = Vec::new();
        for (index, vm) in deployment.vms.iter().enumerate() {
            let status = fetch_json(deployment, vm.entry_admin, "/status").await;
            if status["live"] != deployment.vms.len() as u64 {
                return None;
            }
            if status["is_relay"] == true {
                relays.push(index);
            }
        }
        Some(relays)
    })
    .await
}

#[test]
fn vms_listed_by_relays_and_by_cut_off_vm() {
    let tree = Tree::new("vms", "[accounts.a]\n");
    let mut plan = Plan::new(&tree.0).vms(5, &["a"]);
    for vm in &mut plan.vms {
        vm.entry_settings = "test_faults = true\n".to_string();
    }
    link::runtime::run(async {
        let deployment = start(&plan).await;
        let relays = wait_relays(&deployment).await;
        // The VM that reports usage also reads the list when it closes a
        // window.
        let (reporter, _) = wait_for("usage reporter", async || {
            find_holder(&deployment, "reports_epoch", "a", None).await
        })
        .await;
        let candidates = 0..deployment.vms.len();
        let mut candidates = candidates.filter(|vm| !relays.contains(vm) && *vm != reporter);
        let cut_off_vm = candidates.next().unwrap();
        let (before, before_of_relay) = (
            count_vm_lists(&deployment, cut_off_vm).await,
            count_vm_lists(&deployment, relays[0]).await,
        );
        wait_for("lists read by a relay", async || {
            (count_vm_lists(&deployment, relays[0]).await >= before_of_relay + 2).then_some(())
        })
        .await;
        assert_eq!(count_vm_lists(&deployment, cut_off_vm).await, before);

        let peers = deployment.vms.iter().map(|vm| vm.peers);
        let peers: Vec<_> = peers
            .filter(|p| *p != deployment.vms[cut_off_vm].peers)
            .collect();
        let cuts = json!({"to": peers, "from": peers});
        set_faults(&deployment, deployment.vms[cut_off_vm].entry_admin, cuts).await;
        wait_for("list read by the cut-off VM", async || {
            (count_vm_lists(&deployment, cut_off_vm).await > before).then_some(())
        })
        .await;
    })
    .unwrap();
}
