//! What a request needs of the endpoint that runs it, from its headers.

use board::hash;
use link::HeaderMap;
use platform::{
    batch::Item,
    header::{self, PromptPart},
};
use policy::prompt::Part;

use crate::{
    facts::{Facts, Key},
    job::text::Text,
    placement::{self, Work},
};

/// What a request needs of its endpoint.
#[derive(Clone, Debug, Default)]
pub struct Needs {
    /// The model, if its headers name one.
    pub model: Option<String>,
    /// The parts of its prompt, as far as its headers name them.
    pub prompt: Vec<Part>,
}

impl Needs {
    /// Returns the needs of a request with these headers.
    pub fn of_headers(headers: &HeaderMap) -> Self {
        let text = |name| headers.get(name)?.to_str().ok();
        let model = text(header::MODEL).map(str::trim);
        let parts = text(header::PROMPT).map(header::parse_prompt);
        Self {
            model: model.map(str::to_string),
            prompt: parts_of(model, parts.unwrap_or_default()),
        }
    }

    /// Returns the needs of an item of a job for `model`.
    pub fn of_item(item: &Item, model: Option<&str>) -> Self {
        let model = model.or_else(|| item.model());
        Self {
            model: model.map(str::to_string),
            prompt: parts_of(model, item.prompt()),
        }
    }

    /// Returns the needs for the choice of an endpoint.
    pub fn work(&self) -> Work<'_> {
        Work {
            model: self.model.as_deref(),
            prompt: &self.prompt,
            ..Work::default()
        }
    }

    /// Returns the needs of an item that has `text` already.
    pub fn work_of_item(&self, facts: &Facts, item: &Item, text: &Text) -> Work<'_> {
        let done = text.last_event().unwrap_or_default() as f64;
        let tokens = item.expected_tokens();
        let events = self
            .model
            .as_deref()
            .and_then(|model| facts.expected_events(model, tokens))
            .unwrap_or(placement::EVENTS_DEFAULT);
        Work {
            events: Some(events_left(events, done)),
            text_tokens: (done * tokens as f64 / events.max(1.0)) as u64,
            ..self.work()
        }
    }

    /// Records that the prompt is sent to the chosen endpoint.
    pub fn record(&self, facts: &mut Facts, key: Key) {
        facts.record_prompt(key, &self.prompt);
    }
}

/// Returns the parts of a prompt for `model`. Each model has its own memory of
/// the same text.
fn parts_of(model: Option<&str>, parts: Vec<PromptPart>) -> Vec<Part> {
    let seed = hash::hash_bytes(model.unwrap_or_default().as_bytes(), 0);
    let parts = parts.into_iter().map(|part| Part {
        id: hash::hash_bytes(&part.id.to_le_bytes(), seed),
        tokens: part.tokens,
    });
    parts.collect()
}

/// The share of the events of a run that is expected to follow once it is longer
/// than expected. Few runs are much longer, and those are far longer.
const TAIL_SHARE: f64 = 0.5;
/// The least events that are expected to follow.
const EVENTS_LEFT_MIN: f64 = 2.0;

/// Returns how many events are expected to follow `done` events of a run that was
/// expected to have `expected`. Estimates are right in the median only.
pub fn events_left(expected: f64, done: f64) -> f64 {
    let left = expected - done;
    left.max(done * TAIL_SHARE).max(EVENTS_LEFT_MIN)
}
