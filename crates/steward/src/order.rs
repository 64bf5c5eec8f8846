//! One order at a time: written down, sent, and settled by reading.

use std::{rc::Rc, time::Duration};

use board::capacity::{Accepted, Action, Intent, KIND, Order, Pool};
use link::platform::{Error, When};
use policy::capacity;

use crate::vm::Vm;

/// How an order ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The platform took it.
    Accepted(Accepted),
    /// The platform refused it.
    Refused,
    /// Nothing is known, or the lease is no longer held. The next holder of
    /// the lease settles it, which may be this process again.
    Unknown,
}

/// The place from which the holder of one epoch sends orders.
///
/// The intent object names the order that is being sent. Its conditional
/// writes keep two holders apart once more: one that lost its lease without
/// noticing fails there before it sends.
#[derive(Debug)]
pub(crate) struct Session {
    epoch: u64,
    /// The version of the intent object.
    version: u64,
    /// Orders of this epoch so far.
    count: u64,
}

const RETRY_DELAY: Duration = Duration::from_millis(500);

impl Session {
    /// Settles what the predecessor was about to order, and takes its place;
    /// `None` when that cannot be done now.
    pub(crate) async fn open(vm: &Rc<Vm>, epoch: u64) -> Option<Self> {
        let domain = vm.settings.failure_domain.clone();
        let read = vm.platform.read::<Intent>(KIND, &domain).await;
        let (when, before) = match read {
            Ok((version, intent)) => (When::At(version), Some(intent)),
            Err(Error::Absent) => (When::Absent, None),
            Err(_) => return None,
        };
        if before.as_ref().is_some_and(|intent| intent.epoch > epoch) {
            return None;
        }
        // The same epoch again, after an outcome that was left open, goes on
        // counting, so that no key is used twice.
        let same = before.as_ref().filter(|intent| intent.epoch == epoch);
        let count = same.map_or(0, |intent| intent.count);
        if let Some(order) = before.and_then(|intent| intent.order) {
            resolve(vm, &order).await?;
        }
        let intent = Intent {
            epoch,
            count,
            order: None,
        };
        let written = vm.platform.write(KIND, &domain, when, &intent).await;
        let version = written.ok()?;
        // What is listed from now on holds the predecessor's orders.
        let records = vm.platform.endpoints(Some(&domain)).await.ok()?;
        let mut board = vm.board.borrow_mut();
        for record in records {
            board.endpoints.put(record);
        }
        spdlog::info!("orders adopted", kv: { failure_domain = domain.as_str(), epoch });
        Some(Self {
            epoch,
            version,
            count,
        })
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns a key that no other order has.
    pub(crate) fn next_key(&mut self, domain: &str) -> String {
        self.count += 1;
        format!("{domain}.{}.{}", self.epoch, self.count)
    }

    /// Sends `order` until its outcome is known or the lease has ended.
    pub(crate) async fn send(&mut self, vm: &Rc<Vm>, order: Order) -> Outcome {
        let intent = Intent {
            epoch: self.epoch,
            count: self.count,
            order: Some(order),
        };
        let domain = &vm.settings.failure_domain;
        let when = When::At(self.version);
        match vm.platform.write(KIND, domain, when, &intent).await {
            Ok(version) => self.version = version,
            Err(_) => return Outcome::Unknown,
        }
        let Some(order) = intent.order else {
            return Outcome::Unknown;
        };
        let outcome = self.send_until_known(vm, &order).await;
        let result = match &outcome {
            Outcome::Accepted(_) => "accepted",
            Outcome::Refused => "refused",
            Outcome::Unknown => "unsettled",
        };
        vm.metrics.order(result);
        let (key, service) = (order.key.as_str(), order.service.as_str());
        spdlog::info!("endpoints ordered", kv: { key, service, result });
        outcome
    }

    async fn send_until_known(&self, vm: &Rc<Vm>, order: &Order) -> Outcome {
        while vm.epoch(&vm.orders) == Some(self.epoch) {
            let fence = vm.fence(|vm| &vm.orders, self.epoch);
            match vm.platform.order(order, fence).await {
                Ok(answer) => return Outcome::Accepted(answer),
                // The platform has seen a higher epoch than this one.
                Err(Error::Refused { status: 409, .. }) => return Outcome::Unknown,
                Err(Error::Refused { .. } | Error::Conflict(_) | Error::Absent) => {
                    return Outcome::Refused;
                }
                Err(Error::Unavailable(_)) => return Outcome::Unknown,
                // Taken or not: the order of this key tells. One that is not
                // there may still be on its way, and goes again under the same
                // key, which the platform takes once.
                Err(Error::Unknown(_)) => match vm.platform.find_order(&order.key).await {
                    Ok(answer) => return Outcome::Accepted(answer),
                    Err(_) => monoio::time::sleep(RETRY_DELAY).await,
                },
            }
        }
        Outcome::Unknown
    }
}

/// Learns whether the platform took an order whose outcome was left open;
/// `None` when that cannot be learned now.
async fn resolve(vm: &Vm, order: &Order) -> Option<()> {
    match vm.platform.find_order(&order.key).await {
        Ok(answer) => {
            if let (Action::Start, Some(capacity_class)) = (order.action, order.capacity_class) {
                let pool = Pool {
                    service: order.service.clone(),
                    capacity_class,
                };
                let mut board = vm.board.borrow_mut();
                capacity::record_accepted(&mut board, vm.now(), &pool, order.count, &answer);
            }
            Some(())
        }
        Err(Error::Absent) => Some(()),
        Err(_) => None,
    }
}
