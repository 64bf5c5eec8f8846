//! Leases of several processes under clock drift, pauses, restarts and failing
//! calls.

mod lease_model;

use std::time::Duration;

use board::{
    Time,
    lease::{Lease, ORDER_DELIVERY_MAX, Record, Terms},
};
use lease_model::{Event, Fault, Simulation};
use proptest::prelude::*;
use tarragonseam_policy::lease::{
    Outcome, Step, check_period, epoch, record_read, record_write, release, step,
};

fn event() -> impl Strategy<Value = Event> {
    let fault = prop_oneof![
        3 => (200_u64..30_000).prop_map(Fault::Pause),
        2 => Just(Fault::Restart),
        2 => (500_u64..12_000).prop_map(Fault::SlowCalls),
        2 => (500_u64..12_000).prop_map(Fault::LostReplies),
        2 => (500_u64..12_000).prop_map(Fault::LateWrites),
        1 => (500_u64..12_000).prop_map(Fault::Outage),
    ];
    (0_u64..90_000, 0_usize..5, fault).prop_map(|(at_ms, process, fault)| Event {
        at_ms,
        process,
        fault,
    })
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    proptest::collection::vec(event(), 0..24)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn orders_never_overlap(events in events(), seed in any::<u64>()) {
        let mut simulation = Simulation::new(Terms::default(), seed);
        simulation.run(&events, Duration::from_secs(100));
        simulation.check()?;
    }
}

/// The terms of a platform on which a lease lasts 3 s.
fn short_terms(is_epoch_checked: bool) -> Terms {
    Terms {
        ttl: Duration::from_millis(3000),
        margin: Duration::from_millis(500),
        period: Duration::from_millis(800),
        is_epoch_checked,
    }
}

fn events_with_releases() -> impl Strategy<Value = Vec<Event>> {
    let release = (0_u64..90_000, 0_usize..5).prop_map(|(at_ms, process)| Event {
        at_ms,
        process,
        fault: Fault::Release,
    });
    proptest::collection::vec(prop_oneof![1 => release, 1 => event()], 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn orders_ordered_without_epoch_checks(
        events in events_with_releases(),
        seed in any::<u64>(),
        vms in 2_usize..=5,
    ) {
        let terms = short_terms(false);
        let mut simulation = Simulation::with_successors(terms, seed, vms);
        simulation.run(&events, Duration::from_secs(100));
        simulation.check()?;
        simulation.check_alternation(terms.ttl)?;
    }
}

/// Runs two VMs that release the lease or restart in turn, and returns whether any run has
/// orders of a lower epoch, and whether orders of VMs alternate in any run.
fn faults_in_turn(terms: Terms, fault: &Fault) -> (bool, bool) {
    let mut found = (false, false);
    for seed in 0..200 {
        let events: Vec<_> = (0..60)
            .map(|index| Event {
                at_ms: 8_000 + 1_450 * index,
                process: (index % 2) as usize,
                fault: fault.clone(),
            })
            .collect();
        let mut simulation = Simulation::with_successors(terms, seed, 2);
        simulation.run(&events, Duration::from_secs(100));
        found.0 |= simulation.check().is_err();
        found.1 |= simulation.check_alternation(terms.ttl).is_err();
    }
    found
}

#[test]
fn orders_without_epoch_checks_under_terms_that_rely_on_them() {
    // The simulation finds what the terms for such receivers prevent.
    let checked = short_terms(true);
    assert!(faults_in_turn(checked, &Fault::Restart).0);
    assert!(faults_in_turn(checked, &Fault::Release).1);
    let unchecked = short_terms(false);
    assert_eq!(faults_in_turn(unchecked, &Fault::Restart), (false, false));
    assert_eq!(faults_in_turn(unchecked, &Fault::Release), (false, false));
}

#[test]
fn release_early_only_after_one_term() {
    let start = Time::from_millis(10_000);
    let ttl_of_release = |terms: Terms, held_for: Duration| {
        let (mut lease, _) = held_lease(start, terms);
        let step = release(&mut lease, start + held_for, terms, "vm-1");
        let Some(Step::Write { record, .. }) = step else {
            panic!("the lease was held");
        };
        Duration::from_millis(record.ttl_ms)
    };
    let (checked, unchecked) = (short_terms(true), short_terms(false));
    let second = Duration::from_secs(1);
    assert_eq!(ttl_of_release(checked, second), checked.margin);
    assert_eq!(ttl_of_release(unchecked, second), unchecked.ttl - second);
    assert_eq!(ttl_of_release(unchecked, unchecked.ttl), unchecked.margin);
}

/// Returns whether orders of two holders overlap in any of many runs with
/// `terms`.
fn overlaps(terms: Terms) -> bool {
    (0..300).any(|seed| {
        let events: Vec<_> = (0..10)
            .map(|index| Event {
                at_ms: 9_000 * index,
                process: (index % 5) as usize,
                fault: Fault::Outage(9_000 + 200 * (seed % 20)),
            })
            .collect();
        let mut simulation = Simulation::new(terms, seed);
        simulation.run(&events, Duration::from_secs(100));
        simulation.check().is_err()
    })
}

#[test]
fn terms_default_cover_longest_send() {
    let terms = Terms::default();
    // The margin also covers two clocks that differ by a tenth over the longest
    // wait.
    let wait = terms.ttl + terms.margin;
    assert!(terms.margin * 2 >= ORDER_DELIVERY_MAX + wait / 10);
    assert!(!overlaps(terms));
}

#[test]
fn terms_without_margin_overlap() {
    let terms = Terms {
        margin: Duration::ZERO,
        ..Terms::default()
    };
    assert!(
        overlaps(terms),
        "the simulation does not detect a missing margin"
    );
}

#[test]
fn step_keeps_lease_after_lost_reply() {
    let mut simulation = Simulation::new(Terms::default(), 1);
    let lost_replies = |at_ms| Event {
        at_ms,
        process: 0,
        fault: Fault::LostReplies(2_000),
    };
    simulation.keep_only(0);
    simulation.run(
        &[lost_replies(12_000), lost_replies(24_000)],
        Duration::from_secs(40),
    );
    simulation.check().unwrap();
    assert_eq!(
        simulation.last_epoch(),
        1,
        "the lease was lost with a reply"
    );
}

#[test]
fn step_keeps_lease_after_late_write() {
    for seed in 0..100 {
        let late_writes = |at_ms| Event {
            at_ms,
            process: 0,
            fault: Fault::LateWrites(2_000),
        };
        let mut simulation = Simulation::new(Terms::default(), seed);
        simulation.keep_only(0);
        simulation.run(
            &[late_writes(12_000), late_writes(30_000)],
            Duration::from_secs(50),
        );
        simulation.check().unwrap();
        assert_eq!(simulation.last_epoch(), 1, "seed {seed}");
    }
}

/// Returns the record that `lease` writes at `now`, with the outcome unknown.
fn write_unknown(lease: &mut Lease, now: Time, terms: Terms) -> Record {
    let Step::Write { record, .. } = step(lease, now, terms, "vm-1") else {
        panic!("no write at {now:?}");
    };
    record_write(lease, now, record.clone(), Outcome::Unknown, terms);
    record
}

/// Returns a lease held since `now` under epoch 1, and its record, of version 1.
fn held_lease(now: Time, terms: Terms) -> (Lease, Record) {
    let mut lease = Lease::new(1);
    record_read(&mut lease, now, None, terms);
    let Step::Write { record, .. } = step(&mut lease, now, terms, "vm-1") else {
        panic!("an absent lease is acquired at once");
    };
    record_write(&mut lease, now, record.clone(), Outcome::Written(1), terms);
    (lease, record)
}

#[test]
fn record_read_write_landed_after_read() {
    let terms = Terms::default();
    let start = Time::from_millis(10_000);
    let at = |ms| start + Duration::from_millis(ms);
    let (mut lease, record) = held_lease(start, terms);
    let first = write_unknown(&mut lease, at(1_500), terms);
    assert_eq!(step(&mut lease, at(3_000), terms, "vm-1"), Step::Read);
    record_read(&mut lease, at(3_000), Some((1, record)), terms);
    // The first write lands, so the second one fails.
    write_unknown(&mut lease, at(4_500), terms);
    record_read(&mut lease, at(4_600), Some((2, first)), terms);
    let end = at(1_500) + (terms.ttl - terms.margin);
    assert_eq!(epoch(&lease, at(4_600)), Some(1));
    assert_eq!(epoch(&lease, end), None);
}

#[test]
fn record_read_record_of_other_process() {
    let terms = Terms::default();
    let start = Time::from_millis(10_000);
    let (mut lease, _) = held_lease(start, terms);
    let now = start + Duration::from_millis(1_500);
    let written = write_unknown(&mut lease, now, terms);
    let others = [
        Record {
            nonce: 2,
            ..written.clone()
        },
        Record {
            serial: written.serial + 1,
            ..written.clone()
        },
        Record {
            epoch: 2,
            ..written.clone()
        },
        Record {
            holder: "vm-2".to_string(),
            ..written
        },
    ];
    for other in others {
        let mut lease = lease.clone();
        record_read(&mut lease, now, Some((2, other.clone())), terms);
        assert_eq!(epoch(&lease, now), None, "{other:?}");
    }
}

/// Returns how often a minute `count` VMs together check one lease.
fn checks_per_minute(count: usize) -> f64 {
    let names: Vec<_> = (0..count).map(|n| format!("vm-{n}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let rate = |vm: &&str| 60.0 / check_period("usage", vm, &names, Terms::default()).as_secs_f64();
    names.iter().map(rate).sum()
}

#[test]
fn check_period_total_rate_bounded() {
    let baseline = checks_per_minute(8);
    for count in [16, 64, 390, 2000] {
        let increase = checks_per_minute(count) - baseline;
        assert!(
            increase < 30.0,
            "{increase} more checks a minute with {count} VMs"
        );
    }
}

#[test]
fn step_renews_with_long_check_period() {
    let terms = Terms {
        period: Terms::default().ttl * 3,
        ..Terms::default()
    };
    let (mut lease, mut now) = (Lease::new(1), Time::from_millis(10_000));
    let mut version = 0;
    for _ in 0..2000 {
        now = now + Duration::from_millis(10);
        match step(&mut lease, now, terms, "vm-1") {
            Step::Wait => {}
            Step::Read => record_read(&mut lease, now, None, terms),
            Step::Write { record, .. } => {
                version += 1;
                record_write(&mut lease, now, record, Outcome::Written(version), terms);
            }
        }
        assert!(version == 0 || epoch(&lease, now) == Some(1), "{now:?}");
    }
    assert!(version > 1);
}
