//! Bringing endpoints to the versions of weights that trainers name.

use std::time::{Duration, Instant};

use board::hash::Map;
use platform::order::{self, Outcome, Runs, Version};

use super::Duties;
use crate::{
    facts::{Endpoint, Facts, Key},
    place,
};

/// How often endpoints are looked over.
const PERIOD: Duration = Duration::from_millis(100);
/// How many endpoints load at once: more of them load more slowly.
const AT_ONCE: usize = 2;
/// After how long an order counts as lost whose version does not show: a load
/// takes 0.9 s and endpoints are heard of within a second or two.
const LOST_TIME: Duration = Duration::from_millis(4000);
/// The pause before an endpoint is asked again that refused an order.
const AGAIN_TIME: Duration = Duration::from_millis(500);

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    version: u64,
    until: Instant,
    is_loading: bool,
}

/// Orders loads while this VM has the duties, for ever.
pub async fn run(duties: Duties) {
    let mut sent: Map<(Key, String), Sent> = Map::default();
    loop {
        monoio::time::sleep(PERIOD).await;
        if duties.office.authority().is_none() {
            sent.clear();
            continue;
        }
        let now = Instant::now();
        sent.retain(|(key, model), order| {
            let facts = duties.facts.borrow();
            let endpoint = facts.endpoints.get(*key);
            let version = endpoint.and_then(|endpoint| endpoint.version(model));
            order.until > now && version.is_some_and(|version| version < order.version)
        });
        while sent.values().filter(|order| order.is_loading).count() < AT_ONCE {
            let is_ordered = |key, model: &str| sent.contains_key(&(key, model.to_string()));
            let demand = duties.jobs.demand();
            let found = next(&duties.facts.borrow(), &demand, is_ordered, Instant::now());
            let Some((key, version)) = found else {
                break;
            };
            let is_loading = load(&duties, key, &version).await;
            let time = if is_loading { LOST_TIME } else { AGAIN_TIME };
            let order = Sent {
                version: version.version,
                until: Instant::now() + time,
                is_loading,
            };
            sent.insert((key, version.model), order);
        }
    }
}

/// Returns the endpoint to load next, and what.
///
/// A step allows the version before the one that was named for it. So an
/// endpoint that is one behind still serves, and is loaded when it has nothing
/// to do; one that is further behind serves no step, and is loaded first. Of
/// several models the one with the fewest endpoints that serve comes first,
/// measured against the tokens that its open jobs still ask for.
pub fn next(
    facts: &Facts,
    demand: &Map<String, u64>,
    is_ordered: impl Fn(Key, &str) -> bool,
    now: Instant,
) -> Option<(Key, Version)> {
    let mut models: Vec<(&String, u64)> = facts.versions.iter().map(|(m, v)| (m, *v)).collect();
    models.sort_by(|(a, version_a), (b, version_b)| {
        let wanted = |model| demand.get(model).copied().unwrap_or(0).max(1);
        // able(a) / wanted(a) against able(b) / wanted(b).
        let left = able(facts, a, *version_a) * wanted(*b);
        let right = able(facts, b, *version_b) * wanted(*a);
        left.cmp(&right).then_with(|| a.cmp(b))
    });
    let pick = |is_needed: fn(u64, &Endpoint, Instant) -> bool| {
        models.iter().find_map(|(model, version)| {
            let behind = facts.endpoints.iter().filter(|(key, endpoint)| {
                let lag = endpoint
                    .version(model)
                    .map_or(0, |known| version.saturating_sub(known));
                let is_free = !endpoint.record.is_leaving && !is_ordered(*key, model);
                lag > 0 && is_free && is_needed(lag, endpoint, now)
            });
            let least = behind
                .min_by_key(|(_, endpoint)| (endpoint.is_resting(now), place::load(endpoint, now)));
            let (key, _) = least?;
            let model = model.to_string();
            Some((
                key,
                Version {
                    model,
                    version: *version,
                },
            ))
        })
    };
    let is_useless = |lag, _: &Endpoint, _| lag > 1;
    let is_idle = |_, endpoint: &Endpoint, now| place::load(endpoint, now) == 0;
    pick(is_useless).or_else(|| pick(is_idle))
}

/// Returns how many endpoints serve the step for which `version` was named.
fn able(facts: &Facts, model: &str, version: u64) -> u64 {
    let endpoints = facts.endpoints.values();
    let versions = endpoints.filter_map(|endpoint| endpoint.version(model));
    versions.filter(|known| known + 1 >= version).count() as u64
}

/// Returns what becomes of runs: they go on unless a route wants the tokens of
/// a sample from one version, since waiting for the longest of them keeps an
/// endpoint from all others.
fn runs(facts: &Facts) -> Runs {
    let config = facts.config.iter();
    let mut routes = config.flat_map(|config| &config.routes);
    match routes.any(|route| route.single_version) {
        true => Runs::Finish,
        false => Runs::GoOn,
    }
}

/// Orders one load, and returns whether it is being carried out, or may be.
async fn load(duties: &Duties, key: Key, version: &Version) -> bool {
    let known = duties.facts.borrow().endpoints.get(key).cloned();
    let Some(endpoint) = known else {
        return false;
    };
    let address = endpoint.record.address;
    let id = endpoint.id.as_str();
    let state = match order::state(&duties.pool, address).await {
        Ok(state) => state,
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("endpoint tells no state", kv: { endpoint = id, problem });
            return false;
        }
    };
    let is_serving = endpoint
        .version(&version.model)
        .is_some_and(|v| v + 1 >= version.version);
    if state.busy || (is_serving && state.running > 0) {
        return false;
    }
    let Some(authority) = duties.office.authority() else {
        return false;
    };
    let runs = runs(&duties.facts.borrow());
    let pool = &duties.pool;
    let sent = order::load(pool, address, id, version, runs, &authority, state.orders).await;
    let (model, number, epoch) = (version.model.as_str(), version.version, authority.epoch);
    match sent {
        Ok(outcome) => {
            let result = format!("{outcome:?}");
            spdlog::info!("weights ordered", kv: { endpoint = id, model, version = number, epoch, result });
            matches!(outcome, Outcome::Accepted | Outcome::Holds)
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("weights ordered without answer", kv: { endpoint = id, model, version = number, epoch, problem });
            !e.is_unsent()
        }
    }
}
