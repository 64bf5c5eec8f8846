//! Attempts to accept a job whose outcome this VM does not know.
//!
//! A rejection promises that no part of the job runs, which covers everything
//! that was done for the submission: an earlier attempt that got no answer may
//! have created the job's head, or may yet.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;

/// The attempts to accept jobs that have no known outcome. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Unsettled(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    jobs: RefCell<Map<String, Vec<Attempt>>>,
    next_number: Cell<u64>,
}

#[derive(Debug)]
struct Attempt {
    number: u64,
    began_at: Instant,
}

/// An attempt that has begun. One that is dropped remains unsettled.
#[derive(Debug)]
#[must_use]
pub struct Token {
    job: String,
    number: u64,
}

impl Unsettled {
    /// Records that an attempt to accept `job` begins, and forgets attempts that
    /// began `retention` ago.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use tarragonseam_site::job::unsettled::Unsettled;
    ///
    /// let (unsettled, now) = (Unsettled::default(), Instant::now());
    /// let lost = unsettled.begin("job-a", Duration::from_secs(60), now);
    /// drop(lost);
    /// let rejected = unsettled.begin("job-a", Duration::from_secs(60), now);
    /// unsettled.settle(rejected);
    /// assert!(unsettled.contains("job-a"));
    /// ```
    pub fn begin(&self, job: &str, retention: Duration, now: Instant) -> Token {
        let number = self.0.next_number.get();
        self.0.next_number.set(number.wrapping_add(1));
        let mut jobs = self.0.jobs.borrow_mut();
        jobs.retain(|_, attempts| {
            attempts.retain(|attempt| now.saturating_duration_since(attempt.began_at) < retention);
            !attempts.is_empty()
        });
        let attempts = jobs.entry(job.to_string()).or_default();
        attempts.push(Attempt {
            number,
            began_at: now,
        });
        let job = job.to_string();
        Token { job, number }
    }

    /// Records that the outcome of the attempt `token` is known.
    pub fn settle(&self, token: Token) {
        let mut jobs = self.0.jobs.borrow_mut();
        if let Some(attempts) = jobs.get_mut(&token.job) {
            attempts.retain(|attempt| attempt.number != token.number);
            if attempts.is_empty() {
                jobs.remove(&token.job);
            }
        }
    }

    /// Returns whether an attempt at `job` has no known outcome.
    pub fn contains(&self, job: &str) -> bool {
        self.0.jobs.borrow().contains_key(job)
    }
}
