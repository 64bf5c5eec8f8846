//! End-to-end tests of endpoints that name a rate limit.

mod common;

use std::{thread, time::Duration};

use common::{Deployment, header, job, wait};
use fakes::site::Plan;
use link::Method;

/// The limit that endpoints name, in requests per second.
const LIMIT: f64 = 2.0;
/// The time over which the platform counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Sets the limit that the endpoint `id` names.
fn set_limit(deployment: &Deployment, id: &str, limit: Option<f64>) {
    let mut state = deployment.site.state();
    state.endpoints.get_mut(id).unwrap().rate_limit = limit;
}

/// Returns the largest number of requests that reached `endpoint` within
/// [`WINDOW`], without the first `skipped` ones.
fn peak(deployment: &Deployment, endpoint: &str, skipped: usize) -> usize {
    let state = deployment.site.state();
    let arrivals = state.arrivals.iter();
    let at: Vec<_> = arrivals
        .filter(|arrival| arrival.endpoint == endpoint)
        .skip(skipped)
        .map(|arrival| arrival.at)
        .collect();
    let within = |from| {
        at.iter()
            .filter(move |at| **at >= from && **at < from + WINDOW)
    };
    at.iter()
        .map(|from| within(*from).count())
        .max()
        .unwrap_or(0)
}

/// The most requests that the platform accepts within [`WINDOW`].
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64()) as usize + 5
}

/// Sends 20 requests to each VM within about two seconds, and returns the
/// statuses.
fn send_many(deployment: &Deployment, prefix: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..20 {
        for vm in &deployment.vms {
            let id = format!("{prefix}-{}-{number}", vm.name);
            let answer = vm.request(Method::POST, "/safe/a", &id);
            statuses.push(answer.status.as_u16());
        }
        thread::sleep(Duration::from_millis(100));
    }
    statuses
}

/// One endpoint of each service.
fn single_endpoints() -> Plan {
    Plan {
        engines: 1,
        plain: 1,
        ..Plan::default()
    }
}

#[test]
fn endpoint_rate_limit_exceeded_by_requests() {
    let deployment = Deployment::start(3, single_endpoints());
    set_limit(&deployment, "plain-0", Some(LIMIT));
    for vm in &deployment.vms {
        assert_eq!(vm.request(Method::POST, "/safe/a", &vm.name).status, 200);
    }
    let statuses = send_many(&deployment, "r");
    let count = |status| statuses.iter().filter(|s| **s == status).count();
    assert!(peak(&deployment, "plain-0", 3) <= allowed(), "{statuses:?}");
    assert!(count(200) >= 2, "{statuses:?}");
    assert_eq!(count(200) + count(503), statuses.len(), "{statuses:?}");
}

#[test]
fn endpoint_rate_limit_exceeded_by_items() {
    let deployment = Deployment::start(2, Plan::default());
    set_limit(&deployment, "engine-0", Some(LIMIT));
    set_limit(&deployment, "plain-0", Some(LIMIT));
    assert_eq!(deployment.vms[0].submit("j1", &job("i", 60, 1)), 202);
    deployment.vms[0].read_all("j1", 60);
    // Items that started together learn the limit from the first response.
    assert!(peak(&deployment, "engine-0", 4) <= allowed());
    assert!(peak(&deployment, "plain-0", 4) <= allowed());
}

#[test]
fn endpoint_rate_limit_ended() {
    let deployment = Deployment::start(3, single_endpoints());
    set_limit(&deployment, "plain-0", Some(LIMIT));
    send_many(&deployment, "limited");
    set_limit(&deployment, "plain-0", None);
    for vm in &deployment.vms {
        wait("a VM that learns the end of the limit", || {
            let statuses = (0..5).map(|number| {
                let id = format!("{}-{number}", vm.name);
                vm.request(Method::POST, "/safe/a", &id).status.as_u16()
            });
            statuses.collect::<Vec<u16>>() == [200; 5]
        });
    }
    let statuses = send_many(&deployment, "free");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[test]
fn endpoint_rate_limit_exceeded_by_streams() {
    let deployment = Deployment::start(3, single_endpoints());
    common::add_stream_route(&deployment, true);
    set_limit(&deployment, "engine-0", Some(LIMIT));
    for vm in &deployment.vms {
        assert_eq!(vm.request(Method::POST, "/stream/a", &vm.name).status, 200);
    }
    for number in 0..20 {
        for vm in &deployment.vms {
            let id = format!("{}-{number}", vm.name);
            vm.request(Method::POST, "/stream/a", &id);
        }
        thread::sleep(Duration::from_millis(50));
    }
    assert!(peak(&deployment, "engine-0", 3) <= allowed());
}

#[test]
fn rate_limited_endpoint_without_a_coordinator() {
    let mut deployment = Deployment::start_with_coordinators(2, 1, single_endpoints());
    set_limit(&deployment, "plain-0", Some(LIMIT));
    let first = deployment.vms[1].request(Method::POST, "/safe/a", "r1");
    assert_eq!(first.status, 200);
    deployment.vms[0].kill();
    let rejected = deployment.vms[1].request(Method::POST, "/safe/a", "r2");
    assert_eq!(rejected.status, 503);
    let retry_after: f64 = header(&rejected, "retry-after").parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
    assert!(deployment.site.state().arrivals_of("r2").is_empty());
    deployment.vms[0].restart();
    wait("a permit of the restarted coordinator", || {
        deployment.vms[1]
            .request(Method::POST, "/safe/a", "r3")
            .status
            == 200
    });
}

#[test]
fn rate_limit_end_learned_from_a_coordinator() {
    let deployment = Deployment::start_with_coordinators(2, 1, single_endpoints());
    set_limit(&deployment, "plain-0", Some(0.0));
    for vm in &deployment.vms {
        assert_eq!(vm.request(Method::POST, "/safe/a", &vm.name).status, 200);
    }
    set_limit(&deployment, "plain-0", None);
    for vm in &deployment.vms {
        wait("a request after the end of the limit", || {
            vm.request(Method::POST, "/safe/a", "again").status == 200
        });
    }
    // One permit of the coordinator's was enough for both VMs.
    let ended = "rate limit of an endpoint ended";
    for vm in &deployment.vms {
        vm.wait_until_logged(ended);
    }
    assert_eq!(deployment.site.state().arrivals_of("again").len(), 2);
}

#[test]
fn request_rejected_beside_an_endpoint_without_limit() {
    let plan = Plan {
        plain: 6,
        ..single_endpoints()
    };
    let deployment = Deployment::start(1, plan);
    let vm = &deployment.vms[0];
    // The endpoint without a limit is the last choice.
    let mut state = deployment.site.state();
    state.endpoints.get_mut("plain-5").unwrap().domain = "zone-b";
    state.announce("plain-5", "ready");
    drop(state);
    for number in 0..5 {
        set_limit(&deployment, &format!("plain-{number}"), Some(0.0));
    }
    let limited = || vm.log().matches("endpoint names a rate limit").count();
    wait("a VM that knows five limits", || {
        assert_eq!(vm.request(Method::POST, "/safe/a", "learn").status, 200);
        limited() == 5
    });
    // Denials are forgotten after two seconds.
    thread::sleep(Duration::from_millis(2100));
    assert_eq!(vm.request(Method::POST, "/safe/a", "r1").status, 200);
}
