//! Whether a sample is, or will be, staler than its trainer allows.
//!
//! At dispatch, the check predicts the staleness at the end of the sample: the
//! bound is tightened by the number of versions expected by then. At sealing,
//! only the bound applies.

use std::time::Duration;

use board::Time;

/// The interval between new versions of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Interval {
    /// The newest version, and when it was first seen.
    newest: Option<(u64, Time)>,
    /// Moving average of the time between versions.
    mean: Option<Duration>,
}

/// The weight of a new interval in the average is one over this number.
const INTERVAL_SMOOTHING: u32 = 4;

impl Interval {
    /// Records the newest version known at `now`.
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

    /// Returns how many versions are expected within `span` from `now`.
    pub fn expected_versions(&self, now: Time, span: Duration) -> u64 {
        let (Some((_, since)), Some(mean)) = (self.newest, self.mean) else {
            return 0;
        };
        if mean.is_zero() {
            return 0;
        }
        // An overdue version is counted once, however late it is.
        let since_newest = (now - since).min(mean);
        ((since_newest + span).as_nanos() / mean.as_nanos()) as u64
    }
}

/// Returns the oldest version allowed in a sample when it is sealed.
pub fn oldest_at_sealing(newest: u64, max_staleness: u32) -> u64 {
    newest.saturating_sub(u64::from(max_staleness))
}

/// Returns the oldest version on which an engine may start a sample, if
/// `expected` new versions are likely before the sample is complete.
///
/// The result never exceeds the newest version.
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
