//! The log of an engine's streams, from which tests check histories.

use serde::Serialize;

use crate::clock;

/// The streams that an engine started.
#[derive(Debug, Default)]
pub(crate) struct Log(Vec<Entry>);

/// The log entry of one stream.
#[derive(Debug, Serialize)]
pub(crate) struct Entry {
    request_id: String,
    model: String,
    started_ms: u64,
    tokens: u64,
    spans: Vec<Span>,
    finish: &'static str,
    headers: Vec<(String, String)>,
}

/// The tokens `from..to`, produced by one version of the weights.
#[derive(Debug, Serialize)]
struct Span {
    version: u64,
    from: u64,
    to: u64,
}

/// The index of an entry in the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryIndex(usize);

impl Log {
    /// Adds the entry of a stream and returns its index.
    pub(crate) fn start(
        &mut self,
        request_id: &str,
        model: &str,
        headers: Vec<(String, String)>,
    ) -> EntryIndex {
        self.0.push(Entry {
            request_id: request_id.to_owned(),
            model: model.to_owned(),
            started_ms: clock::now_ms(),
            tokens: 0,
            spans: Vec::new(),
            finish: "running",
            headers,
        });
        EntryIndex(self.0.len() - 1)
    }

    /// Records that a stream produced the token number `token`.
    pub(crate) fn record_token(&mut self, index: EntryIndex, token: u64, version: u64) {
        let entry = &mut self.0[index.0];
        entry.tokens += 1;
        match entry.spans.last_mut() {
            Some(span) if span.version == version => span.to = token + 1,
            _ => entry.spans.push(Span {
                version,
                from: token,
                to: token + 1,
            }),
        }
    }

    /// Records how a stream ended.
    pub(crate) fn finish(&mut self, index: EntryIndex, finish: &'static str) {
        self.0[index.0].finish = finish;
    }

    /// Returns all entries.
    pub(crate) fn entries(&self) -> &[Entry] {
        &self.0
    }
}
