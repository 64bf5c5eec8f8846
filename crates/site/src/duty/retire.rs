//! Requests to empty a VM with a disk before it is retired. What is stored on a
//! disk is on another one too, beyond those that may be lost ([`crate::origin`]),
//! so each request is confirmed at once.

use std::time::Duration;

use platform::order::RETIREMENT_KIND;
use serde::Serialize;

use super::Duties;
use crate::follow::{self, Change, Plan};

#[derive(Serialize)]
struct Status {
    state: &'static str,
}

/// The plan for the requests. Retirements take seconds, so a delay of a few
/// seconds does no harm.
const PLAN: Plan = Plan {
    kind: RETIREMENT_KIND,
    wait: Duration::from_millis(3000),
    batch_time: Duration::ZERO,
    is_probe: false,
    is_required: false,
};

/// Confirms retirements while this VM holds the duty lease. Never returns.
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

/// The pause between two attempts to confirm a retirement.
const RETRY_PERIOD: Duration = Duration::from_millis(500);
/// The maximum number of attempts. Together they last longer than a change of
/// the lease holder.
const ATTEMPTS_MAX: usize = 40;

async fn confirm(duties: Duties, vm: String) {
    for _ in 0..ATTEMPTS_MAX {
        if duties.lease.authority().is_some() {
            let state = "done";
            let written = duties
                .store
                .set_status(RETIREMENT_KIND, &vm, &Status { state })
                .await;
            let (vm, is_written) = (vm.as_str(), written.is_ok());
            spdlog::info!("retirement of a VM confirmed", kv: { vm, is_told = is_written });
            if is_written {
                return;
            }
        }
        monoio::time::sleep(RETRY_PERIOD).await;
    }
}
