//! Spans, and their W3C trace context in headers.

use ::http::{HeaderMap, HeaderValue};
use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::TraceContextExt,
};
use opentelemetry_sdk::propagation::TraceContextPropagator;

use super::Telemetry;

/// A span that ends when it is dropped.
#[derive(Clone, Debug)]
pub struct Span {
    pub(super) telemetry: Telemetry,
    pub(super) context: Context,
}

impl Span {
    /// Starts a child of this span.
    pub fn child(&self, name: &'static str) -> Self {
        self.telemetry.start_with_parent(name, &self.context)
    }

    /// Sets an attribute.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        let span = self.context.span();
        span.set_attribute(KeyValue::new(key, value.into()));
    }

    /// Writes the W3C trace context into `headers`.
    pub fn inject(&self, headers: &mut HeaderMap) {
        TraceContextPropagator::new().inject_context(&self.context, &mut CarrierMut(headers));
    }

    /// Returns the id of the trace in hexadecimal.
    pub fn trace_id(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }
}

/// The headers from which a trace context is read.
pub(super) struct Carrier<'a>(pub(super) &'a HeaderMap);

impl Extractor for Carrier<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(|name| name.as_str()).collect()
    }
}

/// The headers to which a trace context is written.
struct CarrierMut<'a>(&'a mut HeaderMap);

impl Injector for CarrierMut<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = ::http::HeaderName::try_from(key);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}
