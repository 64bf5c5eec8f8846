//! Orders that start and stop the endpoints of this failure domain.

use std::{rc::Rc, time::Duration};

use board::{
    capacity::{Accepted, Action, Order, Pool},
    endpoint::{CapacityClass, State},
};
use policy::capacity::{self, Change};

use crate::{
    order::{self, Outcome, Session},
    vm::Vm,
};

const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Orders endpoints according to demand while this process holds the lease on
/// orders; never returns.
pub(crate) async fn run(vm: Rc<Vm>) {
    let mut session = None;
    loop {
        monoio::time::sleep(ROUND_INTERVAL).await;
        record_spend(&vm);
        if vm.board.borrow().revision == 0 || !vm.follower.is_bootstrapped() {
            continue;
        }
        record_domains(&vm);
        let Some(epoch) = vm.epoch(&vm.orders) else {
            session = None;
            continue;
        };
        if session
            .as_ref()
            .is_none_or(|session: &Session| session.epoch() != epoch)
        {
            session = Session::open(&vm, epoch).await;
        }
        if let Some(current) = &mut session
            && !send_due(&vm, current).await
        {
            session = None;
        }
    }
}

/// Records the failure domains that have, or had, a VM.
fn record_domains(vm: &Vm) {
    let mut board = vm.board.borrow_mut();
    let members = board.members.others.values();
    let domains: Vec<_> = members.map(|m| m.record.failure_domain.clone()).collect();
    board.capacity.domains.extend(domains);
}

/// Sends the orders that are due, and returns false when the session has to be
/// opened again.
async fn send_due(vm: &Rc<Vm>, session: &mut Session) -> bool {
    // An order that cannot be looked up now is looked up in a later round.
    let _ = order::settle_accepted(vm).await;
    let now = vm.now();
    let plan = capacity::plan(&mut vm.board.borrow_mut(), now);
    for change in plan {
        let (order, pool) = build_order(vm, session, &change);
        let order = vm.unsettled.borrow().or_repeated(order);
        let count = order.count;
        match session.send(vm, order).await {
            Outcome::Accepted(answer) => record_accepted(vm, pool, count, &answer),
            Outcome::Rejected => {
                if let Some(pool) = pool {
                    capacity::record_rejected(&mut vm.board.borrow_mut(), vm.now(), &pool);
                }
            }
            Outcome::Unknown => return false,
        }
    }
    true
}

fn record_accepted(vm: &Vm, pool: Option<Pool>, count: u32, answer: &Accepted) {
    let mut board = vm.board.borrow_mut();
    if let Some(pool) = pool {
        capacity::record_accepted(&mut board, vm.now(), &pool, count, answer);
        return;
    }
    // A stopped endpoint no longer counts as capacity, even before the
    // platform's list shows it.
    for id in &answer.endpoints {
        let endpoint = board.endpoints.find(id);
        if let Some(endpoint) = endpoint.and_then(|key| board.endpoints.get_mut(key)) {
            endpoint.record.state = State::Draining;
        }
    }
}

fn build_order(vm: &Vm, session: &mut Session, change: &Change) -> (Order, Option<Pool>) {
    let failure_domain = vm.settings.failure_domain.clone();
    let (key, epoch) = (session.next_key(&failure_domain), session.epoch());
    match change {
        Change::Start { pool, count } => {
            let order = Order {
                key,
                epoch,
                failure_domain,
                service: pool.service.clone(),
                capacity_class: Some(pool.capacity_class),
                action: Action::Start,
                count: *count,
                endpoint: None,
            };
            (order, Some(pool.clone()))
        }
        Change::Stop { service, endpoint } => {
            let order = Order {
                key,
                epoch,
                failure_domain,
                service: service.clone(),
                capacity_class: None,
                action: Action::Stop,
                count: 1,
                endpoint: Some(endpoint.clone()),
            };
            (order, None)
        }
    }
}

/// Adds the cost of the endpoints of this failure domain during one round,
/// while this process holds the lease on their orders.
fn record_spend(vm: &Vm) {
    if vm.epoch(&vm.orders).is_none() {
        return;
    }
    let hours = ROUND_INTERVAL.as_secs_f64() / 3600.0;
    let board = vm.board.borrow();
    for (_, endpoint) in board.endpoints.iter() {
        let record = &endpoint.record;
        if record.failure_domain != board.failure_domain || record.state == State::Removed {
            continue;
        }
        let class = match record.capacity_class {
            CapacityClass::Stable => "stable",
            CapacityClass::Cheap => "cheap",
        };
        let cost = record.price * hours;
        vm.metrics
            .record_spend(&record.failure_domain, &record.service, class, cost);
    }
}
