//! Orders for endpoints of this failure domain.

use std::{rc::Rc, time::Duration};

use board::{
    capacity::{Accepted, Action, Line, Order},
    endpoint::{State, Tenure},
};
use policy::capacity::{self, Change};

use crate::{
    order::{Desk, Outcome},
    vm::Vm,
};

const PERIOD: Duration = Duration::from_secs(1);

/// Brings the endpoints to what is needed, for ever.
pub(crate) async fn run(vm: Rc<Vm>) {
    let mut desk = None;
    loop {
        monoio::time::sleep(PERIOD).await;
        count_spend(&vm);
        if vm.board.borrow().revision == 0 || !vm.follower.is_primed() {
            continue;
        }
        note_domains(&vm);
        let Some(epoch) = vm.epoch(&vm.orders) else {
            desk = None;
            continue;
        };
        if desk
            .as_ref()
            .is_none_or(|desk: &Desk| desk.epoch() != epoch)
        {
            desk = Desk::adopt(&vm, epoch).await;
        }
        if let Some(open) = &mut desk
            && !carry_out(&vm, open).await
        {
            desk = None;
        }
    }
}

/// Notes the failure domains that have, or had, a VM.
fn note_domains(vm: &Vm) {
    let mut board = vm.board.borrow_mut();
    let members = board.members.others.values();
    let domains: Vec<_> = members.map(|m| m.record.failure_domain.clone()).collect();
    board.capacity.domains.extend(domains);
}

/// Sends what is due; returns false when the desk must be opened anew.
async fn carry_out(vm: &Rc<Vm>, desk: &mut Desk) -> bool {
    let now = vm.now();
    let plan = capacity::plan(&mut vm.board.borrow_mut(), now);
    for change in plan {
        let (order, line) = order(vm, desk, &change);
        let count = order.count;
        match desk.send(vm, order).await {
            Outcome::Accepted(answer) => accepted(vm, line, count, &answer),
            Outcome::Refused => {
                if let Some(line) = line {
                    capacity::record_rejected(&mut vm.board.borrow_mut(), vm.now(), &line);
                }
            }
            Outcome::Unsettled => return false,
        }
    }
    true
}

fn accepted(vm: &Vm, line: Option<Line>, count: u32, answer: &Accepted) {
    let mut board = vm.board.borrow_mut();
    if let Some(line) = line {
        capacity::record_accepted(&mut board, vm.now(), &line, count, answer);
        return;
    }
    // A stopped endpoint counts no more, before the list says so.
    for id in &answer.endpoints {
        let endpoint = board.endpoints.find(id);
        if let Some(endpoint) = endpoint.and_then(|key| board.endpoints.get_mut(key)) {
            endpoint.record.state = State::Leaving;
        }
    }
}

fn order(vm: &Vm, desk: &mut Desk, change: &Change) -> (Order, Option<Line>) {
    let failure_domain = vm.settings.failure_domain.clone();
    let (key, epoch) = (desk.next_key(&failure_domain), desk.epoch());
    match change {
        Change::Start { line, count } => {
            let order = Order {
                key,
                epoch,
                failure_domain,
                service: line.service.clone(),
                tenure: Some(line.tenure),
                action: Action::Start,
                count: *count,
                endpoint: None,
            };
            (order, Some(line.clone()))
        }
        Change::Stop { service, endpoint } => {
            let order = Order {
                key,
                epoch,
                failure_domain,
                service: service.clone(),
                tenure: None,
                action: Action::Stop,
                count: 1,
                endpoint: Some(endpoint.clone()),
            };
            (order, None)
        }
    }
}

/// Adds what the endpoints of this failure domain cost in one period, while
/// this process is in charge of them.
fn count_spend(vm: &Vm) {
    if vm.epoch(&vm.orders).is_none() {
        return;
    }
    let hours = PERIOD.as_secs_f64() / 3600.0;
    let board = vm.board.borrow();
    for (_, endpoint) in board.endpoints.iter() {
        let record = &endpoint.record;
        if record.failure_domain != board.failure_domain || record.state == State::Gone {
            continue;
        }
        let class = match record.tenure {
            Tenure::Stable => "stable",
            Tenure::Cheap => "cheap",
        };
        let cost = record.price * hours;
        vm.metrics
            .spend(&record.failure_domain, &record.service, class, cost);
    }
}
