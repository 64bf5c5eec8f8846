//! Shares of accounts and classes, and who makes room.

mod common;

use std::time::Duration;

use board::{Time, config::Class};
use common::{declare, sent, serve, single, ticket};
use proptest::prelude::*;
use tarragonseam_policy::{
    admission::{ACCOUNT_WAITING_MAX, WAITING_MAX},
    call::{self, Order, Outcome, Reason},
};

const SERVED: usize = 2000;

/// Serves backlogged lanes and returns the share of each in thousandths.
fn shares(accounts: &[(&str, u32)], backlog: &[(&str, Class)]) -> Vec<usize> {
    let mut board = single(1);
    declare(&mut board, accounts);
    let served = serve(&mut board, backlog, SERVED);
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
            "undeclared weighs one",
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
        let found = shares(accounts, backlog);
        for (found, expected) in found.iter().zip(*expected) {
            assert!(
                found.abs_diff(*expected) <= 10,
                "{name}: {found} for {expected}"
            );
        }
    }
}

#[test]
fn share_after_pause() {
    let mut board = single(1);
    declare(&mut board, &[("a", 1), ("b", 1)]);
    serve(&mut board, &[("a", Class::Caller)], 500);
    let both = [("a", Class::Caller), ("b", Class::Caller)];
    let served = serve(&mut board, &both, 100);
    let late = served[&("b".to_string(), Class::Caller)];
    assert!(
        (45..=55).contains(&late),
        "the pause gained or lost: {late}"
    );
}

#[test]
fn share_counts_cost() {
    let mut board = single(1);
    let now = Time::ZERO;
    for _ in 0..60 {
        call::arrive(&mut board, now, ticket("long", Class::Caller, now).cost(10)).unwrap();
        call::arrive(&mut board, now, ticket("short", Class::Caller, now)).unwrap();
    }
    let mut cost = [0, 0];
    for _ in 0..44 {
        for key in sent(&mut board, now) {
            let ticket = &board.tickets[key];
            cost[usize::from(&*ticket.account == "long")] += ticket.cost;
            call::finish(&mut board, now, key, Outcome::Abandoned);
        }
    }
    assert_eq!(cost, [40, 40]);
}

#[test]
fn account_queue_full() {
    let mut board = single(1);
    let now = Time::ZERO;
    let mut arrive = |account| call::arrive(&mut board, now, ticket(account, Class::Caller, now));
    for _ in 0..ACCOUNT_WAITING_MAX {
        arrive("greedy").expect("there is room");
    }
    let refusal = arrive("greedy").expect_err("the account's queue is full");
    assert_eq!(refusal.reason, Reason::Overload);
    arrive("other").expect("another account has room");
}

/// Fills the waiting room: most by greedy accounts, a little by others.
fn full() -> board::Board {
    let mut board = single(1);
    let now = Time::ZERO;
    let accounts = ["g1", "g2", "g3", "g4"];
    for account in accounts {
        for _ in 0..ACCOUNT_WAITING_MAX {
            call::arrive(&mut board, now, ticket(account, Class::Caller, now)).unwrap();
        }
    }
    assert_eq!(board.queue.len(), WAITING_MAX);
    board
}

#[test]
fn shed_furthest_over_share() {
    let mut board = full();
    let now = Time::ZERO;
    declare(&mut board, &[("small", 1)]);
    let key = call::arrive(&mut board, now, ticket("small", Class::Caller, now));
    let key = key.expect("the small account has its place");
    let orders = call::dispatch(&mut board, now);
    let refused: Vec<_> = orders
        .iter()
        .filter_map(|order| match order {
            Order::Refuse { ticket, refusal } => Some((*ticket, refusal.reason)),
            Order::Send { .. } => None,
        })
        .collect();
    assert_eq!(refused.len(), 1, "one is told at once");
    assert_eq!(refused[0].1, Reason::Overload);
    assert!(board.tickets.contains_key(key));
    assert!(!board.tickets.contains_key(refused[0].0));
}

#[test]
fn shed_less_urgent_first() {
    let mut board = full();
    let now = Time::ZERO;
    call::arrive(&mut board, now, ticket("bulk", Class::Bulk, now))
        .expect_err("a less urgent newcomer makes room itself");
    call::arrive(&mut board, now, ticket("trainer", Class::Trainer, now))
        .expect("a more urgent one is let in");
}

#[test]
fn shed_at_predicted_wait() {
    let mut board = single(1);
    // 100 requests a second are served while work waits.
    for step in 0..200 {
        let now = Time::from_millis(step * 10);
        for _ in 0..2 {
            let _ = call::arrive(&mut board, now, ticket("a", Class::Caller, now));
        }
        for key in sent(&mut board, now) {
            call::finish(
                &mut board,
                now + Duration::from_millis(10),
                key,
                Outcome::Answered,
            );
        }
    }
    let now = Time::from_millis(2000);
    let hurried = |account, millis| {
        let mut ticket = ticket(account, Class::Caller, now);
        ticket.deadline = now + Duration::from_millis(millis);
        ticket
    };
    let refusal = call::arrive(&mut board, now, hurried("a", 500)).expect_err("1.28 s wait");
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(
        refusal.retry_after >= Duration::from_millis(1000),
        "{refusal:?}"
    );
    call::arrive(&mut board, now, hurried("a", 3000)).expect("there is time");
    call::arrive(&mut board, now, hurried("b", 500)).expect("its own queue is empty");
}

#[test]
fn dispatch_refuses_vain() {
    let mut board = single(1);
    let mut now = Time::ZERO;
    for _ in 0..10 {
        call::arrive(&mut board, now, ticket("a", Class::Caller, now)).unwrap();
        let key = sent(&mut board, now)[0];
        now = now + Duration::from_millis(100);
        call::finish(&mut board, now, key, Outcome::Answered);
    }
    let mut hurried = ticket("a", Class::Caller, now);
    hurried.deadline = now + Duration::from_millis(20);
    call::arrive(&mut board, now, hurried).expect("nothing waits yet");
    let orders = call::dispatch(&mut board, now);
    assert!(
        matches!(orders[..], [Order::Refuse { refusal, .. }] if refusal.reason == Reason::Deadline),
        "{orders:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Shares of backlogged accounts converge to their weights.
    #[test]
    fn share_converges(weights in prop::collection::vec(1_u32..20, 2..8)) {
        let names: Vec<_> = (0..weights.len()).map(|n| format!("a{n}")).collect();
        let accounts: Vec<_> = names.iter().map(String::as_str).zip(weights.clone()).collect();
        let backlog: Vec<_> = names.iter().map(|n| (n.as_str(), Class::Caller)).collect();
        let found = shares(&accounts, &backlog);
        let total: u32 = weights.iter().sum();
        for (found, weight) in found.iter().zip(&weights) {
            let expected = (weight * 1000 / total) as usize;
            prop_assert!(found.abs_diff(expected) <= 15, "{found} for {expected}");
        }
    }
}
