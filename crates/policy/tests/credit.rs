//! Grants of slots, and ownership of endpoints.

use board::Time;
use proptest::prelude::*;
use tarragonseam_policy::{
    credit::{self, GRANT_TTL, Pool},
    owner,
};

/// Requests a grant for every VM twice, so that the second round reflects the
/// demand of all VMs.
fn grants(demands: &[u32], slots: u32) -> Vec<f64> {
    let mut pool = Pool::default();
    let names: Vec<_> = (0..demands.len()).map(|n| format!("vm-{n}")).collect();
    let mut request = || -> Vec<f64> {
        let pairs = names.iter().zip(demands);
        pairs
            .map(|(vm, demand)| credit::grant(&mut pool, Time::ZERO, vm, *demand, slots).slots)
            .collect()
    };
    request();
    request()
}

#[test]
fn grant_max_min_fair() {
    let cases: &[(&[u32], &[f64])] = &[
        (&[20], &[8.0]),
        (&[1, 20], &[1.0, 7.0]),
        (&[20, 20], &[4.0, 4.0]),
        (&[1, 3, 20], &[1.0, 3.0, 4.0]),
        (&[2, 2, 2], &[2.0, 2.0, 2.0]),
        (&[0, 20], &[0.0, 8.0]),
        (&[1, 9, 9], &[1.0, 3.5, 3.5]),
        (&[9; 16], &[0.5; 16]),
    ];
    for (demands, expected) in cases {
        assert_eq!(grants(demands, 8), *expected, "{demands:?}");
    }
}

#[test]
fn grant_after_demand_expired() {
    let mut pool = Pool::default();
    credit::grant(&mut pool, Time::ZERO, "vm-1", 20, 8);
    let shared = credit::grant(&mut pool, Time::ZERO, "vm-2", 20, 8);
    assert_eq!(shared.slots, 4.0);
    let later = Time::ZERO + GRANT_TTL;
    let alone = credit::grant(&mut pool, later, "vm-2", 20, 8);
    assert_eq!(alone.slots, 8.0, "the grant of vm-1 has expired");
}

#[test]
fn owner_after_member_removed() {
    let all = ["vm-1", "vm-2", "vm-3", "vm-4"];
    for number in 0..200 {
        let name = format!("engine-{number}");
        let before = owner::select(all, &name).unwrap();
        let after = owner::select(all.into_iter().filter(|vm| *vm != "vm-2"), &name).unwrap();
        assert!(
            before == after || before == "vm-2",
            "{name} moved from {before}"
        );
    }
}

#[test]
fn owner_without_members() {
    assert_eq!(owner::select([], "engine-1"), None);
}

proptest! {
    /// Once all demands are known, the grants use all slots for which there is
    /// demand, and no VM gets more than it wants.
    #[test]
    fn grant_within_slots(demands in prop::collection::vec(1_u32..40, 1..12), slots in 1_u32..64) {
        let granted = grants(&demands, slots);
        let expected = f64::from(slots.min(demands.iter().sum()));
        prop_assert!((granted.iter().sum::<f64>() - expected).abs() < 1e-6, "{granted:?}");
        prop_assert!(granted.iter().zip(&demands).all(|(granted, demand)| *granted <= f64::from(*demand)));
    }
}
