//! Second attempts beside slow ones.

use link::http::client::Call;
use serde_json::json;

use super::{
    raw::{self, Answer},
    world::{self, World, plan},
};

/// More answers than a latency needs to be known, and than fill the budget.
const KNOWN: usize = 100;

/// The most second attempts that a full budget pays for.
const BUDGET: usize = 5;

const SLOW_MS: u64 = 300;

fn ask(world: &World, method: &str, path: &str) -> Answer {
    let request = world::request(method, path, &world.key, "");
    raw::ask(world.entry(), request.as_bytes()).expect("an answer")
}

/// Returns how many second attempts the entry daemon has made.
fn hedged(world: &World) -> usize {
    let admin = world.deployment.vms[0].entry_admin;
    let answer = fakes::blocking::fetch(admin, Call::get("/metrics")).unwrap();
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let is_hedged = |line: &&str| line.contains("attempts") && line.contains("\"hedged\"");
    let line = text.lines().find(is_hedged);
    let count = line.and_then(|line| line.split_whitespace().last());
    count.map_or(0, |count| count.parse().expect("a count"))
}

/// Makes the service slow that most requests go to.
fn slow_down(world: &World) {
    let runs = |address| {
        let log: serde_json::Value = fakes::blocking::get(address, "/v1/log").unwrap();
        log["entries"].as_array().unwrap().len()
    };
    let all = world.endpoints(false);
    let busiest = all
        .into_iter()
        .max_by_key(|address| runs(*address))
        .unwrap();
    fakes::blocking::set_faults(busiest, &json!({"latency_ms": SLOW_MS})).unwrap();
}

#[test]
fn hedge_idempotent_within_budget() {
    let world = World::start(&plan(1, 2));
    for number in 0..KNOWN {
        assert_eq!(
            ask(&world, "GET", &format!("/entries/{number}")).status,
            200
        );
    }
    slow_down(&world);
    let before = hedged(&world);
    let slow = 3 * BUDGET;
    for number in 0..slow {
        let path = format!("/entries/slow-{number}");
        let answer = ask(&world, "GET", &path);
        assert_eq!(answer.status, 200);
        assert_eq!(answer.json()["path"], path.as_str());
    }
    let made = hedged(&world) - before;
    // Each answer earns a fiftieth.
    let budget = BUDGET + (KNOWN + slow) / 50;
    assert!((1..=budget).contains(&made), "{made} second attempts");
}

#[test]
fn hedge_never_other_methods() {
    let world = World::start(&plan(1, 2));
    for number in 0..KNOWN {
        let answer = ask(&world, "POST", &format!("/submissions/{number}"));
        assert_eq!(answer.status, 200);
    }
    slow_down(&world);
    let before = hedged(&world);
    for number in 0..BUDGET {
        let path = format!("/submissions/slow-{number}");
        assert_eq!(ask(&world, "POST", &path).status, 200);
        let log = world.log(false);
        let runs = log.iter().filter(|entry| entry["path"] == path.as_str());
        assert_eq!(runs.count(), 1, "{path}");
    }
    assert_eq!(hedged(&world), before);
}
