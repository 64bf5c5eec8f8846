//! Metrics and traces of a process, through OpenTelemetry.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use ::http::{HeaderMap, HeaderValue};
use opentelemetry::{
    Context, KeyValue,
    metrics::{Counter, Meter, MeterProvider},
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::{SpanBuilder, TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    metrics::SdkMeterProvider,
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter},
};
use prometheus::{Encoder, Registry, TextEncoder};
use serde::Serialize;

/// The metrics, the tracer and the recent spans of a process.
#[derive(Clone, Debug)]
pub struct Telemetry {
    registry: Registry,
    /// Dropping the provider would end its instruments.
    _meters: SdkMeterProvider,
    meter: Meter,
    tracer: SdkTracer,
    recent: Recent,
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
        let mut meters = SdkMeterProvider::builder();
        if let Ok(reader) = exporter.build() {
            meters = meters.with_reader(reader);
        }
        let recent = Recent::default();
        let traces = SdkTracerProvider::builder()
            .with_simple_exporter(recent.clone())
            .build();
        let meters = meters.build();
        Self {
            registry,
            meter: meters.meter(name),
            _meters: meters,
            tracer: traces.tracer(name),
            recent,
        }
    }

    /// Returns the counter `name`.
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).build()
    }

    /// Returns the meter, for other instruments.
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

    /// Starts the span of a request that came with `headers`.
    pub fn accept(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let parent = TraceContextPropagator::new().extract(&Carrier(headers));
        self.start(name, &parent)
    }

    /// Returns the recent spans of a trace, or of every trace for an empty id.
    pub fn spans(&self, trace: &str) -> Vec<Finished> {
        self.recent.of_trace(trace)
    }

    fn start(&self, name: &'static str, parent: &Context) -> Span {
        let span = self
            .tracer
            .build_with_context(SpanBuilder::from_name(name), parent);
        Span {
            telemetry: self.clone(),
            context: parent.with_span(span),
        }
    }
}

/// A span that ends when it is dropped.
#[derive(Clone, Debug)]
pub struct Span {
    telemetry: Telemetry,
    context: Context,
}

impl Span {
    /// Starts a span under this one.
    pub fn child(&self, name: &'static str) -> Self {
        self.telemetry.start(name, &self.context)
    }

    /// Adds an attribute.
    pub fn set(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        let span = self.context.span();
        span.set_attribute(KeyValue::new(key, value.into()));
    }

    /// Writes the W3C trace context into `headers`.
    pub fn inject(&self, headers: &mut HeaderMap) {
        TraceContextPropagator::new().inject_context(&self.context, &mut CarrierMut(headers));
    }

    /// Returns the id of the trace in hexadecimal.
    pub fn trace(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }
}

struct Carrier<'a>(&'a HeaderMap);

impl Extractor for Carrier<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(|name| name.as_str()).collect()
    }
}

struct CarrierMut<'a>(&'a mut HeaderMap);

impl Injector for CarrierMut<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = ::http::HeaderName::try_from(key);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

/// A span that has ended.
#[derive(Clone, Debug, Serialize)]
pub struct Finished {
    /// The trace, in hexadecimal.
    pub trace: String,
    /// The span, in hexadecimal.
    pub span: String,
    /// The parent span, in hexadecimal.
    pub parent: String,
    /// What it covers.
    pub name: String,
    /// When it started, in microseconds of wall-clock time.
    pub start_us: u64,
    /// How long it took, in microseconds.
    pub took_us: u64,
    /// Its attributes.
    pub attributes: Vec<(String, String)>,
}

/// A ring of ended spans.
#[derive(Clone, Debug, Default)]
struct Recent(Arc<Mutex<VecDeque<SpanData>>>);

const RECENT_MAX: usize = 4096;

impl Recent {
    fn of_trace(&self, trace: &str) -> Vec<Finished> {
        let Ok(spans) = self.0.lock() else {
            return Vec::new();
        };
        spans
            .iter()
            .filter(|span| trace.is_empty() || span.span_context.trace_id().to_string() == trace)
            .map(finished)
            .collect()
    }
}

impl SpanExporter for Recent {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        if let Ok(mut spans) = self.0.lock() {
            spans.extend(batch);
            let over = spans.len().saturating_sub(RECENT_MAX);
            spans.drain(..over);
        }
        Ok(())
    }
}

fn finished(span: &SpanData) -> Finished {
    let micros = |at: SystemTime| at.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let start = micros(span.start_time);
    let end = micros(span.end_time);
    let attribute = |kv: &KeyValue| (kv.key.to_string(), kv.value.to_string());
    Finished {
        trace: span.span_context.trace_id().to_string(),
        span: span.span_context.span_id().to_string(),
        parent: span.parent_span_id.to_string(),
        name: span.name.to_string(),
        start_us: start.as_micros() as u64,
        took_us: end.saturating_sub(start).as_micros() as u64,
        attributes: span.attributes.iter().map(attribute).collect(),
    }
}
