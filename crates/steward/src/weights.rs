//! Orders to endpoints of this failure domain to load new weights.

use std::{cell::RefCell, rc::Rc, time::Duration};

use link::{StatusCode, http::client::Call};
use policy::weights::{Outcome, Rollout, Swap, Verdict};
use serde::Serialize;

use crate::vm::Vm;

const ROUND_INTERVAL: Duration = Duration::from_millis(100);
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Serialize)]
struct Order<'a> {
    key: String,
    epoch: u64,
    model: &'a str,
    version: u64,
}

/// Sends the swaps of weights that are due while this process holds the lease
/// on orders; never returns.
pub(crate) async fn run(vm: Rc<Vm>) {
    let rollout = Rc::new(RefCell::new(Rollout::default()));
    loop {
        monoio::time::sleep(ROUND_INTERVAL).await;
        if vm.epoch(&vm.orders).is_none() {
            continue;
        }
        let domain = &vm.settings.failure_domain;
        let due = rollout
            .borrow_mut()
            .due(&vm.board.borrow(), vm.now(), domain);
        for swap in due {
            log_repeated(&vm, &swap);
            let (vm, rollout) = (vm.clone(), rollout.clone());
            monoio::spawn(async move {
                let outcome = send(&vm, &swap).await;
                let verdict = rollout.borrow_mut().finish(vm.now(), &swap, outcome);
                log_outcome(&vm, &swap, outcome, verdict);
            });
        }
    }
}

fn endpoint_id(vm: &Vm, swap: &Swap) -> String {
    let board = vm.board.borrow();
    let endpoint = board.endpoints.get(swap.endpoint);
    endpoint.map_or_else(|| "gone".to_string(), |e| e.record.id.clone())
}

fn log_repeated(vm: &Vm, swap: &Swap) {
    if swap.round > 0 {
        let endpoint = endpoint_id(vm, swap);
        let (model, version, round) = (swap.model.as_str(), swap.version, swap.round);
        spdlog::warn!("endpoint reports older weights than it loaded", kv: { endpoint, model, version, round });
    }
}

fn log_outcome(vm: &Vm, swap: &Swap, outcome: Outcome, verdict: Verdict) {
    let endpoint = endpoint_id(vm, swap);
    let (model, version) = (swap.model.as_str(), swap.version);
    if outcome == Outcome::Loaded {
        spdlog::info!("weights loaded", kv: { endpoint, model, version });
    }
    if verdict == Verdict::Excluded {
        spdlog::error!("endpoint excluded because it fails to load weights", kv: { endpoint, model, version });
    }
}

fn order_key(id: &str, swap: &Swap) -> String {
    let key = format!("{id}.{}.{}", swap.model, swap.version);
    match swap.round {
        0 => key,
        round => format!("{key}.{round}"),
    }
}

async fn send(vm: &Rc<Vm>, swap: &Swap) -> Outcome {
    let found = vm
        .board
        .borrow()
        .endpoints
        .get(swap.endpoint)
        .map(|e| (e.record.id.clone(), e.record.address));
    let Some((id, address)) = found else {
        return Outcome::Failed;
    };
    // The lease is checked last, just before the order is sent.
    let Some(epoch) = vm.epoch(&vm.orders) else {
        return Outcome::Stale;
    };
    let order = Order {
        key: order_key(&id, swap),
        epoch,
        model: &swap.model,
        version: swap.version,
    };
    let body = serde_json::to_vec(&order).unwrap_or_default();
    let fence = vm.fence(|vm| &vm.orders, epoch);
    let call = Call::post("/v1/weights", body)
        .deadline(LOAD_TIMEOUT)
        .fence(fence);
    match vm.pool.fetch(address, call).await {
        Ok(answer) if answer.status.is_success() => Outcome::Loaded,
        Ok(answer) if answer.status == StatusCode::CONFLICT => Outcome::Stale,
        Ok(_) => Outcome::Failed,
        Err(e) if e.is_unsent() => Outcome::Failed,
        Err(_) => Outcome::Unknown,
    }
}
