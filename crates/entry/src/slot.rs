//! Slots on endpoints: waiting for one and holding it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use board::{
    endpoint,
    ticket::{self, Ticket},
};
use local_sync::oneshot;
use policy::call::{self, Decision, Outcome, Reason, Rejection};

use crate::vm::Vm;

const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);

/// A slot on an endpoint, released when it is dropped.
pub(crate) struct Slot {
    vm: Rc<Vm>,
    ticket: ticket::Key,
    /// The endpoint, by its key on the board.
    pub(crate) endpoint: endpoint::Key,
    /// The endpoint's id.
    pub(crate) id: String,
    /// The endpoint's address.
    pub(crate) address: SocketAddr,
}

impl Slot {
    /// Releases the slot and records the outcome of the attempt.
    pub(crate) fn finish(self, outcome: Outcome) {
        let now = self.vm.now();
        call::finish(&mut self.vm.board.borrow_mut(), now, self.ticket, outcome);
        // `drop` runs next. The ticket is removed by then, so `drop` only
        // dispatches.
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.vm.now();
        let mut board = self.vm.board.borrow_mut();
        call::finish(&mut board, now, self.ticket, Outcome::Abandoned);
        drop(board);
        dispatch(&self.vm);
    }
}

/// A ticket that waits for an endpoint. Dropping it removes the ticket unless a
/// slot was acquired.
struct Waiter<'a> {
    vm: &'a Rc<Vm>,
    ticket: Option<ticket::Key>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        self.vm.waiting.borrow_mut().remove(&ticket);
        let now = self.vm.now();
        let mut board = self.vm.board.borrow_mut();
        call::finish(&mut board, now, ticket, Outcome::Abandoned);
    }
}

/// Waits for a slot on an endpoint that may serve `ticket`.
///
/// # Errors
///
/// A [`Rejection`] when no slot will be free in time.
pub(crate) async fn acquire(vm: &Rc<Vm>, ticket: Ticket) -> Result<Slot, Rejection> {
    let now = vm.now();
    let key = call::admit(&mut vm.board.borrow_mut(), now, ticket)?;
    let mut waiter = Waiter {
        vm,
        ticket: Some(key),
    };
    let (sender, receiver) = oneshot::channel();
    vm.waiting.borrow_mut().insert(key, sender);
    dispatch(vm);
    start_ticker(vm);
    let no_endpoint = Rejection {
        reason: Reason::NoEndpoint,
        retry_after: policy::admission::RETRY_AFTER,
    };
    let endpoint = receiver.await.map_err(|_| no_endpoint)??;
    let slot = new_slot(vm, key, endpoint).ok_or(no_endpoint)?;
    waiter.ticket = None;
    Ok(slot)
}

/// Returns a slot for a hedged attempt, if one is free now and the service's
/// hedging budget allows it.
pub(crate) fn hedge(vm: &Rc<Vm>, ticket: Ticket) -> Option<Slot> {
    let now = vm.now();
    let mut board = vm.board.borrow_mut();
    let service = ticket.service.clone();
    if !board.service(&service).hedge.has_token() {
        return None;
    }
    let (key, endpoint) = call::try_start(&mut board, now, ticket)?;
    policy::hedge::try_spend(&mut board, &service);
    drop(board);
    let slot = new_slot(vm, key, endpoint);
    if slot.is_none() {
        call::finish(&mut vm.board.borrow_mut(), now, key, Outcome::Abandoned);
    }
    slot
}

fn new_slot(vm: &Rc<Vm>, ticket: ticket::Key, endpoint: endpoint::Key) -> Option<Slot> {
    let board = vm.board.borrow();
    let record = &board.endpoints.get(endpoint)?.record;
    Some(Slot {
        vm: vm.clone(),
        ticket,
        endpoint,
        id: record.id.clone(),
        address: record.address,
    })
}

/// Clears `avoid` if it contains every endpoint of `service`, because retrying
/// a failed endpoint is better than not retrying at all.
pub(crate) fn reset_exhausted_avoid(vm: &Vm, service: &str, avoid: &mut Vec<endpoint::Key>) {
    let board = vm.board.borrow();
    let all = board.endpoints.of_service(service);
    if all.iter().all(|known| avoid.contains(known)) {
        avoid.clear();
    }
}

/// Starts the task that dispatches at intervals while requests wait, unless it
/// runs already.
fn start_ticker(vm: &Rc<Vm>) {
    if vm.waiting.borrow().is_empty() || vm.is_ticking.replace(true) {
        return;
    }
    let vm = vm.clone();
    monoio::spawn(async move {
        while !vm.waiting.borrow().is_empty() {
            monoio::time::sleep(DISPATCH_INTERVAL).await;
            dispatch(&vm);
        }
        vm.is_ticking.set(false);
    });
}

/// Dispatches waiting requests, and passes each its endpoint or its rejection.
pub(crate) fn dispatch(vm: &Rc<Vm>) {
    let now = vm.now();
    let decisions = call::dispatch(&mut vm.board.borrow_mut(), now);
    for decision in decisions {
        let (ticket, assignment) = match decision {
            Decision::Send { ticket, endpoint } => (ticket, Ok(endpoint)),
            Decision::Reject { ticket, rejection } => (ticket, Err(rejection)),
        };
        let sender = vm.waiting.borrow_mut().remove(&ticket);
        let is_delivered = sender.is_some_and(|sender| sender.send(assignment).is_ok());
        if !is_delivered {
            let mut board = vm.board.borrow_mut();
            call::finish(&mut board, now, ticket, Outcome::Abandoned);
        }
    }
}
