//! VMs with disks that are to be emptied. Nothing is kept on the disks, so
//! such a VM is empty at once.

use std::time::Duration;

use platform::order::RETIREMENTS;
use serde::Serialize;

use super::Duties;
use crate::follow::{self, Change, Plan};

#[derive(Serialize)]
struct Status {
    state: &'static str,
}

/// Retirements take seconds, so they need not be heard of at once.
const PLAN: Plan = Plan {
    kind: RETIREMENTS,
    wait: Duration::from_millis(3000),
    batch_time: Duration::ZERO,
    is_probe: false,
    is_required: false,
};

/// Answers retirements while this VM has the duties, for ever.
pub async fn run(duties: Duties) {
    let (store, view) = (duties.store.clone(), duties.view.sibling());
    let apply = |change: Change, _| {
        let objects = change.into_objects();
        for object in objects.into_iter().filter(|object| !object.has_status) {
            monoio::spawn(confirm(duties.clone(), object.name));
        }
    };
    follow::follow(store, PLAN, view, apply).await;
}

/// How often an answer is tried.
const RETRY_PERIOD: Duration = Duration::from_millis(500);
/// How many times an answer is tried: longer than a change of holder takes.
const ATTEMPTS_MAX: usize = 40;

async fn confirm(duties: Duties, vm: String) {
    for _ in 0..ATTEMPTS_MAX {
        if duties.steward.authority().is_some() {
            let state = "done";
            let written = duties
                .store
                .set_status(RETIREMENTS, &vm, &Status { state })
                .await;
            let (vm, is_written) = (vm.as_str(), written.is_ok());
            spdlog::info!("vm emptied", kv: { vm, is_told = is_written });
            if is_written {
                return;
            }
        }
        monoio::time::sleep(RETRY_PERIOD).await;
    }
}
