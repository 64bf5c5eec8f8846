//! End-to-end tests of the choice among endpoints that report how long work takes
//! on their machines, or may still hold a prompt.

mod common;

use std::time::Duration;

use board::hash::Set;
use common::{Deployment, job, wait};
use fakes::site::Plan;
use link::Method;

/// The headers of endpoints were read up to the third figure, so a request went
/// to the endpoint whose machine was slow as often as to the other.
#[test]
fn requests_avoid_endpoint_that_reports_slow_work() {
    const REQUESTS: usize = 30;
    let plan = Plan {
        plain: 2,
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    let vm = &deployment.vms[0];
    for slow in ["plain-0", "plain-1"] {
        for id in ["plain-0", "plain-1"] {
            let (load, work_ms) = match id == slow {
                true => ("0,0,4,300", 60),
                false => ("0,0,4,100", 20),
            };
            let mut state = deployment.site.state();
            let endpoint = state.endpoints.get_mut(id).unwrap();
            endpoint.load = Some(load);
            endpoint.work_time = Duration::from_millis(work_ms);
        }
        let before = deployment.site.state().arrivals.len();
        for number in 0..REQUESTS {
            let answer = vm.request(Method::POST, "/safe/a", &format!("{slow}-{number}"));
            assert_eq!(answer.status.as_u16(), 200);
        }
        let state = deployment.site.state();
        let arrivals = state.arrivals[before..].iter();
        let at_slow = arrivals.filter(|arrival| arrival.endpoint == slow).count();
        println!("{at_slow} of {REQUESTS} at {slow}");
        // A report counts for nothing after a second, so some try it again.
        assert!(at_slow * 5 <= REQUESTS * 2, "{at_slow} at {slow}");
    }
}

/// Items that share a prompt were spread over the engines, each of which read it.
#[test]
fn items_go_to_the_engine_that_read_their_prompt() {
    let plan = Plan {
        engines: 4,
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    let vm = &deployment.vms[0];
    let mut job = job("i", 3, 40);
    for (number, item) in job["items"].as_array_mut().unwrap().iter_mut().enumerate() {
        item["headers"]["Prompt-Prefix"] = format!("ab12:300,{number}:20").into();
        item["group"] = serde_json::Value::Null;
    }
    assert_eq!(vm.submit("job", &job), 202);
    wait("all items completed", || {
        vm.log().matches("item completed").count() == 3
    });
    let state = deployment.site.state();
    let arrivals = state.arrivals.iter();
    let engines = arrivals.filter(|arrival| arrival.endpoint.starts_with("engine"));
    let engines: Set<&str> = engines.map(|arrival| arrival.endpoint.as_str()).collect();
    assert_eq!(engines.len(), 1, "{engines:?}");
}
