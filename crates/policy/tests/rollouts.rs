//! Production of lots, staleness, stragglers and claims.

use std::time::Duration;

use board::{Time, lot::Claim};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tarragonseam_policy::{
    claim::{self, Action, Monitor, OUTAGE_MIN, OWNER_TIMEOUT, Outage, UNCLAIMED_LOTS_MAX},
    lot::{Production, State},
    staleness::{Interval, oldest_at_dispatch, oldest_at_sealing},
    straggler::{Baseline, Budget, Progress, is_straggler},
};

/// A reference model of [`Production`]: the state of each slot.
#[derive(Clone, Debug)]
struct Model {
    states: Vec<State>,
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Score(usize, u64),
    Fail(usize),
    Discard(u64),
}

const SAMPLES: usize = 6;

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let states = vec![State::Missing; SAMPLES];
        Just(Self { states }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            (0..8_usize).prop_map(Step::Start),
            (0..SAMPLES, 0..5_u64).prop_map(|(slot, oldest)| Step::Score(slot, oldest)),
            (0..SAMPLES).prop_map(Step::Fail),
            (0..5_u64).prop_map(Step::Discard),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        let running = |states: &[State]| states.iter().filter(|s| **s == State::Running).count();
        match *step {
            Step::Start(running_max) => {
                for slot in 0..SAMPLES {
                    if state.states[slot] == State::Missing && running(&state.states) < running_max
                    {
                        state.states[slot] = State::Running;
                    }
                }
            }
            Step::Score(slot, oldest) => {
                if !matches!(state.states[slot], State::Scored { .. }) {
                    state.states[slot] = State::Scored { oldest };
                }
            }
            Step::Fail(slot) => {
                if state.states[slot] == State::Running {
                    state.states[slot] = State::Missing;
                }
            }
            Step::Discard(allowed) => {
                for sample in &mut state.states {
                    if matches!(sample, State::Scored { oldest } if *oldest < allowed) {
                        *sample = State::Missing;
                    }
                }
            }
        }
        state
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Production;
    type Reference = Model;

    fn init_test(_: &Model) -> Production {
        Production::new(SAMPLES)
    }

    fn apply(mut lot: Production, _: &Model, step: Step) -> Production {
        match step {
            Step::Start(running_max) => drop(lot.start_missing(running_max)),
            Step::Score(slot, oldest) => {
                let is_first = !matches!(lot.state(slot), Some(State::Scored { .. }));
                assert_eq!(lot.record_score(slot, oldest), is_first);
            }
            Step::Fail(slot) => lot.record_failure(slot),
            Step::Discard(allowed) => drop(lot.discard_older(allowed)),
        }
        lot
    }

    fn check_invariants(lot: &Production, model: &Model) {
        for (slot, expected) in model.states.iter().enumerate() {
            assert_eq!(lot.state(slot), Some(*expected));
        }
        let is_running = |state: &&State| **state == State::Running;
        assert_eq!(
            lot.running(),
            model.states.iter().filter(is_running).count()
        );
        let is_scored = |state: &State| matches!(state, State::Scored { .. });
        assert_eq!(lot.is_complete(), model.states.iter().all(is_scored));
    }
}

prop_state_machine! {
    #[test]
    fn production_any_order(sequential 1..60 => Machine);
}

proptest! {
    #[test]
    fn dispatch_no_older_than_sealing(newest in 0..100_u64, bound in 0..5_u32, expected in 0..9_u64) {
        let oldest = oldest_at_dispatch(newest, bound, expected);
        prop_assert!(oldest <= newest);
        prop_assert!(oldest >= oldest_at_sealing(newest, bound));
        // A sample started at `oldest` still meets the bound after `expected`
        // new versions, unless even the newest version would not.
        let is_within_bound = oldest >= oldest_at_sealing(newest + expected, bound);
        prop_assert!(is_within_bound || oldest == newest);
    }

    #[test]
    fn candidates_after_loss(count in 2..12_usize, lot in 0..1000_u32) {
        let vms: Vec<_> = (0..count).map(|n| format!("vm-{n}")).collect();
        let lot = lot.to_string();
        let all = claim::candidates(vms.iter().map(String::as_str), &lot);
        let others = vms.iter().map(String::as_str).filter(|vm| *vm != all[0]);
        // The first monitor becomes the owner when the owner is lost.
        prop_assert_eq!(claim::candidates(others, &lot)[0], all[1]);
    }
}

#[test]
fn candidates_spread_over_vms() {
    let vms: Vec<_> = (0..6).map(|n| format!("vm-a{n}")).collect();
    let mut owned = [0; 6];
    for lot in 0..600 {
        let name = format!("notes.{lot}");
        let order = claim::candidates(vms.iter().map(String::as_str), &name);
        owned[vms.iter().position(|vm| vm == order[0]).unwrap()] += 1;
    }
    assert!(
        owned.iter().all(|lots| (50..=150).contains(lots)),
        "{owned:?}"
    );
}

#[test]
fn action_by_rank_and_silence() {
    let start = Time::from_millis(1000);
    let monitor = Monitor::new(start);
    let table = [
        (None, OWNER_TIMEOUT * 9, Action::Nothing),
        (Some(0), Duration::ZERO, Action::Produce),
        (Some(1), OWNER_TIMEOUT / 2, Action::Ask),
        (Some(1), OWNER_TIMEOUT, Action::Produce),
        (Some(2), OWNER_TIMEOUT, Action::Ask),
        (Some(2), OWNER_TIMEOUT * 2, Action::Produce),
    ];
    for (rank, after, action) in table {
        assert_eq!(
            monitor.action(rank, start + after),
            action,
            "{rank:?} {after:?}"
        );
    }
    // A VM that has become the first candidate does not take over while another
    // producer is seen.
    let mut monitor = monitor;
    monitor.record_producer(start);
    assert_eq!(monitor.action(Some(0), start), Action::Ask);
    assert_eq!(
        monitor.action(Some(0), start + OWNER_TIMEOUT),
        Action::Produce
    );
}

#[test]
fn next_claim_raises_epoch() {
    let first = claim::next_claim(None, "vm-1");
    let second = claim::next_claim(Some(&first), "vm-2");
    assert_eq!((first.epoch, second.epoch), (1, 2));
    assert_eq!(
        second,
        Claim {
            owner: "vm-2".into(),
            epoch: 2
        }
    );
}

#[test]
fn interval_expected_versions() {
    let mut interval = Interval::default();
    assert_eq!(
        interval.expected_versions(Time::ZERO, Duration::from_secs(60)),
        0
    );
    for version in 1..5 {
        interval.observe(Time::from_millis(version * 10_000), version);
    }
    let now = Time::from_millis(40_000);
    let table = [(0, 0), (9, 0), (10, 1), (25, 2)];
    for (seconds, expected) in table {
        let actual = interval.expected_versions(now, Duration::from_secs(seconds));
        assert_eq!(actual, expected, "{seconds} s");
    }
    // An overdue version is expected at any moment, but only once.
    assert_eq!(
        interval.expected_versions(Time::from_millis(90_000), Duration::ZERO),
        1
    );
}

#[test]
fn is_straggler_by_rate() {
    let at = Time::from_millis;
    let mut baseline = Baseline::default();
    let progress = |tokens, last| Progress {
        started: at(0),
        first_token: (tokens > 0).then(|| at(100)),
        last_token: (tokens > 0).then(|| at(last)),
        tokens,
        tokens_max: 100,
    };
    assert!(!is_straggler(&progress(2, 60_000), &baseline, at(60_000)));
    baseline.observe(Duration::from_secs(1));
    let table = [
        ("usual rate", progress(50, 590), 600, false),
        ("slow rate", progress(11, 1100), 1100, true),
        ("stalled", progress(50, 590), 4000, true),
        ("nearly done", progress(99, 9000), 9000, false),
        ("no token, short wait", progress(0, 0), 1500, false),
        ("no token, long wait", progress(0, 0), 2500, true),
    ];
    for (name, progress, now, expected) in table {
        assert_eq!(
            is_straggler(&progress, &baseline, at(now)),
            expected,
            "{name}"
        );
    }
}

#[test]
fn budget_try_spend_bounded() {
    let mut budget = Budget::new(100, 10);
    let spent = (0..10).filter(|_| budget.try_spend(100)).count();
    assert_eq!(spent, 4);
    for _ in 0..10 {
        budget.earn(100, 100);
    }
    assert!(budget.try_spend(100));
    assert!(!budget.try_spend(100));
    let mut empty = Budget::new(100, 0);
    empty.earn(1_000_000, 100);
    assert!(!empty.try_spend(100));
}

proptest! {
    /// VMs that can reach each other check the claims of lots in any order
    /// during an outage. No lot is produced twice, no VM produces more lots
    /// than allowed, and all lots within these bounds are produced in the end.
    #[test]
    fn may_produce_unclaimed_any_order(
        lots in 1_usize..10,
        checks in prop::collection::vec((0_usize..3, 0_usize..10, 0_u64..4_000), 0..200),
    ) {
        let mut owners: Vec<Option<usize>> = vec![None; lots];
        let mut check = |vm: usize, lot: usize, duration: Duration| {
            let unclaimed = owners.iter().filter(|owner| **owner == Some(vm)).count();
            let has_producer = owners[lot].is_some();
            let outage = Outage { duration, has_producer, unclaimed };
            if claim::may_produce_unclaimed(outage) {
                prop_assert!(!has_producer && duration >= OUTAGE_MIN);
                owners[lot] = Some(vm);
            }
            Ok(())
        };
        for (vm, lot, duration) in checks {
            check(vm, lot % lots, Duration::from_millis(duration))?;
        }
        for vm in 0..3 {
            for lot in 0..lots {
                check(vm, lot, OUTAGE_MIN)?;
            }
        }
        let produced = owners.iter().flatten().count();
        prop_assert_eq!(produced, lots.min(3 * UNCLAIMED_LOTS_MAX));
        for vm in 0..3 {
            let unclaimed = owners.iter().filter(|owner| **owner == Some(vm)).count();
            prop_assert!(unclaimed <= UNCLAIMED_LOTS_MAX);
        }
    }
}
