//! Endpoints that the platform takes back get no new work.

use std::{thread, time::Duration};

use fakes::blocking;
use serde_json::{Value, json};

use super::world::{World, plan_with, prompt, tokens};

/// From the platform's notice on, work may go on to a leaving endpoint for
/// this long.
const NOTICED: Duration = Duration::from_secs(3);

fn runs(world: &World, engine: usize) -> usize {
    let address = world.deployment.endpoints[engine].address;
    let log: Value = blocking::get(address, "/v1/log").unwrap();
    log["entries"].as_array().unwrap().len()
}

#[test]
fn reclaim_leaving_engines_idle() {
    let mut world = World::start(&plan_with(3, 1, &["--tokens-per-s=2000"]));
    // Only the first engine is stable.
    let cheap = [1, 2];
    let body = prompt(4, false);
    while cheap.iter().any(|engine| runs(&world, *engine) == 0) {
        let streams: Vec<_> = (0..8)
            .map(|_| {
                let (entry, request) = (world.entry(), world.generate(&body));
                thread::spawn(move || super::raw::ask(entry, &request).unwrap().status)
            })
            .collect();
        for stream in streams {
            assert_eq!(stream.join().unwrap(), 200);
        }
    }
    let reclaim = json!({"reclaim": {"failure_domain": "a", "notice_ms": 60_000}});
    blocking::set_faults(world.deployment.platform, &reclaim).unwrap();
    thread::sleep(NOTICED);
    let before = cheap.map(|engine| runs(&world, engine));
    let stable = runs(&world, 0);
    for _ in 0..20 {
        let answer = world.ask_model(&body);
        assert_eq!(answer.status, 200, "{}", answer.text());
        let text: Value = serde_json::from_str(&answer.text()).unwrap();
        assert_eq!(text["text"], tokens(4).join(" "));
    }
    assert_eq!(cheap.map(|engine| runs(&world, engine)), before);
    assert_eq!(runs(&world, 0), stable + 20);
    world.assert_well();
}
