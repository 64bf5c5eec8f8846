//! Tests of the expected time until a request finishes at an endpoint.

use std::time::Duration;

use proptest::prelude::*;
use tarragonseam_policy::estimate::{self, Endpoint, Kind, Report, Work};

const WORK: Work = Work {
    events: 12.0,
    tokens: 0,
};

fn engine() -> Endpoint {
    Endpoint {
        kind: Kind::Engine {
            event_s: 0.045,
            crowding: 1.25,
        },
        slots: 6,
        in_flight: 0,
        report: None,
        usual_factor: 1.0,
        is_far: false,
    }
}

fn service() -> Endpoint {
    Endpoint {
        kind: Kind::Service { request_s: 0.05 },
        ..engine()
    }
}

fn with_report(endpoint: Endpoint, requests: u32, factor: Option<f64>, age_ms: u64) -> Endpoint {
    let report = Report {
        requests,
        factor,
        age: Duration::from_millis(age_ms),
        ..Report::default()
    };
    Endpoint {
        report: Some(report),
        ..endpoint
    }
}

/// A figure of the last second would keep requests from an endpoint that is as
/// fast as the others by now.
#[test]
fn old_factor_counts_for_nothing() {
    let usual = estimate::finish_s(&service(), WORK);
    let at = |age_ms| {
        let slow = with_report(service(), 0, Some(2.0), age_ms);
        estimate::finish_s(&slow, WORK)
    };
    assert!(at(0) > usual * 1.8);
    assert!(at(0) > at(200) && at(200) > at(600));
    assert!(estimate::is_equal(usual, at(1000)), "{usual} {}", at(1000));
}

/// A run of seconds that avoids an endpoint for a figure of this moment runs at
/// a slower one.
#[test]
fn momentary_factor_matters_less_to_long_runs() {
    let increase = |events| {
        let work = Work { events, tokens: 0 };
        let slow = with_report(engine(), 0, Some(2.0), 0);
        estimate::finish_s(&slow, work) / estimate::finish_s(&engine(), work)
    };
    assert!(increase(2.0) > 1.7, "{}", increase(2.0));
    assert!(increase(100.0) < 1.1, "{}", increase(100.0));
}

/// Steady slowness is part of the measured times. Counted twice, a slow machine
/// would get no requests.
#[test]
fn usual_factor_is_not_counted_twice() {
    let steady = Endpoint {
        usual_factor: 1.8,
        ..with_report(engine(), 0, Some(1.8), 0)
    };
    let difference = estimate::finish_s(&steady, WORK) - estimate::finish_s(&engine(), WORK);
    assert!(difference.abs() < 1e-9, "{difference}");
}

/// The requests of this VM are in the report of the endpoint and in its own
/// count.
#[test]
fn own_requests_counted_once() {
    let report = Report {
        requests: 5,
        own: 3,
        ..Report::default()
    };
    let endpoint = Endpoint {
        in_flight: 3,
        report: Some(report),
        ..engine()
    };
    assert!((estimate::requests(&endpoint) - 5.0).abs() < 1e-9);
}

#[test]
fn queue_costs_more_than_a_slow_machine() {
    let full = with_report(service(), 8, None, 0);
    let slow = with_report(service(), 0, Some(1.4), 0);
    assert!(estimate::finish_s(&full, WORK) > estimate::finish_s(&slow, WORK));
}

/// Any value, also those that are no numbers.
fn odd() -> impl Strategy<Value = f64> {
    prop_oneof![
        any::<f64>(),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::NEG_INFINITY),
        Just(0.0),
        0.01..100.0_f64,
    ]
}

prop_compose! {
    fn any_report()(
        requests in any::<u32>(),
        own in any::<u32>(),
        usual_others in odd(),
        factor in proptest::option::of(odd()),
        age_ms in any::<u64>(),
    ) -> Report {
        Report { requests, own, usual_others, factor, age: Duration::from_millis(age_ms) }
    }
}

prop_compose! {
    fn any_endpoint()(
        is_engine in any::<bool>(),
        pace in odd(),
        crowding in odd(),
        slots in any::<u32>(),
        in_flight in any::<u32>(),
        report in proptest::option::of(any_report()),
        usual_factor in odd(),
        is_far in any::<bool>(),
    ) -> Endpoint {
        let kind = match is_engine {
            true => Kind::Engine { event_s: pace, crowding },
            false => Kind::Service { request_s: pace },
        };
        Endpoint { kind, slots, in_flight, report, usual_factor, is_far }
    }
}

prop_compose! {
    fn any_work()(events in odd(), tokens in any::<u64>()) -> Work {
        Work { events, tokens }
    }
}

proptest! {
    /// Endpoints and items may state anything, and an order of endpoints needs
    /// finite numbers.
    #[test]
    fn finish_is_finite_for_any_input(endpoint in any_endpoint(), work in any_work()) {
        let seconds = estimate::finish_s(&endpoint, work);
        prop_assert!(seconds.is_finite() && seconds >= 0.0, "{}", seconds);
    }

    #[test]
    fn more_requests_never_finish_sooner(
        endpoint in any_endpoint(),
        work in any_work(),
        more in 1_u32..100,
    ) {
        let in_flight = endpoint.in_flight.saturating_add(more);
        let busier = Endpoint { in_flight, ..endpoint };
        let (before, after) = (estimate::finish_s(&endpoint, work), estimate::finish_s(&busier, work));
        prop_assert!(after >= before, "{} {}", before, after);
    }

    #[test]
    fn higher_factor_never_finishes_sooner(
        endpoint in any_endpoint(),
        work in any_work(),
        factor in 0.1..10.0_f64,
        more in 0.0..5.0_f64,
        age_ms in 0_u64..5000,
    ) {
        let at = |factor| {
            let reported = with_report(endpoint, 3, Some(factor), age_ms);
            estimate::finish_s(&reported, work)
        };
        let (before, after) = (at(factor), at(factor + more));
        prop_assert!(after >= before * (1.0 - 1e-9), "{} {}", before, after);
    }

    #[test]
    fn unread_prompt_never_finishes_sooner(
        endpoint in any_endpoint(),
        events in 0.0..200.0_f64,
        tokens in 0_u64..1_000_000,
        more in 0_u64..1_000_000,
    ) {
        let at = |tokens| estimate::finish_s(&endpoint, Work { events, tokens });
        prop_assert!(at(tokens + more) >= at(tokens));
    }

    /// The weight of a factor falls with the age of its report and changes no
    /// other direction.
    #[test]
    fn factor_fades_toward_one(factor in odd(), usual in odd(), age_ms in 0_u64..100_000) {
        let at = |age_ms| {
            let report = Report {
                factor: Some(factor),
                age: Duration::from_millis(age_ms),
                ..Report::default()
            };
            estimate::relative_factor(Some(&report), usual)
        };
        let (newer, older) = (at(age_ms), at(age_ms + 100));
        prop_assert!((older - 1.0).abs() <= (newer - 1.0).abs());
        prop_assert!((newer - 1.0) * (older - 1.0) >= 0.0);
    }
}
