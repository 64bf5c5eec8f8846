//! The decisions about lots: production, staleness, stragglers and claims.

use std::time::Duration;

use board::{Time, lot::Claim};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tarragonseam_policy::{
    claim::{self, Duty, Guard, OUTAGE_MIN, Outage, SILENCE_MAX, UNCLAIMED_MAX},
    lot::{Place, Production},
    staleness::{Pace, oldest_at_dispatch, oldest_at_sealing},
    straggler::{Budget, Progress, Usual, is_straggler},
};

/// A plain model of a production: the oldest version of each scored place.
#[derive(Clone, Debug)]
struct Model {
    places: Vec<Place>,
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
        let places = vec![Place::Missing; SAMPLES];
        Just(Self { places }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            (0..8_usize).prop_map(Step::Start),
            (0..SAMPLES, 0..5_u64).prop_map(|(place, oldest)| Step::Score(place, oldest)),
            (0..SAMPLES).prop_map(Step::Fail),
            (0..5_u64).prop_map(Step::Discard),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        let running = |places: &[Place]| places.iter().filter(|p| **p == Place::Running).count();
        match *step {
            Step::Start(most) => {
                for place in 0..SAMPLES {
                    if state.places[place] == Place::Missing && running(&state.places) < most {
                        state.places[place] = Place::Running;
                    }
                }
            }
            Step::Score(place, oldest) => {
                if !matches!(state.places[place], Place::Scored { .. }) {
                    state.places[place] = Place::Scored { oldest };
                }
            }
            Step::Fail(place) => {
                if state.places[place] == Place::Running {
                    state.places[place] = Place::Missing;
                }
            }
            Step::Discard(allowed) => {
                for place in &mut state.places {
                    if matches!(place, Place::Scored { oldest } if *oldest < allowed) {
                        *place = Place::Missing;
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
            Step::Start(most) => drop(lot.start_missing(most)),
            Step::Score(place, oldest) => {
                let is_first = !matches!(lot.place(place), Some(Place::Scored { .. }));
                assert_eq!(lot.score(place, oldest), is_first);
            }
            Step::Fail(place) => lot.fail(place),
            Step::Discard(allowed) => drop(lot.discard_older(allowed)),
        }
        lot
    }

    fn check_invariants(lot: &Production, model: &Model) {
        for (place, expected) in model.places.iter().enumerate() {
            assert_eq!(lot.place(place), Some(*expected));
        }
        let is_running = |place: &&Place| **place == Place::Running;
        assert_eq!(
            lot.running(),
            model.places.iter().filter(is_running).count()
        );
        let is_scored = |place: &Place| matches!(place, Place::Scored { .. });
        assert_eq!(lot.is_whole(), model.places.iter().all(is_scored));
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
        // A sample that starts there is still good after `expected` versions,
        // unless even the newest one would not be.
        let is_good = oldest >= oldest_at_sealing(newest + expected, bound);
        prop_assert!(is_good || oldest == newest);
    }

    #[test]
    fn candidates_after_loss(count in 2..12_usize, lot in 0..1000_u32) {
        let vms: Vec<_> = (0..count).map(|n| format!("vm-{n}")).collect();
        let lot = lot.to_string();
        let all = claim::candidates(vms.iter().map(String::as_str), &lot);
        let rest = vms.iter().map(String::as_str).filter(|vm| *vm != all[0]);
        // The first guard becomes the owner when the owner is gone.
        prop_assert_eq!(claim::candidates(rest, &lot)[0], all[1]);
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
fn duty_by_rank_and_silence() {
    let start = Time::from_millis(1000);
    let guard = Guard::new(start);
    let table = [
        (None, SILENCE_MAX * 9, Duty::Nothing),
        (Some(0), Duration::ZERO, Duty::Produce),
        (Some(1), SILENCE_MAX / 2, Duty::Ask),
        (Some(1), SILENCE_MAX, Duty::Produce),
        (Some(2), SILENCE_MAX, Duty::Ask),
        (Some(2), SILENCE_MAX * 2, Duty::Produce),
    ];
    for (rank, after, duty) in table {
        assert_eq!(guard.duty(rank, start + after), duty, "{rank:?} {after:?}");
    }
    // A VM that became the first keeps off while the owner answers.
    let mut guard = guard;
    guard.hear(start);
    assert_eq!(guard.duty(Some(0), start), Duty::Ask);
    assert_eq!(guard.duty(Some(0), start + SILENCE_MAX), Duty::Produce);
}

#[test]
fn claim_epoch_grows() {
    let first = claim::next(None, "vm-1");
    let second = claim::next(Some(&first), "vm-2");
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
fn pace_counts_versions() {
    let mut pace = Pace::default();
    assert_eq!(pace.expected(Time::ZERO, Duration::from_secs(60)), 0);
    for version in 1..5 {
        pace.note(Time::from_millis(version * 10_000), version);
    }
    let now = Time::from_millis(40_000);
    let table = [(0, 0), (9, 0), (10, 1), (25, 2)];
    for (seconds, expected) in table {
        let seen = pace.expected(now, Duration::from_secs(seconds));
        assert_eq!(seen, expected, "{seconds} s");
    }
    // An overdue version is expected at once, and only once.
    assert_eq!(pace.expected(Time::from_millis(90_000), Duration::ZERO), 1);
}

#[test]
fn straggler_by_rate() {
    let at = Time::from_millis;
    let mut usual = Usual::default();
    let progress = |tokens, last| Progress {
        started: at(0),
        first_token: (tokens > 0).then(|| at(100)),
        last_token: (tokens > 0).then(|| at(last)),
        tokens,
        tokens_max: 100,
    };
    assert!(!is_straggler(&progress(2, 60_000), &usual, at(60_000)));
    usual.note(Duration::from_secs(1));
    let table = [
        ("usual rate", progress(50, 590), 600, false),
        ("slow rate", progress(11, 1100), 1100, true),
        ("stalled", progress(50, 590), 4000, true),
        ("nearly done", progress(99, 9000), 9000, false),
        ("no token yet", progress(0, 0), 1500, false),
        ("no token for long", progress(0, 0), 2500, true),
    ];
    for (name, progress, now, expected) in table {
        assert_eq!(is_straggler(&progress, &usual, at(now)), expected, "{name}");
    }
}

#[test]
fn budget_bounds_second_attempts() {
    let mut budget = Budget::new(100, 10);
    let spent = (0..10).filter(|_| budget.spend(100)).count();
    assert_eq!(spent, 4);
    for _ in 0..10 {
        budget.earn(100, 100);
    }
    assert!(budget.spend(100));
    assert!(!budget.spend(100));
    let mut none = Budget::new(100, 0);
    none.earn(1_000_000, 100);
    assert!(!none.spend(100));
}

proptest! {
    /// VMs that reach each other, each with its own patience, look at lots in
    /// an outage in any order: no lot is produced twice, no VM takes more than
    /// it may, and what they may take is taken in the end.
    #[test]
    fn may_produce_unclaimed_any_order(
        lots in 1_usize..10,
        looks in prop::collection::vec((0_usize..3, 0_usize..10, 0_u64..4_000), 0..200),
    ) {
        let mut owners: Vec<Option<usize>> = vec![None; lots];
        let mut look = |vm: usize, lot: usize, lasts: Duration| {
            let unclaimed = owners.iter().filter(|owner| **owner == Some(vm)).count();
            let is_cared_for = owners[lot].is_some();
            let outage = Outage { lasts, is_cared_for, unclaimed };
            if claim::may_produce_unclaimed(outage) {
                prop_assert!(!is_cared_for && lasts >= OUTAGE_MIN);
                owners[lot] = Some(vm);
            }
            Ok(())
        };
        for (vm, lot, lasts) in looks {
            look(vm, lot % lots, Duration::from_millis(lasts))?;
        }
        for vm in 0..3 {
            for lot in 0..lots {
                look(vm, lot, OUTAGE_MIN)?;
            }
        }
        let taken = owners.iter().flatten().count();
        prop_assert_eq!(taken, lots.min(3 * UNCLAIMED_MAX));
        for vm in 0..3 {
            let unclaimed = owners.iter().filter(|owner| **owner == Some(vm)).count();
            prop_assert!(unclaimed <= UNCLAIMED_MAX);
        }
    }
}
