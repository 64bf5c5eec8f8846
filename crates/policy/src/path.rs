//! Whether a VM has lost its links to all endpoints.
//!
//! An endpoint that cannot be connected to may be down, or the link to it. One
//! failure tells nothing. Failures at several endpoints, with no connection that
//! opens meanwhile, make a VM suspect its links; it is certain once another VM
//! reaches an endpoint that it cannot connect to itself. If the other VM does not
//! reach the endpoints either, they are down, and no more is sent through it for
//! some time.

use std::time::Duration;

use board::Time;

/// The number of endpoints that fail before a VM suspects its links.
const FAILURES_MIN: usize = 2;
/// The time within which they fail.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);
/// How long a VM does not suspect its links after another VM has reached the
/// endpoints no better. It bounds the requests that a service which is down gets
/// from other VMs.
const REFUTED_TIME: Duration = Duration::from_secs(1);
/// How often a VM that is cut off attempts to connect to an endpoint.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// What a VM believes of its links to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// They work.
    Connected,
    /// They may be lost.
    Suspected,
    /// All of them are lost.
    CutOff,
}

/// The evidence of a VM on its links to endpoints, which `K` identifies.
///
/// # Examples
///
/// ```
/// use board::Time;
/// use tarragonseam_policy::path::{Links, State};
///
/// let mut links = Links::default();
/// links.record_failure('a', Time::ZERO);
/// assert_eq!(links.state(), State::Connected);
/// links.record_failure('b', Time::ZERO);
/// assert_eq!(links.state(), State::Suspected);
/// links.record_open();
/// assert_eq!(links.state(), State::Connected);
/// ```
#[derive(Clone, Debug)]
pub struct Links<K> {
    state: State,
    /// The endpoints that failed since a connection was last opened, and when.
    failures: Vec<(K, Time)>,
    refuted_until: Time,
    probed_at: Time,
}

impl<K> Default for Links<K> {
    fn default() -> Self {
        Self {
            state: State::Connected,
            failures: Vec::new(),
            refuted_until: Time::ZERO,
            probed_at: Time::ZERO,
        }
    }
}

impl<K: Copy + PartialEq> Links<K> {
    /// Returns what the evidence says.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the endpoints that failed since a connection was opened, the last
    /// one first.
    pub fn failures(&self) -> Vec<K> {
        self.failures.iter().rev().map(|(key, _)| *key).collect()
    }

    /// Records that this VM opened a connection to an endpoint.
    pub fn record_open(&mut self) {
        self.state = State::Connected;
        self.failures.clear();
    }

    /// Records that this VM could not connect to `endpoint`.
    pub fn record_failure(&mut self, endpoint: K, now: Time) {
        self.failures
            .retain(|(other, at)| *other != endpoint && now - *at < FAILURE_WINDOW);
        self.failures.push((endpoint, now));
        let is_suspicious = self.failures.len() >= FAILURES_MIN && now >= self.refuted_until;
        if self.state == State::Connected && is_suspicious {
            self.state = State::Suspected;
        }
    }

    /// Records that another VM reaches an endpoint that failed here.
    pub fn record_cut(&mut self, now: Time) {
        if self.state == State::Suspected {
            self.state = State::CutOff;
            self.probed_at = now;
        }
    }

    /// Records that the endpoints that failed are down, or that no VM can tell.
    pub fn record_refutation(&mut self, now: Time) {
        if self.state == State::Suspected {
            self.record_open();
            self.refuted_until = now + REFUTED_TIME;
        }
    }

    /// Returns whether a VM that is cut off should attempt to connect to an
    /// endpoint now.
    pub fn is_probe_due(&mut self, now: Time) -> bool {
        let is_due = self.state == State::CutOff && now - self.probed_at >= PROBE_PERIOD;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }
}
