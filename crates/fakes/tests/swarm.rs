//! Membership and dissemination of many VMs over a network that drops datagrams.

use std::{collections::BTreeSet, time::Duration};

use board::{
    config::{IsolationMode, Part, manifest},
    key::{Digest, Grant},
    member::State,
    shared::{Fact, Item, Kind},
};
use policy::{dissemination, isolation, relay};
use proptest::{prelude::*, test_runner::RngSeed};
use tarragonseam_fakes::swarm::{Swarm, Vm};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bounds the time for a round of probes in a failure domain of four VMs, the
/// suspicion timeout and the spread of the update.
const DEATH_DETECTION_TIMEOUT: Duration = Duration::from_secs(20);

fn cut_domains(swarm: &mut Swarm, from: &str, to: &str) {
    let domain = |swarm: &Swarm, index: usize| swarm.vms[index].board.failure_domain.clone();
    for one in 0..swarm.vms.len() {
        for other in 0..swarm.vms.len() {
            if domain(swarm, one) == from && domain(swarm, other) == to {
                swarm.cuts.push((one, other));
            }
        }
    }
}

fn key(version: u64, withdrawn: bool) -> Item {
    let account = "a".to_string();
    let fact = Fact::Key(Digest::of("secret"), Grant { account, withdrawn });
    Item { version, fact }
}

fn is_withdrawn(swarm: &Swarm, index: usize) -> bool {
    let keys = &swarm.vms[index].board.keys;
    keys.get(&Digest::of("secret"))
        .is_some_and(|grant| grant.withdrawn)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn step_loss_without_false_death(seed: u64, loss in 0.0..0.15_f64) {
        let mut swarm = Swarm::new(12, &DOMAINS, seed);
        swarm.loss = loss;
        for _ in 0..60 {
            swarm.run(Duration::from_secs(1));
            prop_assert!(!swarm.has_false_death());
        }
        swarm.loss = 0.0;
        prop_assert!(swarm.run_until(CONVERGENCE_TIMEOUT, Swarm::is_converged).is_some());
    }

    #[test]
    fn step_crash_and_restart_converges(seed: u64, index in 0..12_usize, loss in 0.0..0.05_f64) {
        let mut swarm = Swarm::new(12, &DOMAINS, seed);
        swarm.loss = loss;
        swarm.run(Duration::from_secs(3));
        swarm.crash(index);
        prop_assert!(swarm.run_until(DEATH_DETECTION_TIMEOUT, Swarm::is_converged).is_some());
        swarm.restart(index, (index + 1) % 12);
        prop_assert!(swarm.run_until(CONVERGENCE_TIMEOUT, Swarm::is_converged).is_some());
    }

    #[test]
    fn step_one_way_cut_between_two_without_suspicion(seed: u64, one in 0..12_usize, step in 1..4_usize) {
        let other = (one + 3 * step) % 12;
        let mut swarm = Swarm::new(12, &DOMAINS, seed);
        swarm.cuts.push((one, other));
        for _ in 0..40 {
            swarm.run(Duration::from_secs(1));
            prop_assert!(!swarm.has_false_suspicion() && !swarm.has_false_death());
        }
    }

    #[test]
    fn step_silent_domain_without_false_death(seed: u64, one_way: bool) {
        let mut swarm = Swarm::new(12, &DOMAINS, seed);
        swarm.run(Duration::from_secs(3));
        for other in ["b", "c"] {
            cut_domains(&mut swarm, "a", other);
            if !one_way {
                cut_domains(&mut swarm, other, "a");
            }
        }
        swarm.run(Duration::from_secs(40));
        prop_assert!(!swarm.has_false_death());
    }

    #[test]
    fn merge_any_order_never_reverts(versions in prop::collection::vec(1..9_u64, 1..20)) {
        let mut swarm = Swarm::new(1, &["a"], 1);
        let mut highest = 0;
        for version in versions {
            let fact = Fact::Weights("m".to_string(), version);
            dissemination::merge(&mut swarm.vms[0].board, vec![Item { version, fact }]);
            highest = highest.max(version);
            prop_assert_eq!(swarm.vms[0].board.weights["m"], highest);
            prop_assert_eq!(swarm.vms[0].board.shared.version(Kind::Weights, "m"), highest);
        }
    }

    #[test]
    fn publish_withdrawal_reaches_all(seed: u64, index in 0..12_usize, loss in 0.0..0.2_f64) {
        let mut swarm = Swarm::new(12, &DOMAINS, seed);
        swarm.publish(0, vec![key(1, false)]);
        swarm.run(Duration::from_secs(3));
        swarm.loss = loss;
        swarm.publish(index, vec![key(2, true)]);
        let is_known_to_all = |swarm: &Swarm| (0..12).all(|index| is_withdrawn(swarm, index));
        prop_assert!(swarm.run_until(Duration::from_secs(2), is_known_to_all).is_some());
    }
}

#[test]
fn leave_announced_spreads_as_left() {
    let mut swarm = Swarm::new(12, &DOMAINS, 7);
    swarm.run(Duration::from_secs(3));
    swarm.leave(4);
    swarm.run(Duration::from_secs(3));
    for vm in swarm.vms.iter().filter(|vm| vm.board.vm != "vm-4") {
        assert_eq!(vm.board.members.others["vm-4"].state, State::Left);
    }
}

#[test]
fn apply_listing_removes_unlisted_vm_of_silent_domain() {
    let mut swarm = Swarm::new(6, &DOMAINS, 3);
    let mut listed = swarm.listed();
    swarm.crash(1);
    swarm.crash(4);
    swarm.run(Duration::from_secs(10));
    let live = |swarm: &Swarm| swarm.vms[0].board.members.live_in("b").count();
    assert_eq!(
        live(&swarm),
        2,
        "no VM of the failure domain is left to probe the others"
    );
    listed.retain(|record| record.failure_domain != "b");
    let now = swarm.now;
    policy::membership::apply_listing(&mut swarm.vms[0].board, now, &listed);
    assert_eq!(live(&swarm), 0);
}

#[test]
fn is_relay_two_per_domain() {
    let mut swarm = Swarm::new(24, &DOMAINS, 5);
    swarm.run(Duration::from_secs(5));
    for domain in DOMAINS {
        let of_domain = swarm
            .vms
            .iter()
            .filter(|vm| vm.board.failure_domain == domain);
        let relays = of_domain.filter(|vm| relay::is_relay(&vm.board)).count();
        assert_eq!(relays, relay::RELAYS);
    }
}

#[test]
fn is_owner_one_per_endpoint() {
    let mut swarm = Swarm::new(24, &DOMAINS, 5);
    swarm.run(Duration::from_secs(5));
    for endpoint in 0..50 {
        let name = format!("endpoint-{endpoint}");
        let of_domain = swarm.vms.iter().filter(|vm| vm.board.failure_domain == "a");
        let owners = of_domain
            .filter(|vm| relay::is_owner(&vm.board, &name))
            .count();
        assert_eq!(owners, 1);
    }
}

#[test]
fn merge_manifest_waits_for_parts() {
    let mut swarm = Swarm::new(1, &["a"], 1);
    let board = &mut swarm.vms[0].board;
    let text = |weight| format!("[accounts.a]\nweight = {weight}\n");
    let part = |weight| Part {
        file: "a.toml".to_string(),
        text: text(weight),
    };
    let item = |revision, weight| Item {
        version: revision,
        fact: Fact::Config(manifest::from_parts(revision, &[part(weight)])),
    };
    let merged = dissemination::merge(board, vec![item(1, 2)]);
    assert_eq!((board.revision, merged.missing.len()), (0, 1));
    dissemination::store_part(board, text(2));
    assert_eq!(
        dissemination::merge(board, vec![item(1, 2)]).revision,
        Some(1)
    );
    dissemination::store_part(board, "not a table".to_string());
    let broken = Part {
        file: "a.toml".to_string(),
        text: "not a table".to_string(),
    };
    let fact = Fact::Config(manifest::from_parts(2, &[broken]));
    let merged = dissemination::merge(board, vec![Item { version: 2, fact }]);
    assert_eq!((board.revision, merged.unreadable), (1, Some(2)));
    dissemination::store_part(board, text(4));
    assert_eq!(
        dissemination::merge(board, vec![item(3, 4)]).revision,
        Some(3)
    );
    assert_eq!(board.config.accounts["a"].weight, 4);
}

/// Checks in which failure domains VMs reject requests with a key, for each case
/// of lost connections.
#[test]
fn may_run_by_cut() {
    let outage = Duration::from_secs(30);
    for (name, cut, expected) in [
        ("no VM reaches the platform", vec![], vec![]),
        (
            "failure domain a is cut off in both directions",
            vec![("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")],
            vec!["a", "b", "c"],
        ),
        (
            "failure domain a receives nothing",
            vec![("b", "a"), ("c", "a")],
            vec!["a"],
        ),
    ] {
        let mut swarm = Swarm::new(12, &DOMAINS, 11);
        swarm.publish(0, vec![key(1, false)]);
        swarm.run(Duration::from_secs(3));
        for (from, to) in cut {
            cut_domains(&mut swarm, from, to);
        }
        swarm.run(outage);
        let mut rejecting = BTreeSet::new();
        for vm in &swarm.vms {
            assert!(isolation::may_run(
                &vm.board,
                swarm.now,
                IsolationMode::Serve
            ));
            if !isolation::may_run(&vm.board, swarm.now, IsolationMode::Refuse) {
                rejecting.insert(vm.board.failure_domain.clone());
            }
        }
        assert_eq!(
            rejecting.into_iter().collect::<Vec<_>>(),
            expected,
            "{name}"
        );
    }
}

/// Publishes more facts than two answers to a pull may contain, so that several
/// pulls are needed.
#[test]
fn pull_more_items_than_one_answer() {
    const FACTS: usize = 9_000;
    let mut swarm = Swarm::new(3, &["a"], 2);
    let fact = |number: usize| Fact::Weights(format!("model-{number}"), 1);
    let items = (0..FACTS).map(|number| Item {
        version: 1,
        fact: fact(number),
    });
    swarm.publish(0, items.collect());
    let is_known_to_all = |swarm: &Swarm| {
        let known = |vm: &Vm| vm.board.shared.of_kind(Kind::Weights).count();
        swarm.vms.iter().all(|vm| known(vm) == FACTS)
    };
    assert!(
        swarm
            .run_until(Duration::from_secs(10), is_known_to_all)
            .is_some()
    );
}
