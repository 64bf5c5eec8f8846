//! Hedging: second attempts that run beside slow first ones.

use link::http::client::Call;
use serde_json::json;

use super::{
    connection::{self, Answer},
    fixture::{self, Fixture, plan},
};

/// Enough requests for a latency estimate and a full hedge budget.
const WARM_UP_REQUESTS: usize = 100;

/// The number of second attempts that a full budget allows.
const BUDGET_MAX: usize = 5;

const SLOW_LATENCY_MS: u64 = 300;

fn fetch(fixture: &Fixture, method: &str, path: &str) -> Answer {
    let request = fixture::request(method, path, &fixture.key, "");
    connection::fetch(fixture.entry(), request.as_bytes()).expect("an answer")
}

/// Returns how many second attempts the entry daemon has made.
fn count_hedged(fixture: &Fixture) -> usize {
    let admin = fixture.deployment.vms[0].entry_admin;
    let answer = fakes::blocking::fetch(admin, Call::get("/metrics")).unwrap();
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let is_hedged = |line: &&str| line.contains("attempts") && line.contains("\"hedged\"");
    let line = text.lines().find(is_hedged);
    let count = line.and_then(|line| line.split_whitespace().last());
    count.map_or(0, |count| count.parse().expect("a count"))
}

/// Slows down the service that gets most of the requests.
fn slow_down(fixture: &Fixture) {
    let count_runs = |address| {
        let log: serde_json::Value = fakes::blocking::get(address, "/v1/log").unwrap();
        log["entries"].as_array().unwrap().len()
    };
    let all = fixture.endpoints(false);
    let busiest = all
        .into_iter()
        .max_by_key(|address| count_runs(*address))
        .unwrap();
    fakes::blocking::set_faults(busiest, &json!({"latency_ms": SLOW_LATENCY_MS})).unwrap();
}

#[test]
fn hedge_idempotent_within_budget() {
    let fixture = Fixture::start(&plan(1, 2));
    for number in 0..WARM_UP_REQUESTS {
        assert_eq!(
            fetch(&fixture, "GET", &format!("/entries/{number}")).status,
            200
        );
    }
    slow_down(&fixture);
    let before = count_hedged(&fixture);
    let slow_requests = 3 * BUDGET_MAX;
    for number in 0..slow_requests {
        let path = format!("/entries/slow-{number}");
        let answer = fetch(&fixture, "GET", &path);
        assert_eq!(answer.status, 200);
        assert_eq!(answer.json()["path"], path.as_str());
    }
    let hedges = count_hedged(&fixture) - before;
    // Each answer adds a fiftieth of an attempt to the budget.
    let budget = BUDGET_MAX + (WARM_UP_REQUESTS + slow_requests) / 50;
    assert!((1..=budget).contains(&hedges), "{hedges} second attempts");
}

#[test]
fn hedge_never_for_unsafe_methods() {
    let fixture = Fixture::start(&plan(1, 2));
    for number in 0..WARM_UP_REQUESTS {
        let answer = fetch(&fixture, "POST", &format!("/submissions/{number}"));
        assert_eq!(answer.status, 200);
    }
    slow_down(&fixture);
    let before = count_hedged(&fixture);
    for number in 0..BUDGET_MAX {
        let path = format!("/submissions/slow-{number}");
        assert_eq!(fetch(&fixture, "POST", &path).status, 200);
        let log = fixture.log(false);
        let runs = log.iter().filter(|entry| entry["path"] == path.as_str());
        assert_eq!(runs.count(), 1, "{path}");
    }
    assert_eq!(count_hedged(&fixture), before);
}
