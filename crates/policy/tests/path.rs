//! Tests of the evidence on a VM's links to endpoints.

use std::time::Duration;

use board::Time;
use proptest::{collection::vec, prelude::*};
use tarragonseam_policy::path::{Links, State};

const SECOND: Duration = Duration::from_secs(1);

fn suspected() -> Links<u32> {
    let mut links = Links::default();
    links.record_failure(1, Time::ZERO);
    links.record_failure(2, Time::ZERO);
    links
}

#[test]
fn suspect_after_failures_of_one_endpoint() {
    let mut links = Links::default();
    for ms in 0..20 {
        links.record_failure(1, Time::from_millis(ms * 100));
    }
    assert_eq!(links.state(), State::Connected);
}

#[test]
fn suspect_after_failures_far_apart() {
    let mut links = Links::default();
    links.record_failure(1, Time::ZERO);
    links.record_failure(2, Time::ZERO + 10 * SECOND);
    assert_eq!(links.state(), State::Connected);
}

#[test]
fn suspect_after_refutation() {
    let mut links = suspected();
    links.record_refutation(Time::ZERO);
    assert_eq!(links.state(), State::Connected);
    for endpoint in 1..9 {
        links.record_failure(endpoint, Time::from_millis(500));
    }
    assert_eq!(links.state(), State::Connected);
    links.record_failure(1, Time::ZERO + SECOND);
    assert_eq!(links.state(), State::Suspected);
    assert_eq!(links.failures()[0], 1);
}

#[test]
fn probe_while_cut_off() {
    let mut links = suspected();
    assert!(!links.is_probe_due(Time::ZERO + 9 * SECOND));
    links.record_cut(Time::ZERO);
    assert!(!links.is_probe_due(Time::from_millis(900)));
    assert!(links.is_probe_due(Time::ZERO + SECOND));
    assert!(!links.is_probe_due(Time::ZERO + SECOND));
    // Endpoints that are down do not end the state.
    links.record_refutation(Time::ZERO + SECOND);
    assert_eq!(links.state(), State::CutOff);
    links.record_open();
    assert_eq!(links.state(), State::Connected);
    assert!(!links.is_probe_due(Time::ZERO + 9 * SECOND));
}

proptest! {
    /// A service that is down makes a VM suspect its links once a second at most,
    /// whatever the order of its failures.
    #[test]
    fn suspicions_while_endpoints_are_down(failures in vec((0_u32..8, 0_u64..50), 1..400)) {
        let mut links = Links::default();
        let (mut now, mut suspicions) = (Time::ZERO, 0);
        for (endpoint, pause_ms) in failures {
            now = now + Duration::from_millis(pause_ms);
            links.record_failure(endpoint, now);
            if links.state() == State::Suspected {
                suspicions += 1;
                links.record_refutation(now);
            }
        }
        prop_assert!(suspicions <= 1 + (now - Time::ZERO).as_secs());
    }
}
