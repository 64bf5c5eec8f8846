//! Timeouts of attempts on endpoints, by class.

use std::time::Duration;

use board::config::Class;

/// The timeouts of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    /// The time to open a connection.
    pub(crate) connect: Duration,
    /// The time until the head of an engine's response.
    pub(crate) head: Duration,
    /// The time until an engine's first token, which includes the time in the
    /// engine's queue.
    pub(crate) first_token: Duration,
    /// The time between two tokens.
    pub(crate) between_tokens: Duration,
}

/// How long an engine may send nothing before its first token until it is
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
