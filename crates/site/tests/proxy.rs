//! Tests of calls that are forwarded to coordinators.

use fakes::script::{self, Answer};
use link::{HeaderMap, Method, StatusCode, http::Request, runtime};
use platform::batch;
use policy::execution::Execution;
use tarragonseam_site::{coordinator::Coordinators, job::proxy::Proxy};

fn submission() -> Request {
    Request {
        method: Method::POST,
        uri: "/jobs-here/step".parse().unwrap(),
        headers: HeaderMap::new(),
        body: "{}".into(),
        peer: ([127, 0, 0, 1], 9).into(),
    }
}

#[test]
fn submit_rejected_when_sent_again() {
    let connections = vec![
        vec![Answer::Status(202), Answer::Close],
        vec![Answer::Status(503)],
    ];
    let coordinator = script::spawn(connections).unwrap();
    let run = async {
        let proxy = Proxy::new(Coordinators::new(vec![coordinator.address], None));
        let first = proxy.submit(&None, &submission()).await;
        assert!(first.is_ok(), "{first:?}");
        // The coordinator may have accepted the job before the idle connection
        // closed.
        let second = proxy.submit(&None, &submission()).await;
        assert_eq!(second.err(), Some(Execution::Unknown));
        assert_eq!(coordinator.requests(), 3);
    };
    runtime::run(run).unwrap();
}

#[test]
fn end_rejected_when_sent_again() {
    let connections = vec![
        vec![Answer::Status(200), Answer::Close],
        vec![Answer::Status(503)],
    ];
    let coordinator = script::spawn(connections).unwrap();
    let request = Request {
        method: Method::DELETE,
        uri: "/lots/job-a".parse().unwrap(),
        body: "".into(),
        ..submission()
    };
    let run = async {
        let proxy = Proxy::new(Coordinators::new(vec![coordinator.address], None));
        let call = batch::parse_call(&request).unwrap();
        let first = proxy.forward(&None, &call, &request).await;
        assert!(first.is_ok(), "{first:?}");
        // The coordinator may have ended the job before the idle connection
        // closed.
        let second = proxy.forward(&None, &call, &request).await;
        let status = second.map(|reply| reply.status());
        assert_ne!(status, Ok(StatusCode::SERVICE_UNAVAILABLE));
        assert_ne!(status, Err(Execution::NotRun));
        assert_eq!(coordinator.requests(), 3);
    };
    runtime::run(run).unwrap();
}
