//! Costs of endpoints over a simulated time.

use std::time::Duration;

use tarragonseam_lab::spend::{self, Way};

#[test]
fn run_same_seed_same_figures() {
    for way in Way::ALL {
        let span = Duration::from_secs(3600);
        assert_eq!(
            spend::run(way, 7, span),
            spend::run(way, 7, span),
            "{way:?}"
        );
    }
}

#[test]
fn run_load_costs_less_than_peak() {
    let span = Duration::from_secs(8 * 3600);
    let peak = spend::run(Way::CheapPeak, 7, span);
    let load = spend::run(Way::Load, 7, span);
    assert!(load.price_hours < peak.price_hours, "{load:?} {peak:?}");
    assert!(load.unserved < 0.02, "{load:?}");
}
