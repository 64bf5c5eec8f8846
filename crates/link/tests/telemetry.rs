//! Spans on their way to a collector, and when there is none.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use prost::Message;
use tarragonseam_link::{
    HeaderMap, StatusCode,
    http::{Limits, Reply, server},
    telemetry::Telemetry,
};

const WAIT: Duration = Duration::from_millis(20);
const TRIES: usize = 500;

type Names = Rc<RefCell<Vec<(String, Vec<u8>)>>>;

fn collect(names: &Names, body: &[u8]) {
    let request = ExportTraceServiceRequest::decode(body).unwrap();
    for resource in request.resource_spans {
        for scope in resource.scope_spans {
            let spans = scope.spans.into_iter();
            names
                .borrow_mut()
                .extend(spans.map(|span| (span.name, span.trace_id)));
        }
    }
}

fn start_collector(names: &Names) -> SocketAddr {
    let listener = tarragonseam_link::net::listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let names = names.clone();
    let drain = server::Drain::default();
    monoio::spawn(server::serve(
        listener,
        Limits::new(),
        drain,
        move |request| {
            assert_eq!(request.uri.path(), "/v1/traces");
            collect(&names, &request.body);
            async { Reply::new(StatusCode::OK, "") }
        },
    ));
    address
}

async fn wait_until(mut met: impl FnMut() -> bool) {
    for _ in 0..TRIES {
        if met() {
            return;
        }
        monoio::time::sleep(WAIT).await;
    }
    panic!("not met in time");
}

#[test]
fn export_nested_spans() {
    tarragonseam_link::runtime::run(async {
        let names = Names::default();
        let telemetry = Telemetry::new("test");
        telemetry.export_to(start_collector(&names));
        let outer = telemetry.accept("outer", &HeaderMap::new());
        drop(outer.child("inner"));
        drop(outer);
        wait_until(|| names.borrow().len() == 2).await;
        let seen = names.borrow();
        assert_eq!(seen[0].0, "inner");
        assert_eq!(seen[1].0, "outer");
        assert_eq!(seen[0].1, seen[1].1);
    })
    .unwrap();
}

#[test]
fn export_collector_gone() {
    tarragonseam_link::runtime::run(async {
        let telemetry = Telemetry::new("test");
        telemetry.export_to(SocketAddr::from(([127, 0, 0, 1], 1)));
        drop(telemetry.accept("lost", &HeaderMap::new()));
        let is_counted = || {
            let text = telemetry.render();
            let mut lines = text.lines();
            lines.any(|line| line.starts_with("tarragonseam_spans_dropped") && line.ends_with(" 1"))
        };
        wait_until(is_counted).await;
    })
    .unwrap();
}

#[test]
fn accept_caller_trace() {
    let telemetry = Telemetry::new("test");
    let mut headers = HeaderMap::new();
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let context = format!("00-{trace}-00f067aa0ba902b7-01");
    headers.insert("traceparent", context.parse().unwrap());
    let span = telemetry.accept("caller", &headers);
    assert_eq!(span.trace(), trace);
    let mut sent = HeaderMap::new();
    span.child("attempt").inject(&mut sent);
    let passed = sent["traceparent"].to_str().unwrap();
    assert!(passed.contains(trace) && passed != context, "{passed}");
}
