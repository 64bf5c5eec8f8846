//! Whether a request may wait at all.
//!
//! A request that would be late is refused when it arrives, not when its time
//! is up: the caller learns at once when to come back, and no endpoint works
//! for nobody. When the waiting room is full, the account furthest over its
//! share makes room, so a flood of one account refuses its own requests only.

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

/// When a refused caller should come back, if nothing better is known.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// How many requests may wait on one VM.
pub const WAITING_MAX: usize = 512;

/// How many requests of one account may wait in one lane.
pub const ACCOUNT_WAITING_MAX: usize = 128;

/// A request needs time for this quantile of the latency in any case.
const LATENCY_QUANTILE_LOW: f64 = 0.5;

/// One that has waited needs time for this quantile, as long as that is not
/// more than its part of the caller's patience below: late answers cost as
/// much as timely ones.
const LATENCY_QUANTILE_HIGH: f64 = 0.99;
const TIME_BUDGET_DIVISOR: u32 = 2;

/// Checks that `ticket` can be served in time, and makes room for it.
///
/// # Errors
///
/// A [`Refusal`] that says why not.
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

/// Returns the time that must be left when a request is sent, or zero when
/// nothing is known of the service's latency.
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

/// Returns how long a new `ticket` would wait, or zero when there are places
/// for it and all that waits. While every endpoint rests, that is the rest;
/// after it, what waits is counted if the pace of the lane is known.
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

/// Returns when to come back after a refusal: once what waits now is served,
/// and not while every endpoint rests.
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
        board.queue.shed(key);
    }
}

/// Returns how many requests wait for the ticket's service, of all classes.
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
    match lane.pace.at(now) {
        Some(per_s) => Duration::try_from_secs_f64(cost as f64 / per_s.max(f64::MIN_POSITIVE))
            .unwrap_or(Duration::MAX)
            .min(WAIT_MAX),
        None => Duration::ZERO,
    }
}

/// Predictions are capped here, far beyond any deadline.
const WAIT_MAX: Duration = Duration::from_secs(3600);

fn reject(reason: Reason, retry_after: Duration) -> Result<(), Rejection> {
    Err(Rejection {
        reason,
        retry_after,
    })
}
