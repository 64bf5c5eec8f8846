//! Metrics and traces of a process, through OpenTelemetry.
//!
//! Metrics are served to the operators' collector. Finished spans are kept in a
//! ring buffer for the operators' pages and, if a trace collector is set, sent
//! there in batches. Requests never wait for either: spans that cannot be sent
//! are dropped and counted.

mod buffer;
mod export;
mod span;

use std::{net::SocketAddr, sync::Arc};

use ::http::{HeaderMap, StatusCode};
use opentelemetry::{
    Context,
    metrics::{Counter, Meter, MeterProvider},
    propagation::TextMapPropagator,
    trace::{SpanBuilder, TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_sdk::{
    metrics::SdkMeterProvider,
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider},
};
use prometheus::{Encoder, Registry, TextEncoder};

use crate::http::Reply;

use buffer::Buffer;
use span::Carrier;

pub use buffer::FinishedSpan;
pub use span::Span;

/// The metrics, the tracer and the recent spans of a process.
#[derive(Clone, Debug)]
pub struct Telemetry {
    name: &'static str,
    registry: Registry,
    /// Kept because dropping the provider would disable its instruments.
    _meter_provider: Arc<SdkMeterProvider>,
    meter: Meter,
    tracer: SdkTracer,
    buffer: Buffer,
}

impl Telemetry {
    /// Starts the telemetry of the process `name`.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_link::telemetry::Telemetry;
    ///
    /// let telemetry = Telemetry::new("tarragonseam-entry");
    /// telemetry.counter("requests").add(1, &[]);
    /// assert!(telemetry.render().contains("requests_total"));
    /// ```
    pub fn new(name: &'static str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let mut meter_provider = SdkMeterProvider::builder();
        if let Ok(reader) = exporter.build() {
            meter_provider = meter_provider.with_reader(reader);
        }
        let buffer = Buffer::default();
        let tracer_provider = SdkTracerProvider::builder()
            .with_simple_exporter(buffer.clone())
            .build();
        let meter_provider = meter_provider.build();
        Self {
            name,
            registry,
            meter: meter_provider.meter(name),
            _meter_provider: Arc::new(meter_provider),
            tracer: tracer_provider.tracer(name),
            buffer,
        }
    }

    /// Starts a task that sends finished spans to the collector at `address`
    /// until the process ends. Must be called on a thread that runs a monoio
    /// runtime.
    pub fn export_to(&self, address: SocketAddr) {
        let dropped = self.counter("tarragonseam_spans_dropped");
        let sent = self.counter("tarragonseam_spans_sent");
        self.buffer.enable_export();
        let sender = export::Sender::new(address, self.name, sent, dropped);
        monoio::spawn(sender.run(self.buffer.clone()));
    }

    /// Returns the counter `name`.
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).build()
    }

    /// Returns the meter, for instruments other than counters.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        // Encoding into a vector fails only for families without metrics.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }

    /// Returns the reply that contains all metrics.
    pub fn metrics_page(&self) -> Reply {
        Reply::new(StatusCode::OK, self.render())
            .header("content-type", "text/plain; version=0.0.4")
    }

    /// Starts a span whose parent is the trace context in `headers`, if there
    /// is one.
    pub fn start_span(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let parent = TraceContextPropagator::new().extract(&Carrier(headers));
        self.start_with_parent(name, &parent)
    }

    /// Returns the recent spans of a trace, or of all traces for an empty id.
    pub fn spans(&self, trace: &str) -> Vec<FinishedSpan> {
        self.buffer.spans_of(trace)
    }

    fn start_with_parent(&self, name: &'static str, parent: &Context) -> Span {
        let span = self
            .tracer
            .build_with_context(SpanBuilder::from_name(name), parent);
        Span {
            telemetry: self.clone(),
            context: parent.with_span(span),
        }
    }
}
