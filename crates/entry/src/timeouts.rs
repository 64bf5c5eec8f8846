//! How long each step of an attempt may take, by class.

use std::time::Duration;

use board::config::Class;

/// Bounds of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    /// Until a connection is open.
    pub(crate) connect: Duration,
    /// Until the head of an engine's answer.
    pub(crate) head: Duration,
    /// Until an engine's first token, which may wait for a slot there.
    pub(crate) first_token: Duration,
    /// Between two tokens.
    pub(crate) between_tokens: Duration,
}

/// How long a stream may be silent before its first token until a new
/// connection tells whether the engine still answers.
pub(crate) const PROBE_DELAY: Duration = Duration::from_secs(1);
/// How long a probe may take.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Timeouts {
    /// Returns the bounds for `class`.
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
