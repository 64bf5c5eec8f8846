//! Shared helpers: boards with a few endpoints and accounts.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test program uses some of the helpers"
)]

use std::time::Duration;

use board::{
    Board, Time,
    config::{Account, Class},
    endpoint::{self, CapacityClass, Load, Record, State},
    ticket::{self, Ticket},
};
use tarragonseam_policy::call::{self, Decision, Outcome};

pub const SERVICE: &str = "entries";

/// Returns a board of failure domain `a` without endpoints.
pub fn empty_board() -> Board {
    Board::new("vm-1", "a", 7)
}

/// Returns a board with one endpoint of `slots` slots in failure domain `a`.
pub fn single_endpoint_board(slots: u32) -> Board {
    let mut board = empty_board();
    add_endpoint(&mut board, "e1", "a", CapacityClass::Stable, slots);
    board
}

/// Adds a ready endpoint that reports `slots` slots, all of them free.
pub fn add_endpoint(
    board: &mut Board,
    id: &str,
    domain: &str,
    capacity_class: CapacityClass,
    slots: u32,
) -> endpoint::Key {
    let key = board
        .endpoints
        .put(record(id, domain, capacity_class, State::Ready));
    report_load(board, key, Time::ZERO, slots, 0);
    key
}

/// Returns the platform's record of an endpoint.
pub fn record(id: &str, domain: &str, capacity_class: CapacityClass, state: State) -> Record {
    Record {
        id: id.to_string(),
        address: ([127, 0, 0, 1], 9000).into(),
        failure_domain: domain.to_string(),
        service: SERVICE.to_string(),
        capacity_class,
        state,
        checks_epoch: false,
        price: 0.0,
    }
}

/// Sets the latest load report of an endpoint.
pub fn report_load(board: &mut Board, key: endpoint::Key, now: Time, slots: u32, in_flight: u32) {
    let load = Load {
        in_flight,
        slots,
        ..Load::default()
    };
    if let Some(endpoint) = board.endpoints.get_mut(key) {
        endpoint.load = Some((now, load));
    }
}

/// Declares accounts with their weights.
pub fn declare_accounts(board: &mut Board, accounts: &[(&str, u32)]) {
    for (name, weight) in accounts {
        let account = Account {
            weight: *weight,
            ..Account::default()
        };
        board.config.accounts.insert((*name).to_string(), account);
    }
}

/// Returns a request whose deadline is 60 s away.
pub fn ticket(account: &str, class: Class, now: Time) -> Ticket {
    Ticket::new(account, SERVICE, now, now + Duration::from_secs(60)).class(class)
}

/// Dispatches queued requests and returns those that were sent.
pub fn dispatch_sent(board: &mut Board, now: Time) -> Vec<ticket::Key> {
    let decisions = call::dispatch(board, now);
    let send = |decision| match decision {
        Decision::Send { ticket, .. } => Some(ticket),
        Decision::Reject { .. } => None,
    };
    decisions.into_iter().filter_map(send).collect()
}

/// Runs `count` rounds of 1 ms that keep `backlog` queued and finish all
/// requests sent. Returns how many requests of each account and class were
/// sent.
pub fn serve(
    board: &mut Board,
    backlog: &[(&str, Class)],
    count: usize,
) -> std::collections::BTreeMap<(String, Class), usize> {
    let mut served = std::collections::BTreeMap::new();
    // Two requests of each entry are queued, so a lane never becomes empty
    // between two dispatches.
    let mut waiting = vec![[None; 2]; backlog.len()];
    for step in 0..count {
        let now = Time::from_millis(step as u64);
        for (slots, (account, class)) in waiting.iter_mut().zip(backlog) {
            for slot in slots {
                if slot.is_none_or(|key| !board.tickets.contains_key(key)) {
                    *slot = call::admit(board, now, ticket(account, *class, now)).ok();
                }
            }
        }
        for key in dispatch_sent(board, now) {
            let ticket = &board.tickets[key];
            let name = (ticket.account.to_string(), ticket.class);
            *served.entry(name).or_default() += 1;
            call::finish(board, now, key, Outcome::Answered);
        }
    }
    served
}
