//! Endpoints that the platform reclaims get no new work.

use std::{thread, time::Duration};

use fakes::blocking;
use serde_json::{Value, json};

use super::fixture::{Fixture, plan_with, prompt, tokens};

/// How long an endpoint may still get new work after the platform has given
/// notice that it reclaims the endpoint.
const NOTICE_DELAY_MAX: Duration = Duration::from_secs(3);

fn count_runs(fixture: &Fixture, engine: usize) -> usize {
    let address = fixture.deployment.endpoints[engine].address;
    let log: Value = blocking::get(address, "/v1/log").unwrap();
    log["entries"].as_array().unwrap().len()
}

#[test]
fn reclaimed_engines_get_no_work() {
    let mut fixture = Fixture::start(&plan_with(3, 1, &["--tokens-per-s=2000"]));
    // Only the first engine has stable capacity.
    let cheap = [1, 2];
    let body = prompt(4, false);
    while cheap
        .iter()
        .any(|engine| count_runs(&fixture, *engine) == 0)
    {
        let streams: Vec<_> = (0..8)
            .map(|_| {
                let (entry, request) = (fixture.entry(), fixture.generate_request(&body));
                thread::spawn(move || super::connection::fetch(entry, &request).unwrap().status)
            })
            .collect();
        for stream in streams {
            assert_eq!(stream.join().unwrap(), 200);
        }
    }
    let reclaim = json!({"reclaim": {"failure_domain": "a", "notice_ms": 60_000}});
    blocking::set_faults(fixture.deployment.platform, &reclaim).unwrap();
    thread::sleep(NOTICE_DELAY_MAX);
    let before = cheap.map(|engine| count_runs(&fixture, engine));
    let stable = count_runs(&fixture, 0);
    for _ in 0..20 {
        let answer = fixture.generate(&body);
        assert_eq!(answer.status, 200, "{}", answer.text());
        let generated: Value = serde_json::from_str(&answer.text()).unwrap();
        assert_eq!(generated["text"], tokens(4).join(" "));
    }
    assert_eq!(cheap.map(|engine| count_runs(&fixture, engine)), before);
    assert_eq!(count_runs(&fixture, 0), stable + 20);
    fixture.assert_healthy();
}
