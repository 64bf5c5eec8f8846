//! Limits of endpoints and the choice among them.

mod common;

use std::{collections::BTreeMap, time::Duration};

use board::{
    Board, Time,
    config::Class,
    endpoint::{self, Load, State, Tenure},
    limit::Credit,
};
use common::{SERVICE, add, empty, record, single, ticket};
use proptest::prelude::*;
use tarragonseam_policy::{
    call::{self, Outcome},
    limit,
};

const NOW: Time = Time::from_millis(1000);

/// Fills a service of two domains and two tenures and returns the endpoints.
fn mixed(slots: u32) -> (Board, BTreeMap<&'static str, endpoint::Key>) {
    use Tenure::{Cheap, Stable};
    let mut board = empty();
    let all = [
        ("near-stable", "a", Stable),
        ("near-cheap", "a", Cheap),
        ("far-stable", "b", Stable),
        ("far-cheap", "b", Cheap),
    ];
    let keys = all.map(|(id, domain, tenure)| (id, add(&mut board, id, domain, tenure, slots)));
    for (_, key) in keys {
        note(&mut board, key, slots, 0, 0);
    }
    (board, keys.into())
}

fn note(board: &mut Board, key: endpoint::Key, slots: u32, in_flight: u32, queued: u32) {
    let load = Load {
        slots,
        in_flight,
        queued,
        ..Load::default()
    };
    limit::report(board.endpoints.get_mut(key).unwrap(), NOW, load);
}

/// Starts a request and returns the endpoint's name.
fn place(board: &mut Board, class: Class, prefix: u64) -> Option<String> {
    let ticket = ticket("a", class, NOW).prefix(prefix);
    let (_, endpoint) = call::start_now(board, NOW, ticket)?;
    Some(board.endpoints.get(endpoint)?.record.id.clone())
}

fn limit_of(board: &Board, key: endpoint::Key) -> u32 {
    limit::allowed(board.endpoints.get(key).unwrap(), NOW)
}

#[test]
fn route_by_class() {
    let cases = [
        (Class::Caller, "near-stable"),
        (Class::Trainer, "near-cheap"),
        (Class::Bulk, "near-cheap"),
    ];
    for (class, expected) in cases {
        let (mut board, _) = mixed(8);
        assert_eq!(
            place(&mut board, class, 0).as_deref(),
            Some(expected),
            "{class:?}"
        );
    }
}

#[test]
fn route_spills_when_near_is_loaded() {
    let (mut board, keys) = mixed(8);
    note(&mut board, keys["near-stable"], 8, 8, 0);
    note(&mut board, keys["near-cheap"], 8, 8, 0);
    assert_eq!(
        place(&mut board, Class::Caller, 0).as_deref(),
        Some("far-stable")
    );
}

#[test]
fn route_stays_near_below_knee() {
    let (mut board, keys) = mixed(8);
    note(&mut board, keys["near-stable"], 8, 3, 0);
    assert_eq!(
        place(&mut board, Class::Caller, 0).as_deref(),
        Some("near-stable")
    );
}

#[test]
fn route_same_prefix_same_endpoint() {
    for prefix in 1..50 {
        let (mut board, _) = mixed(8);
        let first = place(&mut board, Class::Caller, prefix);
        let second = place(&mut board, Class::Caller, prefix);
        assert_eq!(first, second, "prefix {prefix}");
    }
}

#[test]
fn route_prefixes_spread() {
    let mut places = BTreeMap::<_, usize>::new();
    for prefix in 1..=400 {
        let (mut board, _) = mixed(8);
        let place = place(&mut board, Class::Caller, prefix).unwrap();
        *places.entry(place).or_default() += 1;
    }
    assert_eq!(places.len(), 4);
    assert!(
        places.values().all(|count| (60..140).contains(count)),
        "{places:?}"
    );
}

#[test]
fn route_prefix_load_bound() {
    let (mut board, keys) = mixed(8);
    let home = place(&mut board, Class::Caller, 9).unwrap();
    note(&mut board, keys[home.as_str()], 8, 8, 4);
    let next = place(&mut board, Class::Caller, 9).unwrap();
    assert_ne!(home, next);
}

#[test]
fn route_leaving_gets_nothing() {
    let (mut board, _) = mixed(8);
    for id in ["near-stable", "far-stable", "far-cheap"] {
        let (domain, tenure) = match id {
            "near-stable" => ("a", Tenure::Stable),
            "far-stable" => ("b", Tenure::Stable),
            _ => ("b", Tenure::Cheap),
        };
        board
            .endpoints
            .put(record(id, domain, tenure, State::Leaving));
    }
    for prefix in 0..8 {
        assert_eq!(
            place(&mut board, Class::Caller, prefix).as_deref(),
            Some("near-cheap")
        );
    }
    assert_eq!(
        place(&mut board, Class::Caller, 0),
        None,
        "the only one left is full"
    );
}

#[test]
fn limit_lowered_by_report() {
    let mut board = single(8);
    let key = board.endpoints.of_service(SERVICE)[0];
    assert_eq!(limit_of(&board, key), 8);
    note(&mut board, key, 8, 8, 10);
    assert_eq!(limit_of(&board, key), 4);
    for _ in 0..10 {
        note(&mut board, key, 8, 8, 10);
    }
    assert_eq!(limit_of(&board, key), 1, "never below one");
}

#[test]
fn limit_lowered_by_latency() {
    let mut board = single(8);
    let key = board.endpoints.of_service(SERVICE)[0];
    let mut now = NOW;
    let mut answer = |board: &mut Board, millis| {
        let (key, _) = call::start_now(board, now, ticket("a", Class::Caller, now)).unwrap();
        now = now + Duration::from_millis(millis);
        call::finish(board, now, key, Outcome::Answered);
    };
    for _ in 0..50 {
        answer(&mut board, 10);
    }
    assert_eq!(limit_of(&board, key), 8);
    for _ in 0..50 {
        answer(&mut board, 60);
    }
    assert!(limit_of(&board, key) < 4, "{}", limit_of(&board, key));
}

#[test]
fn limit_grows_in_use_only() {
    let mut board = single(8);
    let key = board.endpoints.of_service(SERVICE)[0];
    for _ in 0..10 {
        note(&mut board, key, 8, 8, 10);
    }
    for _ in 0..4 {
        note(&mut board, key, 8, 0, 0);
    }
    let idle = limit_of(&board, key);
    place(&mut board, Class::Caller, 0).unwrap();
    for _ in 0..4 {
        note(&mut board, key, 8, 1, 0);
    }
    assert!(limit_of(&board, key) > idle);
}

/// Two VMs that share an endpoint come to about equal limits, wherever they
/// start.
#[test]
fn limit_of_two_vms_converges() {
    let slots = 16;
    let mut boards = [single(slots), single(slots)];
    let keys = boards
        .each_ref()
        .map(|board| board.endpoints.of_service(SERVICE)[0]);
    boards[0].endpoints.get_mut(keys[0]).unwrap().limit.value = Some(1.0);
    for _ in 0..300 {
        let totals: Vec<u32> = boards
            .iter()
            .zip(keys)
            .map(|(b, k)| limit_of(b, k))
            .collect();
        let total: u32 = totals.iter().sum();
        for ((board, key), own) in boards.iter_mut().zip(keys).zip(totals) {
            board.endpoints.get_mut(key).unwrap().in_flight = own;
            note(
                board,
                key,
                slots,
                total.min(slots),
                total.saturating_sub(slots),
            );
        }
    }
    let limits = [limit_of(&boards[0], keys[0]), limit_of(&boards[1], keys[1])];
    assert!(limits[0].abs_diff(limits[1]) <= 2, "{limits:?}");
    let total = limits[0] + limits[1];
    assert!((slots - 4..=slots + 4).contains(&total), "{limits:?}");
}

#[test]
fn credit_replaces_limit_until_it_ends() {
    let mut board = single(8);
    let key = board.endpoints.of_service(SERVICE)[0];
    let until = NOW + Duration::from_millis(300);
    let endpoint = board.endpoints.get_mut(key).unwrap();
    endpoint.credit = Some(Credit { slots: 2, until });
    assert_eq!(limit::allowed(endpoint, NOW), 2);
    assert_eq!(limit::allowed(endpoint, until), 8);
}

proptest! {
    /// The limit stays between one and the slots, whatever is observed.
    #[test]
    fn limit_bounded(events in prop::collection::vec((0_u32..40, 0_u32..40, 1_u64..500), 1..200)) {
        let slots = 8;
        let mut board = single(slots);
        let key = board.endpoints.of_service(SERVICE)[0];
        let mut now = NOW;
        for (in_flight, queued, millis) in events {
            note(&mut board, key, slots, in_flight, queued);
            if let Some((ticket, _)) = call::start_now(&mut board, now, ticket("a", Class::Bulk, now)) {
                now = now + Duration::from_millis(millis);
                call::finish(&mut board, now, ticket, Outcome::Answered);
            }
            let allowed = limit_of(&board, key);
            prop_assert!((1..=slots).contains(&allowed));
            let others = limit::elsewhere(board.endpoints.get(key).unwrap(), now);
            prop_assert!(others >= 0.0);
        }
    }
}
