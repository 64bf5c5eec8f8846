//! Orders for endpoints of this failure domain.

use std::{rc::Rc, time::Duration};

use board::endpoint::Tenure;
use link::platform::Error;
use policy::capacity::{self, Change};
use serde::{Deserialize, Serialize};

use crate::vm::Vm;

const PERIOD: Duration = Duration::from_secs(1);
const SETTLE_TIME: Duration = Duration::from_secs(3);

#[derive(Serialize)]
struct Order<'a> {
    key: String,
    epoch: u64,
    failure_domain: &'a str,
    service: &'a str,
    class: Option<Tenure>,
    action: &'static str,
    count: u32,
    endpoint: Option<&'a str>,
}

#[derive(Deserialize)]
struct Accepted {
    #[allow(dead_code)]
    key: String,
}

/// Brings the endpoints to what is declared, for ever.
pub(crate) async fn run(vm: Rc<Vm>) {
    let mut number = 0_u64;
    loop {
        monoio::time::sleep(PERIOD).await;
        if vm.board.borrow().revision == 0 {
            continue;
        }
        let plan = capacity::plan(&vm.board.borrow(), &vm.settings.failure_domain);
        for change in plan {
            // The epoch is read anew for each order: a pause may have ended it.
            let Some(epoch) = vm.epoch(&vm.orders) else {
                break;
            };
            number += 1;
            send(&vm, epoch, number, &change).await;
            monoio::time::sleep(SETTLE_TIME).await;
        }
    }
}

async fn send(vm: &Vm, epoch: u64, number: u64, change: &Change) {
    let domain = &vm.settings.failure_domain;
    let order = order(domain, epoch, number, change);
    let sent: Result<Accepted, Error> = vm.platform.post("/v1/orders", &order).await;
    match sent {
        Ok(_) => spdlog::info!("endpoints ordered", kv: { key = order.key.as_str() }),
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("order not accepted", kv: { key = order.key.as_str(), problem });
        }
    }
}

fn order<'a>(domain: &'a str, epoch: u64, number: u64, change: &'a Change) -> Order<'a> {
    let key = format!("{domain}.{epoch}.{number}");
    match change {
        Change::Start {
            service,
            tenure,
            count,
        } => Order {
            key,
            epoch,
            failure_domain: domain,
            service,
            class: Some(*tenure),
            action: "start",
            count: *count,
            endpoint: None,
        },
        Change::Stop { service, endpoint } => Order {
            key,
            epoch,
            failure_domain: domain,
            service,
            class: None,
            action: "stop",
            count: 1,
            endpoint: Some(endpoint),
        },
    }
}
