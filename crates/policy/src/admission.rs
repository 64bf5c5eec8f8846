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
    call::{Reason, Refusal},
    fairness,
};

/// When a refused caller should come back, if nothing better is known.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// How many requests may wait on one VM.
pub const WAITING_MAX: usize = 512;

/// How many requests of one account may wait in one lane.
pub const ACCOUNT_WAITING_MAX: usize = 128;

/// The quantile of a service's latency that a request must have time for.
const LATENCY_QUANTILE: f64 = 0.5;

/// Checks that `ticket` can be served in time, and makes room for it.
///
/// # Errors
///
/// A [`Refusal`] that says why not.
pub fn check(board: &mut Board, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
    if ticket.deadline <= now {
        return refuse(Reason::Deadline, RETRY_AFTER);
    }
    if board.endpoints.of_service(&ticket.service).is_empty() {
        return refuse(Reason::NoEndpoint, RETRY_AFTER);
    }
    check_deadline(board, now, ticket)?;
    check_account(board, now, ticket)?;
    make_room(board, now, ticket)
}

/// Returns the time that an answer takes once the request is sent, or zero
/// when that is not known.
pub fn service_time(board: &Board, ticket: &Ticket) -> Duration {
    let service = board.services.get(&ticket.service);
    let unit = service.and_then(|service| service.latency.quantile(LATENCY_QUANTILE));
    unit.unwrap_or_default() * ticket.cost
}

/// Returns how long a new `ticket` would wait, or zero when the pace of its
/// lane is not known.
pub fn predicted_wait(board: &Board, now: Time, ticket: &Ticket) -> Duration {
    let Some(lane) = lane(board, ticket) else {
        return Duration::ZERO;
    };
    let weight = fairness::weight(board, &ticket.account);
    let ahead = fairness::cost_ahead(lane, &ticket.account, ticket.cost, weight);
    time_for(lane, now, ahead)
}

/// Returns when to come back after a refusal: once what waits now is served.
pub fn retry_after(board: &Board, now: Time, ticket: &Ticket) -> Duration {
    let wait = predicted_wait(board, now, ticket);
    let left = ticket.deadline - now;
    let excess = (wait + service_time(board, ticket)).saturating_sub(left);
    excess.max(wait / 2).clamp(RETRY_AFTER, RETRY_AFTER_MAX)
}

fn check_deadline(board: &Board, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
    let wait = predicted_wait(board, now, ticket);
    if wait.is_zero() || now + wait + service_time(board, ticket) <= ticket.deadline {
        return Ok(());
    }
    refuse(Reason::Deadline, retry_after(board, now, ticket))
}

fn check_account(board: &Board, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
    let flow = lane(board, ticket).and_then(|lane| lane.flow(&ticket.account));
    if flow.is_some_and(|flow| flow.len() >= ACCOUNT_WAITING_MAX) {
        return refuse(Reason::Overload, retry_after(board, now, ticket));
    }
    Ok(())
}

fn make_room(board: &mut Board, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
    if board.queue.len() < WAITING_MAX {
        return Ok(());
    }
    let weight = fairness::weight(board, &ticket.account);
    let victim = fairness::victim(board, ticket.class, &ticket.account, ticket.cost, weight);
    let Some(victim) = victim else {
        return refuse(Reason::Overload, retry_after(board, now, ticket));
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

fn lane<'a>(board: &'a Board, ticket: &Ticket) -> Option<&'a Lane> {
    let lanes = board.queue.lanes(&ticket.service)?;
    Some(&lanes[ticket.class as usize])
}

fn time_for(lane: &Lane, now: Time, cost: u64) -> Duration {
    match lane.pace.at(now) {
        Some(per_s) => Duration::try_from_secs_f64(cost as f64 / per_s.max(f64::MIN_POSITIVE))
            .unwrap_or(Duration::MAX)
            .min(WAIT_MAX),
        None => Duration::ZERO,
    }
}

/// Predictions are capped here, far beyond any deadline.
const WAIT_MAX: Duration = Duration::from_secs(3600);

fn refuse(reason: Reason, retry_after: Duration) -> Result<(), Refusal> {
    Err(Refusal {
        reason,
        retry_after,
    })
}
