//! Which endpoint loads which weights next. Pure: answers trainers that name
//! versions faster than all endpoints can load them, for several models.
//!
//! Few endpoints can load at once, so loads are what binds, and each model is
//! given as many endpoints as its share of the demand. A step allows the
//! version before the one that was named for it. So an endpoint that is one
//! behind still serves, and loads when it has nothing to do; one that is
//! further behind serves no step of its model.

use std::time::Instant;

use board::hash::{Map, Set};
use platform::order::Version;

use crate::{
    facts::{Endpoint, Facts, Key},
    place,
};

/// A model as its endpoints stand.
struct Model<'a> {
    name: &'a str,
    version: u64,
    /// How many endpoints serve the step for which the version was named.
    able: u64,
    /// How many have the version.
    fresh: u64,
    /// How many are to serve it.
    target: u64,
}

/// Returns the endpoint to load next, and what. `demand` holds the work that
/// was asked of each model lately, `slow` the ids of endpoints that are slower
/// than others; `is_ordered` tells where an order is open.
pub fn next(
    facts: &Facts,
    demand: &Map<String, u64>,
    slow: &Set<String>,
    is_ordered: impl Fn(Key, &str) -> bool,
    now: Instant,
) -> Option<(Key, Version)> {
    let mut models = models(facts, demand);
    // able(a) / target(a) against able(b) / target(b).
    models.sort_by_key(|model| (model.able * 1000 / model.target, model.name));
    let free = |model: &Model<'_>| {
        let (name, version) = (model.name, model.version);
        let endpoints = facts
            .endpoints
            .iter()
            .filter(|(_, e)| !e.record.is_draining);
        let behind = endpoints.filter(|(_, e)| e.version(name).is_some_and(|v| v < version));
        let free: Vec<(Key, &Endpoint)> =
            behind.filter(|(key, _)| !is_ordered(*key, name)).collect();
        free
    };
    let short = models.iter().filter(|model| model.able < model.target);
    for model in short {
        let useless = free(model).into_iter().filter(|(_, e)| !is_able(e, model));
        let best = useless.min_by_key(|(_, e)| {
            let is_slow = slow.contains(&e.id);
            (e.is_resting(now), is_slow, place::load(e, now))
        });
        if let Some((key, _)) = best {
            return Some(order(key, model));
        }
    }
    models.sort_by_key(|model| (model.fresh * 1000 / model.target, model.name));
    for model in &models {
        let idle = free(model)
            .into_iter()
            .filter(|(_, e)| place::load(e, now) == 0);
        // One that serves now serves the next step too once it has loaded.
        let best = idle.min_by_key(|(_, e)| {
            let is_slow = slow.contains(&e.id);
            (e.is_resting(now), is_slow, !is_able(e, model))
        });
        if let Some((key, _)) = best {
            return Some(order(key, model));
        }
    }
    None
}

fn order(key: Key, model: &Model<'_>) -> (Key, Version) {
    let version = Version {
        model: model.name.to_string(),
        version: model.version,
    };
    (key, version)
}

fn is_able(endpoint: &Endpoint, model: &Model<'_>) -> bool {
    endpoint
        .version(model.name)
        .is_some_and(|v| v.saturating_add(1) >= model.version)
}

fn models<'a>(facts: &'a Facts, demand: &Map<String, u64>) -> Vec<Model<'a>> {
    let names: Vec<(&str, u64)> = facts.versions.iter().map(|(m, v)| (&**m, *v)).collect();
    let wanted = |name: &str| demand.get(name).copied().unwrap_or(0).max(1);
    let all: u64 = names.iter().map(|(name, _)| wanted(name)).sum();
    let models = names.iter().map(|&(name, version)| {
        let endpoints = facts.endpoints.values().filter(|e| !e.record.is_draining);
        let versions: Vec<u64> = endpoints.filter_map(|e| e.version(name)).collect();
        let share = (versions.len() as u64 * wanted(name)).div_ceil(all);
        Model {
            name,
            version,
            able: versions
                .iter()
                .filter(|v| v.saturating_add(1) >= version)
                .count() as u64,
            fresh: versions.iter().filter(|v| **v >= version).count() as u64,
            target: share.max(TARGET_MIN),
        }
    });
    models.collect()
}

/// How many endpoints serve a model at least, so that the loss of one does not
/// stop its steps.
const TARGET_MIN: u64 = 2;
