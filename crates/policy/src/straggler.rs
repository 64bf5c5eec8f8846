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
pub struct Usual {
    /// Smoothed time for a whole sample.
    sample: Option<Duration>,
}

/// The share of a new sample in the smoothed time: one over this number.
const SAMPLE_SMOOTHING: u32 = 8;

impl Usual {
    /// Notes that a sample took `span` from the asking to its end.
    pub fn note(&mut self, span: Duration) {
        self.sample = Some(match self.sample {
            Some(known) => (known * (SAMPLE_SMOOTHING - 1) + span) / SAMPLE_SMOOTHING,
            None => span,
        });
    }

    /// Returns the usual time of a sample, once one is known.
    pub fn sample(&self) -> Option<Duration> {
        self.sample
    }
}

/// Tokens that may be spent on second attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    tokens: u64,
}

/// One token in this many may be spent on second attempts.
const BUDGET_SHARE: u64 = 10;
/// What a budget starts with and may hold at most, in samples of full length.
const BUDGET_SAMPLES: u64 = 4;

impl Budget {
    /// Returns the budget of a trainer whose samples have up to `tokens_max`
    /// tokens.
    pub fn new(tokens_max: u32) -> Self {
        Self {
            tokens: BUDGET_SAMPLES * u64::from(tokens_max),
        }
    }

    /// Adds the share that `tokens` useful tokens earn.
    pub fn earn(&mut self, tokens: u32, tokens_max: u32) {
        let most = BUDGET_SAMPLES * u64::from(tokens_max);
        self.tokens = (self.tokens + u64::from(tokens) / BUDGET_SHARE).min(most);
    }

    /// Takes the cost of a second attempt, and returns whether there was
    /// enough for it.
    pub fn spend(&mut self, tokens_max: u32) -> bool {
        let cost = u64::from(tokens_max);
        let is_enough = self.tokens >= cost;
        if is_enough {
            self.tokens -= cost;
        }
        is_enough
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
    let seen = (last - first).max(now - first);
    let left = progress.tokens_max.saturating_sub(progress.tokens);
    Some(seen / (progress.tokens - 1) * left)
}

/// A second attempt must be predicted to end this many times sooner.
const GAIN_MIN: u32 = 2;
/// Without a rate, an attempt is slow after this many usual times.
const SILENT_TIMES: u32 = 2;

/// Returns whether the attempt is so slow that a second one is likely to end
/// well before it.
pub fn is_straggler(progress: &Progress, usual: &Usual, now: Time) -> bool {
    let Some(sample) = usual.sample() else {
        return false;
    };
    match remaining(progress, now) {
        Some(left) => left > sample * GAIN_MIN,
        None => now - progress.started > sample * SILENT_TIMES,
    }
}
