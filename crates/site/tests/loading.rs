//! Tests of the choice of the endpoint that loads weights next, with two models
//! whose versions are named faster than all endpoints can load them.

mod common;

use std::time::{Duration, Instant};

use board::hash::{Map, Set};
use tarragonseam_site::{
    duty::loading,
    facts::{Facts, Key},
    job::Registry,
};

const LARGE_MODEL: &str = "large";
const SMALL_MODEL: &str = "small";

const SLOTS: u32 = 8;

/// Returns `count` endpoints with version 1 of both models.
fn facts(count: u8) -> Facts {
    let mut facts = Facts::default();
    for number in 0..count {
        facts.put_endpoint(
            &format!("e{number}"),
            common::record::endpoint(number, SLOTS, &[(LARGE_MODEL, 1), (SMALL_MODEL, 1)]),
        );
    }
    facts
}

fn demand() -> Map<String, u64> {
    [
        (LARGE_MODEL.to_string(), 6000),
        (SMALL_MODEL.to_string(), 3000),
    ]
    .into_iter()
    .collect()
}

fn set_version(facts: &mut Facts, key: Key, model: &str, version: u64) {
    let endpoint = facts.endpoints.get_mut(key).unwrap();
    for (name, known) in &mut endpoint.record.versions {
        if name == model {
            *known = version;
        }
    }
}

/// Returns the number of endpoints that serve the step of `version`.
fn count_serving(facts: &Facts, model: &str, version: u64) -> usize {
    let versions = facts.endpoints.values().filter_map(|e| e.version(model));
    versions.filter(|v| v + 1 >= version).count()
}

/// Guards against orders, and targets, for endpoints that may be sent nothing.
#[test]
fn next_skips_evacuated() {
    let mut facts = facts(3);
    facts.versions.insert(LARGE_MODEL.to_string(), 5);
    let now = Instant::now();
    let next = |facts: &Facts| loading::next(facts, &demand(), &Set::default(), |_, _| false, now);
    for number in [0, 2] {
        let mut record = common::record::endpoint(number, SLOTS, &[(LARGE_MODEL, 1)]);
        record.failure_domain = "b".to_string();
        facts.put_endpoint(&format!("e{number}"), record);
    }
    facts.set_evacuated(["b".to_string()].into_iter().collect());
    let (key, _) = next(&facts).unwrap();
    assert_eq!(facts.endpoints[key].id, "e1");
    facts.set_evacuated(["a".to_string(), "b".to_string()].into_iter().collect());
    assert!(next(&facts).is_none());
}

#[test]
fn next_without_named_version() {
    assert!(
        loading::next(
            &facts(3),
            &demand(),
            &Set::default(),
            |_, _| false,
            Instant::now()
        )
        .is_none()
    );
}

#[test]
fn next_two_models_by_demand() {
    let mut facts = facts(9);
    facts.versions.insert(LARGE_MODEL.to_string(), 3);
    facts.versions.insert(SMALL_MODEL.to_string(), 3);
    let now = Instant::now();
    for _ in 0..3 {
        let (key, version) =
            loading::next(&facts, &demand(), &Set::default(), |_, _| false, now).unwrap();
        assert_eq!(version.version, 3);
        set_version(&mut facts, key, &version.model, 3);
    }
    // Neither model waits until the other one is loaded everywhere.
    assert!(
        count_serving(&facts, LARGE_MODEL, 3) >= 1 && count_serving(&facts, SMALL_MODEL, 3) >= 1
    );
    for _ in 0..6 {
        let (key, version) =
            loading::next(&facts, &demand(), &Set::default(), |_, _| false, now).unwrap();
        set_version(&mut facts, key, &version.model, 3);
    }
    assert_eq!(
        (
            count_serving(&facts, LARGE_MODEL, 3),
            count_serving(&facts, SMALL_MODEL, 3)
        ),
        (6, 3)
    );
}

#[test]
fn next_skips_busy_serving_endpoint() {
    let mut facts = facts(4);
    facts.versions.insert(LARGE_MODEL.to_string(), 2);
    for endpoint in facts.endpoints.values_mut() {
        endpoint.in_flight = 3;
    }
    let now = Instant::now();
    assert!(loading::next(&facts, &demand(), &Set::default(), |_, _| false, now).is_none());
    let idle = facts.endpoints.keys().nth(2).unwrap();
    facts.endpoints.get_mut(idle).unwrap().in_flight = 0;
    let (key, _) = loading::next(&facts, &demand(), &Set::default(), |_, _| false, now).unwrap();
    assert_eq!(key, idle);
}

#[test]
fn next_busy_outdated_endpoint() {
    let mut facts = facts(2);
    facts.versions.insert(LARGE_MODEL.to_string(), 5);
    for endpoint in facts.endpoints.values_mut() {
        endpoint.in_flight = 3;
    }
    let now = Instant::now();
    let (_, version) =
        loading::next(&facts, &demand(), &Set::default(), |_, _| false, now).unwrap();
    assert_eq!((version.model.as_str(), version.version), (LARGE_MODEL, 5));
}

#[test]
fn next_skips_ordered_and_draining() {
    let mut facts = facts(3);
    facts.versions.insert(LARGE_MODEL.to_string(), 5);
    let keys: Vec<Key> = facts.endpoints.keys().collect();
    facts.endpoints.get_mut(keys[0]).unwrap().record.is_draining = true;
    let is_ordered = |key, _: &str| key == keys[1];
    let now = Instant::now() + Duration::from_millis(1);
    let (key, _) = loading::next(&facts, &demand(), &Set::default(), is_ordered, now).unwrap();
    assert_eq!(key, keys[2]);
}

#[test]
fn next_fast_before_slow() {
    let mut facts = facts(6);
    facts.versions = [(LARGE_MODEL.to_string(), 3)].into_iter().collect();
    let slow: Set<String> = ["e0", "e1", "e2"].map(str::to_string).into_iter().collect();
    let now = Instant::now();
    let mut order = Vec::new();
    for _ in 0..6 {
        let (key, version) = loading::next(&facts, &demand(), &slow, |_, _| false, now).unwrap();
        order.push(slow.contains(&facts.endpoints[key].id));
        set_version(&mut facts, key, &version.model, 3);
    }
    assert_eq!(order, [false, false, false, true, true, true]);
}

#[test]
fn work_ms_by_observed_time() {
    let registry = Registry::default();
    // Without observations, a token counts as one millisecond.
    assert_eq!(registry.work_ms(Some(LARGE_MODEL), 1000), 1000);
    for _ in 0..300 {
        registry.record_work(LARGE_MODEL, 100, Duration::from_millis(1000));
        registry.record_work(SMALL_MODEL, 100, Duration::from_millis(100));
    }
    assert_eq!(registry.work_ms(Some(LARGE_MODEL), 1000), 10_000);
    assert_eq!(registry.work_ms(Some(SMALL_MODEL), 1000), 1000);
    assert_eq!(registry.work_ms(Some("new"), 1000), 5500);
}
