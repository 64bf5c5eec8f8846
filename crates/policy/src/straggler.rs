//! Straggler detection: which running samples to run again on another endpoint.
//!
//! The remaining time of an attempt is predicted from its token rate. A second
//! attempt is made if it would end much earlier at the usual rate. A token
//! budget, replenished by useful tokens, bounds the wasted work.

use std::time::Duration;

use board::Time;

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// When the attempt was requested.
    pub started: Time,
    /// When the first token arrived.
    pub first_token: Option<Time>,
    /// When the latest token arrived.
    pub last_token: Option<Time>,
    /// The number of tokens received.
    pub tokens: u32,
    /// The maximum number of tokens of the sample.
    pub tokens_max: u32,
}

/// The usual duration of a sample of one model, as seen by this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    /// Moving average of the duration of a complete sample.
    sample_time: Option<Duration>,
}

/// The weight of a new sample in the average is one over this number.
const SAMPLE_SMOOTHING: u32 = 8;

impl Baseline {
    /// Records that a sample took `span` from the request to its end.
    pub fn observe(&mut self, span: Duration) {
        self.sample_time = Some(match self.sample_time {
            Some(mean) => (mean * (SAMPLE_SMOOTHING - 1) + span) / SAMPLE_SMOOTHING,
            None => span,
        });
    }

    /// Returns the usual duration of a sample, or `None` before the first one.
    pub fn sample_time(&self) -> Option<Duration> {
        self.sample_time
    }
}

/// A budget of tokens for second attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The available budget in hundredths of a token.
    hundredths: u64,
    percent: u32,
}

const HUNDREDTHS_PER_TOKEN: u64 = 100;
/// The initial and the maximum budget, in samples of maximum length.
const BUDGET_SAMPLES_MAX: u64 = 4;

impl Budget {
    /// Returns the budget of a trainer whose samples have up to `tokens_max`
    /// tokens. Useful tokens earn `percent` of their number. With 0 percent,
    /// the budget is always empty.
    pub fn new(tokens_max: u32, percent: u32) -> Self {
        let capacity = Self::capacity(tokens_max);
        Self {
            hundredths: if percent == 0 { 0 } else { capacity },
            percent,
        }
    }

    /// Adds what `tokens` useful tokens earn.
    pub fn earn(&mut self, tokens: u32, tokens_max: u32) {
        let earned = u64::from(tokens) * u64::from(self.percent);
        self.hundredths = (self.hundredths + earned).min(Self::capacity(tokens_max));
    }

    /// Spends the cost of a second attempt. Returns whether the budget covered
    /// it.
    pub fn try_spend(&mut self, tokens_max: u32) -> bool {
        let cost = u64::from(tokens_max) * HUNDREDTHS_PER_TOKEN;
        let is_enough = self.hundredths >= cost;
        if is_enough {
            self.hundredths -= cost;
        }
        is_enough
    }

    fn capacity(tokens_max: u32) -> u64 {
        BUDGET_SAMPLES_MAX * u64::from(tokens_max) * HUNDREDTHS_PER_TOKEN
    }
}

/// Returns the remaining time of the attempt at its current rate, or `None` if
/// no rate is known yet.
pub fn remaining(progress: &Progress, now: Time) -> Option<Duration> {
    let (first, last) = (progress.first_token?, progress.last_token?);
    if progress.tokens < 2 {
        return None;
    }
    // The time since the last token counts, so a stalled stream is detected
    // before its timeout.
    let elapsed = (last - first).max(now - first);
    let tokens_left = progress.tokens_max.saturating_sub(progress.tokens);
    Some(elapsed / (progress.tokens - 1) * tokens_left)
}

/// A second attempt must be expected to end this many times sooner.
const SPEEDUP_MIN: u32 = 2;
/// An attempt whose rate is unknown is slow after this many usual durations.
const UNKNOWN_RATE_FACTOR: u32 = 2;

/// Returns whether the attempt is so slow that a second one is likely to end
/// well before it.
pub fn is_straggler(progress: &Progress, baseline: &Baseline, now: Time) -> bool {
    let Some(sample_time) = baseline.sample_time() else {
        return false;
    };
    match remaining(progress, now) {
        Some(remaining) => remaining > sample_time * SPEEDUP_MIN,
        None => now - progress.started > sample_time * UNKNOWN_RATE_FACTOR,
    }
}
