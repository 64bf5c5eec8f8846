//! The metrics of the daemon.

use link::{http::tls, telemetry::Telemetry};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge},
};

/// Counters and gauges, served at `/metrics`.
#[derive(Debug)]
pub(crate) struct Metrics {
    /// Requests by kind and result.
    requests: Counter<u64>,
    /// Attempts on endpoints by result.
    attempts: Counter<u64>,
    /// Probes of endpoints that timed out, by result.
    probes: Counter<u64>,
    /// Samples by result.
    samples: Counter<u64>,
    /// Usage records by result.
    usage: Counter<u64>,
    /// The number of usage records in memory.
    usage_open: Gauge<u64>,
    /// Lots by result.
    lots: Counter<u64>,
    /// Tokens that were generated but not used, by reason.
    wasted_tokens: Counter<u64>,
    /// Copies of bulk data by result.
    bulk: Counter<u64>,
    /// TLS handshakes and reloads of the certificate, by result.
    tls: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new(telemetry: &Telemetry) -> Self {
        Self {
            requests: telemetry.counter("tarragonseam_requests"),
            attempts: telemetry.counter("tarragonseam_attempts"),
            probes: telemetry.counter("tarragonseam_probes"),
            samples: telemetry.counter("tarragonseam_samples"),
            usage: telemetry.counter("tarragonseam_usage_records"),
            usage_open: telemetry
                .meter()
                .u64_gauge("tarragonseam_usage_open_records")
                .build(),
            lots: telemetry.counter("tarragonseam_lots"),
            wasted_tokens: telemetry.counter("tarragonseam_wasted_tokens"),
            bulk: telemetry.counter("tarragonseam_bulk_copies"),
            tls: telemetry.counter("tarragonseam_tls"),
        }
    }

    pub(crate) fn record_request(&self, kind: &'static str, result: &'static str) {
        let attributes = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.requests.add(1, &attributes);
    }

    pub(crate) fn record_attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_probe(&self, is_answered: bool) {
        let result = if is_answered { "answered" } else { "silent" };
        self.probes.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_sample(&self, result: &'static str) {
        self.samples.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_tls(&self, event: tls::Event) {
        let result = match event {
            tls::Event::Accepted => "accepted",
            tls::Event::Failed => "failed",
            tls::Event::Slow => "slow",
            tls::Event::Reloaded => "reloaded",
            tls::Event::ReloadFailed => "reload-failed",
        };
        self.tls.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_usage(&self, result: &'static str) {
        self.usage.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_usage_open(&self, count: usize) {
        self.usage_open.record(count as u64, &[]);
    }

    pub(crate) fn record_lot(&self, result: &'static str) {
        self.lots.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_wasted(&self, reason: &'static str, tokens: u64) {
        self.wasted_tokens
            .add(tokens, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_bulk(&self, result: &'static str) {
        self.bulk.add(1, &[KeyValue::new("result", result)]);
    }
}
