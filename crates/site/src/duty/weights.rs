//! Bringing endpoints to the versions of weights that trainers name.

use std::time::{Duration, Instant};

use board::hash::Map;
use platform::order::{self, Outcome, Runs, Version};

use super::{Duties, loading};
use crate::facts::{Facts, Key};

/// How often endpoints are looked over.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How many endpoints load at once: more of them load more slowly. A fifth of
/// them is what the users' deployments of 8 to 38 engines bear.
const LOADING_SHARE_DIVISOR: usize = 5;
/// The time over which the demand for models is added up: a few steps.
const DEMAND_WINDOW: Duration = Duration::from_secs(15);
/// After how long an order counts as lost whose version does not show: a load
/// takes 0.9 s and endpoints are heard of within a second or two.
const LOAD_TIMEOUT: Duration = Duration::from_millis(4000);
/// The pause before an endpoint is asked again that refused an order.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
struct Order {
    version: u64,
    until: Instant,
    is_loading: bool,
}

/// Orders loads while this VM has the duties, for ever.
pub async fn run(duties: Duties) {
    let mut orders: Map<(Key, String), Order> = Map::default();
    loop {
        monoio::time::sleep(CHECK_PERIOD).await;
        if duties.steward.authority().is_none() {
            orders.clear();
            continue;
        }
        let now = Instant::now();
        orders.retain(|(key, model), order| {
            let facts = duties.facts.borrow();
            let endpoint = facts.endpoints.get(*key);
            let version = endpoint.and_then(|endpoint| endpoint.version(model));
            order.until > now && version.is_some_and(|version| version < order.version)
        });
        let loading_max = count_engines(&duties.facts.borrow()).div_ceil(LOADING_SHARE_DIVISOR);
        while orders.values().filter(|order| order.is_loading).count() < loading_max {
            let is_ordered = |key, model: &str| orders.contains_key(&(key, model.to_string()));
            let now = Instant::now();
            let demand = duties.jobs.demand(DEMAND_WINDOW, now);
            let slow = duties.jobs.slow_endpoints(now);
            let found = loading::next(&duties.facts.borrow(), &demand, &slow, is_ordered, now);
            let Some((key, version)) = found else {
                break;
            };
            let is_loading = order_load(&duties, key, &version).await;
            let timeout = if is_loading {
                LOAD_TIMEOUT
            } else {
                RETRY_DELAY
            };
            let order = Order {
                version: version.version,
                until: Instant::now() + timeout,
                is_loading,
            };
            orders.insert((key, version.model), order);
        }
    }
}

/// Returns how many endpoints serve models.
fn count_engines(facts: &Facts) -> usize {
    let endpoints = facts.endpoints.values();
    endpoints
        .filter(|endpoint| !endpoint.record.versions.is_empty())
        .count()
}

/// Returns what becomes of runs: they go on unless a route wants the tokens of
/// a sample from one version, since waiting for the longest of them keeps an
/// endpoint from all others.
fn runs_while_loading(facts: &Facts) -> Runs {
    let config = facts.config.iter();
    let mut routes = config.flat_map(|config| &config.routes);
    match routes.any(|route| route.single_version) {
        true => Runs::Finish,
        false => Runs::GoOn,
    }
}

/// Orders one load, and returns whether it is being carried out, or may be.
async fn order_load(duties: &Duties, key: Key, version: &Version) -> bool {
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
        .is_some_and(|v| v.saturating_add(1) >= version.version);
    if state.busy || (is_serving && state.running > 0) {
        return false;
    }
    let Some(authority) = duties.steward.authority() else {
        return false;
    };
    let runs = runs_while_loading(&duties.facts.borrow());
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
