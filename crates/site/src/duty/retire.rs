//! VMs with disks that are to be emptied. Nothing is kept on the disks, so
//! such a VM is empty at once.

use std::time::Duration;

use platform::order::RETIREMENT_KIND;
use serde::Serialize;

use super::Duties;
use crate::follow::{self, Change, Plan};

#[derive(Serialize)]
struct Status {
    state: &'static str,
}

/// Retirements take seconds, so they need not be heard of at once.
const PLAN: Plan = Plan {
    kind: RETIREMENT_KIND,
    wait: Duration::from_millis(3000),
    gather: Duration::ZERO,
    is_probe: false,
    is_urgent: false,
};

/// Answers retirements while this VM has the duties, for ever.
pub async fn run(duties: Duties) {
    let (store, contact) = (duties.store.clone(), duties.contact.other());
    let apply = |change: Change, _| {
        let objects = change.into_objects();
        for object in objects.into_iter().filter(|object| !object.has_status) {
            monoio::spawn(answer(duties.clone(), object.name));
        }
    };
    follow::follow(store, PLAN, contact, apply).await;
}

/// How often an answer is tried.
const PERIOD: Duration = Duration::from_millis(500);
/// How many times an answer is tried: longer than a change of holder takes.
const TRIES: usize = 40;

async fn answer(duties: Duties, vm: String) {
    for _ in 0..TRIES {
        if duties.steward.authority().is_some() {
            let state = "done";
            let written = duties
                .store
                .set_status(RETIREMENT_KIND, &vm, &Status { state })
                .await;
            let (vm, is_told) = (vm.as_str(), written.is_ok());
            spdlog::info!("vm emptied", kv: { vm, is_told });
            if is_told {
                return;
            }
        }
        monoio::time::sleep(PERIOD).await;
    }
}
