//! Whether a sample is, or will be, older than its trainer allows.
//!
//! At dispatch the question is whether the sample will be too old when it is
//! done: versions that are likely to come into force meanwhile are added to
//! the bound. At sealing the bound alone decides.

use std::time::Duration;

use board::Time;

/// How often new versions of a model come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Interval {
    newest: Option<(u64, Time)>,
    /// Smoothed time from one version to the next.
    mean: Option<Duration>,
}

/// The share of a new gap in the smoothed one: one over this number.
const INTERVAL_SMOOTHING: u32 = 4;

impl Interval {
    /// Notes the newest version known at `now`.
    pub fn observe(&mut self, now: Time, version: u64) {
        let Some((known, since)) = self.newest else {
            self.newest = Some((version, now));
            return;
        };
        if version <= known {
            return;
        }
        let versions = u32::try_from(version - known).unwrap_or(u32::MAX);
        let observed = (now - since) / versions;
        self.mean = Some(match self.mean {
            Some(mean) => (mean * (INTERVAL_SMOOTHING - 1) + observed) / INTERVAL_SMOOTHING,
            None => observed,
        });
        self.newest = Some((version, now));
    }

    /// Returns how many versions are likely to come within `span` from `now`.
    pub fn expected_versions(&self, now: Time, span: Duration) -> u64 {
        let (Some((_, since)), Some(mean)) = (self.newest, self.mean) else {
            return 0;
        };
        if mean.is_zero() {
            return 0;
        }
        // A version that is overdue may come at any moment, but is not counted
        // more than once.
        let since_newest = (now - since).min(mean);
        ((since_newest + span).as_nanos() / mean.as_nanos()) as u64
    }
}

/// Returns the oldest version that a sample may have at sealing.
pub fn oldest_at_sealing(newest: u64, max_staleness: u32) -> u64 {
    newest.saturating_sub(u64::from(max_staleness))
}

/// Returns the oldest version that an engine may hold for a new sample, when
/// `expected` versions are likely to come before the sample is done.
///
/// The newest version always will do: nothing younger exists.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::staleness::oldest_at_dispatch;
///
/// assert_eq!(oldest_at_dispatch(9, 2, 0), 7);
/// assert_eq!(oldest_at_dispatch(9, 2, 1), 8);
/// assert_eq!(oldest_at_dispatch(9, 2, 5), 9);
/// ```
pub fn oldest_at_dispatch(newest: u64, max_staleness: u32, expected: u64) -> u64 {
    oldest_at_sealing(newest.saturating_add(expected), max_staleness).min(newest)
}
