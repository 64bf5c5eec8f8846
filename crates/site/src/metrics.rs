//! Counters and latency histograms in the text format of Prometheus.

use std::{rc::Rc, time::Duration};

use link::{
    http::{
        opening::Cause,
        server::{Drain, Reply},
    },
    telemetry::Telemetry,
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use platform::store::{Outcome, Purpose};

use crate::job::record::ContentName;

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
    placements: Counter<u64>,
    items: Counter<u64>,
    item_seconds: Histogram<f64>,
    jobs: Counter<u64>,
    scheduled_slots: Counter<u64>,
    groups_put_last: Counter<u64>,
    peer_calls: Counter<u64>,
    permits: Counter<u64>,
    quarantined_requests: Counter<u64>,
    evacuated_domains: Gauge<u64>,
    withheld_attempts: Counter<u64>,
    cold_endpoints: Gauge<u64>,
    refuted_losses: Counter<u64>,
    crash_probes: Counter<u64>,
    store_calls: Gauge<u64>,
    store_call_results: Counter<u64>,
    endpoint_connections: Counter<u64>,
    endpoints: Gauge<u64>,
    refused_callers: Gauge<u64>,
    caller_memory_bytes: Gauge<u64>,
    caller_connections: Gauge<u64>,
    usage_omitted_requests: Counter<u64>,
    log_lines_dropped: Counter<u64>,
}

/// The highest rank that has a label of its own. Configurations name a few ranks.
const RANK_LABEL_MAX: u8 = 9;

fn rank_label(rank: u8) -> KeyValue {
    KeyValue::new("rank", i64::from(rank.min(RANK_LABEL_MAX)))
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
            placements: telemetry.counter("tarragonseam_placements"),
            items: telemetry.counter("tarragonseam_items"),
            item_seconds: seconds("tarragonseam_item_run_duration"),
            jobs: telemetry.counter("tarragonseam_jobs"),
            scheduled_slots: telemetry.counter("tarragonseam_scheduled_slots"),
            groups_put_last: telemetry.counter("tarragonseam_groups_put_last"),
            peer_calls: telemetry.counter("tarragonseam_peer_calls"),
            permits: telemetry.counter("tarragonseam_permits"),
            quarantined_requests: telemetry.counter("tarragonseam_quarantined_requests"),
            evacuated_domains: meter.u64_gauge("tarragonseam_evacuated_domains").build(),
            withheld_attempts: telemetry.counter("tarragonseam_withheld_attempts"),
            cold_endpoints: meter.u64_gauge("tarragonseam_cold_endpoints").build(),
            refuted_losses: telemetry.counter("tarragonseam_refuted_losses"),
            crash_probes: telemetry.counter("tarragonseam_crash_probes"),
            store_calls: meter.u64_gauge("tarragonseam_store_calls").build(),
            store_call_results: telemetry.counter("tarragonseam_store_call_results"),
            endpoint_connections: telemetry.counter("tarragonseam_endpoint_connections"),
            endpoints: meter.u64_gauge("tarragonseam_endpoints").build(),
            refused_callers: meter.u64_gauge("tarragonseam_refused_callers").build(),
            caller_memory_bytes: meter.u64_gauge("tarragonseam_caller_memory_bytes").build(),
            caller_connections: meter.u64_gauge("tarragonseam_caller_connections").build(),
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

    /// Records the choice of an endpoint that offers a request `benefit`: that it
    /// holds the prompt, an idle connection, or neither.
    pub fn record_placement(&self, benefit: &'static str) {
        self.0
            .placements
            .add(1, &[KeyValue::new("benefit", benefit)]);
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

    /// Records that an item of a job of `rank` got a slot.
    pub fn record_scheduled_slot(&self, rank: u8) {
        self.0.scheduled_slots.add(1, &[rank_label(rank)]);
    }

    /// Records that a group of a job of `rank` was put after others while slots
    /// were scarce.
    pub fn record_group_put_last(&self, rank: u8, reason: &'static str) {
        let reason = KeyValue::new("reason", reason);
        self.0.groups_put_last.add(1, &[rank_label(rank), reason]);
    }

    /// Records a call from another VM about `subject`.
    pub fn record_peer_call(&self, subject: &str) {
        let subject = KeyValue::new("what", subject.to_string());
        self.0.peer_calls.add(1, &[subject]);
    }

    /// Records a call to the store that ended. All kinds with the content of a job
    /// count as one.
    pub fn record_store_call(&self, kind: &str, purpose: Purpose, outcome: Outcome) {
        let kind = match ContentName::is_kind(kind) {
            true => "job-content",
            false => kind,
        };
        let labels = [
            KeyValue::new("kind", kind.to_string()),
            KeyValue::new("purpose", purpose.name()),
            KeyValue::new("result", outcome.name()),
        ];
        self.0.store_call_results.add(1, &labels);
    }

    /// Records a connection that was opened to an endpoint.
    pub fn record_endpoint_connection(&self, cause: Cause) {
        let cause = [KeyValue::new("cause", cause.name())];
        self.0.endpoint_connections.add(1, &cause);
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

    /// Records that `count` failure domains are evacuated.
    pub fn record_evacuated_domains(&self, count: usize) {
        self.0.evacuated_domains.record(count as u64, &[]);
    }

    /// Records an attempt that was not sent to the endpoint that was chosen for it.
    pub fn record_withheld_attempt(&self, reason: &'static str) {
        let reason = KeyValue::new("reason", reason);
        self.0.withheld_attempts.add(1, &[reason]);
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

    /// Records what the callers of the server of `drain` use, and what it has
    /// refused since the start.
    pub fn record_callers(&self, drain: &Drain) {
        for (reason, count) in drain.refusals() {
            let reason = [KeyValue::new("reason", reason)];
            self.0.refused_callers.record(count, &reason);
        }
        let (memory, connections) = (drain.memory().used_bytes(), drain.open_connections());
        self.0.caller_memory_bytes.record(memory as u64, &[]);
        self.0.caller_connections.record(connections as u64, &[]);
    }

    /// Returns the page with all metrics, with the current number of calls to
    /// the store, of endpoints and of cold ones.
    pub fn page(&self, store_calls: u64, endpoints: usize, cold_endpoints: usize) -> Reply {
        self.0.store_calls.record(store_calls, &[]);
        self.0.endpoints.record(endpoints as u64, &[]);
        self.0.cold_endpoints.record(cold_endpoints as u64, &[]);
        self.0.telemetry.metrics_page()
    }
}
