//! Telling endpoints that left from endpoints whose records lapsed while the
//! store could not be reached. Pure: answers an outage of the store that nobody here
//! noticed, after which all records are gone at once and then return.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use board::hash::Map;

/// Within which time records that are gone count together: they lapse with
/// the return of the store, and are heard of within a watch.
const BURST_WINDOW: Duration = Duration::from_millis(1500);
/// How many records must be gone together.
const BURST_RECORDS_MIN: usize = 2;
/// Which part of a service's records must be gone together. Endpoints leave by
/// themselves one by one, or say so before.
const BURST_SHARE_DIVISOR: usize = 3;

/// The records that were removed lately, by service.
#[derive(Debug, Default)]
pub struct Detector(Map<String, VecDeque<Instant>>);

impl Detector {
    /// Notes that `removed` records of `service` were removed at `now` without a
    /// word, of which `remaining` endpoints are known still, and returns whether
    /// they lapsed with others rather than left.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use tarragonseam_site::expiry::Lapses;
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
