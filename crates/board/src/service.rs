//! What one VM has observed of a service as a whole.

use std::sync::Arc;

use crate::{budget::Budget, hash::Map, latency::Latency};

const RETRY_TOKENS: u32 = 10;
const HEDGE_TOKENS: u32 = 5;

/// Observations and budgets of one service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Pays for attempts after a failed one.
    pub retry: Budget,
    /// Pays for second attempts beside a slow one.
    pub hedge: Budget,
    /// Times from sending to answer.
    pub latency: Latency,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            retry: Budget::new(RETRY_TOKENS),
            hedge: Budget::new(HEDGE_TOKENS),
            latency: Latency::default(),
        }
    }
}

/// Services by name.
pub type Table = Map<Arc<str>, Service>;
