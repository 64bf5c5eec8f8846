//! The prefix cache of an engine, and the events that report its changes.

use std::collections::VecDeque;

use serde::Serialize;

use crate::{clock, text};

/// An LRU cache of prefixes, least recently used first, with its recent events.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    prefixes: VecDeque<String>,
    events: VecDeque<Event>,
    seq: u64,
}

/// A change of the cache.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    seq: u64,
    kind: &'static str,
    prefix: String,
    #[serde(skip)]
    at_ms: u64,
}

/// The events after a reader's position, and the next position.
#[derive(Debug, Serialize)]
pub(crate) struct Events {
    next: u64,
    events: Vec<Event>,
}

const EVENTS_MAX: usize = 4096;
/// One event in this many is never delivered, so that readers see gaps.
const LOST_EVENT_ONE_IN: u64 = 16;

impl Cache {
    /// Returns an empty cache for `capacity` prefixes.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// Returns the number of cached prefixes.
    pub(crate) fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Makes `prefix` the most recently used one, caching it if necessary, and
    /// returns whether it was cached before.
    pub(crate) fn touch(&mut self, prefix: &str) -> bool {
        let index = self.prefixes.iter().position(|cached| cached == prefix);
        if let Some(index) = index {
            let used = self.prefixes.remove(index);
            self.prefixes.extend(used);
            return true;
        }
        if self.capacity == 0 {
            return false;
        }
        if self.prefixes.len() >= self.capacity
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.record("evicted", oldest);
        }
        self.prefixes.push_back(prefix.to_owned());
        self.record("stored", prefix.to_owned());
        false
    }

    fn record(&mut self, kind: &'static str, prefix: String) {
        self.seq += 1;
        self.events.push_back(Event {
            seq: self.seq,
            kind,
            prefix,
            at_ms: clock::now_ms(),
        });
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the events after the sequence number `after` that happened no
    /// later than `visible_ms`, without those that are never delivered.
    pub(crate) fn events(&self, after: u64, visible_ms: u64) -> Events {
        let new = self.events.iter().filter(|event| event.seq > after);
        let visible: Vec<&Event> = new.take_while(|event| event.at_ms <= visible_ms).collect();
        let is_delivered =
            |event: &&&Event| !text::hash(event.seq).is_multiple_of(LOST_EVENT_ONE_IN);
        Events {
            next: visible.last().map_or(after, |event| event.seq),
            events: visible
                .iter()
                .filter(is_delivered)
                .map(|&event| event.clone())
                .collect(),
        }
    }
}
