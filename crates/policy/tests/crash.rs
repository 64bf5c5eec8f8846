//! Quarantine of requests under which endpoints ended.

use std::time::Duration;

use board::Time;
use tarragonseam_policy::crash::{ENDPOINTS_MAX, Suspects};

const NOW: Time = Time::from_millis(1);

/// Returns the losses of `request` at `ENDPOINTS_MAX` endpoints.
fn quarantined(is_shared: bool) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..ENDPOINTS_MAX {
        suspects.record(NOW, "request", &number.to_string(), is_shared);
    }
    suspects
}

#[test]
fn quarantine_ends_and_one_loss_renews_it() {
    let mut suspects = quarantined(true);
    let rest = suspects.quarantine("request", NOW).unwrap();
    let later = NOW + rest;
    assert!(suspects.quarantine("request", later).is_none());
    assert!(suspects.record(later, "request", "other", false));
    assert_eq!(suspects.quarantine("request", later), Some(rest));
}

#[test]
fn losses_of_one_endpoint_count_once() {
    let mut suspects = Suspects::default();
    assert!(suspects.record(NOW, "request", "a", false));
    for _ in 0..ENDPOINTS_MAX {
        assert!(!suspects.record(NOW, "request", "a", true));
    }
    assert_eq!(suspects.count("request"), 1);
    assert!(suspects.quarantine("request", NOW).is_none());
}

#[test]
fn losses_that_others_forgot() {
    let mut shared = quarantined(true);
    shared.retain_shared(|_, _| false);
    assert!(shared.is_empty());
    let mut own = quarantined(false);
    own.retain_shared(|_, _| false);
    assert_eq!(own.count("request"), ENDPOINTS_MAX);
}

#[test]
fn losses_forgotten_with_time() {
    let mut suspects = Suspects::default();
    suspects.record(NOW, "once", "a", false);
    suspects.record(NOW + Duration::from_secs(3600), "other", "a", false);
    assert_eq!((suspects.count("once"), suspects.count("other")), (0, 1));
}

#[test]
fn answered_request_is_cleared() {
    let mut suspects = quarantined(true);
    assert_eq!(suspects.clear("request"), ["0", "1", "2"]);
    assert!(suspects.quarantine("request", NOW).is_none());
}

#[test]
fn loss_cleared_while_it_was_shared() {
    let mut suspects = Suspects::default();
    suspects.record(NOW, "request", "a", false);
    assert!(suspects.mark_shared("request", "a"));
    assert!(!suspects.is_unshared("request", "a"));
    suspects.clear("request");
    suspects.record(NOW, "request", "b", false);
    assert!(!suspects.mark_shared("request", "a"));
    assert!(suspects.is_unshared("request", "b"));
}
