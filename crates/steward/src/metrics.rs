//! The metrics of the daemon.

use link::telemetry::Telemetry;
use opentelemetry::{KeyValue, metrics::Counter};

/// Counters, served at `/metrics`.
#[derive(Debug)]
pub(crate) struct Metrics {
    orders: Counter<u64>,
    leases: Counter<u64>,
    reports: Counter<u64>,
    late_records: Counter<u64>,
    copied_records: Counter<u64>,
    spend: Counter<f64>,
    served: Counter<u64>,
    deleted: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new(telemetry: &Telemetry) -> Self {
        Self {
            orders: telemetry.counter("tarragonseam_orders"),
            leases: telemetry.counter("tarragonseam_lease_changes"),
            reports: telemetry.counter("tarragonseam_usage_reports"),
            late_records: telemetry.counter("tarragonseam_usage_late_records"),
            copied_records: telemetry.counter("tarragonseam_usage_copied_records"),
            spend: telemetry
                .meter()
                .f64_counter("tarragonseam_spend_price_hours")
                .build(),
            served: telemetry.counter("tarragonseam_usage_reported_tokens"),
            deleted: telemetry.counter("tarragonseam_deleted_objects"),
        }
    }

    /// Counts an order by its result.
    pub(crate) fn record_order(&self, result: &'static str) {
        self.orders.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a lease that was acquired or lost.
    pub(crate) fn record_lease(&self, name: &str, change: &'static str) {
        let attributes = [
            KeyValue::new("job", name.to_string()),
            KeyValue::new("change", change),
        ];
        self.leases.add(1, &attributes);
    }

    /// Counts a usage report by its result.
    pub(crate) fn record_report(&self, result: &'static str) {
        self.reports.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts the records of a reported window that were late or read from
    /// copies, and its output tokens.
    pub(crate) fn record_window(&self, late: u64, copied: u64, tokens: u64) {
        self.late_records.add(late, &[]);
        self.copied_records.add(copied, &[]);
        self.served.add(tokens, &[]);
    }

    /// Counts the deletion of an object by the object's kind and the result.
    pub(crate) fn record_deletion(&self, kind: &'static str, result: &'static str) {
        let attributes = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.deleted.add(1, &attributes);
    }

    /// Adds the cost of an endpoint in price units times hours.
    pub(crate) fn record_spend(&self, domain: &str, service: &str, class: &'static str, cost: f64) {
        let attributes = [
            KeyValue::new("failure_domain", domain.to_string()),
            KeyValue::new("service", service.to_string()),
            KeyValue::new("class", class),
        ];
        self.spend.add(cost, &attributes);
    }
}
