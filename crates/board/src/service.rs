//! What one VM has observed of a service as a whole.

use std::{sync::Arc, time::Duration};

use crate::{budget::Budget, hash::Map, histogram::Histogram, time::Time};

const RETRY_TOKENS: u32 = 10;
const HEDGE_TOKENS: u32 = 5;

/// Observations and budgets of one service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Pays for attempts after a failed one.
    pub retry: Budget,
    /// Pays for second attempts beside a slow one.
    pub hedge: Budget,
    /// Times from sending to answer, for each unit of cost.
    pub latency: Histogram,
    /// How fast waiting work has been sent of late.
    pub pace: Pace,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            retry: Budget::new(RETRY_TOKENS),
            hedge: Budget::new(HEDGE_TOKENS),
            latency: Histogram::default(),
            pace: Pace::default(),
        }
    }
}

/// The pace at which a queue was served while work waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Units of cost a second, or `None` before the first measurement.
    pub per_s: Option<f64>,
    /// Start of the measurement that runs, while work waits.
    pub since: Option<Time>,
    /// Units of cost sent since then.
    pub sent: u64,
}

const PACE_TIME: Duration = Duration::from_millis(250);
const PACE_GAIN: f64 = 0.3;

impl Pace {
    /// Notes that `cost` was sent at `now`, with or without more waiting.
    pub fn note(&mut self, now: Time, cost: u64, is_busy: bool) {
        self.sent += cost;
        self.tick(now, is_busy);
    }

    /// Notes whether work waits at `now`. A measurement covers only time in
    /// which work waited: an idle queue says nothing of how fast it could be.
    pub fn tick(&mut self, now: Time, is_busy: bool) {
        if !is_busy {
            self.since = None;
            self.sent = 0;
            return;
        }
        let Some(since) = self.since else {
            self.since = Some(now);
            self.sent = 0;
            return;
        };
        let span = now - since;
        if span < PACE_TIME {
            return;
        }
        let measured = self.sent as f64 / span.as_secs_f64();
        let before = self.per_s.unwrap_or(measured);
        self.per_s = Some(before + PACE_GAIN * (measured - before));
        self.since = Some(now);
        self.sent = 0;
    }
}

/// Services by name.
pub type Table = Map<Arc<str>, Service>;
