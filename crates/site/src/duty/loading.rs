//! The choice of the endpoint that loads weights next. The module does no I/O.
//!
//! Trainers of several models may name versions faster than all endpoints can
//! load them. Few endpoints can load at a time, so loads are the bottleneck,
//! and each model gets a share of the endpoints in proportion to its demand.
//!
//! A step accepts the version before the one that was named for it. So an
//! endpoint that is one version behind still serves the step, and loads when it
//! is idle. An endpoint that is further behind serves no step of its model.

use std::time::Instant;

use board::hash::{Map, Set};
use platform::order::Version;

use crate::{
    facts::{Endpoint, Facts, Key},
    placement,
};

/// A model and the state of its endpoints.
struct Model<'a> {
    name: &'a str,
    version: u64,
    /// The number of endpoints that can serve the step for which `version` was
    /// named.
    serving: u64,
    /// The number of endpoints that have `version`.
    current: u64,
    /// The number of endpoints that should serve the model.
    target: u64,
}

/// Returns the endpoint that should load next, and the version to load.
///
/// `demand` holds the recent work of each model, and `slow` the ids of
/// endpoints that are slower than others. `is_ordered` returns whether an order
/// for an endpoint and a model is open.
pub fn next(
    facts: &Facts,
    demand: &Map<String, u64>,
    slow: &Set<String>,
    is_ordered: impl Fn(Key, &str) -> bool,
    now: Instant,
) -> Option<(Key, Version)> {
    let mut models = summarize(facts, demand);
    // The model with the smallest share of its target comes first.
    models.sort_by_key(|model| (model.serving * 1000 / model.target, model.name));
    let outdated = |model: &Model<'_>| {
        let (name, version) = (model.name, model.version);
        let endpoints = facts.endpoints.iter().filter(|(_, e)| e.is_open());
        let behind = endpoints.filter(|(_, e)| e.version(name).is_some_and(|v| v < version));
        let outdated: Vec<(Key, &Endpoint)> =
            behind.filter(|(key, _)| !is_ordered(*key, name)).collect();
        outdated
    };
    let underserved = models.iter().filter(|model| model.serving < model.target);
    for model in underserved {
        let candidates = outdated(model)
            .into_iter()
            .filter(|(_, e)| !is_serving(e, model));
        let best = candidates.min_by_key(|(_, e)| {
            let is_slow = slow.contains(&e.id);
            (
                e.is_backing_off(now),
                is_slow,
                placement::load_permille(e, now),
            )
        });
        if let Some((key, _)) = best {
            return Some(choice(key, model));
        }
    }
    models.sort_by_key(|model| (model.current * 1000 / model.target, model.name));
    for model in &models {
        let idle = outdated(model)
            .into_iter()
            .filter(|(_, e)| placement::load_permille(e, now) == 0);
        // An endpoint that serves the current step can serve the next one too
        // after the load, so it comes first.
        let best = idle.min_by_key(|(_, e)| {
            let is_slow = slow.contains(&e.id);
            (e.is_backing_off(now), is_slow, !is_serving(e, model))
        });
        if let Some((key, _)) = best {
            return Some(choice(key, model));
        }
    }
    None
}

/// Returns `key` and the version of `model` that this endpoint should load.
fn choice(key: Key, model: &Model<'_>) -> (Key, Version) {
    let version = Version {
        model: model.name.to_string(),
        version: model.version,
    };
    (key, version)
}

fn is_serving(endpoint: &Endpoint, model: &Model<'_>) -> bool {
    endpoint
        .version(model.name)
        .is_some_and(|v| v.saturating_add(1) >= model.version)
}

fn summarize<'a>(facts: &'a Facts, demand: &Map<String, u64>) -> Vec<Model<'a>> {
    let names: Vec<(&str, u64)> = facts.versions.iter().map(|(m, v)| (&**m, *v)).collect();
    let work = |name: &str| demand.get(name).copied().unwrap_or(0).max(1);
    let total: u64 = names.iter().map(|(name, _)| work(name)).sum();
    let models = names.iter().map(|&(name, version)| {
        let endpoints = facts.endpoints.values().filter(|e| e.is_open());
        let versions: Vec<u64> = endpoints.filter_map(|e| e.version(name)).collect();
        let share = (versions.len() as u64 * work(name)).div_ceil(total);
        Model {
            name,
            version,
            serving: versions
                .iter()
                .filter(|v| v.saturating_add(1) >= version)
                .count() as u64,
            current: versions.iter().filter(|v| **v >= version).count() as u64,
            target: share.max(SERVING_MIN),
        }
    });
    models.collect()
}

/// The least number of endpoints that should serve a model, so that the loss of
/// one does not stop its steps.
const SERVING_MIN: u64 = 2;
