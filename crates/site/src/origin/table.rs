//! Records of producers in memory.

use std::{
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;

use super::Producer;

/// How long a record is kept: longer than a stream lasts and its caller waits.
const RETENTION: Duration = Duration::from_secs(300);
/// The number of records that are kept. Each takes about 150 bytes.
pub(super) const RECORDS_MAX: usize = 50_000;

/// Records of producers by the name of the attempt, the oldest first.
#[derive(Default)]
pub(super) struct Table {
    producers: Map<Rc<str>, (Producer, Instant)>,
    order: VecDeque<(Rc<str>, Instant)>,
}

impl Table {
    pub(super) fn put(&mut self, attempt: &str, producer: Producer, now: Instant) {
        let attempt: Rc<str> = attempt.into();
        self.producers.insert(attempt.clone(), (producer, now));
        self.order.push_back((attempt, now));
        while let Some((attempt, at)) = self.order.front() {
            let is_excess = self.order.len() > RECORDS_MAX;
            if !is_excess && now.saturating_duration_since(*at) < RETENTION {
                break;
            }
            // A record that was put again has a later place in the order.
            if self
                .producers
                .get(attempt)
                .is_some_and(|(_, put)| put == at)
            {
                self.producers.remove(attempt);
            }
            self.order.pop_front();
        }
    }

    pub(super) fn get(&self, attempt: &str) -> Option<Producer> {
        self.producers
            .get(attempt)
            .map(|(producer, _)| producer.clone())
    }

    /// Returns at most `count` records, the latest first.
    pub(super) fn latest(&self, count: usize) -> Vec<(String, Producer)> {
        let latest = self.order.iter().rev().take(count);
        let records = latest.filter_map(|(id, _)| Some((id.to_string(), self.get(id)?)));
        records.collect()
    }
}
