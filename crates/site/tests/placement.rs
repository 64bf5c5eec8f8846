//! Which endpoint an item goes to, on a load of steps that wait for their
//! longest item while some endpoints are slower than others.

mod common;

use std::time::{Duration, Instant};

use tarragonseam_site::{
    facts::{Facts, Key},
    latency::Meter,
    placement::{self, Criteria},
};

const MODEL: &str = "m";
const SLOTS: u32 = 6;
/// The time of an event at a fast endpoint and at a slow one.
const FAST: Duration = Duration::from_millis(45);
const SLOW: Duration = Duration::from_millis(60);

fn facts(paces: &[Option<Duration>]) -> (Facts, Vec<Key>) {
    let mut facts = Facts::default();
    for number in 0..paces.len() as u8 {
        let record = common::record::endpoint(number, SLOTS, &[(MODEL, 1)]);
        facts.put_endpoint(&format!("e{number}"), record);
    }
    let keys: Vec<Key> = facts.endpoints.keys().collect();
    for (key, pace) in keys.iter().zip(paces) {
        if let Some(pace) = pace {
            facts.observe_latency(*key, MODEL, *pace, Instant::now());
        }
    }
    (facts, keys)
}

fn need() -> Criteria<'static> {
    Criteria {
        service: "writer",
        domain: "a",
        model: Some((MODEL, 1)),
        may_wait: true,
        ..Criteria::default()
    }
}

/// Places `count` items and returns how many each endpoint has.
fn place_all(facts: &mut Facts, keys: &[Key], count: usize) -> Vec<u32> {
    let now = Instant::now();
    for _ in 0..count {
        let key = placement::choose(facts, need(), now).unwrap();
        facts.endpoints[key].in_flight += 1;
    }
    keys.iter()
        .map(|key| facts.endpoints[*key].in_flight)
        .collect()
}

#[test]
fn slower_endpoint_is_taken_last() {
    let (mut facts, keys) = facts(&[Some(SLOW), Some(FAST), Some(FAST)]);
    assert_eq!(place_all(&mut facts, &keys, 8), [0, 4, 4]);
    assert_eq!(place_all(&mut facts, &keys, 5), [1, 6, 6]);
}

#[test]
fn unknown_endpoint_counts_as_fast() {
    let (mut facts, keys) = facts(&[None, Some(FAST), Some(SLOW)]);
    assert_eq!(place_all(&mut facts, &keys, 4), [2, 2, 0]);
}

#[test]
fn small_differences_do_not_matter() {
    let like = FAST + Duration::from_millis(3);
    let (mut facts, keys) = facts(&[Some(like), Some(FAST)]);
    assert_eq!(place_all(&mut facts, &keys, 6), [3, 3]);
}

#[test]
fn endpoint_of_a_group_is_filled_to_a_half() {
    let (mut facts, keys) = facts(&[Some(FAST), Some(FAST)]);
    let choose = |facts: &Facts| {
        let need = Criteria {
            preferred: Some(keys[0]),
            ..need()
        };
        placement::choose(facts, need, Instant::now())
    };
    for _ in 0..SLOTS / 2 {
        assert_eq!(choose(&facts), Some(keys[0]));
        facts.endpoints[keys[0]].in_flight += 1;
    }
    assert_eq!(choose(&facts), Some(keys[1]));
}

#[test]
fn slow_endpoint_of_a_group_is_left() {
    let (facts, keys) = facts(&[Some(SLOW), Some(FAST)]);
    let need = Criteria {
        preferred: Some(keys[0]),
        ..need()
    };
    assert_eq!(
        placement::choose(&facts, need, Instant::now()),
        Some(keys[1])
    );
    let need = Criteria {
        preferred: Some(keys[1]),
        ..need
    };
    assert_eq!(
        placement::choose(&facts, need, Instant::now()),
        Some(keys[1])
    );
}

#[test]
fn endpoint_that_turns_slow_is_left_and_tried_again() {
    let (mut facts, keys) = facts(&[Some(FAST), Some(FAST)]);
    let now = Instant::now();
    for _ in 0..3 {
        facts.observe_latency(keys[0], MODEL, FAST * 4, now);
    }
    assert_eq!(place_all(&mut facts, &keys, 3), [0, 3]);
    let later = now + Duration::from_secs(5);
    let found = placement::choose(&facts, need(), later);
    assert_eq!(found, Some(keys[0]));
}

#[test]
fn endpoint_that_is_built_slow_stays_last() {
    let (facts, keys) = facts(&[Some(SLOW), Some(FAST)]);
    let later = Instant::now() + Duration::from_secs(60);
    assert_eq!(placement::choose(&facts, need(), later), Some(keys[1]));
}

#[test]
fn run_moves_to_a_faster_endpoint_with_places() {
    let now = Instant::now();
    let (mut facts, keys) = facts(&[Some(SLOW), Some(FAST)]);
    let disturbed = FAST * 2;
    assert!(placement::should_move(
        &facts,
        keys[0],
        need(),
        disturbed,
        now
    ));
    // Not for a small difference, nor where it would be one of many.
    assert!(!placement::should_move(&facts, keys[0], need(), SLOW, now));
    facts.endpoints[keys[1]].in_flight = SLOTS / 2;
    assert!(!placement::should_move(
        &facts,
        keys[0],
        need(),
        disturbed,
        now
    ));
    // Nor to one whose weights are too old.
    facts.endpoints[keys[1]].in_flight = 0;
    let newer = Criteria {
        model: Some((MODEL, 2)),
        ..need()
    };
    assert!(!placement::should_move(
        &facts, keys[0], newer, disturbed, now
    ));
}

#[test]
fn meter_leaves_the_first_event_out() {
    let mut meter = Meter::default();
    let start = Instant::now();
    assert_eq!(meter.count(start + Duration::from_secs(3)), None);
    let at = |n: u32| start + Duration::from_secs(3) + FAST * n;
    let measured: Vec<Duration> = (1..=16).filter_map(|n| meter.count(at(n))).collect();
    assert_eq!(measured, [FAST, FAST]);
}
