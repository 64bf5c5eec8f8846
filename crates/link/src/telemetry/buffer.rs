//! The buffer of finished spans.

use std::{
    collections::VecDeque,
    mem,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use opentelemetry::KeyValue;
use opentelemetry_sdk::{
    error::OTelSdkResult,
    trace::{SpanData, SpanExporter},
};
use serde::Serialize;

/// A finished span, as the operators' pages show it.
#[derive(Clone, Debug, Serialize)]
pub struct FinishedSpan {
    /// The id of the trace, in hexadecimal.
    pub trace: String,
    /// The id of the span, in hexadecimal.
    pub span: String,
    /// The id of the parent span, in hexadecimal.
    pub parent: String,
    /// The name of the span.
    pub name: String,
    /// When the span started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// The duration of the span, in microseconds.
    pub took_us: u64,
    /// The attributes of the span.
    pub attributes: Vec<(String, String)>,
}

/// The finished spans: a ring buffer of recent ones for the operators' pages,
/// and a queue of those to send to the collector.
#[derive(Clone, Debug, Default)]
pub(super) struct Buffer(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    ring: VecDeque<SpanData>,
    is_exporting: bool,
    unsent: Vec<SpanData>,
    dropped: u64,
}

const RECENT_SPANS_MAX: usize = 4096;
const UNSENT_SPANS_MAX: usize = 8192;

impl Buffer {
    /// Queues finished spans from now on, until [`Buffer::take_unsent`] removes
    /// them.
    pub(super) fn enable_export(&self) {
        if let Ok(mut state) = self.0.lock() {
            state.is_exporting = true;
        }
    }

    /// Removes and returns the queued spans, and the number of spans dropped
    /// since the last call.
    pub(super) fn take_unsent(&self) -> (Vec<SpanData>, u64) {
        match self.0.lock() {
            Ok(mut state) => (mem::take(&mut state.unsent), mem::take(&mut state.dropped)),
            Err(_) => (Vec::new(), 0),
        }
    }

    pub(super) fn spans_of(&self, trace: &str) -> Vec<FinishedSpan> {
        let Ok(state) = self.0.lock() else {
            return Vec::new();
        };
        state
            .ring
            .iter()
            .filter(|span| trace.is_empty() || span.span_context.trace_id().to_string() == trace)
            .map(to_finished)
            .collect()
    }
}

impl State {
    fn add(&mut self, span: SpanData) {
        if self.is_exporting && self.unsent.len() < UNSENT_SPANS_MAX {
            self.unsent.push(span.clone());
        } else if self.is_exporting {
            self.dropped += 1;
        }
        if self.ring.len() == RECENT_SPANS_MAX {
            self.ring.pop_front();
        }
        self.ring.push_back(span);
    }
}

impl SpanExporter for Buffer {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        if let Ok(mut state) = self.0.lock() {
            batch.into_iter().for_each(|span| state.add(span));
        }
        Ok(())
    }
}

fn to_finished(span: &SpanData) -> FinishedSpan {
    let since_epoch = |at: SystemTime| at.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let start = since_epoch(span.start_time);
    let end = since_epoch(span.end_time);
    let attribute = |kv: &KeyValue| (kv.key.to_string(), kv.value.to_string());
    FinishedSpan {
        trace: span.span_context.trace_id().to_string(),
        span: span.span_context.span_id().to_string(),
        parent: span.parent_span_id.to_string(),
        name: span.name.to_string(),
        start_us: start.as_micros() as u64,
        took_us: end.saturating_sub(start).as_micros() as u64,
        attributes: span.attributes.iter().map(attribute).collect(),
    }
}
