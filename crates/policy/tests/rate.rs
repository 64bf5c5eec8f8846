//! Properties of shared rate limits.

use std::time::Duration;

use board::Time;
use proptest::prelude::*;
use tarragonseam_policy::rate::Bucket;

/// The time over which the platform counts requests, and what it accepts in it.
const WINDOW: Duration = Duration::from_secs(4);
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS: f64 = 5.0;

proptest! {
    /// The coordinators are asked at any time and restarted at any time.
    #[test]
    fn permits_of_all_coordinators_stay_within_the_limit(
        limit in 0.0_f64..50.0,
        coordinators in 1_usize..4,
        asks in prop::collection::vec((0_usize..4, 0_u64..120, 0_u8..40), 1..600),
    ) {
        let mut now = Time::from_millis(1);
        let mut buckets = vec![Bucket::new(now); coordinators];
        let mut granted: Vec<Time> = Vec::new();
        for (index, pause_ms, event) in asks {
            now = now + Duration::from_millis(pause_ms);
            let bucket = &mut buckets[index % coordinators];
            if event == 0 {
                *bucket = Bucket::new(now);
            }
            while bucket.take(limit, coordinators, now).is_ok() {
                granted.push(now);
            }
        }
        let allowed = EXCESS_FACTOR * limit * WINDOW.as_secs_f64() + EXCESS;
        for from in &granted {
            let within = granted.iter().filter(|at| **at >= *from && **at < *from + WINDOW);
            prop_assert!(within.count() as f64 <= allowed);
        }
    }

    /// A permit is granted once the time of a rejection has passed.
    #[test]
    fn permit_after_the_named_wait(limit in 0.0_f64..50.0, coordinators in 1_usize..4) {
        let start = Time::from_millis(1);
        let mut bucket = Bucket::new(start);
        let wait = bucket.take(limit, coordinators, start).unwrap_err();
        let later = start + wait + Duration::from_millis(1);
        prop_assert_eq!(bucket.take(limit, coordinators, later), Ok(()));
    }
}
