//! Capacity plans after lost endpoints, rejected orders and recoveries.

use std::time::Duration;

use board::{
    Board, Time,
    capacity::{Accepted, Pool},
    config::{Capacity, Service},
    endpoint::{CapacityClass, Record, State},
};
use tarragonseam_policy::capacity::{self, Change, REPLACE_AFTER, SHRINK_AFTER};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const START: Time = Time::from_millis(1_000_000);

/// Endpoints of each failure domain, as (stable, cheap).
type Counts = [(u32, u32); 3];

fn board(domain: &str, declared: (u32, u32, u32), present: Counts) -> Board {
    let mut board = Board::new("vm-1", domain, 1);
    let (stable, cheap, floor) = declared;
    let capacity = Capacity {
        stable,
        cheap,
        floor,
        max: 0,
    };
    board
        .config
        .services
        .insert("registry".into(), Service { capacity });
    board.capacity.domains.extend(DOMAINS.map(String::from));
    set_endpoints(&mut board, present);
    board
}

/// Replaces all listed endpoints.
fn set_endpoints(board: &mut Board, present: Counts) {
    let keys: Vec<_> = board.endpoints.iter().map(|(key, _)| key).collect();
    keys.into_iter().for_each(|key| board.endpoints.remove(key));
    for (domain, (stable, cheap)) in DOMAINS.iter().zip(present) {
        let counts = [
            (CapacityClass::Stable, stable),
            (CapacityClass::Cheap, cheap),
        ];
        for (capacity_class, count) in counts {
            (0..count).for_each(|n| put_endpoint(board, domain, capacity_class, n, State::Ready));
        }
    }
}

fn put_endpoint(
    board: &mut Board,
    domain: &str,
    capacity_class: CapacityClass,
    n: u32,
    state: State,
) {
    board.endpoints.put(Record {
        id: format!("{domain}-{capacity_class:?}-{n}"),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: domain.into(),
        service: "registry".into(),
        capacity_class,
        state,
        checks_epoch: false,
        price: 1.0,
    });
}

fn pool(capacity_class: CapacityClass) -> Pool {
    Pool {
        service: "registry".into(),
        capacity_class,
    }
}

/// Returns how many endpoints are started, as (stable, cheap), once the current
/// state has lasted for [`REPLACE_AFTER`].
fn started(board: &mut Board) -> (u32, u32) {
    capacity::plan(board, START);
    let plan = capacity::plan(board, START + REPLACE_AFTER);
    let count = |capacity_class| {
        let started = |change: &Change| match change {
            Change::Start { pool, count } if pool.capacity_class == capacity_class => *count,
            _ => 0,
        };
        plan.iter().map(started).sum()
    };
    (count(CapacityClass::Stable), count(CapacityClass::Cheap))
}

struct Case {
    name: &'static str,
    declared: (u32, u32, u32),
    present: Counts,
    /// The endpoints that each failure domain starts.
    started: Counts,
}

const CASES: [Case; 8] = [
    Case {
        name: "complete",
        declared: (1, 2, 3),
        present: [(1, 2), (1, 2), (1, 2)],
        started: [(0, 0), (0, 0), (0, 0)],
    },
    Case {
        name: "no endpoints yet",
        declared: (1, 2, 0),
        present: [(0, 0), (0, 0), (0, 0)],
        started: [(1, 2), (1, 2), (1, 2)],
    },
    Case {
        name: "cheap endpoints of domain a reclaimed",
        declared: (1, 2, 0),
        present: [(1, 0), (1, 2), (1, 2)],
        started: [(0, 2), (0, 1), (0, 1)],
    },
    Case {
        name: "cheap endpoints of domain a reclaimed and replaced",
        declared: (1, 2, 0),
        present: [(1, 0), (1, 3), (1, 3)],
        started: [(0, 2), (0, 0), (0, 0)],
    },
    Case {
        name: "stable endpoints of domain a lost and not replaced elsewhere",
        declared: (2, 0, 0),
        present: [(0, 0), (2, 0), (2, 0)],
        started: [(2, 0), (0, 0), (0, 0)],
    },
    Case {
        // After the loss of any failure domain's cheap endpoints, 3 stable and
        // 4 cheap ones remain, 2 below the floor.
        name: "floor above the declared endpoints",
        declared: (1, 2, 9),
        present: [(1, 2), (1, 2), (1, 2)],
        started: [(1, 0), (1, 0), (0, 0)],
    },
    Case {
        name: "floor met by stable endpoints",
        declared: (1, 2, 9),
        present: [(2, 2), (2, 2), (1, 2)],
        started: [(0, 0), (0, 0), (0, 0)],
    },
    Case {
        // Failure domain a has lost its cheap endpoints. The loss of another
        // one's would leave 3 stable and 2 cheap endpoints of the 7 required.
        name: "floor after a reclaim",
        declared: (1, 2, 7),
        present: [(1, 0), (1, 2), (1, 2)],
        started: [(1, 2), (1, 1), (0, 1)],
    },
];

#[test]
fn plan_each_case() {
    for case in &CASES {
        for (index, domain) in DOMAINS.iter().enumerate() {
            let mut board = board(domain, case.declared, case.present);
            let actual = started(&mut board);
            assert_eq!(
                actual, case.started[index],
                "{}, domain {domain}",
                case.name
            );
        }
    }
}

#[test]
fn plan_brief_shortage_elsewhere() {
    let mut board = board("b", (1, 2, 0), [(1, 0), (1, 2), (1, 2)]);
    assert!(capacity::plan(&mut board, START).is_empty());
    let soon = START + REPLACE_AFTER - Duration::from_millis(1);
    assert!(capacity::plan(&mut board, soon).is_empty());
    set_endpoints(&mut board, [(1, 2), (1, 2), (1, 2)]);
    assert!(capacity::plan(&mut board, START + REPLACE_AFTER).is_empty());
}

#[test]
fn plan_surplus_stopped_one_at_a_time() {
    let mut board = board("a", (1, 1, 0), [(1, 3), (1, 1), (1, 1)]);
    assert!(capacity::plan(&mut board, START).is_empty());
    let early = START + SHRINK_AFTER - Duration::from_millis(1);
    assert!(capacity::plan(&mut board, early).is_empty());
    let plan = capacity::plan(&mut board, START + SHRINK_AFTER);
    let stop = Change::Stop {
        service: "registry".into(),
        endpoint: "a-Cheap-2".into(),
    };
    assert_eq!(plan, [stop]);
}

#[test]
fn plan_backoff_per_class() {
    let mut board = board("a", (1, 1, 0), [(0, 0), (1, 1), (1, 1)]);
    let mut now = START;
    let mut ordered = Vec::new();
    for _ in 0..180 {
        for change in capacity::plan(&mut board, now) {
            let Change::Start { pool, .. } = change else {
                panic!("no endpoint should be stopped")
            };
            ordered.push(pool.capacity_class);
            if pool.capacity_class == CapacityClass::Cheap {
                capacity::record_rejected(&mut board, now, &pool);
            }
        }
        now = now + Duration::from_secs(1);
    }
    let cheap = ordered
        .iter()
        .filter(|class| **class == CapacityClass::Cheap)
        .count();
    let stable = ordered.len() - cheap;
    assert!(
        (5..=9).contains(&cheap),
        "{cheap} orders of cheap endpoints"
    );
    assert_eq!(stable, 180, "orders of the other class are not delayed");
}

#[test]
fn plan_counts_accepted_before_listed() {
    let mut board = board("a", (2, 0, 0), [(0, 0), (2, 0), (2, 0)]);
    assert_eq!(capacity::plan(&mut board, START).len(), 1);
    let answer = Accepted {
        key: "a.1.1".into(),
        endpoints: vec!["a-Stable-0".into(), "a-Stable-1".into()],
    };
    capacity::record_accepted(&mut board, START, &pool(CapacityClass::Stable), 2, &answer);
    assert!(capacity::plan(&mut board, START).is_empty());
    set_endpoints(&mut board, [(2, 0), (2, 0), (2, 0)]);
    assert!(
        capacity::plan(&mut board, START).is_empty(),
        "the ordered endpoints are counted twice"
    );
}

#[test]
fn plan_counts_accepted_once_when_recorded_twice() {
    let mut board = board("a", (2, 0, 0), [(0, 0), (2, 0), (2, 0)]);
    let answer = Accepted {
        key: "a.1.1".into(),
        endpoints: vec!["a-Stable-0".into()],
    };
    let pool = pool(CapacityClass::Stable);
    capacity::record_accepted(&mut board, START, &pool, 1, &answer);
    capacity::record_accepted(&mut board, START, &pool, 1, &answer);
    let missing = Change::Start { pool, count: 1 };
    assert_eq!(capacity::plan(&mut board, START), [missing]);
}

#[test]
fn plan_partial_order_backs_off() {
    let mut board = board("a", (3, 0, 0), [(0, 0), (3, 0), (3, 0)]);
    let answer = Accepted {
        key: "a.1.1".into(),
        endpoints: vec!["a-Stable-0".into()],
    };
    capacity::record_accepted(&mut board, START, &pool(CapacityClass::Stable), 3, &answer);
    assert!(capacity::plan(&mut board, START).is_empty());
    let later = START + Duration::from_secs(3);
    let remaining = Change::Start {
        pool: pool(CapacityClass::Stable),
        count: 2,
    };
    assert_eq!(capacity::plan(&mut board, later), [remaining]);
}

#[test]
fn plan_ordered_endpoint_listed_as_removed() {
    let mut board = board("a", (0, 1, 0), [(0, 0), (0, 1), (0, 1)]);
    // The listing still shows an earlier endpoint of the same name as removed.
    put_endpoint(&mut board, "a", CapacityClass::Cheap, 0, State::Removed);
    let answer = Accepted {
        key: "a.1.1".into(),
        endpoints: vec!["a-Cheap-0".into()],
    };
    capacity::record_accepted(&mut board, START, &pool(CapacityClass::Cheap), 1, &answer);
    assert_eq!(started(&mut board), (0, 0));
}
