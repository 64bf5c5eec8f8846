//! Timeouts of attempts on endpoints, by class.

use std::time::Duration;

use board::config::Class;

/// The timeouts of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    /// For opening a connection.
    pub(crate) connect: Duration,
    /// Until the head of an engine's response.
    pub(crate) head: Duration,
    /// Until an engine's first token; the request may be queued at the engine.
    pub(crate) first_token: Duration,
    /// Between two tokens.
    pub(crate) between_tokens: Duration,
}

/// The time without data before the first token after which the engine is
/// probed on a new connection.
pub(crate) const PROBE_DELAY: Duration = Duration::from_secs(1);
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Timeouts {
    /// Returns the timeouts for `class`.
    pub(crate) const fn of(class: Class) -> Self {
        match class {
            Class::Caller => Self {
                connect: Duration::from_millis(300),
                head: Duration::from_secs(2),
                first_token: Duration::from_secs(10),
                between_tokens: Duration::from_secs(2),
            },
            Class::Trainer | Class::Bulk => Self {
                connect: Duration::from_secs(1),
                head: Duration::from_secs(5),
                first_token: Duration::from_secs(60),
                between_tokens: Duration::from_secs(5),
            },
        }
    }
}
