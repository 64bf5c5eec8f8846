//! The life of a request on one VM: arrival, dispatch and end.

use std::time::Duration;

use board::{Board, Time, endpoint, ticket};

use crate::{admission, fairness, health, hedge, retry, routing};

/// What to do with a ticket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    /// Send it to an endpoint.
    Send {
        /// The request.
        ticket: ticket::Key,
        /// Where to.
        endpoint: endpoint::Key,
    },
    /// Give it up and tell the caller.
    Refuse {
        /// The request.
        ticket: ticket::Key,
        /// What to tell the caller.
        refusal: Refusal,
    },
}

/// Why a request is given up before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// The reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Too much work waits already.
    Overload,
    /// The deadline cannot be met.
    Deadline,
    /// No endpoint of the service is known.
    NoEndpoint,
}

impl Reason {
    /// Returns the code that callers see.
    pub fn code(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::NoEndpoint => "no-endpoint",
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint failed.
    Failed,
    /// The caller left, or the attempt was cancelled.
    Abandoned,
}

/// Takes a request in, or refuses it at once.
///
/// # Errors
///
/// A [`Refusal`] when waiting would be in vain.
pub fn arrive(
    board: &mut Board,
    now: Time,
    ticket: ticket::Ticket,
) -> Result<ticket::Key, Refusal> {
    admission::check(board, now, &ticket)?;
    Ok(board.tickets.insert(ticket))
}

/// Sends waiting requests to endpoints while there is room, and refuses those
/// whose deadline has passed.
pub fn dispatch(board: &mut Board, now: Time) -> Vec<Order> {
    let mut orders = expire(board, now);
    for ticket in fairness::order(board) {
        if let Some(endpoint) = routing::pick(board, now, ticket) {
            start(board, now, ticket, endpoint);
            orders.push(Order::Send { ticket, endpoint });
        }
    }
    orders
}

/// Ends a request, whatever its state.
pub fn finish(board: &mut Board, now: Time, key: ticket::Key, outcome: Outcome) {
    let Some(ticket) = board.tickets.remove(key) else {
        return;
    };
    let Some(endpoint) = ticket.endpoint else {
        return;
    };
    if let Some(endpoint) = board.endpoints.get_mut(endpoint) {
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        health::note(endpoint, now, outcome);
    }
    if outcome == Outcome::Answered {
        let latency = (now - ticket.started) / ticket.cost;
        board.service(&ticket.service).latency.add(latency);
        retry::earn(board, &ticket.service);
        hedge::earn(board, &ticket.service);
    }
}

/// Takes a place for `ticket` that is free now, without waiting for one. Used
/// for second attempts of hedged requests.
pub fn start_now(
    board: &mut Board,
    now: Time,
    ticket: ticket::Ticket,
) -> Option<(ticket::Key, endpoint::Key)> {
    let key = board.tickets.insert(ticket);
    let Some(endpoint) = routing::pick(board, now, key) else {
        board.tickets.remove(key);
        return None;
    };
    start(board, now, key, endpoint);
    Some((key, endpoint))
}

fn start(board: &mut Board, now: Time, key: ticket::Key, endpoint: endpoint::Key) {
    if let Some(ticket) = board.tickets.get_mut(key) {
        ticket.endpoint = Some(endpoint);
        ticket.started = now;
    }
    if let Some(endpoint) = board.endpoints.get_mut(endpoint) {
        endpoint.in_flight += 1;
    }
}

fn expire(board: &mut Board, now: Time) -> Vec<Order> {
    let expired: Vec<_> = board
        .tickets
        .iter()
        .filter(|(_, ticket)| ticket.endpoint.is_none() && ticket.deadline <= now)
        .map(|(key, _)| key)
        .collect();
    let refuse = |ticket| {
        let refusal = Refusal {
            reason: Reason::Deadline,
            retry_after: admission::RETRY_AFTER,
        };
        Order::Refuse { ticket, refusal }
    };
    for key in &expired {
        board.tickets.remove(*key);
    }
    expired.into_iter().map(refuse).collect()
}
