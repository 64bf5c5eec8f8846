//! Counters and latency histograms in the text format of Prometheus.

use std::{rc::Rc, time::Duration};

use link::{http::server::Reply, telemetry::Telemetry};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

/// The bounds of the latency buckets, in seconds. They range from a local
/// response to the longest run of an item.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// The metrics of a VM.
#[derive(Clone)]
pub struct Metrics(Rc<Inner>);

struct Inner {
    telemetry: Telemetry,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    items: Counter<u64>,
    item_seconds: Histogram<f64>,
    jobs: Counter<u64>,
    peer_calls: Counter<u64>,
    permits: Counter<u64>,
    quarantined_requests: Counter<u64>,
    refuted_losses: Counter<u64>,
    crash_probes: Counter<u64>,
    store_calls: Gauge<u64>,
    endpoints: Gauge<u64>,
    usage_omitted_requests: Counter<u64>,
    log_lines_dropped: Counter<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let telemetry = Telemetry::new("tarragonseam-vm");
        let meter = telemetry.meter();
        let seconds = |name| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            histogram
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build()
        };
        Self(Rc::new(Inner {
            requests: telemetry.counter("tarragonseam_requests"),
            request_seconds: seconds("tarragonseam_request_duration"),
            attempts: telemetry.counter("tarragonseam_attempts"),
            items: telemetry.counter("tarragonseam_items"),
            item_seconds: seconds("tarragonseam_item_run_duration"),
            jobs: telemetry.counter("tarragonseam_jobs"),
            peer_calls: telemetry.counter("tarragonseam_peer_calls"),
            permits: telemetry.counter("tarragonseam_permits"),
            quarantined_requests: telemetry.counter("tarragonseam_quarantined_requests"),
            refuted_losses: telemetry.counter("tarragonseam_refuted_losses"),
            crash_probes: telemetry.counter("tarragonseam_crash_probes"),
            store_calls: meter.u64_gauge("tarragonseam_store_calls").build(),
            endpoints: meter.u64_gauge("tarragonseam_endpoints").build(),
            usage_omitted_requests: telemetry.counter("tarragonseam_usage_omitted_requests"),
            log_lines_dropped: telemetry.counter("tarragonseam_log_lines_dropped"),
            telemetry,
        }))
    }
}

impl Metrics {
    /// Records a request on `route` that ended with `status` after `time`.
    pub fn record_request(&self, route: &str, status: u16, time: Duration) {
        let route = KeyValue::new("route", route.to_string());
        let status = KeyValue::new("status", i64::from(status));
        self.0.requests.add(1, &[route.clone(), status]);
        self.0.request_seconds.record(time.as_secs_f64(), &[route]);
    }

    /// Records the result of sending a request to one endpoint of `service`.
    pub fn record_attempt(&self, service: &str, result: &'static str) {
        let service = KeyValue::new("service", service.to_string());
        self.0
            .attempts
            .add(1, &[service, KeyValue::new("result", result)]);
    }

    /// Records a run of an item that took `time`.
    pub fn record_item(&self, result: &'static str, time: Duration) {
        let result = [KeyValue::new("result", result)];
        self.0.items.add(1, &result);
        self.0.item_seconds.record(time.as_secs_f64(), &result);
    }

    /// Records an event of a job, such as its acceptance.
    pub fn record_job(&self, event: &'static str) {
        self.0.jobs.add(1, &[KeyValue::new("event", event)]);
    }

    /// Records a call from another VM about `subject`.
    pub fn record_peer_call(&self, subject: &str) {
        let subject = KeyValue::new("what", subject.to_string());
        self.0.peer_calls.add(1, &[subject]);
    }

    /// Records the result of asking for a permit to send a request to an
    /// endpoint with a rate limit.
    pub fn record_permit(&self, result: &'static str) {
        self.0.permits.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records a request that was not sent, since endpoints ended under it.
    pub fn record_quarantined_request(&self) {
        self.0.quarantined_requests.add(1, &[]);
    }

    /// Records that an endpoint did not end under a request, as it had seemed.
    pub fn record_refuted_loss(&self) {
        self.0.refuted_losses.add(1, &[]);
    }

    /// Records a claimed probe of a quarantine, and whether it was sent.
    pub fn record_crash_probe(&self, result: &'static str) {
        self.0
            .crash_probes
            .add(1, &[KeyValue::new("result", result)]);
    }

    /// Records that `requests` requests are in no usage report.
    pub fn record_omitted_usage(&self, requests: u64) {
        self.0.usage_omitted_requests.add(requests, &[]);
    }

    /// Records that the log dropped `count` lines.
    pub fn record_dropped_lines(&self, count: u64) {
        self.0.log_lines_dropped.add(count, &[]);
    }

    /// Returns the page with all metrics, with the current number of calls to
    /// the store and of endpoints.
    pub fn page(&self, store_calls: u64, endpoints: usize) -> Reply {
        self.0.store_calls.record(store_calls, &[]);
        self.0.endpoints.record(endpoints as u64, &[]);
        self.0.telemetry.metrics_page()
    }
}
