//! Tests of the memory of attempts without a known outcome.

use std::time::{Duration, Instant};

use tarragonseam_site::job::unsettled::Unsettled;

const RETENTION: Duration = Duration::from_secs(120);

#[test]
fn settle_one_of_two_attempts() {
    let (unsettled, now) = (Unsettled::default(), Instant::now());
    // The second attempt is rejected while the first one waits for the store.
    let first = unsettled.begin("job-a", RETENTION, now);
    let second = unsettled.begin("job-a", RETENTION, now);
    unsettled.settle(second);
    assert!(unsettled.contains("job-a"));
    unsettled.settle(first);
    assert!(!unsettled.contains("job-a"));
}

#[test]
fn settle_attempt_older_than_retention() {
    let (unsettled, start) = (Unsettled::default(), Instant::now());
    let old = unsettled.begin("job-a", RETENTION, start);
    let lost = unsettled.begin("job-a", RETENTION, start + RETENTION);
    drop(lost);
    // The process was suspended in between.
    unsettled.settle(old);
    assert!(unsettled.contains("job-a"));
}

#[test]
fn forget_attempts_after_retention() {
    let (unsettled, start) = (Unsettled::default(), Instant::now());
    for (job, delay) in [("job-a", 0), ("job-b", 1), ("job-c", 2)] {
        drop(unsettled.begin(job, RETENTION, start + RETENTION / 2 * delay));
    }
    let known = ["job-a", "job-b", "job-c"].map(|job| unsettled.contains(job));
    assert_eq!(known, [false, true, true]);
}
