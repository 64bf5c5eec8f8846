//! Metrics of the gossip traffic between VMs.

use opentelemetry::{KeyValue, metrics::Counter};
use wire::Datagram;

use crate::telemetry::Telemetry;

/// The length of the IPv4 and UDP headers of a datagram.
const IP_UDP_HEADER_BYTES: usize = 28;

/// Counters of datagrams and pulls, with their bytes.
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

    pub(crate) fn record_sent(&self, datagram: &Datagram, length: usize) {
        self.record("sent", kind(datagram), length);
    }

    pub(crate) fn record_received(&self, datagram: &Datagram, length: usize) {
        self.record("received", kind(datagram), length);
    }

    /// Counts a pull whose response had `length` bytes.
    pub(crate) fn record_pull(&self, length: usize) {
        self.pulls.add(1, &[]);
        let attributes = [
            KeyValue::new("direction", "received"),
            KeyValue::new("kind", "pull"),
        ];
        self.bytes.add(length as u64, &attributes);
    }

    fn record(&self, direction: &'static str, kind: &'static str, length: usize) {
        let attributes = [
            KeyValue::new("direction", direction),
            KeyValue::new("kind", kind),
        ];
        self.datagrams.add(1, &attributes);
        self.bytes
            .add((length + IP_UDP_HEADER_BYTES) as u64, &attributes);
    }
}

fn kind(datagram: &Datagram) -> &'static str {
    match datagram {
        Datagram::Member(_) => "member",
        Datagram::Facts(_) => "news",
        Datagram::Loads(_) => "loads",
    }
}
