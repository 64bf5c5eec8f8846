//! Tests of calls that are forwarded to coordinators.

use fakes::script::{self, Answer};
use link::{HeaderMap, Method, http::Request, runtime};
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
        let proxy = Proxy::new(Coordinators::new(vec![coordinator], None));
        let first = proxy.submit(&None, &submission()).await;
        assert!(first.is_ok(), "{first:?}");
        // The coordinator may have accepted the job before the idle connection
        // closed.
        let second = proxy.submit(&None, &submission()).await;
        assert_eq!(second.err(), Some(Execution::Unknown));
    };
    runtime::run(run).unwrap();
}
