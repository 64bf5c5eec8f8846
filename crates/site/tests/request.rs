//! End-to-end tests of callers' requests.

mod common;

use std::{io::Write, net::TcpStream, thread};

use common::{Deployment, KEY, caller, header, wait};
use fakes::{
    script::{self, Answer, Script},
    site::{ENGINE_SERVICE, Fault, PLAIN_SERVICE, Plan},
};
use link::{Method, http::client::Call};

#[test]
fn request_answered() {
    let deployment = Deployment::start(1, Plan::default());
    let answer = deployment.vms[0].request(Method::POST, "/safe/a?b=c", "r1");
    assert_eq!(answer.status, 200);
    assert_eq!(&answer.body[..], b"answer to r1");
    assert_eq!(header(&answer, "request-id"), "r1");
    assert!(header(&answer, "server-stamp").ends_with(".r1"));
    let arrivals = deployment.site.state().arrivals_of("r1");
    assert_eq!(arrivals.len(), 1);
    assert_eq!(arrivals[0].path, "/safe/a");
    assert_eq!(arrivals[0].account.as_deref(), Some("acme"));
    assert!(
        arrivals[0]
            .deadline_ms
            .is_some_and(|ms| ms > 1000 && ms <= 2000)
    );
}

/// Starts a VM whose only endpoint of the plain service is `script`.
fn start_with_script(script: &Script) -> Deployment {
    let plan = Plan {
        plain: 0,
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    common::announce_script(&deployment, PLAIN_SERVICE, script);
    deployment
}

#[test]
fn request_rejected_when_sent_again() {
    let connections = vec![
        vec![Answer::Status(200), Answer::Close],
        vec![Answer::NotRun],
    ];
    let script = script::spawn(connections).unwrap();
    let deployment = start_with_script(&script);
    let vm = &deployment.vms[0];
    assert_eq!(vm.request(Method::GET, "/safe/a", "r1").status, 200);
    // The endpoint may have run the request before the idle connection closed.
    assert_eq!(vm.request(Method::GET, "/safe/a", "r2").status, 504);
    assert_eq!(script.requests(), 3);
}

#[test]
fn unsafe_request_with_late_rejection_runs_once() {
    let connections = vec![
        vec![Answer::NotRun, Answer::BodyAfterLateNotRun("first run")],
        vec![Answer::Body("second connection")],
    ];
    let script = script::spawn(connections).unwrap();
    let deployment = start_with_script(&script);
    let answer = deployment.vms[0].request(Method::POST, "/unsafe/a", "r1");
    assert_eq!((answer.status.as_u16(), script.runs()), (200, 1));
}

#[test]
fn unsafe_request_with_late_rejection_is_not_rejected() {
    let rejections = vec![vec![Answer::NotRun]; 8];
    let first = vec![Answer::NotRun, Answer::BodyAfterLateNotRun("first run")];
    let script = script::spawn([vec![first], rejections].concat()).unwrap();
    let deployment = start_with_script(&script);
    let answer = deployment.vms[0].request(Method::POST, "/unsafe/a", "r1");
    assert_eq!((answer.status.as_u16(), script.runs()), (503, 0));
}

#[test]
fn request_without_route_or_key() {
    let deployment = Deployment::start(1, Plan::default());
    let vm = &deployment.vms[0];
    assert_eq!(vm.request(Method::GET, "/nowhere/a", "r1").status, 404);
    let keyless = Call::get("/safe/a")
        .host(common::HOST)
        .header("request-id", "r2");
    assert_eq!(vm.send(keyless).status, 401);
    let unknown = caller(Method::GET, "/safe/a", "r3").header("x-api-key", "nobody's");
    assert_eq!(vm.send(unknown).status, 401);
    let public = Call::get("/score/a")
        .host(common::HOST)
        .header("request-id", "r4");
    assert_eq!(vm.send(public).status, 200);
    let state = deployment.site.state();
    let ran: Vec<&str> = state
        .arrivals
        .iter()
        .map(|arrival| arrival.id.as_str())
        .collect();
    assert_eq!(ran, ["r4"]);
}

#[test]
fn request_with_two_keys() {
    let deployment = Deployment::start(1, Plan::default());
    let mut headers = link::HeaderMap::new();
    headers.append("x-api-key", KEY.parse().unwrap());
    headers.append("x-api-key", "key-of-other".parse().unwrap());
    headers.append("request-id", "r1".parse().unwrap());
    let call = Call::get("/safe/a").headers(headers).host(common::HOST);
    assert_eq!(deployment.vms[0].send(call).status, 401);
    assert!(deployment.site.state().arrivals.is_empty());
}

#[test]
fn safe_request_retried_elsewhere() {
    let deployment = Deployment::start(1, Plan::default());
    for (id, change) in [("turned-away", 0), ("failed", 1), ("mute", 2)] {
        {
            let mut state = deployment.site.state();
            for endpoint in state.endpoints.values_mut() {
                endpoint.faults = Default::default();
            }
            let first = state.endpoints.get_mut("plain-0").unwrap();
            match change {
                0 => first.faults.rejects = 1000,
                1 => first.faults.errors = 1000,
                _ => first.faults.dropped_replies = 1000,
            }
        }
        for number in 0..4 {
            let id = format!("{id}-{number}");
            let answer = deployment.vms[0].request(Method::POST, "/safe/a", &id);
            assert_eq!(answer.status, 200, "{id}");
        }
    }
}

#[test]
fn unsafe_request_not_repeated() {
    let deployment = Deployment::start(1, Plan::default());
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.dropped_replies = 1;
    }
    let answer = deployment.vms[0].request(Method::POST, "/unsafe/a", "r1");
    assert_eq!(answer.status, 504);
    assert_eq!(deployment.site.state().arrivals_of("r1").len(), 1);
}

/// Returns a deployment that has answered four unsafe requests while one of its
/// endpoints rejected all.
fn deployment_with_rejecting_endpoint() -> Deployment {
    let deployment = Deployment::start(1, Plan::default());
    let mut state = deployment.site.state();
    state.endpoints.get_mut("plain-0").unwrap().faults.rejects = 1000;
    drop(state);
    for number in 0..4 {
        let answer = deployment.vms[0].request(Method::POST, "/unsafe/a", &format!("r{number}"));
        assert_eq!(answer.status, 200);
    }
    deployment
}

#[test]
fn unsafe_request_retried_after_rejection() {
    deployment_with_rejecting_endpoint();
}

#[test]
fn request_rejected_by_all() {
    let deployment = Deployment::start(1, Plan::default());
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.rejects = 1000;
    }
    let answer = deployment.vms[0].request(Method::POST, "/unsafe/a", "r1");
    assert_eq!(answer.status, 503);
    assert!(header(&answer, "retry-after").parse::<f64>().is_ok());
    assert!(header(&answer, "server-stamp").is_empty());
}

#[test]
fn request_during_store_outage() {
    let deployment = Deployment::start(1, Plan::default());
    deployment.site.state().fault = Fault::Unavailable;
    for number in 0..3 {
        let answer = deployment.vms[0].request(Method::POST, "/safe/a", &format!("r{number}"));
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn request_with_withdrawn_key() {
    let deployment = Deployment::start(2, Plan::default());
    let mut config = common::config(4);
    config["tenants"][0]["api-keys"] = serde_json::json!([]);
    deployment.site.state().put("config", "main", config);
    for vm in &deployment.vms {
        let mut number = 0;
        common::wait("a rejection of the key", || {
            number += 1;
            vm.request(Method::GET, "/safe/a", &format!("r{number}"))
                .status
                == 401
        });
    }
    // An older configuration does not replace a newer one.
    deployment
        .site
        .state()
        .put("config", "main", common::config(2));
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert_eq!(
        deployment.vms[0]
            .request(Method::GET, "/safe/a", "again")
            .status,
        401
    );
}

#[test]
fn endpoint_record_invalid() {
    let deployment = Deployment::start(1, Plan::default());
    {
        let mut state = deployment.site.state();
        for (name, record) in [
            (
                "odd-1",
                serde_json::json!({"service": fakes::site::PLAIN_SERVICE}),
            ),
            ("odd-2", serde_json::json!("text")),
            (
                "odd-3",
                serde_json::json!({"service": 7, "address": "nowhere", "state": "lost"}),
            ),
        ] {
            state.put("servers", name, record);
        }
    }
    for number in 0..4 {
        let answer = deployment.vms[0].request(Method::POST, "/safe/a", &format!("r{number}"));
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn endpoint_draining_or_removed() {
    let deployment = Deployment::start(1, Plan::default());
    deployment.site.state().announce("plain-0", "draining");
    deployment.site.state().remove("servers", "engine-0");
    common::wait("the changes of the endpoints", || {
        let log = deployment.vms[0].log();
        log.contains("endpoint is draining") && log.contains("endpoint removed")
    });
    for number in 0..6 {
        let answer = deployment.vms[0].request(Method::POST, "/safe/a", &format!("r{number}"));
        assert_eq!(answer.status, 200);
    }
    let state = deployment.site.state();
    assert!(
        state
            .arrivals
            .iter()
            .all(|arrival| arrival.endpoint == "plain-1")
    );
}

/// Returns the body of an event stream with six events for the request `id`.
fn stream_body(id: &str) -> String {
    let events = (0..6).map(|n| format!("id: {n}\ndata: {}\n\n", fakes::site::event_text(id, n)));
    events.collect()
}

#[test]
fn stream_relayed() {
    let deployment = Deployment::start(1, Plan::default());
    common::add_stream_route(&deployment, false);
    let call = caller(Method::POST, "/stream/a", "s1").header("x-events", "6");
    let answer = deployment.vms[0].send(call);
    assert_eq!(answer.status, 200);
    assert_eq!(String::from_utf8_lossy(&answer.body), stream_body("s1"));
    assert!(header(&answer, "server-stamp").ends_with(".stamp"));
}

#[test]
fn stream_cut_resumed_if_allowed() {
    for is_resumable in [true, false] {
        let deployment = Deployment::start(1, Plan::default());
        common::add_stream_route(&deployment, is_resumable);
        for endpoint in deployment.site.state().endpoints.values_mut() {
            endpoint.faults.cut_after = Some(2);
        }
        let call = caller(Method::POST, "/stream/a", "s1").header("x-events", "6");
        let answer = fakes::blocking::fetch(deployment.vms[0].callers, call);
        let arrivals = deployment.site.state().arrivals_of("s1");
        match is_resumable {
            true => {
                // The second endpoint would also cut after event 2. It starts
                // after that event, so its stream is complete.
                assert_eq!(
                    String::from_utf8_lossy(&answer.unwrap().body),
                    stream_body("s1")
                );
                assert_eq!(arrivals[1].last_event_id, Some(2));
            }
            // An incomplete body must not look complete to the caller.
            false => {
                assert!(answer.is_err(), "{answer:?}");
                assert_eq!(arrivals.len(), 1);
            }
        }
    }
}

#[test]
fn endpoint_records_expired_together() {
    let deployment = Deployment::start(
        1,
        Plan {
            plain: 3,
            ..Plan::default()
        },
    );
    {
        let mut state = deployment.site.state();
        for id in ["plain-0", "plain-1", "plain-2"] {
            state.remove("servers", id);
        }
    }
    common::wait("the missing records", || {
        deployment.vms[0].log().contains("endpoint record missing")
    });
    assert_eq!(
        deployment.vms[0]
            .request(Method::POST, "/safe/a", "r1")
            .status,
        200
    );
    deployment.site.state().announce("plain-1", "ready");
    common::wait("the removal of the other endpoints", || {
        deployment.vms[0].log().matches("endpoint removed").count() == 2
    });
    for number in 0..3 {
        let id = format!("s{number}");
        assert_eq!(
            deployment.vms[0]
                .request(Method::POST, "/safe/a", &id)
                .status,
            200
        );
        let state = deployment.site.state();
        assert_eq!(state.arrivals_of(&id)[0].endpoint, "plain-1");
    }
}

/// A deployment of one VM whose only endpoint of `service` never answers, and
/// that endpoint. The first VM has a route of event streams.
fn deployment_with_silent_endpoint(service: &str) -> (Deployment, Script) {
    let plan = Plan {
        engines: usize::from(service != ENGINE_SERVICE),
        plain: usize::from(service != PLAIN_SERVICE),
        ..Plan::default()
    };
    let deployment = Deployment::start(1, plan);
    let script = script::spawn(vec![vec![Answer::Silence]]).unwrap();
    common::announce_script(&deployment, service, &script);
    common::add_stream_route(&deployment, false);
    (deployment, script)
}

fn wait_until_reported(deployment: &Deployment, requests: u64) {
    let reported = || deployment.site.state().reported_requests();
    wait("reports of all requests", || reported() >= requests);
    assert_eq!(reported(), requests);
}

/// Checks that a request on `path` counts whose caller leaves before the endpoint,
/// which is of `service`, answers.
fn check_count_after_caller_has_left(path: &str, service: &str) {
    let (deployment, script) = deployment_with_silent_endpoint(service);
    let mut stream = TcpStream::connect(deployment.vms[0].callers).unwrap();
    let host = common::HOST;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {host}\r\nx-api-key: {KEY}\r\nrequest-id: r1\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    wait("the request", || script.requests() == 1);
    drop(stream);
    wait_until_reported(&deployment, 1);
}

#[test]
fn request_counted_after_caller_has_left() {
    check_count_after_caller_has_left("/unsafe/a", PLAIN_SERVICE);
}

#[test]
fn stream_counted_after_caller_has_left() {
    check_count_after_caller_has_left("/stream/a", ENGINE_SERVICE);
}

#[test]
fn request_counted_although_it_outlasts_its_window() {
    let (deployment, script) = deployment_with_silent_endpoint(ENGINE_SERVICE);
    let vm = &deployment.vms[0];
    thread::scope(|scope| {
        scope.spawn(|| {
            let call = caller(Method::POST, "/stream/a", "r1").header("deadline-ms", "4000");
            assert_eq!(vm.send(call).status, 504);
        });
        wait("the long request", || script.requests() == 1);
        // A short one in the same window, which is submitted before the long one ends.
        assert_eq!(vm.request(Method::GET, "/safe/a", "r2").status, 200);
    });
    wait_until_reported(&deployment, 2);
}

#[test]
fn rejected_request_not_counted() {
    let deployment = deployment_with_rejecting_endpoint();
    assert!(deployment.site.state().arrivals.len() > 4);
    wait_until_reported(&deployment, 4);
}
