//! Which running sample to run once more on another endpoint.
//!
//! The end of an attempt is predicted from the rate at which its tokens come.
//! A second attempt is worth its tokens when a fresh run at the usual rate
//! would be done well before that. A budget in tokens, filled by useful ones,
//! bounds the waste.

use std::time::Duration;

use board::Time;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// When it was asked for.
    pub started: Time,
    /// When the first token of this attempt came.
    pub first_token: Option<Time>,
    /// When the last token came.
    pub last_token: Option<Time>,
    /// Tokens that came.
    pub tokens: u32,
    /// The largest number of tokens that may come.
    pub tokens_max: u32,
}

/// What is usual for the model on this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    /// Smoothed time for a whole sample.
    sample_time: Option<Duration>,
}

/// The share of a new sample in the smoothed time: one over this number.
const SAMPLE_SMOOTHING: u32 = 8;

impl Baseline {
    /// Notes that a sample took `span` from the asking to its end.
    pub fn observe(&mut self, span: Duration) {
        self.sample_time = Some(match self.sample_time {
            Some(mean) => (mean * (SAMPLE_SMOOTHING - 1) + span) / SAMPLE_SMOOTHING,
            None => span,
        });
    }

    /// Returns the usual time of a sample, once one is known.
    pub fn sample_time(&self) -> Option<Duration> {
        self.sample_time
    }
}

/// Tokens that may be spent on second attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// In hundredths of a token.
    hundredths: u64,
    percent: u32,
}

const HUNDREDTHS_PER_TOKEN: u64 = 100;
/// What a budget starts with and may hold at most, in samples of full length.
const BUDGET_SAMPLES_MAX: u64 = 4;

impl Budget {
    /// Returns the budget of a trainer whose samples have up to `tokens_max`
    /// tokens, of which `percent` may be spent. With 0 percent, it stays empty.
    pub fn new(tokens_max: u32, percent: u32) -> Self {
        let capacity = Self::capacity(tokens_max);
        Self {
            hundredths: if percent == 0 { 0 } else { capacity },
            percent,
        }
    }

    /// Adds the share that `tokens` useful tokens earn.
    pub fn earn(&mut self, tokens: u32, tokens_max: u32) {
        let earned = u64::from(tokens) * u64::from(self.percent);
        self.hundredths = (self.hundredths + earned).min(Self::capacity(tokens_max));
    }

    /// Takes the cost of a second attempt, and returns whether there was
    /// enough for it.
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

/// Returns how long the attempt will go on at the rate seen so far, or `None`
/// when no rate is known yet.
pub fn remaining(progress: &Progress, now: Time) -> Option<Duration> {
    let (first, last) = (progress.first_token?, progress.last_token?);
    if progress.tokens < 2 {
        return None;
    }
    // Silence since the last token counts into the rate, so that a stream
    // that stalls shows before its timeout.
    let elapsed = (last - first).max(now - first);
    let tokens_left = progress.tokens_max.saturating_sub(progress.tokens);
    Some(elapsed / (progress.tokens - 1) * tokens_left)
}

/// A second attempt must be predicted to end this many times sooner.
const SPEEDUP_MIN: u32 = 2;
/// Without a rate, an attempt is slow after this many usual times.
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
