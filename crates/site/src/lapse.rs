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
const TOGETHER: Duration = Duration::from_millis(1500);
/// How many records must be gone together.
const LEAST: usize = 2;
/// Which part of a service's records must be gone together. Endpoints leave by
/// themselves one by one, or say so before.
const PART: usize = 3;

/// The records that were removed lately, by service.
#[derive(Debug, Default)]
pub struct Lapses(Map<String, VecDeque<Instant>>);

impl Lapses {
    /// Notes that `gone` records of `service` were removed at `now` without a
    /// word, of which `left` endpoints are known still, and returns whether
    /// they lapsed with others rather than left.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use tarragonseam_site::lapse::Lapses;
    ///
    /// let now = Instant::now();
    /// assert!(!Lapses::default().note("s", 1, 7, now));
    /// assert!(Lapses::default().note("s", 5, 3, now));
    /// ```
    pub fn note(&mut self, service: &str, gone: usize, left: usize, now: Instant) -> bool {
        let recent = self.0.entry(service.to_string()).or_default();
        recent.extend(std::iter::repeat_n(now, gone));
        while recent
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > TOGETHER)
        {
            recent.pop_front();
        }
        let together = recent.len();
        let is_last = left == 0;
        is_last || (together >= LEAST && together * PART >= together + left)
    }
}
