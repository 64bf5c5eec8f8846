//! The number of endpoints required by load, and capacity plans that follow it.

use std::time::Duration;

use board::{
    Board, Time,
    capacity::{Accepted, Pool},
    config::{Capacity, Service},
    endpoint::{CapacityClass, Load, Record, State},
};
use proptest::prelude::*;
use tarragonseam_policy::{
    capacity::{self, Change, SHRINK_AFTER},
    demand::{self, LOW_LOAD_TIME},
};

const START: Time = Time::from_millis(1_000_000);
const SLOTS: u32 = 8;
const ENDPOINTS_MAX: u32 = 8;
const TICK: Duration = Duration::from_secs(1);

fn board() -> Board {
    let mut board = Board::new("vm-1", "a", 1);
    let capacity = Capacity {
        stable: 1,
        cheap: 1,
        floor: 0,
        max: ENDPOINTS_MAX,
    };
    let service = Service { capacity };
    board.config.services.insert("notes".into(), service);
    put_endpoint(&mut board, "a-stable-0", CapacityClass::Stable);
    put_endpoint(&mut board, "a-cheap-0", CapacityClass::Cheap);
    board
}

fn put_endpoint(board: &mut Board, id: &str, capacity_class: CapacityClass) {
    board.endpoints.put(Record {
        id: id.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        service: "notes".into(),
        capacity_class,
        state: State::Ready,
        checks_epoch: false,
        price: 1.0,
    });
}

/// Makes every endpoint report its share of `busy` requests.
fn report(board: &mut Board, now: Time, busy: u32) {
    let keys: Vec<_> = board.endpoints.iter().map(|(key, _)| key).collect();
    let count = keys.len() as u32;
    for (index, key) in keys.into_iter().enumerate() {
        let share = busy / count + u32::from((index as u32) < busy % count);
        let load = Load {
            in_flight: share.min(SLOTS),
            queued: share.saturating_sub(SLOTS).min(SLOTS / 2),
            slots: SLOTS,
            ..Load::default()
        };
        board.endpoints.get_mut(key).unwrap().load = Some((now, load));
    }
}

/// Returns how many endpoints are desired after `span` with `busy` requests.
fn desired_after(board: &mut Board, now: &mut Time, span: Duration, busy: u32) -> u32 {
    let end = *now + span;
    let mut desired = 0;
    while *now < end {
        report(board, *now, busy);
        desired = demand::desired_endpoints(board, *now, "notes", ENDPOINTS_MAX);
        *now = *now + TICK;
    }
    desired
}

#[test]
fn desired_endpoints_each_load() {
    // The number of requests at two endpoints with 8 slots each, and the
    // desired number of endpoints.
    let cases = [(0, 0), (8, 0), (13, 0), (14, 3), (16, 3), (24, 4)];
    for (busy, expected) in cases {
        let (mut board, mut now) = (board(), START);
        let desired = desired_after(&mut board, &mut now, Duration::from_secs(30), busy);
        assert_eq!(desired, expected, "{busy} requests");
    }
}

#[test]
fn desired_endpoints_brief_peak() {
    let (mut board, mut now) = (board(), START);
    desired_after(&mut board, &mut now, Duration::from_secs(30), 8);
    let desired = desired_after(&mut board, &mut now, TICK, 24);
    assert_eq!(desired, 0);
}

#[test]
fn desired_endpoints_after_low_load() {
    let (mut board, mut now) = (board(), START);
    let high = desired_after(&mut board, &mut now, Duration::from_secs(30), 24);
    for index in 1..3 {
        put_endpoint(
            &mut board,
            &format!("a-cheap-{index}"),
            CapacityClass::Cheap,
        );
    }
    assert_eq!(desired_after(&mut board, &mut now, LOW_LOAD_TIME, 20), high);
    assert_eq!(
        desired_after(&mut board, &mut now, LOW_LOAD_TIME / 2, 6),
        high
    );
    assert_eq!(desired_after(&mut board, &mut now, LOW_LOAD_TIME, 6), 2);
}

#[test]
fn desired_endpoints_without_reports() {
    let (mut board, mut now) = (board(), START);
    let high = desired_after(&mut board, &mut now, Duration::from_secs(30), 24);
    let later = now + LOW_LOAD_TIME * 10;
    assert_eq!(
        demand::desired_endpoints(&mut board, later, "notes", ENDPOINTS_MAX),
        high
    );
    assert_eq!(demand::desired_endpoints(&mut board, later, "notes", 3), 3);
    assert_eq!(demand::desired_endpoints(&mut board, later, "notes", 0), 0);
}

/// Applies the plan once a second for `span`, while the platform has `stock`
/// more cheap endpoints. Returns how many endpoints are present at the end, as
/// (stable, cheap).
fn run_plan(
    board: &mut Board,
    now: &mut Time,
    span: Duration,
    busy: u32,
    stock: &mut u32,
) -> (u32, u32) {
    let end = *now + span;
    while *now < end {
        report(board, *now, busy);
        for change in capacity::plan(board, *now) {
            apply(board, *now, change, stock);
        }
        *now = *now + TICK;
    }
    let count = |capacity_class| {
        let all = board.endpoints.iter();
        all.filter(|(_, e)| e.record.capacity_class == capacity_class)
            .count() as u32
    };
    (count(CapacityClass::Stable), count(CapacityClass::Cheap))
}

fn apply(board: &mut Board, now: Time, change: Change, stock: &mut u32) {
    match change {
        Change::Start { pool, count } => start(board, now, &pool, count, stock),
        Change::Stop { endpoint, .. } => {
            let key = board.endpoints.find(&endpoint).unwrap();
            *stock += u32::from(
                board.endpoints.get(key).unwrap().record.capacity_class == CapacityClass::Cheap,
            );
            board.endpoints.remove(key);
        }
    }
}

fn start(board: &mut Board, now: Time, pool: &Pool, count: u32, stock: &mut u32) {
    let granted = match pool.capacity_class {
        CapacityClass::Stable => count,
        CapacityClass::Cheap => count.min(*stock),
    };
    if granted == 0 {
        capacity::record_rejected(board, now, pool);
        return;
    }
    let mut endpoints = Vec::new();
    for n in 0.. {
        let id = format!("a-{:?}-{n}", pool.capacity_class).to_lowercase();
        if endpoints.len() as u32 == granted {
            break;
        }
        if board.endpoints.find(&id).is_none() {
            put_endpoint(board, &id, pool.capacity_class);
            endpoints.push(id);
        }
    }
    *stock -= if pool.capacity_class == CapacityClass::Cheap {
        granted
    } else {
        0
    };
    let key = "a.1.1".into();
    capacity::record_accepted(board, now, pool, count, &Accepted { key, endpoints });
}

#[test]
fn plan_follows_load_up_and_down() {
    let (mut board, mut now, mut stock) = (board(), START, 100);
    let span = Duration::from_secs(600);
    assert_eq!(run_plan(&mut board, &mut now, span, 8, &mut stock), (1, 1));
    assert_eq!(run_plan(&mut board, &mut now, span, 40, &mut stock), (1, 6));
    assert_eq!(
        run_plan(&mut board, &mut now, span, 100, &mut stock),
        (1, 7)
    );
    assert_eq!(run_plan(&mut board, &mut now, span, 4, &mut stock), (1, 1));
}

#[test]
fn plan_stable_while_cheap_rejected() {
    let (mut board, mut now, mut stock) = (board(), START, 0);
    let span = Duration::from_secs(300);
    let (stable, cheap) = run_plan(&mut board, &mut now, span, 40, &mut stock);
    assert_eq!(cheap, 1);
    assert_eq!(stable, 5);
    // Once cheap endpoints are in stock, they replace the stable ones.
    stock = 100;
    let span = SHRINK_AFTER * 4;
    assert_eq!(run_plan(&mut board, &mut now, span, 40, &mut stock), (1, 5));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn plan_within_endpoints_max(loads in prop::collection::vec(0_u32..200, 1..40)) {
        let (mut board, mut now, mut stock) = (board(), START, 100);
        for busy in loads {
            let (stable, cheap) = run_plan(&mut board, &mut now, TICK * 10, busy, &mut stock);
            prop_assert!(stable >= 1 && cheap >= 1);
            prop_assert!(stable + cheap <= ENDPOINTS_MAX, "{stable} and {cheap}");
        }
    }

    #[test]
    fn plan_converges_at_steady_load(busy in 0_u32..60) {
        let (mut board, mut now, mut stock) = (board(), START, 100);
        let span = Duration::from_secs(600);
        let steady = run_plan(&mut board, &mut now, span, busy, &mut stock);
        for _ in 0..20 {
            prop_assert_eq!(run_plan(&mut board, &mut now, TICK * 10, busy, &mut stock), steady);
        }
    }
}
