//! Counters of calls by kind, by calling VM and by status of the answer.

use std::collections::BTreeMap;

use link::http::Request;
use serde::Serialize;

/// The counters of one fake.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Stats {
    calls: BTreeMap<String, u64>,
    by_vm: BTreeMap<String, BTreeMap<String, u64>>,
    answers: BTreeMap<u16, u64>,
}

/// The kind of a call is its method with this many segments of its path.
const CALL_KIND_SEGMENTS: usize = 2;

impl Stats {
    /// Counts a call.
    pub(crate) fn count_call(&mut self, request: &Request) {
        let mut kind = request.method.to_string();
        kind.push(' ');
        for segment in request.segments().into_iter().take(CALL_KIND_SEGMENTS) {
            kind.push('/');
            kind.push_str(segment);
        }
        if let Some(vm) = request.header("x-vm") {
            let calls = self.by_vm.entry(vm.to_owned()).or_default();
            *calls.entry(kind.clone()).or_default() += 1;
        }
        *self.calls.entry(kind).or_default() += 1;
    }

    /// Counts an answer by its status code.
    pub(crate) fn count_answer(&mut self, status: u16) {
        *self.answers.entry(status).or_default() += 1;
    }
}

/// Returns the headers of a call as names and values, for logs.
pub(crate) fn headers(request: &Request) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = request.headers.iter();
    headers
        .map(|(name, value)| (name.to_string(), text(value.as_bytes())))
        .collect()
}
