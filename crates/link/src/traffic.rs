//! Counters of what the links between VMs carry.

use opentelemetry::{KeyValue, metrics::Counter};
use wire::Gram;

use crate::telemetry::Telemetry;

/// The heads of IP and UDP, in bytes.
const HEAD_BYTES: usize = 28;

/// Counts of datagrams and pulls, with their bytes.
#[derive(Debug)]
pub(crate) struct Traffic {
    datagrams: Counter<u64>,
    bytes: Counter<u64>,
    pulls: Counter<u64>,
}

impl Traffic {
    pub(crate) fn new(telemetry: &Telemetry) -> Self {
        Self {
            datagrams: telemetry.counter("tarragonseam_control_datagrams"),
            bytes: telemetry.counter("tarragonseam_control_bytes"),
            pulls: telemetry.counter("tarragonseam_control_pulls"),
        }
    }

    pub(crate) fn sent(&self, gram: &Gram, length: usize) {
        self.note("sent", kind(gram), length);
    }

    pub(crate) fn received(&self, gram: &Gram, length: usize) {
        self.note("received", kind(gram), length);
    }

    /// Counts a pull whose answer had `length` bytes.
    pub(crate) fn pulled(&self, length: usize) {
        self.pulls.add(1, &[]);
        let attributes = [
            KeyValue::new("direction", "received"),
            KeyValue::new("kind", "pull"),
        ];
        self.bytes.add(length as u64, &attributes);
    }

    fn note(&self, direction: &'static str, kind: &'static str, length: usize) {
        let attributes = [
            KeyValue::new("direction", direction),
            KeyValue::new("kind", kind),
        ];
        self.datagrams.add(1, &attributes);
        self.bytes.add((length + HEAD_BYTES) as u64, &attributes);
    }
}

fn kind(gram: &Gram) -> &'static str {
    match gram {
        Gram::Member(_) => "member",
        Gram::News(_) => "news",
        Gram::Loads(_) => "loads",
    }
}
