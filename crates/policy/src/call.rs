//! The life of a request on one VM: arrival, dispatch and end.

use std::time::Duration;

use board::{Board, Time, config::Class, endpoint, ticket};

use crate::{admission, fairness, health, hedge, limit, retry, routing};

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
    let weight = fairness::weight(board, &ticket.account);
    let key = board.tickets.insert(ticket);
    board.queue.push(key, &board.tickets[key], weight);
    Ok(key)
}

/// Sends waiting requests to endpoints while there is room, and refuses those
/// that were shed or whose deadline cannot be met any more.
pub fn dispatch(board: &mut Board, now: Time) -> Vec<Order> {
    let mut orders = refuse_shed(board, now);
    refuse_expired(board, now, &mut orders);
    let services: Vec<_> = board.queue.services().cloned().collect();
    for service in services {
        while routing::has_room(board, now, &service)
            && send_next(board, now, &service, &mut orders)
        {}
        note_waiting(board, now, &service);
    }
    orders
}

/// Ends a request, whatever its state.
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
            limit::answered(endpoint, now, now - ticket.started, ticket.cost);
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        health::note(endpoint, now, outcome);
    }
    if outcome == Outcome::Failed {
        forget_pace(board, now, &ticket.service);
    }
    if outcome == Outcome::Answered {
        let latency = now - ticket.started;
        let service = board.service(&ticket.service);
        service.latency.add(ticket.cost, latency);
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
    if !routing::has_room(board, now, &ticket.service) {
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

/// Sends the next request of `service`, and returns whether one fitted.
fn send_next(board: &mut Board, now: Time, service: &str, orders: &mut Vec<Order>) -> bool {
    let Some(lanes) = board.queue.lanes(service) else {
        return false;
    };
    for class in fairness::classes(lanes) {
        if let Some((ticket, endpoint)) = cached(board, now, service, class) {
            send(board, now, ticket, endpoint);
            orders.push(Order::Send { ticket, endpoint });
            return true;
        }
        for tried in [fairness::heads, fairness::followers] {
            let Some(lanes) = board.queue.lanes(service) else {
                return false;
            };
            for ticket in tried(&lanes[class as usize]) {
                if is_in_vain(board, now, ticket) {
                    orders.push(give_up(board, now, ticket, Reason::Deadline));
                    return true;
                }
                if let Some(endpoint) = routing::pick(board, now, ticket) {
                    send(board, now, ticket, endpoint);
                    orders.push(Order::Send { ticket, endpoint });
                    return true;
                }
            }
        }
    }
    false
}

/// The first request of a lane is passed over only until this part of its
/// caller's patience is gone.
const SKIP_PART: f64 = 0.3;

/// Returns a request near the head of a lane that an endpoint with room has
/// the prefix of. Where all endpoints are busy, one with room is seldom the one
/// that the first request would need; a little disorder saves much work there.
fn cached(
    board: &Board,
    now: Time,
    service: &str,
    class: Class,
) -> Option<(ticket::Key, endpoint::Key)> {
    let lane = &board.queue.lanes(service)?[class as usize];
    let near = fairness::near_head(lane);
    let first = board.tickets.get(*near.first()?)?;
    let patience = first.deadline - first.arrived;
    if now - first.arrived > patience.mul_f64(SKIP_PART) {
        return None;
    }
    let fits = |key: ticket::Key| Some((key, routing::cached(board, now, key)?));
    let timely = near.into_iter().filter(|key| !is_in_vain(board, now, *key));
    timely.filter_map(fits).next()
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

fn note_waiting(board: &mut Board, now: Time, service: &str) {
    let lanes = board.queue.lanes(service);
    if lanes.is_some_and(|lanes| lanes.iter().any(|lane| !lane.is_empty())) {
        routing::note_short(board, now, service);
    }
    let rests = !routing::rest(board, now, service).is_zero();
    if let Some(lanes) = board.queue.lanes_mut(service) {
        for lane in lanes {
            lane.throughput.record(now, 0, !lane.is_empty() && !rests);
        }
    }
}

/// Forgets the pace of a service whose last usable endpoint failed: attempts
/// that hung or failed tell nothing of the pace after the rest.
fn forget_pace(board: &mut Board, now: Time, service: &str) {
    if routing::rest(board, now, service).is_zero() {
        return;
    }
    for lane in board.queue.lanes_mut(service).into_iter().flatten() {
        lane.throughput.reset();
    }
}

/// Returns whether an answer would most likely come after the deadline. A
/// service without work in flight gets the request all the same: if nothing
/// were sent, its latency would stay at what made requests seem vain.
fn is_in_vain(board: &Board, now: Time, key: ticket::Key) -> bool {
    let is_short = |ticket: &ticket::Ticket| {
        now + admission::service_time(board, ticket) > ticket.deadline
            && routing::in_flight(board, &ticket.service) > 0
    };
    board.tickets.get(key).is_some_and(is_short)
}

fn refuse_shed(board: &mut Board, now: Time) -> Vec<Order> {
    let shed = board.queue.take_shed();
    // One that its caller left since then is not on the board any more.
    shed.into_iter()
        .filter(|key| board.tickets.contains_key(*key))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|key| give_up(board, now, key, Reason::Overload))
        .collect()
}

fn refuse_expired(board: &mut Board, now: Time, orders: &mut Vec<Order>) {
    while let Some(key) = board.queue.expired(now) {
        orders.push(give_up(board, now, key, Reason::Deadline));
    }
}

fn give_up(board: &mut Board, now: Time, key: ticket::Key, reason: Reason) -> Order {
    let mut retry_after = admission::RETRY_AFTER;
    if let Some(ticket) = board.tickets.remove(key) {
        board.queue.remove(key, &ticket);
        retry_after = admission::retry_after(board, now, &ticket);
    }
    let refusal = Refusal {
        reason,
        retry_after,
    };
    Order::Refuse {
        ticket: key,
        refusal,
    }
}
