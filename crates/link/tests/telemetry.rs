//! Export of spans to a collector, also when the collector is unreachable, and
//! the propagation of trace contexts.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use prost::Message;
use tarragonseam_link::{
    HeaderMap, StatusCode,
    http::{Limits, Reply, server},
    telemetry::Telemetry,
};

const POLL_PERIOD: Duration = Duration::from_millis(20);
const POLLS_MAX: usize = 500;

type Spans = Rc<RefCell<Vec<(String, Vec<u8>)>>>;

fn collect(spans: &Spans, body: &[u8]) {
    let request = ExportTraceServiceRequest::decode(body).unwrap();
    for resource in request.resource_spans {
        for scope in resource.scope_spans {
            let ended = scope.spans.into_iter();
            spans
                .borrow_mut()
                .extend(ended.map(|span| (span.name, span.trace_id)));
        }
    }
}

fn start_collector(spans: &Spans) -> SocketAddr {
    let listener = tarragonseam_link::net::listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let spans = spans.clone();
    let drain = server::Drain::default();
    monoio::spawn(server::serve(
        listener,
        Limits::new(),
        drain,
        move |request| {
            assert_eq!(request.uri.path(), "/v1/traces");
            collect(&spans, &request.body);
            async { Reply::new(StatusCode::OK, "") }
        },
    ));
    address
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..POLLS_MAX {
        if condition() {
            return;
        }
        monoio::time::sleep(POLL_PERIOD).await;
    }
    panic!("condition not met within the time limit");
}

#[test]
fn export_nested_spans() {
    tarragonseam_link::runtime::run(async {
        let spans = Spans::default();
        let telemetry = Telemetry::new("test");
        telemetry.export_to(start_collector(&spans));
        let outer = telemetry.start_span("outer", &HeaderMap::new());
        drop(outer.child("inner"));
        drop(outer);
        wait_until(|| spans.borrow().len() == 2).await;
        let seen = spans.borrow();
        assert_eq!(seen[0].0, "inner");
        assert_eq!(seen[1].0, "outer");
        assert_eq!(seen[0].1, seen[1].1);
    })
    .unwrap();
}

#[test]
fn export_without_collector() {
    tarragonseam_link::runtime::run(async {
        let telemetry = Telemetry::new("test");
        telemetry.export_to(SocketAddr::from(([127, 0, 0, 1], 1)));
        drop(telemetry.start_span("lost", &HeaderMap::new()));
        let is_drop_counted = || {
            let text = telemetry.render();
            let mut lines = text.lines();
            lines.any(|line| line.starts_with("tarragonseam_spans_dropped") && line.ends_with(" 1"))
        };
        wait_until(is_drop_counted).await;
    })
    .unwrap();
}

#[test]
fn start_span_in_caller_trace() {
    let telemetry = Telemetry::new("test");
    let mut headers = HeaderMap::new();
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let context = format!("00-{trace}-00f067aa0ba902b7-01");
    headers.insert("traceparent", context.parse().unwrap());
    let span = telemetry.start_span("caller", &headers);
    assert_eq!(span.trace_id(), trace);
    let mut sent = HeaderMap::new();
    span.child("attempt").inject(&mut sent);
    let forwarded = sent["traceparent"].to_str().unwrap();
    assert!(
        forwarded.contains(trace) && forwarded != context,
        "{forwarded}"
    );
}
