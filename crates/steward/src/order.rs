//! Sending of orders, one at a time: each is stored as an intent, sent, and
//! read back if its outcome is unknown.

use std::{rc::Rc, time::Duration};

use board::capacity::{Accepted, Action, Intent, KIND, Order, Pool};
use link::platform::{Condition, Error};
use policy::{capacity, execution::Execution};

use crate::vm::Vm;

/// The outcome of an order.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The platform accepted it.
    Accepted(Accepted),
    /// The platform rejected the last attempt. An earlier one may yet be
    /// accepted if the order is still unsettled.
    Rejected,
    /// The outcome is unknown, or the lease is no longer held. The next holder
    /// of the lease, which may be this process again, resolves it.
    Unknown,
}

/// The session in which the lease holder of one epoch sends orders.
///
/// The intent object contains the order that is being sent. Its conditional
/// writes are a second fence besides the lease: once a later holder has opened
/// its session, the write of an earlier holder fails, so that the earlier
/// holder does not send the order.
#[derive(Debug)]
pub(crate) struct Session {
    epoch: u64,
    /// The version of the intent object.
    version: u64,
    /// The number of orders sent in this epoch.
    count: u64,
}

const RETRY_DELAY: Duration = Duration::from_millis(500);

impl Session {
    /// Opens the session of `epoch`, after resolving the orders that previous
    /// sessions may have left open; `None` when the platform cannot be read or
    /// written, or a later epoch has begun.
    pub(crate) async fn open(vm: &Rc<Vm>, epoch: u64) -> Option<Self> {
        let domain = vm.settings.failure_domain.clone();
        let read = vm.platform.read::<Intent>(KIND, &domain).await;
        let (condition, previous) = match read {
            Ok((version, intent)) => (Condition::At(version), Some(intent)),
            Err(Error::Absent) => (Condition::Absent, None),
            Err(_) => return None,
        };
        if previous.as_ref().is_some_and(|intent| intent.epoch > epoch) {
            return None;
        }
        // A session that is reopened in the same epoch, after an unknown
        // outcome, continues the count, so that no key is used twice.
        let same_epoch = previous.as_ref().filter(|intent| intent.epoch == epoch);
        let count = same_epoch.map_or(0, |intent| intent.count);
        // In the same epoch this process wrote the intent, and knows which of its
        // orders have an unknown outcome.
        if let Some(intent) = previous.filter(|intent| intent.epoch < epoch) {
            let mut unsettled = vm.unsettled.borrow_mut();
            let inherited = intent.order.into_iter().chain(intent.unsettled);
            inherited.for_each(|order| unsettled.begin(&order));
        }
        settle_accepted(vm).await?;
        let intent = Intent {
            epoch,
            count,
            order: None,
            unsettled: vm.unsettled.borrow().orders().to_vec(),
        };
        let written = vm.platform.write(KIND, &domain, condition, &intent).await;
        let version = written.ok()?;
        // The list is read after the last order was resolved, so it includes
        // the endpoints that the previous session ordered.
        let records = vm.platform.endpoints(Some(&domain)).await.ok()?;
        let mut board = vm.board.borrow_mut();
        for record in records {
            board.endpoints.put(record);
        }
        spdlog::info!("order session opened", kv: { failure_domain = domain.as_str(), epoch });
        Some(Self {
            epoch,
            version,
            count,
        })
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns an idempotency key that no other order has.
    pub(crate) fn next_key(&mut self, domain: &str) -> String {
        self.count += 1;
        format!("{domain}.{}.{}", self.epoch, self.count)
    }

    /// Stores `order` as the intent, and sends it until its outcome is known or
    /// the lease is lost.
    pub(crate) async fn send(&mut self, vm: &Rc<Vm>, order: Order) -> Outcome {
        let mut unsettled = vm.unsettled.borrow().orders().to_vec();
        unsettled.retain(|other| other.key != order.key);
        let intent = Intent {
            epoch: self.epoch,
            count: self.count,
            order: Some(order),
            unsettled,
        };
        let domain = &vm.settings.failure_domain;
        let condition = Condition::At(self.version);
        match vm.platform.write(KIND, domain, condition, &intent).await {
            Ok(version) => self.version = version,
            Err(_) => return Outcome::Unknown,
        }
        let Some(order) = intent.order else {
            return Outcome::Unknown;
        };
        let previous = match vm.unsettled.borrow().contains(&order.key) {
            true => Execution::Unknown,
            false => Execution::NotRun,
        };
        vm.unsettled.borrow_mut().begin(&order);
        let (outcome, execution) = self.send_until_known(vm, &order, previous).await;
        if execution == Execution::NotRun {
            vm.unsettled.borrow_mut().settle(&order.key);
        }
        // A repeated key may have been accepted in an earlier epoch.
        let is_epoch_seen =
            matches!(outcome, Outcome::Accepted(_)) && previous == Execution::NotRun;
        if is_epoch_seen {
            vm.unsettled.borrow_mut().settle_before(self.epoch);
        }
        let result = match (&outcome, execution) {
            (Outcome::Accepted(_), _) => "accepted",
            (Outcome::Rejected, Execution::NotRun) => "refused",
            (Outcome::Rejected | Outcome::Unknown, _) => "unsettled",
        };
        vm.metrics.record_order(result);
        let (key, service) = (order.key.as_str(), order.service.as_str());
        spdlog::info!("order for endpoints sent", kv: { key, service, result });
        outcome
    }

    /// Sends `order` until its outcome is known or the lease is lost.
    /// `execution` is whether an earlier attempt may have been accepted. Returns
    /// also whether the order may be accepted although this process has not seen
    /// it.
    async fn send_until_known(
        &self,
        vm: &Rc<Vm>,
        order: &Order,
        mut execution: Execution,
    ) -> (Outcome, Execution) {
        while vm.epoch(&vm.orders) == Some(self.epoch) {
            let fence = vm.fence(|vm| &vm.orders, self.epoch);
            match vm.platform.order(order, fence).await {
                Ok(answer) => return (Outcome::Accepted(answer), Execution::NotRun),
                // The platform has seen a higher epoch than this one.
                Err(Error::Rejected { status: 409, .. }) => return (Outcome::Unknown, execution),
                Err(Error::Rejected { .. } | Error::Conflict(_) | Error::Absent) => {
                    return (Outcome::Rejected, execution);
                }
                Err(Error::Unavailable(_)) => return (Outcome::Unknown, execution),
                // The reply was lost, so the order is looked up by its key. If
                // it is not found it may still be in transit, so it is sent
                // again under the same key, which the platform accepts once.
                Err(Error::Unknown(_)) => {
                    execution = execution.and(Execution::Unknown);
                    match vm.platform.find_order(&order.key).await {
                        Ok(answer) => return (Outcome::Accepted(answer), Execution::NotRun),
                        Err(_) => monoio::time::sleep(RETRY_DELAY).await,
                    }
                }
            }
        }
        (Outcome::Unknown, execution)
    }
}

/// Looks up the orders whose outcome is unknown, and settles those that the
/// platform has accepted; `None` when the platform cannot be read. One that does
/// not exist may be in transit, and the platform accepts it until it has seen a
/// higher epoch.
pub(crate) async fn settle_accepted(vm: &Vm) -> Option<()> {
    let orders = vm.unsettled.borrow().orders().to_vec();
    for order in orders {
        if resolve(vm, &order).await? {
            vm.unsettled.borrow_mut().settle(&order.key);
        }
    }
    Some(())
}

/// Resolves an order whose outcome is unknown by reading it from the platform,
/// and returns whether the platform has accepted it; `None` when the platform
/// cannot be read.
async fn resolve(vm: &Vm, order: &Order) -> Option<bool> {
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
            Some(true)
        }
        Err(Error::Absent) => Some(false),
        Err(_) => None,
    }
}
