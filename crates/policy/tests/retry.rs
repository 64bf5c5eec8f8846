//! Token budgets of retries and hedges.

use std::time::Duration;

use board::{
    Board, Time,
    endpoint::{CapacityClass, Record, State},
    ticket::Ticket,
};
use proptest::prelude::*;
use tarragonseam_policy::{
    call::{self, Outcome},
    hedge, retry,
};

const SERVICE: &str = "entries";

fn board() -> Board {
    let mut board = Board::new("vm-1", "a", 7);
    for id in ["e1", "e2"] {
        board.endpoints.put(Record {
            id: id.to_string(),
            address: ([127, 0, 0, 1], 9000).into(),
            failure_domain: "a".to_string(),
            service: SERVICE.to_string(),
            capacity_class: CapacityClass::Stable,
            state: State::Ready,
            checks_epoch: false,
            price: 0.0,
        });
    }
    board
}

fn ticket(now: Time) -> Ticket {
    Ticket::new("cidery", SERVICE, now, now + Duration::from_secs(2))
}

fn answer(board: &mut Board, now: Time, latency: Duration) {
    let (key, _) = call::try_start(board, now, ticket(now)).expect("a free slot");
    call::finish(board, now + latency, key, Outcome::Answered);
}

#[test]
fn retry_without_answers() {
    let mut board = board();
    let allowed = (0..1000).filter(|_| retry::try_spend(&mut board, SERVICE));
    assert_eq!(allowed.count(), 10);
}

#[test]
fn retry_earned_by_answers() {
    let mut board = board();
    while retry::try_spend(&mut board, SERVICE) {}
    for call in 0..20 {
        answer(
            &mut board,
            Time::from_millis(call),
            Duration::from_millis(1),
        );
    }
    assert!(retry::try_spend(&mut board, SERVICE));
    assert!(retry::try_spend(&mut board, SERVICE));
    assert!(!retry::try_spend(&mut board, SERVICE));
}

#[test]
fn retry_other_service() {
    let mut board = board();
    while retry::try_spend(&mut board, SERVICE) {}
    assert!(retry::try_spend(&mut board, "another"));
}

#[test]
fn hedge_before_observations() {
    let mut board = board();
    assert_eq!(hedge::delay(&board, SERVICE, 1), None);
    answer(&mut board, Time::ZERO, Duration::from_millis(5));
    assert_eq!(hedge::delay(&board, SERVICE, 1), None);
}

#[test]
fn hedge_at_high_quantile() {
    let mut board = board();
    for call in 0..100 {
        let latency = if call % 50 == 0 { 500 } else { 10 };
        answer(&mut board, Time::ZERO, Duration::from_millis(latency));
    }
    let delay = hedge::delay(&board, SERVICE, 1).expect("enough answers");
    assert!(delay >= Duration::from_millis(10), "{delay:?}");
    assert!(delay < Duration::from_millis(13), "{delay:?}");
}

#[test]
fn hedge_budget_spent() {
    let mut board = board();
    for _ in 0..100 {
        answer(&mut board, Time::ZERO, Duration::from_millis(10));
    }
    while hedge::try_spend(&mut board, SERVICE) {}
    assert_eq!(hedge::delay(&board, SERVICE, 1), None);
}

#[test]
fn hedge_without_free_slot() {
    let mut board = board();
    let now = Time::ZERO;
    let mut first = ticket(now);
    first.avoid = board.endpoints.of_service(SERVICE).to_vec();
    assert!(call::try_start(&mut board, now, first).is_none());
    assert!(board.tickets.is_empty(), "a ticket is left on the board");
}

proptest! {
    /// Retries never exceed the initial budget plus a fixed share of the
    /// answers, in any order of events.
    #[test]
    fn retry_bounded_by_answers(events in prop::collection::vec(any::<bool>(), 0..2000)) {
        let mut board = board();
        let (mut answers, mut retries) = (0, 0);
        for is_answer in events {
            if is_answer {
                retry::earn(&mut board, SERVICE);
                answers += 1;
            } else if retry::try_spend(&mut board, SERVICE) {
                retries += 1;
            }
            prop_assert!(retries <= 10 + answers / 10);
        }
    }
}
