//! Tests of the choice of an endpoint for an item. A step waits for its longest
//! item, and some endpoints are slower than others.

mod common;

use std::time::{Duration, Instant};

use link::{HeaderMap, HeaderValue};
use platform::header;
use tarragonseam_site::{
    facts::{Facts, Key},
    latency::Meter,
    placement::{self, Criteria},
};

const MODEL: &str = "m";
const SLOTS: u32 = 6;
/// The time per event at a fast endpoint and at a slow one.
const FAST_EVENT: Duration = Duration::from_millis(45);
const SLOW_EVENT: Duration = Duration::from_millis(60);

fn facts(latencies: &[Option<Duration>]) -> (Facts, Vec<Key>) {
    let mut facts = Facts::default();
    for number in 0..latencies.len() as u8 {
        let record = common::record::endpoint(number, SLOTS, &[(MODEL, 1)]);
        facts.put_endpoint(&format!("e{number}"), record);
    }
    let keys: Vec<Key> = facts.endpoints.keys().collect();
    for (key, latency) in keys.iter().zip(latencies) {
        if let Some(latency) = latency {
            facts.observe_latency(*key, MODEL, *latency, Instant::now());
        }
    }
    (facts, keys)
}

fn criteria() -> Criteria<'static> {
    Criteria {
        service: "writer",
        domain: "a",
        model: Some((MODEL, 1)),
        may_wait: true,
        ..Criteria::default()
    }
}

/// Chooses endpoints for `count` items, and returns how many items each
/// endpoint has.
fn choose_all(facts: &mut Facts, keys: &[Key], count: usize) -> Vec<u32> {
    let now = Instant::now();
    for _ in 0..count {
        let key = placement::choose(facts, criteria(), now).unwrap();
        facts.endpoints[key].in_flight += 1;
    }
    keys.iter()
        .map(|key| facts.endpoints[*key].in_flight)
        .collect()
}

#[test]
fn choose_slow_endpoint_last() {
    let (mut facts, keys) = facts(&[Some(SLOW_EVENT), Some(FAST_EVENT), Some(FAST_EVENT)]);
    assert_eq!(choose_all(&mut facts, &keys, 8), [0, 4, 4]);
    assert_eq!(choose_all(&mut facts, &keys, 5), [1, 6, 6]);
}

#[test]
fn choose_unmeasured_as_fast() {
    let (mut facts, keys) = facts(&[None, Some(FAST_EVENT), Some(SLOW_EVENT)]);
    assert_eq!(choose_all(&mut facts, &keys, 4), [2, 2, 0]);
}

#[test]
fn choose_ignores_small_difference() {
    let similar = FAST_EVENT + Duration::from_millis(3);
    let (mut facts, keys) = facts(&[Some(similar), Some(FAST_EVENT)]);
    assert_eq!(choose_all(&mut facts, &keys, 6), [3, 3]);
}

#[test]
fn choose_preferred_up_to_half_load() {
    let (mut facts, keys) = facts(&[Some(FAST_EVENT), Some(FAST_EVENT)]);
    let choose = |facts: &Facts| {
        let criteria = Criteria {
            preferred: Some(keys[0]),
            ..criteria()
        };
        placement::choose(facts, criteria, Instant::now())
    };
    for _ in 0..SLOTS / 2 {
        assert_eq!(choose(&facts), Some(keys[0]));
        facts.endpoints[keys[0]].in_flight += 1;
    }
    assert_eq!(choose(&facts), Some(keys[1]));
}

#[test]
fn choose_skips_slow_preferred() {
    let (facts, keys) = facts(&[Some(SLOW_EVENT), Some(FAST_EVENT)]);
    let criteria = Criteria {
        preferred: Some(keys[0]),
        ..criteria()
    };
    assert_eq!(
        placement::choose(&facts, criteria, Instant::now()),
        Some(keys[1])
    );
    let criteria = Criteria {
        preferred: Some(keys[1]),
        ..criteria
    };
    assert_eq!(
        placement::choose(&facts, criteria, Instant::now()),
        Some(keys[1])
    );
}

#[test]
fn choose_disturbed_again_later() {
    let (mut facts, keys) = facts(&[Some(FAST_EVENT), Some(FAST_EVENT)]);
    let now = Instant::now();
    for _ in 0..3 {
        facts.observe_latency(keys[0], MODEL, FAST_EVENT * 4, now);
    }
    assert_eq!(choose_all(&mut facts, &keys, 3), [0, 3]);
    let later = now + Duration::from_secs(5);
    let chosen = placement::choose(&facts, criteria(), later);
    assert_eq!(chosen, Some(keys[0]));
}

#[test]
fn choose_steadily_slow_last() {
    let (facts, keys) = facts(&[Some(SLOW_EVENT), Some(FAST_EVENT)]);
    let later = Instant::now() + Duration::from_secs(60);
    assert_eq!(placement::choose(&facts, criteria(), later), Some(keys[1]));
}

#[test]
fn should_move_to_faster_endpoint() {
    let now = Instant::now();
    let (mut facts, keys) = facts(&[Some(SLOW_EVENT), Some(FAST_EVENT)]);
    let disturbed = FAST_EVENT * 2;
    assert!(placement::should_move(
        &facts,
        keys[0],
        criteria(),
        disturbed,
        now
    ));
    // The run stays if the difference is small or the other endpoint is loaded.
    assert!(!placement::should_move(
        &facts,
        keys[0],
        criteria(),
        SLOW_EVENT,
        now
    ));
    facts.endpoints[keys[1]].in_flight = SLOTS / 2;
    assert!(!placement::should_move(
        &facts,
        keys[0],
        criteria(),
        disturbed,
        now
    ));
    // The run stays if the weights of the other endpoint are too old.
    facts.endpoints[keys[1]].in_flight = 0;
    let newer = Criteria {
        model: Some((MODEL, 2)),
        ..criteria()
    };
    assert!(!placement::should_move(
        &facts, keys[0], newer, disturbed, now
    ));
}

#[test]
fn meter_skips_first_event() {
    let mut meter = Meter::default();
    let start = Instant::now();
    assert_eq!(meter.count(start + Duration::from_secs(3)), None);
    let at = |n: u32| start + Duration::from_secs(3) + FAST_EVENT * n;
    let measured: Vec<Duration> = (1..=16).filter_map(|n| meter.count(at(n))).collect();
    assert_eq!(measured, [FAST_EVENT, FAST_EVENT]);
}

/// Facts with endpoints of these software versions, known since `since`.
fn facts_of_software(versions: &[&str], since: Instant) -> Facts {
    let mut facts = Facts::default();
    for (number, software) in versions.iter().enumerate() {
        let mut record = common::record::endpoint(number as u8, SLOTS, &[(MODEL, 1)]);
        record.software = (*software).to_string();
        facts.put_endpoint(&format!("e{number}"), record);
    }
    facts.endpoints_known_since = Some(since);
    facts
}

#[test]
fn choose_endpoint_of_one_software() {
    let now = Instant::now();
    let facts = facts_of_software(&["v1", "v2", "v1"], now);
    for software in ["v1", "v2"] {
        let criteria = Criteria {
            software: Some(software),
            ..criteria()
        };
        let key = placement::choose(&facts, criteria, now).unwrap();
        assert_eq!(facts.endpoints[key].record.software, software);
    }
    let criteria = Criteria {
        software: Some("v3"),
        ..criteria()
    };
    assert_eq!(placement::choose(&facts, criteria, now), None);
    assert!(!placement::has_suitable(&facts, criteria));
}

#[test]
fn only_software_after_versions_changed() {
    const HISTORY: Duration = Duration::from_secs(60);
    let start = Instant::now();
    let long_after = start + 2 * HISTORY;
    let mut facts = facts_of_software(&["v1", "v1"], start);
    let only = |facts: &Facts, now| facts.only_software("writer", HISTORY, now);
    assert_eq!(only(&facts, start), None);
    assert_eq!(only(&facts, long_after).as_deref(), Some("v1"));
    let mut newer = common::record::endpoint(9, SLOTS, &[(MODEL, 1)]);
    newer.software = "v2".to_string();
    facts.put_endpoint("e9", newer);
    assert_eq!(only(&facts, long_after), None);
    facts.remove_endpoint("e0");
    facts.remove_endpoint("e1");
    assert_eq!(only(&facts, start + HISTORY), None);
    assert_eq!(only(&facts, long_after).as_deref(), Some("v2"));
    assert_eq!(facts.only_software("registry", HISTORY, long_after), None);
}

#[test]
fn endpoint_of_other_software_under_same_id_taken_for_the_one_before() {
    let mut facts = facts_of_software(&["v1"], Instant::now());
    let key = facts.key("e0").unwrap();
    let mut record = common::record::endpoint(0, SLOTS, &[(MODEL, 1)]);
    assert!(!facts.put_endpoint("e0", record.clone()));
    record.software = "v2".to_string();
    assert!(facts.put_endpoint("e0", record));
    assert!(!facts.endpoints.contains_key(key));
}

/// An endpoint that stated a load beyond the numbers in use looked idle, and in a
/// debug build the VM ended.
#[test]
fn stated_load_overflows() {
    let (mut facts, keys) = facts(&[None, None]);
    let now = Instant::now();
    for load in ["4294967295, 1, 6", "5000000, 0, 6"] {
        let value = HeaderValue::from_static(load);
        let headers = HeaderMap::from_iter([(header::LOAD, value)]);
        facts.record_headers(keys[0], &headers, now);
        let stated = placement::load_permille(&facts.endpoints[keys[0]], now);
        assert!(stated > 1000, "{load}: {stated}");
        assert_eq!(placement::choose(&facts, criteria(), now), Some(keys[1]));
    }
}

/// Guards against a choice in an evacuated failure domain, or while the evacuations
/// are not known, and against one that stays left out after its return.
#[test]
fn evacuated_endpoints_left_out() {
    let (mut facts, keys) = facts(&[None, None]);
    let now = Instant::now();
    let domains = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    facts.endpoints[keys[0]].record.failure_domain = "b".to_string();
    let moved = facts.endpoints[keys[0]].record.clone();
    facts.set_evacuated(domains(&["b"]));
    // The other endpoint is the last choice, and no preference goes around.
    facts.record_failure(keys[1], now);
    let chosen = |facts: &Facts| {
        let criteria = Criteria {
            preferred: Some(keys[0]),
            may_wait: false,
            ..criteria()
        };
        placement::choose(facts, criteria, now)
    };
    assert_eq!(chosen(&facts), Some(keys[1]));
    assert!(!facts.is_service_evacuated("writer"));
    facts.set_evacuated(domains(&["a", "b"]));
    assert_eq!(chosen(&facts), None);
    assert!(!placement::has_suitable(&facts, criteria()));
    assert!(facts.is_service_evacuated("writer"));
    facts.set_evacuated(domains(&["a"]));
    assert_eq!(chosen(&facts), Some(keys[0]));
    // A record that arrives during an evacuation.
    let mut record = moved;
    record.failure_domain = "a".to_string();
    assert!(!facts.put_endpoint("e0", record));
    assert_eq!(chosen(&facts), None);
    facts.set_evacuated(domains(&[]));
    assert_eq!(chosen(&facts), Some(keys[0]));
    assert!(!facts.is_service_evacuated("a service without endpoints"));
}

#[test]
fn nothing_chosen_before_evacuations_are_known() {
    let (mut facts, keys) = facts(&[None]);
    assert!(facts.are_evacuations_known());
    facts.await_evacuations();
    assert!(!facts.are_evacuations_known());
    assert_eq!(placement::choose(&facts, criteria(), Instant::now()), None);
    facts.set_evacuated(Default::default());
    assert!(facts.are_evacuations_known());
    let chosen = placement::choose(&facts, criteria(), Instant::now());
    assert_eq!(chosen, Some(keys[0]));
    // The settings are read once, and the state is not forgotten.
    facts.await_evacuations();
    assert!(facts.are_evacuations_known());
}

/// Guards against requests that go to a cold endpoint while a warm one has free slots,
/// and to a full one while a cold one has.
#[test]
fn warm_endpoints_before_cold_ones_before_full_ones() {
    let (mut facts, keys) = facts(&[Some(FAST_EVENT), Some(SLOW_EVENT)]);
    let config = serde_json::json!({"version": 1, "services": [
        {"name": "writer", "cold-start-s": 3.0, "cold-per-s": 14.0},
    ]});
    assert!(facts.set_config(serde_json::from_value(config).unwrap()));
    let now = Instant::now();
    let chosen = |facts: &Facts, may_wait| {
        let criteria = Criteria {
            preferred: Some(keys[0]),
            may_wait,
            ..criteria()
        };
        placement::choose(facts, criteria, now)
    };
    assert_eq!(chosen(&facts, false), Some(keys[0]));
    let mut record = facts.endpoints[keys[0]].record.clone();
    record.cold_left = Duration::from_secs(60);
    facts.put_endpoint("e0", record);
    assert_eq!(facts.count_cold(now), 1);
    for may_wait in [false, true] {
        assert_eq!(chosen(&facts, may_wait), Some(keys[1]));
    }
    facts.endpoints[keys[1]].in_flight = SLOTS;
    for may_wait in [false, true] {
        assert_eq!(chosen(&facts, may_wait), Some(keys[0]));
    }
    // Without a permit, it is left out.
    let endpoint = facts.endpoints[keys[0]].clone();
    assert!(facts.record_sent(keys[0], &endpoint, now).is_err());
    assert_eq!(chosen(&facts, false), Some(keys[1]));
}
