//! Distinguishes endpoints that were removed from endpoints whose records
//! expired during an outage of the store. The module does no I/O.
//!
//! After an outage, which this VM may not have noticed, all records of a
//! service vanish at once, and return when the endpoints write them again.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use board::hash::Map;

/// Records that vanish within this time count as one burst. Records expire when
/// the store is available again, and watches report all of them within this
/// time.
const BURST_WINDOW: Duration = Duration::from_millis(1500);
/// The least number of records in a burst.
const BURST_RECORDS_MIN: usize = 2;
/// A burst must contain at least one in this many of a service's records. When
/// endpoints are really removed, they vanish one by one or are draining first.
const BURST_SHARE_DIVISOR: usize = 3;

/// Recognizes bursts among the records that were removed recently, by service.
#[derive(Debug, Default)]
pub struct Detector(Map<String, VecDeque<Instant>>);

impl Detector {
    /// Records that `removed` records of `service` vanished at `now` although
    /// their endpoints were not draining. `remaining` is the number of other
    /// endpoints of the service that are not draining. Returns whether the
    /// records expired in a burst, so that they may return.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use tarragonseam_site::expiry::Detector;
    ///
    /// let now = Instant::now();
    /// assert!(!Detector::default().record_removals("s", 1, 7, now));
    /// assert!(Detector::default().record_removals("s", 5, 3, now));
    /// ```
    pub fn record_removals(
        &mut self,
        service: &str,
        removed: usize,
        remaining: usize,
        now: Instant,
    ) -> bool {
        let recent = self.0.entry(service.to_string()).or_default();
        recent.extend(std::iter::repeat_n(now, removed));
        while recent
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > BURST_WINDOW)
        {
            recent.pop_front();
        }
        let burst = recent.len();
        let is_last = remaining == 0;
        is_last || (burst >= BURST_RECORDS_MIN && burst * BURST_SHARE_DIVISOR >= burst + remaining)
    }
}
