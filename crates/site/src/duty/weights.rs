//! Bringing endpoints to the versions of weights that trainers name.

use std::time::{Duration, Instant};

use board::hash::Map;
use platform::order::{self, LoadMode, Outcome, Version};

use super::{Duties, loading};
use crate::facts::{Facts, Key};

/// How often endpoints are looked over.
const PERIOD: Duration = Duration::from_millis(100);
/// How many endpoints load at once: more of them load more slowly. A fifth of
/// them is what the users' deployments of 8 to 38 engines bear.
const AT_ONCE_SHARE: usize = 5;
/// The time over which the demand for models is added up: a few steps.
const DEMAND_AGE: Duration = Duration::from_secs(15);
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
        if duties.steward.authority().is_none() {
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
        let at_once = engines(&duties.facts.borrow()).div_ceil(AT_ONCE_SHARE);
        while sent.values().filter(|order| order.is_loading).count() < at_once {
            let is_ordered = |key, model: &str| sent.contains_key(&(key, model.to_string()));
            let now = Instant::now();
            let demand = duties.jobs.demand(DEMAND_AGE, now);
            let slow = duties.jobs.slow(now);
            let found = loading::next(&duties.facts.borrow(), &demand, &slow, is_ordered, now);
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

/// Returns how many endpoints serve models.
fn engines(facts: &Facts) -> usize {
    let endpoints = facts.endpoints.values();
    endpoints
        .filter(|endpoint| !endpoint.record.versions.is_empty())
        .count()
}

/// Returns what becomes of runs: they go on unless a route wants the tokens of
/// a sample from one version, since waiting for the longest of them keeps an
/// endpoint from all others.
fn runs(facts: &Facts) -> LoadMode {
    let config = facts.config.iter();
    let mut routes = config.flat_map(|config| &config.routes);
    match routes.any(|route| route.single_version) {
        true => LoadMode::Drain,
        false => LoadMode::Continue,
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
    let state = match order::fetch_state(&duties.pool, address).await {
        Ok(state) => state,
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("endpoint tells no state", kv: { endpoint = id, problem });
            return false;
        }
    };
    let is_serving = endpoint
        .version(&version.model)
        .is_some_and(|v| v.saturating_add(1) >= version.version);
    if state.busy || (is_serving && state.running > 0) {
        return false;
    }
    let Some(authority) = duties.steward.authority() else {
        return false;
    };
    let runs = runs(&duties.facts.borrow());
    let pool = &duties.pool;
    let sent = order::order_load(
        pool,
        address,
        id,
        version,
        runs,
        &authority,
        state.accepted_orders,
    )
    .await;
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
