//! Orders to load weights on the endpoints of this failure domain.

use std::{cell::RefCell, rc::Rc, time::Duration};

use board::hash::Set;
use link::http::client::Call;
use policy::weights::{self, Swap};
use serde::Serialize;

use crate::vm::Vm;

const PERIOD: Duration = Duration::from_millis(250);
const LOAD_TIME: Duration = Duration::from_secs(30);

#[derive(Serialize)]
struct Order<'a> {
    key: String,
    epoch: u64,
    model: &'a str,
    version: u64,
}

/// Sends the swaps that are due, for ever.
pub(crate) async fn run(vm: Rc<Vm>) {
    let running = Rc::new(RefCell::new(Set::default()));
    loop {
        monoio::time::sleep(PERIOD).await;
        let due = weights::due(&vm.board.borrow(), &vm.settings.failure_domain);
        for swap in due {
            let Some(epoch) = vm.epoch(&vm.orders) else {
                break;
            };
            if !running.borrow_mut().insert(swap.endpoint) {
                continue;
            }
            let vm = vm.clone();
            let running = running.clone();
            monoio::spawn(async move {
                send(&vm, epoch, &swap).await;
                running.borrow_mut().remove(&swap.endpoint);
            });
        }
    }
}

async fn send(vm: &Rc<Vm>, epoch: u64, swap: &Swap) {
    let found = vm
        .board
        .borrow()
        .endpoints
        .get(swap.endpoint)
        .map(|e| (e.record.id.clone(), e.record.address));
    let Some((id, address)) = found else {
        return;
    };
    let order = Order {
        key: format!("{id}.{}.{}", swap.model, swap.version),
        epoch,
        model: &swap.model,
        version: swap.version,
    };
    let body = serde_json::to_vec(&order).unwrap_or_default();
    let fence = vm.fence(|vm| &vm.orders, epoch);
    let call = Call::post("/v1/weights", body)
        .deadline(LOAD_TIME)
        .fence(fence);
    let sent = vm.pool.fetch(address, call).await;
    let loaded = sent.is_ok_and(|answer| answer.status.is_success());
    let (endpoint, version) = (id.as_str(), swap.version);
    spdlog::info!("weights ordered", kv: { endpoint, version, loaded });
}
