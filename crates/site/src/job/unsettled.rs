//! Submissions whose outcome this VM does not know.
//!
//! A rejection promises that no part of the job runs, which covers everything
//! that was done for the submission: an earlier attempt that got no answer may
//! have created the job's head, or may yet.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;

/// The attempts to accept jobs that have no known outcome. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Unsettled(Rc<RefCell<Map<String, Attempts>>>);

/// The attempts at one job.
#[derive(Debug)]
struct Attempts {
    count: u32,
    last_began_at: Instant,
}

impl Unsettled {
    /// Records that an attempt to accept `job` begins. It stays recorded for
    /// `retention` unless [`settle`](Self::settle) is called for it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use tarragonseam_site::job::unsettled::Unsettled;
    ///
    /// let (unsettled, now) = (Unsettled::default(), Instant::now());
    /// unsettled.begin("job-a", Duration::from_secs(60), now);
    /// unsettled.begin("job-a", Duration::from_secs(60), now);
    /// unsettled.settle("job-a");
    /// assert!(unsettled.contains("job-a"));
    /// ```
    pub fn begin(&self, job: &str, retention: Duration, now: Instant) {
        let mut jobs = self.0.borrow_mut();
        jobs.retain(|_, attempts| {
            now.saturating_duration_since(attempts.last_began_at) < retention
        });
        let attempts = jobs.entry(job.to_string()).or_insert(Attempts {
            count: 0,
            last_began_at: now,
        });
        attempts.count += 1;
        attempts.last_began_at = now;
    }

    /// Records that the outcome of one attempt at `job` is known.
    pub fn settle(&self, job: &str) {
        let mut jobs = self.0.borrow_mut();
        if let Some(attempts) = jobs.get_mut(job) {
            attempts.count = attempts.count.saturating_sub(1);
            if attempts.count == 0 {
                jobs.remove(job);
            }
        }
    }

    /// Returns whether an attempt at `job` has no known outcome.
    pub fn contains(&self, job: &str) -> bool {
        self.0.borrow().contains_key(job)
    }
}
