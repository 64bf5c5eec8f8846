//! The simulated cost of endpoints is reproducible and lower with autoscaling.

use std::time::Duration;

use tarragonseam_lab::spend::{self, Provisioning};

#[test]
fn run_same_seed_twice() {
    for provisioning in Provisioning::ALL {
        let span = Duration::from_secs(3600);
        assert_eq!(
            spend::run(provisioning, 7, span),
            spend::run(provisioning, 7, span),
            "{provisioning:?}"
        );
    }
}

#[test]
fn run_autoscaled_cheaper_than_peak() {
    let span = Duration::from_secs(8 * 3600);
    let peak = spend::run(Provisioning::CheapPeak, 7, span);
    let autoscaled = spend::run(Provisioning::Autoscaled, 7, span);
    assert!(
        autoscaled.price_hours < peak.price_hours,
        "{autoscaled:?} {peak:?}"
    );
    assert!(autoscaled.unserved_fraction < 0.02, "{autoscaled:?}");
}
