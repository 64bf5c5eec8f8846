//! Tests of the memory of submissions without a known outcome.

use std::time::{Duration, Instant};

use tarragonseam_site::job::unsettled::Unsettled;

const RETENTION: Duration = Duration::from_secs(120);

#[test]
fn settle_one_of_two_attempts() {
    let (unsettled, now) = (Unsettled::default(), Instant::now());
    // The second attempt is rejected while the first one waits for the store.
    unsettled.begin("job-a", RETENTION, now);
    unsettled.begin("job-a", RETENTION, now);
    unsettled.settle("job-a");
    assert!(unsettled.contains("job-a"));
    unsettled.settle("job-a");
    assert!(!unsettled.contains("job-a"));
    unsettled.settle("job-a");
    assert!(!unsettled.contains("job-a"));
}

#[test]
fn forget_attempts_after_retention() {
    let (unsettled, start) = (Unsettled::default(), Instant::now());
    unsettled.begin("job-a", RETENTION, start);
    unsettled.begin("job-b", RETENTION, start + RETENTION / 2);
    unsettled.begin("job-c", RETENTION, start + RETENTION);
    let known = ["job-a", "job-b", "job-c"].map(|job| unsettled.contains(job));
    assert_eq!(known, [false, true, true]);
}
