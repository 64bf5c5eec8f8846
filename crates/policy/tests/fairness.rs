//! Shares of accounts and classes, admission, and load shedding.

mod common;

use std::time::Duration;

use board::{Time, config::Class};
use common::{declare_accounts, dispatch_sent, serve, single_endpoint_board, ticket};
use proptest::prelude::*;
use tarragonseam_policy::{
    admission::{ACCOUNT_WAITING_MAX, WAITING_MAX},
    call::{self, Decision, Outcome, Reason},
};

const REQUESTS_SERVED: usize = 2000;

/// Serves backlogged lanes and returns the share of each one in thousandths.
fn shares(accounts: &[(&str, u32)], backlog: &[(&str, Class)]) -> Vec<usize> {
    let mut board = single_endpoint_board(1);
    declare_accounts(&mut board, accounts);
    let served = serve(&mut board, backlog, REQUESTS_SERVED);
    let total: usize = served.values().sum();
    let share = |(name, class): &(&str, Class)| {
        let count = served.get(&(name.to_string(), *class)).copied();
        count.unwrap_or_default() * 1000 / total
    };
    backlog.iter().map(share).collect()
}

#[test]
fn share_by_weight() {
    use Class::{Bulk, Caller, Trainer};
    type Case<'a> = (
        &'a str,
        &'a [(&'a str, u32)],
        &'a [(&'a str, Class)],
        &'a [usize],
    );
    let cases: &[Case<'_>] = &[
        (
            "equal",
            &[("a", 1), ("b", 1)],
            &[("a", Caller), ("b", Caller)],
            &[500, 500],
        ),
        (
            "three to one",
            &[("a", 3), ("b", 1)],
            &[("a", Caller), ("b", Caller)],
            &[750, 250],
        ),
        (
            "undeclared account has weight one",
            &[("a", 4)],
            &[("a", Caller), ("public:x", Caller)],
            &[800, 200],
        ),
        (
            "floor of callers",
            &[],
            &[("a", Trainer), ("b", Caller)],
            &[800, 200],
        ),
        (
            "floor of bulk",
            &[],
            &[("a", Caller), ("b", Bulk)],
            &[950, 50],
        ),
        (
            "all classes",
            &[],
            &[("a", Trainer), ("b", Caller), ("c", Bulk)],
            &[750, 200, 50],
        ),
        ("trainers alone", &[], &[("a", Trainer)], &[1000]),
    ];
    for (name, accounts, backlog, expected) in cases {
        let measured = shares(accounts, backlog);
        for (measured, expected) in measured.iter().zip(*expected) {
            assert!(
                measured.abs_diff(*expected) <= 10,
                "{name}: measured {measured}, expected {expected}"
            );
        }
    }
}

#[test]
fn share_after_pause() {
    let mut board = single_endpoint_board(1);
    declare_accounts(&mut board, &[("a", 1), ("b", 1)]);
    serve(&mut board, &[("a", Class::Caller)], 500);
    let backlog = [("a", Class::Caller), ("b", Class::Caller)];
    let served = serve(&mut board, &backlog, 100);
    let count = served[&("b".to_string(), Class::Caller)];
    assert!(
        (45..=55).contains(&count),
        "share changed by the pause: {count}"
    );
}

#[test]
fn share_counts_cost() {
    let mut board = single_endpoint_board(1);
    let now = Time::ZERO;
    for _ in 0..60 {
        call::admit(&mut board, now, ticket("long", Class::Caller, now).cost(10)).unwrap();
        call::admit(&mut board, now, ticket("short", Class::Caller, now)).unwrap();
    }
    let mut cost = [0, 0];
    for _ in 0..44 {
        for key in dispatch_sent(&mut board, now) {
            let ticket = &board.tickets[key];
            cost[usize::from(&*ticket.account == "long")] += ticket.cost;
            call::finish(&mut board, now, key, Outcome::Abandoned);
        }
    }
    assert_eq!(cost, [40, 40]);
}

#[test]
fn admit_account_queue_full() {
    let mut board = single_endpoint_board(1);
    let now = Time::ZERO;
    let mut admit = |account| call::admit(&mut board, now, ticket(account, Class::Caller, now));
    for _ in 0..ACCOUNT_WAITING_MAX {
        admit("greedy").expect("the account's queue is not full");
    }
    let rejection = admit("greedy").expect_err("the account's queue is full");
    assert_eq!(rejection.reason, Reason::Overload);
    admit("other").expect("the queue of another account is not full");
}

/// Returns a board whose queue is full with requests of four accounts.
fn full_queue_board() -> board::Board {
    let mut board = single_endpoint_board(1);
    let now = Time::ZERO;
    let accounts = ["g1", "g2", "g3", "g4"];
    for account in accounts {
        for _ in 0..ACCOUNT_WAITING_MAX {
            call::admit(&mut board, now, ticket(account, Class::Caller, now)).unwrap();
        }
    }
    assert_eq!(board.queue.len(), WAITING_MAX);
    board
}

#[test]
fn shed_account_furthest_over_share() {
    let mut board = full_queue_board();
    let now = Time::ZERO;
    declare_accounts(&mut board, &[("small", 1)]);
    let key = call::admit(&mut board, now, ticket("small", Class::Caller, now));
    let key = key.expect("the small account is within its share");
    let decisions = call::dispatch(&mut board, now);
    let rejected: Vec<_> = decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Reject { ticket, rejection } => Some((*ticket, rejection.reason)),
            Decision::Send { .. } => None,
        })
        .collect();
    assert_eq!(rejected.len(), 1, "one request is shed");
    assert_eq!(rejected[0].1, Reason::Overload);
    assert!(board.tickets.contains_key(key));
    assert!(!board.tickets.contains_key(rejected[0].0));
}

#[test]
fn shed_less_urgent_class_first() {
    let mut board = full_queue_board();
    let now = Time::ZERO;
    call::admit(&mut board, now, ticket("bulk", Class::Bulk, now))
        .expect_err("a less urgent request is rejected");
    call::admit(&mut board, now, ticket("trainer", Class::Trainer, now))
        .expect("a more urgent request is admitted");
}

#[test]
fn admit_by_predicted_wait() {
    let mut board = single_endpoint_board(1);
    // While requests are queued, 100 of them are served a second.
    for step in 0..200 {
        let now = Time::from_millis(step * 10);
        for _ in 0..2 {
            let _ = call::admit(&mut board, now, ticket("a", Class::Caller, now));
        }
        for key in dispatch_sent(&mut board, now) {
            call::finish(
                &mut board,
                now + Duration::from_millis(10),
                key,
                Outcome::Answered,
            );
        }
    }
    let now = Time::from_millis(2000);
    let with_time_budget = |account, millis| {
        let mut ticket = ticket(account, Class::Caller, now);
        ticket.deadline = now + Duration::from_millis(millis);
        ticket
    };
    let rejection = call::admit(&mut board, now, with_time_budget("a", 500))
        .expect_err("the predicted wait is 1.28 s");
    assert_eq!(rejection.reason, Reason::Deadline);
    assert!(
        rejection.retry_after >= Duration::from_millis(1000),
        "{rejection:?}"
    );
    call::admit(&mut board, now, with_time_budget("a", 3000)).expect("the deadline can be met");
    call::admit(&mut board, now, with_time_budget("b", 500))
        .expect("the queue of the account is empty");
}

/// Returns a board whose service has a measured latency of 100 ms, and the
/// current time.
fn board_with_latency(slots: u32) -> (board::Board, Time) {
    let mut board = single_endpoint_board(slots);
    let mut now = Time::ZERO;
    for _ in 0..10 {
        call::admit(&mut board, now, ticket("a", Class::Caller, now)).unwrap();
        let key = dispatch_sent(&mut board, now)[0];
        now = now + Duration::from_millis(100);
        call::finish(&mut board, now, key, Outcome::Answered);
    }
    (board, now)
}

fn with_time_budget(now: Time, millis: u64) -> board::ticket::Ticket {
    let mut ticket = ticket("a", Class::Caller, now);
    ticket.deadline = now + Duration::from_millis(millis);
    ticket
}

#[test]
fn dispatch_rejects_likely_late() {
    let (mut board, now) = board_with_latency(2);
    call::admit(&mut board, now, ticket("a", Class::Caller, now)).unwrap();
    assert_eq!(dispatch_sent(&mut board, now).len(), 1);
    call::admit(&mut board, now, with_time_budget(now, 20)).expect("the queue is empty");
    let decisions = call::dispatch(&mut board, now);
    assert!(
        matches!(decisions[..], [Decision::Reject { rejection, .. }] if rejection.reason == Reason::Deadline),
        "{decisions:?}"
    );
}

/// A service whose latency exceeds the time budget still gets a request if it
/// is idle. Otherwise its recovery would never be measured.
#[test]
fn dispatch_probes_slow_service() {
    let (mut board, now) = board_with_latency(2);
    call::admit(&mut board, now, with_time_budget(now, 20)).expect("the queue is empty");
    assert_eq!(dispatch_sent(&mut board, now).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Shares of backlogged accounts converge to their weights.
    #[test]
    fn share_converges(weights in prop::collection::vec(1_u32..20, 2..8)) {
        let names: Vec<_> = (0..weights.len()).map(|n| format!("a{n}")).collect();
        let accounts: Vec<_> = names.iter().map(String::as_str).zip(weights.clone()).collect();
        let backlog: Vec<_> = names.iter().map(|n| (n.as_str(), Class::Caller)).collect();
        let measured = shares(&accounts, &backlog);
        let total: u32 = weights.iter().sum();
        for (measured, weight) in measured.iter().zip(&weights) {
            let expected = (weight * 1000 / total) as usize;
            prop_assert!(measured.abs_diff(expected) <= 15, "measured {measured}, expected {expected}");
        }
    }
}
