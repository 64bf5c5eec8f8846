//! The choice of deputies and of the holders of copies in deployments of all sizes.

use proptest::prelude::*;
use tarragonseam_policy::{
    deputy::{self, Candidate},
    replica,
};

/// The number of deputies that are chosen.
const COUNT: usize = 3;
const SIZES: [usize; 4] = [3, 30, 300, 1000];
const DOMAINS: usize = 5;

/// A VM: its name, its failure domain and its power.
type Vm = (String, String, f64);

/// Returns `count` VMs in five failure domains, a quarter of them strong ones.
fn vms(count: usize, seed: u64) -> Vec<Vm> {
    let vm = |number: usize| {
        let is_strong = (number as u64 + seed).is_multiple_of(4);
        let power = if is_strong { 3.0 } else { 1.0 };
        (
            format!("vm-{seed}-{number}"),
            format!("domain-{}", number % DOMAINS),
            power,
        )
    };
    (0..count).map(vm).collect()
}

fn choose(vms: &[Vm]) -> Vec<&Vm> {
    let candidates = vms.iter().map(|(name, domain, power)| Candidate {
        name,
        domain,
        power: *power,
    });
    let candidates: Vec<_> = candidates.collect();
    let chosen = deputy::choose(&candidates, COUNT).into_iter();
    chosen.map(|index| &vms[index]).collect()
}

fn pairs(vms: &[Vm]) -> Vec<(&str, &str)> {
    vms.iter()
        .map(|(name, domain, _)| (&**name, &**domain))
        .collect()
}

proptest! {
    #[test]
    fn choose_strong_vms_of_different_domains(seed in 0_u64..1_000_000, size in 0_usize..4) {
        let vms = vms(SIZES[size], seed);
        let deputies = choose(&vms);
        let strongest = vms.iter().map(|vm| vm.2).fold(0.0, f64::max);
        prop_assert!(deputies.iter().all(|vm| vm.2 >= strongest / 2.0));
        let strong: Vec<_> = vms.iter().filter(|vm| vm.2 >= strongest / 2.0).collect();
        prop_assert_eq!(deputies.len(), COUNT.min(strong.len()));
        let count = |vms: &[&Vm]| {
            let mut domains: Vec<_> = vms.iter().map(|vm| &vm.1).collect();
            domains.sort();
            domains.dedup();
            domains.len()
        };
        prop_assert_eq!(count(&deputies), COUNT.min(count(&strong)));
    }

    #[test]
    fn choose_again_after_a_vm_has_left(seed in 0_u64..1_000_000, size in 1_usize..4, gone in 0_usize..1000) {
        let mut vms = vms(SIZES[size], seed);
        let before: Vec<String> = choose(&vms).iter().map(|vm| vm.0.clone()).collect();
        let gone = vms.swap_remove(gone % vms.len());
        let after: Vec<String> = choose(&vms).iter().map(|vm| vm.0.clone()).collect();
        let kept = before.iter().filter(|name| after.contains(name)).count();
        // The deputy of the next domain may move up, but no other one changes.
        let expected = if before.contains(&gone.0) { COUNT - 1 } else { COUNT };
        prop_assert!(kept >= expected.min(before.len()), "{before:?}, {after:?} without {gone:?}");
    }

    #[test]
    fn rank_copies_over_domains_and_vms(seed in 0_u64..1_000_000, size in 0_usize..4) {
        let vms = vms(SIZES[size], seed);
        let pairs = pairs(&vms);
        let mut order = replica::rank(&format!("record-{seed}"), &pairs);
        let first = DOMAINS.min(vms.len());
        let mut domains: Vec<_> = order[..first].iter().map(|index| pairs[*index].1).collect();
        domains.sort();
        domains.dedup();
        prop_assert_eq!(domains.len(), first);
        order.sort();
        prop_assert!(order.into_iter().eq(0..vms.len()));
    }
}

/// The number of copies that a VM gets on average.
const COPIES_MEAN: usize = 40;

#[test]
fn rank_spreads_records() {
    for size in [3, 30, 300] {
        let vms = vms(size, 1);
        let pairs = pairs(&vms);
        let mut counts = vec![0; size];
        for record in 0..size * COPIES_MEAN / 2 {
            let order = replica::rank(&format!("record-{record}"), &pairs);
            order.iter().take(2).for_each(|index| counts[*index] += 1);
        }
        let busiest = counts.iter().max().unwrap();
        assert!(*busiest < 2 * COPIES_MEAN, "{busiest} of {size} VMs");
    }
}
