//! Admission control: whether an arriving request may be queued.
//!
//! A request that would miss its deadline is rejected on arrival, so the caller
//! learns at once when to retry and no endpoint computes an answer that nobody
//! reads. When the queue is full, the account furthest over its share loses its
//! newest request, so a flood of requests from one account displaces only that
//! account's own.

use std::time::Duration;

use board::{
    Board, Time,
    queue::Lane,
    ticket::{self, Ticket},
};

use crate::{
    call::{Reason, Rejection},
    fairness, routing,
};

/// The shortest retry delay sent with a rejection, and the one used when the
/// wait cannot be predicted.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// How many requests may be queued on one VM.
pub const WAITING_MAX: usize = 512;

/// How many requests of one account may be queued in one lane.
pub const ACCOUNT_WAITING_MAX: usize = 128;

/// The quantile of the latency that must remain before a request's deadline in
/// any case.
const LATENCY_QUANTILE_LOW: f64 = 0.5;

/// The quantile of the latency that should remain before a request's deadline,
/// since a late answer costs an endpoint as much work as a timely one. The
/// remaining time is capped at the time budget (deadline minus arrival) divided
/// by `TIME_BUDGET_DIVISOR`.
const LATENCY_QUANTILE_HIGH: f64 = 0.99;
const TIME_BUDGET_DIVISOR: u32 = 2;

/// Checks that `ticket` can be served in time, and sheds another request to
/// make space for it if the queue is full.
///
/// # Errors
///
/// A [`Rejection`] with the reason if the ticket cannot be queued.
pub fn check(board: &mut Board, now: Time, ticket: &Ticket) -> Result<(), Rejection> {
    if ticket.deadline <= now {
        return reject(Reason::Deadline, RETRY_AFTER);
    }
    if board.endpoints.of_service(&ticket.service).is_empty() {
        return reject(Reason::NoEndpoint, RETRY_AFTER);
    }
    check_deadline(board, now, ticket)?;
    check_account(board, now, ticket)?;
    ensure_queue_space(board, now, ticket)
}

/// Returns how long before its deadline a request must be sent, or zero while
/// the latency of the service is unknown.
pub fn service_time(board: &Board, ticket: &Ticket) -> Duration {
    let service = board.services.get(&ticket.service);
    let quantile = |quantile| {
        let latency = service.and_then(|service| service.latency.quantile(ticket.cost, quantile));
        latency.unwrap_or_default()
    };
    let time_budget = ticket.deadline - ticket.arrived;
    let high = quantile(LATENCY_QUANTILE_HIGH).min(time_budget / TIME_BUDGET_DIVISOR);
    high.max(quantile(LATENCY_QUANTILE_LOW))
}

/// Returns how long a new `ticket` would be queued: zero if there are free
/// slots for it and for all queued requests. While every endpoint is backing
/// off, the remaining backoff is included. The queued cost ahead of the ticket
/// is included if the throughput of the lane is known.
pub fn predicted_wait(board: &Board, now: Time, ticket: &Ticket) -> Duration {
    let backoff = routing::backoff_remaining(board, now, &ticket.service);
    let Some(lane) = lane(board, ticket) else {
        return backoff;
    };
    if waiting_count(board, ticket) < routing::free_slots(board, now, ticket) as usize {
        return Duration::ZERO;
    }
    let weight = fairness::weight(board, &ticket.account);
    let cost_ahead = lane.cost_before(&ticket.account, weight);
    backoff + time_to_serve(lane, now, cost_ahead)
}

/// Returns the retry delay for a rejected request: long enough for the queue to
/// drain, and no shorter than the remaining backoff of the endpoints.
pub fn retry_after(board: &Board, now: Time, ticket: &Ticket) -> Duration {
    let wait = predicted_wait(board, now, ticket);
    let remaining = ticket.deadline - now;
    let excess = (wait + service_time(board, ticket)).saturating_sub(remaining);
    let backoff = routing::backoff_remaining(board, now, &ticket.service);
    let retry_after = excess.max(wait / 2).max(backoff);
    retry_after.clamp(RETRY_AFTER, RETRY_AFTER_MAX)
}

fn check_deadline(board: &Board, now: Time, ticket: &Ticket) -> Result<(), Rejection> {
    let wait = predicted_wait(board, now, ticket);
    if wait.is_zero() || now + wait + service_time(board, ticket) <= ticket.deadline {
        return Ok(());
    }
    reject(Reason::Deadline, retry_after(board, now, ticket))
}

fn check_account(board: &Board, now: Time, ticket: &Ticket) -> Result<(), Rejection> {
    let flow = lane(board, ticket).and_then(|lane| lane.flow(&ticket.account));
    if flow.is_some_and(|flow| flow.len() >= ACCOUNT_WAITING_MAX) {
        return reject(Reason::Overload, retry_after(board, now, ticket));
    }
    Ok(())
}

fn ensure_queue_space(board: &mut Board, now: Time, ticket: &Ticket) -> Result<(), Rejection> {
    if board.queue.len() < WAITING_MAX {
        return Ok(());
    }
    let weight = fairness::weight(board, &ticket.account);
    let victim = fairness::victim(board, ticket.class, &ticket.account, ticket.cost, weight);
    let Some(victim) = victim else {
        return reject(Reason::Overload, retry_after(board, now, ticket));
    };
    shed(board, victim);
    Ok(())
}

fn shed(board: &mut Board, key: ticket::Key) {
    if let Some(ticket) = board.tickets.get(key) {
        board.queue.remove(key, ticket);
        board.queue.record_shed(key);
    }
}

/// Returns how many requests of all classes are queued for the ticket's
/// service.
fn waiting_count(board: &Board, ticket: &Ticket) -> usize {
    let lanes = board.queue.lanes(&ticket.service);
    let flows = lanes.into_iter().flatten().flat_map(Lane::waiting);
    flows.map(|(_, flow)| flow.len()).sum()
}

fn lane<'a>(board: &'a Board, ticket: &Ticket) -> Option<&'a Lane> {
    let lanes = board.queue.lanes(&ticket.service)?;
    Some(&lanes[ticket.class as usize])
}

fn time_to_serve(lane: &Lane, now: Time, cost: u64) -> Duration {
    match lane.throughput.rate(now) {
        Some(per_s) => Duration::try_from_secs_f64(cost as f64 / per_s.max(f64::MIN_POSITIVE))
            .unwrap_or(Duration::MAX)
            .min(WAIT_MAX),
        None => Duration::ZERO,
    }
}

/// Upper bound of predicted waits, far beyond any deadline.
const WAIT_MAX: Duration = Duration::from_secs(3600);

fn reject(reason: Reason, retry_after: Duration) -> Result<(), Rejection> {
    Err(Rejection {
        reason,
        retry_after,
    })
}
