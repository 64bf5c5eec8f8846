//! Predictions of latency by cost.

use std::time::Duration;

use tarragonseam_board::latency::Latency;

/// Returns the observations after responses whose latency is `fixed_ms`, plus
/// `unit_ms` for each unit of cost.
fn latency_after(costs: std::ops::RangeInclusive<u32>, fixed_ms: u64, unit_ms: u64) -> Latency {
    let mut latency = Latency::default();
    for cost in costs.cycle().take(2000) {
        let millis = fixed_ms + unit_ms * u64::from(cost);
        latency.add(cost, Duration::from_millis(millis));
    }
    latency
}

#[test]
fn quantile_without_responses() {
    assert_eq!(Latency::default().quantile(1, 0.5), None);
}

#[test]
fn quantile_by_cost() {
    let cases = [
        // Fixed latency and latency per unit in ms, requested cost, expected in
        // ms.
        (1000, 10, 20, 1200.0),
        (1000, 10, 200, 3000.0),
        (0, 25, 100, 2500.0),
        (500, 0, 200, 500.0),
    ];
    for (fixed, unit, cost, expected) in cases {
        let latency = latency_after(20..=120, fixed, unit);
        let median = latency.quantile(cost, 0.5).unwrap().as_secs_f64() * 1e3;
        let ratio = median / expected;
        assert!(
            (0.95..1.15).contains(&ratio),
            "{fixed} {unit} {cost}: {median}"
        );
    }
}

#[test]
fn quantile_single_cost() {
    let latency = latency_after(1..=1, 10, 10);
    let median = latency.quantile(1, 0.5).unwrap();
    assert!(median >= Duration::from_millis(20) && median < Duration::from_millis(23));
}

#[test]
fn quantile_follows_change() {
    let mut latency = latency_after(1..=1, 0, 500);
    for _ in 0..2000 {
        latency.add(1, Duration::from_millis(10));
    }
    let high = latency.quantile(1, 0.99).unwrap();
    assert!(high < Duration::from_millis(15), "{high:?}");
}
