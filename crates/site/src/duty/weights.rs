//! Orders endpoints to load the versions of weights that trainers name.

use std::time::{Duration, Instant};

use board::hash::Map;
use link::http::{self, error};
use platform::order::{self, LoadMode, Outcome, Version};

use super::{Duties, loading};
use crate::facts::{Facts, Key};

/// How often the VM checks for an endpoint that should load weights.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// At most one in this many endpoints loads weights at a time, since concurrent
/// loads slow each other down. Deployments have 8 to 38 engines.
const LOADING_SHARE_DIVISOR: usize = 5;
/// The time over which the demand for models is summed. It spans a few steps.
const DEMAND_WINDOW: Duration = Duration::from_secs(15);
/// How long after an order the endpoint must announce the new version. After
/// that, the order counts as lost. A load takes 0.9 s, and the endpoint's
/// record arrives within a second or two.
const LOAD_TIMEOUT: Duration = Duration::from_millis(4000);
/// The pause before an order is sent again to an endpoint that did not carry
/// it out.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// An order that was sent to an endpoint, or that will be retried later.
#[derive(Clone, Copy, Debug)]
struct Order {
    version: u64,
    /// No other order for this endpoint and model is sent before this time.
    until: Instant,
    /// Whether the endpoint loads the weights, or may do so.
    is_loading: bool,
}

/// Orders loads while this VM holds the duty lease. Never returns.
pub async fn run(duties: Duties) {
    let mut orders: Map<(Key, String), Order> = Map::default();
    loop {
        monoio::time::sleep(CHECK_PERIOD).await;
        if duties.lease.authority().is_none() {
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
            let next = loading::next(&duties.facts.borrow(), &demand, &slow, is_ordered, now);
            let Some((key, version)) = next else {
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

/// Returns the number of endpoints that serve models.
fn count_engines(facts: &Facts) -> usize {
    let endpoints = facts.endpoints.values();
    endpoints
        .filter(|endpoint| !endpoint.record.versions.is_empty() && !endpoint.is_evacuated())
        .count()
}

/// Returns whether an endpoint drains its runs before it loads weights.
///
/// The runs continue with the new weights, unless a route requires that all
/// tokens of a sample come from one version. Waiting for the longest run would
/// keep the other slots of the endpoint empty.
fn load_mode(facts: &Facts) -> LoadMode {
    let config = facts.config.iter();
    let mut routes = config.flat_map(|config| &config.routes);
    match routes.any(|route| route.single_version) {
        true => LoadMode::Drain,
        false => LoadMode::Continue,
    }
}

/// Orders one load, and returns whether the endpoint loads the weights, or may
/// do so.
async fn order_load(duties: &Duties, key: Key, version: &Version) -> bool {
    let known = duties.facts.borrow().endpoints.get(key).cloned();
    let Some(endpoint) = known else {
        return false;
    };
    let id = endpoint.id.as_str();
    let fetch = async |call| {
        if !duties.permits.acquire_if_cold(key, "").await {
            let detail = "no permit for a cold endpoint";
            return Err(http::Error::new(error::Kind::Fenced, detail));
        }
        duties.paths.fetch_directly(key, &endpoint, call).await
    };
    let state = match order::fetch_state(fetch).await {
        Ok(state) => state,
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("reading the state of an endpoint failed", kv: { endpoint = id, problem });
            return false;
        }
    };
    let is_serving = endpoint
        .version(&version.model)
        .is_some_and(|v| v.saturating_add(1) >= version.version);
    if state.busy || (is_serving && state.running > 0) {
        return false;
    }
    let Some(authority) = duties.lease.authority() else {
        return false;
    };
    let mode = load_mode(&duties.facts.borrow());
    let sent = order::order_load(fetch, id, version, mode, &authority, state.accepted_orders).await;
    let (model, number, epoch) = (version.model.as_str(), version.version, authority.epoch);
    match sent {
        Ok(outcome) => {
            let result = format!("{outcome:?}");
            spdlog::info!("weights ordered", kv: { endpoint = id, model, version = number, epoch, result });
            matches!(outcome, Outcome::Accepted | Outcome::Holds)
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("weights ordered, no answer received", kv: { endpoint = id, model, version = number, epoch, problem });
            !e.is_unsent()
        }
    }
}
