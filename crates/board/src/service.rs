//! One VM's observations of a service over all its endpoints.

use std::sync::Arc;

use crate::{budget::Budget, hash::Map, latency::Latency};

const RETRY_TOKENS_MAX: u32 = 10;
const HEDGE_TOKENS_MAX: u32 = 5;

/// Observations and budgets of one service.
#[derive(Clone, Debug)]
pub struct Service {
    /// The budget for retries after a failed attempt.
    pub retry: Budget,
    /// The budget for hedged requests: second attempts beside a slow one.
    pub hedge: Budget,
    /// Response times by cost.
    pub latency: Latency,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            retry: Budget::new(RETRY_TOKENS_MAX),
            hedge: Budget::new(HEDGE_TOKENS_MAX),
            latency: Latency::default(),
        }
    }
}

/// Services by name.
pub type Table = Map<Arc<str>, Service>;
