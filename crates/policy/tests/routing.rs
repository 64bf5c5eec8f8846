//! Concurrency limits of endpoints, and routing of requests.

mod common;

use std::{collections::BTreeMap, time::Duration};

use board::{
    Board, Time,
    config::Class,
    endpoint::{self, CapacityClass, Load, State},
    limit::Credit,
    ticket::Ticket,
};
use common::{SERVICE, add_endpoint, empty_board, record, single_endpoint_board, ticket};
use proptest::prelude::*;
use tarragonseam_policy::{
    call::{self, Outcome},
    limit,
};

const NOW: Time = Time::from_millis(1000);

/// Returns a board with one endpoint of each capacity class in each of two
/// failure domains, and the keys of the endpoints.
fn mixed_board(slots: u32) -> (Board, BTreeMap<&'static str, endpoint::Key>) {
    use CapacityClass::{Cheap, Stable};
    let mut board = empty_board();
    let all = [
        ("near-stable", "a", Stable),
        ("near-cheap", "a", Cheap),
        ("far-stable", "b", Stable),
        ("far-cheap", "b", Cheap),
    ];
    let keys = all.map(|(id, domain, capacity_class)| {
        (
            id,
            add_endpoint(&mut board, id, domain, capacity_class, slots),
        )
    });
    for (_, key) in keys {
        report(&mut board, key, slots, 0, 0);
    }
    (board, keys.into())
}

fn report(board: &mut Board, key: endpoint::Key, slots: u32, in_flight: u32, queued: u32) {
    let load = Load {
        slots,
        in_flight,
        queued,
        ..Load::default()
    };
    limit::record_report(board.endpoints.get_mut(key).unwrap(), NOW, load, 1);
}

/// Starts a request and returns the name of its endpoint, if one has a free
/// slot.
fn start_request(board: &mut Board, class: Class, prefix: u64) -> Option<String> {
    let ticket = ticket("a", class, NOW).prefix(prefix);
    let (_, endpoint) = call::try_start(board, NOW, ticket)?;
    Some(board.endpoints.get(endpoint)?.record.id.clone())
}

/// Records that requests are queued for the endpoint, then a load report.
fn report_after_shortage(board: &mut Board, key: endpoint::Key, slots: u32, in_flight: u32) {
    limit::record_shortage(board.endpoints.get_mut(key).unwrap(), NOW);
    report(board, key, slots, in_flight, 0);
}

fn limit_of(board: &Board, key: endpoint::Key) -> f64 {
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
        let (mut board, _) = mixed_board(8);
        assert_eq!(
            start_request(&mut board, class, 0).as_deref(),
            Some(expected),
            "{class:?}"
        );
    }
}

#[test]
fn route_remote_when_local_loaded() {
    let (mut board, keys) = mixed_board(8);
    report(&mut board, keys["near-stable"], 8, 8, 0);
    report(&mut board, keys["near-cheap"], 8, 8, 0);
    assert_eq!(
        start_request(&mut board, Class::Caller, 0).as_deref(),
        Some("far-stable")
    );
}

#[test]
fn route_local_below_knee() {
    let (mut board, keys) = mixed_board(8);
    report(&mut board, keys["near-stable"], 8, 3, 0);
    assert_eq!(
        start_request(&mut board, Class::Caller, 0).as_deref(),
        Some("near-stable")
    );
}

#[test]
fn route_same_prefix_same_endpoint() {
    for prefix in 1..50 {
        let (mut board, _) = mixed_board(8);
        let first = start_request(&mut board, Class::Caller, prefix);
        let second = start_request(&mut board, Class::Caller, prefix);
        assert_eq!(first, second, "prefix {prefix}");
    }
}

#[test]
fn route_prefixes_spread_evenly() {
    let mut counts = BTreeMap::<_, usize>::new();
    for prefix in 1..=400 {
        let (mut board, _) = mixed_board(8);
        let endpoint = start_request(&mut board, Class::Caller, prefix).unwrap();
        *counts.entry(endpoint).or_default() += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(
        counts.values().all(|count| (60..140).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn route_prefix_load_bound() {
    let (mut board, keys) = mixed_board(8);
    let preferred = start_request(&mut board, Class::Caller, 9).unwrap();
    report(&mut board, keys[preferred.as_str()], 8, 8, 4);
    let other = start_request(&mut board, Class::Caller, 9).unwrap();
    assert_ne!(preferred, other);
}

#[test]
fn route_leaving_gets_nothing() {
    let (mut board, _) = mixed_board(8);
    for id in ["near-stable", "far-stable", "far-cheap"] {
        let (domain, capacity_class) = match id {
            "near-stable" => ("a", CapacityClass::Stable),
            "far-stable" => ("b", CapacityClass::Stable),
            _ => ("b", CapacityClass::Cheap),
        };
        board
            .endpoints
            .put(record(id, domain, capacity_class, State::Draining));
    }
    for prefix in 0..8 {
        assert_eq!(
            start_request(&mut board, Class::Caller, prefix).as_deref(),
            Some("near-cheap")
        );
    }
    assert_eq!(
        start_request(&mut board, Class::Caller, 0),
        None,
        "the only usable endpoint is full"
    );
}

#[test]
fn limit_lowered_by_report() {
    let mut board = single_endpoint_board(8);
    let key = board.endpoints.of_service(SERVICE)[0];
    assert_eq!(limit_of(&board, key), 8.0);
    report(&mut board, key, 8, 8, 4);
    assert_eq!(
        limit_of(&board, key),
        8.0,
        "a short queue at the endpoint is allowed"
    );
    report(&mut board, key, 8, 8, 16);
    let lowered = limit_of(&board, key);
    assert!((4.0..8.0).contains(&lowered), "{lowered}");
    for _ in 0..20 {
        report(&mut board, key, 8, 8, 16);
    }
    assert!(limit_of(&board, key) < 1.0);
    assert!(
        start_request(&mut board, Class::Caller, 0).is_some(),
        "one request is always allowed"
    );
    assert!(start_request(&mut board, Class::Caller, 0).is_none());
}

/// Fractional limits of several endpoints are summed before they are rounded.
#[test]
fn limit_fractions_summed() {
    let cases = [(0.25, 1), (0.5, 2), (1.0, 4), (1.25, 5), (1.5, 6)];
    for (value, expected) in cases {
        let (mut board, keys) = mixed_board(8);
        for key in keys.values() {
            board.endpoints.get_mut(*key).unwrap().limit.value = Some(value);
        }
        let mut started = 0;
        while start_request(&mut board, Class::Caller, 0).is_some() {
            started += 1;
        }
        assert_eq!(started, expected, "limit {value}");
    }
}

#[test]
fn limit_lowered_by_latency() {
    let mut board = single_endpoint_board(8);
    let key = board.endpoints.of_service(SERVICE)[0];
    let mut now = NOW;
    let mut answer = |board: &mut Board, millis| {
        let (key, _) = call::try_start(board, now, ticket("a", Class::Caller, now)).unwrap();
        now = now + Duration::from_millis(millis);
        call::finish(board, now, key, Outcome::Answered);
    };
    for _ in 0..50 {
        answer(&mut board, 10);
    }
    assert_eq!(limit_of(&board, key), 8.0);
    for _ in 0..50 {
        answer(&mut board, 60);
    }
    assert!(limit_of(&board, key) < 4.0, "{}", limit_of(&board, key));
}

#[test]
fn limit_grows_only_on_shortage() {
    let mut board = single_endpoint_board(8);
    let key = board.endpoints.of_service(SERVICE)[0];
    board.endpoints.get_mut(key).unwrap().limit.value = Some(2.5);
    report(&mut board, key, 8, 0, 0);
    assert_eq!(limit_of(&board, key), 2.5, "no request was queued");
    report_after_shortage(&mut board, key, 8, 0);
    assert_eq!(limit_of(&board, key), 2.5, "the limit was not reached");
    for _ in 0..2 {
        start_request(&mut board, Class::Caller, 0).unwrap();
    }
    report_after_shortage(&mut board, key, 8, 8);
    assert!(
        limit_of(&board, key) > 2.5,
        "a short queue at the endpoint is allowed"
    );
    board.endpoints.get_mut(key).unwrap().limit.value = Some(2.5);
    report_after_shortage(&mut board, key, 8, 2);
    assert!(limit_of(&board, key) > 2.5);
}

/// The limits of two VMs that share an endpoint converge, whatever they start
/// from.
#[test]
fn limit_two_vms_converge() {
    let slots = 16;
    let mut boards = [single_endpoint_board(slots), single_endpoint_board(slots)];
    let keys = boards
        .each_ref()
        .map(|board| board.endpoints.of_service(SERVICE)[0]);
    boards[0].endpoints.get_mut(keys[0]).unwrap().limit.value = Some(1.0);
    for _ in 0..2000 {
        let rounded = |(board, key)| limit_of(board, key).round().max(1.0) as u32;
        let totals: Vec<u32> = boards.iter().zip(keys).map(rounded).collect();
        let total: u32 = totals.iter().sum();
        for ((board, key), own) in boards.iter_mut().zip(keys).zip(totals) {
            let endpoint = board.endpoints.get_mut(key).unwrap();
            endpoint.in_flight = own;
            limit::record_shortage(endpoint, NOW);
            report(
                board,
                key,
                slots,
                total.min(slots),
                total.saturating_sub(slots),
            );
        }
    }
    let limits = [limit_of(&boards[0], keys[0]), limit_of(&boards[1], keys[1])];
    assert!((limits[0] - limits[1]).abs() <= 3.0, "{limits:?}");
    let total = limits[0] + limits[1];
    let slots = f64::from(slots);
    assert!((slots * 0.75..=slots * 1.75).contains(&total), "{limits:?}");
}

#[test]
fn grant_replaces_limit_until_expiry() {
    let mut board = single_endpoint_board(8);
    let key = board.endpoints.of_service(SERVICE)[0];
    let until = NOW + Duration::from_millis(300);
    let endpoint = board.endpoints.get_mut(key).unwrap();
    endpoint.credit = Some(Credit {
        slots: 2.5,
        expires_at: until,
    });
    assert_eq!(limit::allowed(endpoint, NOW), 2.5);
    assert_eq!(limit::allowed(endpoint, until), 8.0);
}

proptest! {
    /// The limit stays above zero and within the slots for any observations.
    #[test]
    fn limit_bounded(events in prop::collection::vec((0_u32..40, 0_u32..40, 1_u64..500), 1..200)) {
        let slots = 8;
        let mut board = single_endpoint_board(slots);
        let key = board.endpoints.of_service(SERVICE)[0];
        let mut now = NOW;
        for (in_flight, queued, millis) in events {
            report(&mut board, key, slots, in_flight, queued);
            if let Some((ticket, _)) = call::try_start(&mut board, now, ticket("a", Class::Bulk, now)) {
                now = now + Duration::from_millis(millis);
                call::finish(&mut board, now, ticket, Outcome::Answered);
            }
            let allowed = limit_of(&board, key);
            prop_assert!(allowed > 0.0 && allowed <= f64::from(slots));
            let others = limit::others_in_flight(board.endpoints.get(key).unwrap(), now);
            prop_assert!(others >= 0.0);
        }
    }
}

/// All VMs discover a new endpoint at the same time. After its first report,
/// their limits add up to its slots, whatever the earlier latency suggested.
#[test]
fn limit_starts_at_share_of_vms() {
    let vms = 4;
    for value in [None, Some(8.0)] {
        let mut board = empty_board();
        let record = record("new", "a", CapacityClass::Stable, State::Ready);
        let key = board.endpoints.put(record);
        let endpoint = board.endpoints.get_mut(key).unwrap();
        endpoint.limit.value = value;
        let load = Load {
            slots: 8,
            ..Load::default()
        };
        limit::record_report(endpoint, NOW, load, vms);
        assert_eq!(limit_of(&board, key), 2.0, "{value:?}");
    }
}

/// All VMs see the same spare slots and together do not exceed them.
#[test]
fn limit_growth_divided_among_vms() {
    let growth = |vms| {
        let mut board = single_endpoint_board(8);
        let key = board.endpoints.of_service(SERVICE)[0];
        report(&mut board, key, 8, 0, 0);
        let endpoint = board.endpoints.get_mut(key).unwrap();
        endpoint.limit.value = Some(1.0);
        endpoint.limit.has_delayed_work = true;
        let load = Load {
            slots: 8,
            ..Load::default()
        };
        limit::record_report(endpoint, NOW, load, vms);
        limit_of(&board, key) - 1.0
    };
    assert!(growth(1) > 3.0 * growth(4), "{} {}", growth(1), growth(4));
    assert!(growth(6) * 6.0 <= 12.0, "{}", growth(6));
}

/// When one slot is free, a request whose prefix is cached there overtakes the
/// head, unless the head has waited too long.
#[test]
fn dispatch_cached_prefix_first() {
    for (waited_ms, expected) in [(0, "second"), (4_000, "first")] {
        let mut board = single_endpoint_board(1);
        let cached = 7;
        let requests = [("first", 0), ("second", cached)];
        let start = NOW;
        let keys = requests.map(|(account, prefix)| {
            let ticket = Ticket::new(account, SERVICE, start, start + Duration::from_secs(10));
            call::admit(&mut board, start, ticket.prefix(prefix)).expect("admitted")
        });
        let now = start + Duration::from_millis(waited_ms);
        let decisions = call::dispatch(&mut board, now);
        let sent = decisions.iter().find_map(|decision| match decision {
            call::Decision::Send { ticket, .. } => Some(*ticket),
            call::Decision::Reject { .. } => None,
        });
        let index = keys.iter().position(|key| Some(*key) == sent).unwrap();
        assert_eq!(requests[index].0, expected, "after {waited_ms} ms");
    }
}
