//! The life cycle of a request on one VM: admission, dispatch and completion.

use std::time::Duration;

use board::{Board, Time, config::Class, endpoint, ticket};

use crate::{admission, fairness, health, hedge, limit, retry, routing};

/// What the dispatcher decided for a queued request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to an endpoint.
    Send {
        /// The request.
        ticket: ticket::Key,
        /// The endpoint that serves it.
        endpoint: endpoint::Key,
    },
    /// Drop the request and report the reason to the caller.
    Reject {
        /// The request.
        ticket: ticket::Key,
        /// The reason and the retry delay for the caller.
        rejection: Rejection,
    },
}

/// Why a request was rejected before it was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: Reason,
    /// How long the caller should wait before it tries again.
    pub retry_after: Duration,
}

/// The reason of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue is full.
    Overload,
    /// The request cannot finish before its deadline.
    Deadline,
    /// The service has no known endpoint.
    NoEndpoint,
}

impl Reason {
    /// Returns the error code sent to the caller.
    pub fn code(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::NoEndpoint => "no-endpoint",
        }
    }
}

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint returned an answer.
    Answered,
    /// The endpoint failed, or the attempt timed out.
    Failed,
    /// The caller disconnected, or the attempt was cancelled.
    Abandoned,
}

/// Queues a request, or rejects it if it cannot be served in time.
///
/// # Errors
///
/// A [`Rejection`] if the queue is full, no endpoint is known, or the request
/// would most likely miss its deadline.
pub fn admit(
    board: &mut Board,
    now: Time,
    ticket: ticket::Ticket,
) -> Result<ticket::Key, Rejection> {
    admission::check(board, now, &ticket)?;
    let weight = fairness::weight(board, &ticket.account);
    let key = board.tickets.insert(ticket);
    board.queue.push(key, &board.tickets[key], weight);
    Ok(key)
}

/// Sends queued requests to endpoints while capacity is free. Rejects requests
/// that were shed and those whose deadline has passed or can no longer be met.
pub fn dispatch(board: &mut Board, now: Time) -> Vec<Decision> {
    let mut decisions = reject_shed(board, now);
    reject_expired(board, now, &mut decisions);
    let services: Vec<_> = board.queue.services().cloned().collect();
    for service in services {
        while routing::has_capacity(board, now, &service)
            && send_next(board, now, &service, &mut decisions)
        {}
        record_backlog(board, now, &service);
    }
    decisions
}

/// Removes a request, queued or in flight, and records the outcome of an
/// attempt in flight. Does nothing if the request is already removed.
pub fn finish(board: &mut Board, now: Time, key: ticket::Key, outcome: Outcome) {
    let Some(ticket) = board.tickets.remove(key) else {
        return;
    };
    let Some(endpoint) = ticket.endpoint else {
        board.queue.remove(key, &ticket);
        return;
    };
    if let Some(endpoint) = board.endpoints.get_mut(endpoint) {
        if outcome == Outcome::Answered {
            limit::record_answer(endpoint, now, now - ticket.started, ticket.cost);
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        health::record_outcome(endpoint, now, outcome);
    }
    if outcome == Outcome::Failed {
        reset_throughput(board, now, &ticket.service);
    }
    if outcome == Outcome::Answered {
        let latency = now - ticket.started;
        let service = board.service(&ticket.service);
        service.latency.add(ticket.cost, latency);
        retry::earn(board, &ticket.service);
        hedge::earn(board, &ticket.service);
    }
}

/// Starts `ticket` on a free slot without queueing it, or returns `None` if
/// there is none. Used for second attempts of hedged requests.
pub fn try_start(
    board: &mut Board,
    now: Time,
    ticket: ticket::Ticket,
) -> Option<(ticket::Key, endpoint::Key)> {
    if !routing::has_capacity(board, now, &ticket.service) {
        return None;
    }
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

/// Sends or rejects the next request of `service`. Returns whether it did
/// either.
fn send_next(board: &mut Board, now: Time, service: &str, decisions: &mut Vec<Decision>) -> bool {
    let Some(lanes) = board.queue.lanes(service) else {
        return false;
    };
    for class in fairness::class_order(lanes) {
        if let Some((ticket, endpoint)) = next_cached(board, now, service, class) {
            send(board, now, ticket, endpoint);
            decisions.push(Decision::Send { ticket, endpoint });
            return true;
        }
        for candidates in [fairness::heads, fairness::followers] {
            let Some(lanes) = board.queue.lanes(service) else {
                return false;
            };
            for ticket in candidates(&lanes[class as usize]) {
                if is_likely_late(board, now, ticket) {
                    decisions.push(reject(board, now, ticket, Reason::Deadline));
                    return true;
                }
                if let Some(endpoint) = routing::pick(board, now, ticket) {
                    send(board, now, ticket, endpoint);
                    decisions.push(Decision::Send { ticket, endpoint });
                    return true;
                }
            }
        }
    }
    false
}

/// Another request may overtake the head of a lane until the head has waited
/// for this fraction of its time budget.
const OVERTAKE_FRACTION_MAX: f64 = 0.3;

/// Returns a request near the head of a lane whose prefix is cached on an
/// endpoint with a free slot. When most endpoints are busy, the free one rarely
/// has the prefix of the head; overtaking the head avoids recomputing prefixes.
fn next_cached(
    board: &Board,
    now: Time,
    service: &str,
    class: Class,
) -> Option<(ticket::Key, endpoint::Key)> {
    let lane = &board.queue.lanes(service)?[class as usize];
    let candidates = fairness::near_head(lane);
    let head = board.tickets.get(*candidates.first()?)?;
    let time_budget = head.deadline - head.arrived;
    if now - head.arrived > time_budget.mul_f64(OVERTAKE_FRACTION_MAX) {
        return None;
    }
    let with_endpoint = |key: ticket::Key| Some((key, routing::pick_cached(board, now, key)?));
    let timely = candidates
        .into_iter()
        .filter(|key| !is_likely_late(board, now, *key));
    timely.filter_map(with_endpoint).next()
}

fn send(board: &mut Board, now: Time, key: ticket::Key, endpoint: endpoint::Key) {
    let Some(ticket) = board.tickets.get(key) else {
        return;
    };
    let (class, cost) = (ticket.class, ticket.cost);
    board.queue.remove_sent(key, ticket);
    if let Some(lanes) = board.queue.lanes_mut(&ticket.service) {
        fairness::charge(lanes, class, cost);
        let lane = &mut lanes[class as usize];
        lane.throughput
            .record(now, u64::from(cost), !lane.is_empty());
    }
    start(board, now, key, endpoint);
}

fn record_backlog(board: &mut Board, now: Time, service: &str) {
    let lanes = board.queue.lanes(service);
    if lanes.is_some_and(|lanes| lanes.iter().any(|lane| !lane.is_empty())) {
        routing::record_shortage(board, now, service);
    }
    let is_backing_off = !routing::backoff_remaining(board, now, service).is_zero();
    if let Some(lanes) = board.queue.lanes_mut(service) {
        for lane in lanes {
            lane.throughput
                .record(now, 0, !lane.is_empty() && !is_backing_off);
        }
    }
}

/// Resets the measured throughput of a service once its last usable endpoint
/// has failed. Attempts that hung or failed do not predict the throughput after
/// the backoff.
fn reset_throughput(board: &mut Board, now: Time, service: &str) {
    if routing::backoff_remaining(board, now, service).is_zero() {
        return;
    }
    for lane in board.queue.lanes_mut(service).into_iter().flatten() {
        lane.throughput.reset();
    }
}

/// Returns whether the answer would most likely arrive after the deadline. A
/// service with nothing in flight gets the request anyway: without new answers,
/// a high latency estimate would never be corrected.
fn is_likely_late(board: &Board, now: Time, key: ticket::Key) -> bool {
    let is_late = |ticket: &ticket::Ticket| {
        now + admission::service_time(board, ticket) > ticket.deadline
            && routing::in_flight(board, &ticket.service) > 0
    };
    board.tickets.get(key).is_some_and(is_late)
}

fn reject_shed(board: &mut Board, now: Time) -> Vec<Decision> {
    let shed = board.queue.take_shed();
    // A shed request is no longer on the board if its caller has disconnected
    // meanwhile.
    shed.into_iter()
        .filter(|key| board.tickets.contains_key(*key))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|key| reject(board, now, key, Reason::Overload))
        .collect()
}

fn reject_expired(board: &mut Board, now: Time, decisions: &mut Vec<Decision>) {
    while let Some(key) = board.queue.expired(now) {
        decisions.push(reject(board, now, key, Reason::Deadline));
    }
}

fn reject(board: &mut Board, now: Time, key: ticket::Key, reason: Reason) -> Decision {
    let mut retry_after = admission::RETRY_AFTER;
    if let Some(ticket) = board.tickets.remove(key) {
        board.queue.remove(key, &ticket);
        retry_after = admission::retry_after(board, now, &ticket);
    }
    let rejection = Rejection {
        reason,
        retry_after,
    };
    Decision::Reject {
        ticket: key,
        rejection,
    }
}
