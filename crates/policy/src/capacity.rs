//! Capacity planning: how many endpoints each failure domain should have.
//!
//! The lease holder of each failure domain plans for its own failure domain
//! from the list of all endpoints, without coordination with the others. A
//! shortage that several failure domains compensate together is divided by the
//! order of their names.
//!
//! - A failure domain has at least its declared number of stable and cheap
//!   endpoints.
//! - Cheap endpoints that another failure domain has been short of for
//!   [`REPLACE_AFTER`] are replaced by cheap ones elsewhere.
//! - Stable endpoints are added until the declared floor is met even without
//!   the cheap endpoints of the failure domain that has the most of them.
//! - Cheap endpoints are added for load ([`crate::demand`]), up to the declared
//!   maximum, and stable ones instead while orders of cheap ones are rejected.
//! - A surplus is removed after [`SHRINK_AFTER`], one endpoint at a time.

use std::{collections::BTreeMap, time::Duration};

use board::{
    Board, Time,
    capacity::{Accepted, Backoff, Pending, Pool},
    config::Capacity,
    endpoint::CapacityClass,
};
use rand::Rng;

use crate::demand;

/// A change to the endpoints of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Start endpoints.
    Start {
        /// The service and capacity class.
        pool: Pool,
        /// How many endpoints.
        count: u32,
    },
    /// Stop one endpoint.
    Stop {
        /// The service.
        service: String,
        /// The endpoint to stop.
        endpoint: String,
    },
}

/// How long a shortage in one failure domain lasts before the others compensate
/// for it.
pub const REPLACE_AFTER: Duration = Duration::from_secs(4);

/// How long a surplus lasts before an endpoint is stopped.
pub const SHRINK_AFTER: Duration = Duration::from_secs(60);

/// How long an accepted order counts as capacity while its endpoint is not
/// listed.
const LISTING_DELAY_MAX: Duration = Duration::from_secs(10);

const BACKOFF_MIN: Duration = Duration::from_secs(2);
const BACKOFF_MAX: Duration = Duration::from_secs(60);

/// Consecutive rejections after which stable endpoints replace the cheap ones
/// required by load.
const CHEAP_REJECTIONS_MAX: u32 = 2;

/// Returns the changes that bring the VM's failure domain to its required
/// capacity.
pub fn plan(board: &mut Board, now: Time) -> Vec<Change> {
    let domain = board.failure_domain.clone();
    board.capacity.domains.insert(domain);
    expire_pending(board, now);
    let models = board.config.models.iter();
    let models = models.map(|(name, model)| (name.clone(), model.capacity));
    let services = board.config.services.iter();
    let services = services.map(|(name, service)| (name.clone(), service.capacity));
    let declared: Vec<_> = models.chain(services).collect();
    declared
        .into_iter()
        .flat_map(|(service, capacity)| plan_service(board, now, &service, capacity))
        .collect()
}

/// Records that the platform accepted an order for `count` endpoints. An order
/// that was filled only in part counts as rejected for the backoff.
pub fn record_accepted(board: &mut Board, now: Time, pool: &Pool, count: u32, answer: &Accepted) {
    let received = answer.endpoints.len() as u32;
    let pending = answer.endpoints.iter().map(|endpoint| Pending {
        endpoint: endpoint.clone(),
        pool: pool.clone(),
        until: now + LISTING_DELAY_MAX,
    });
    // An order that is looked up again is accepted with the same endpoints.
    let known = &mut board.capacity.pending;
    known.retain(|pending| !answer.endpoints.contains(&pending.endpoint));
    known.extend(pending);
    if received < count {
        record_rejected(board, now, pool);
    } else {
        board.capacity.backoffs.remove(pool);
    }
}

/// Records that the platform rejected an order, for example because it has no
/// endpoints in stock.
pub fn record_rejected(board: &mut Board, now: Time, pool: &Pool) {
    let known = board.capacity.backoffs.get(pool);
    let rejections = known.map_or(0, |backoff| backoff.rejections);
    let span = (BACKOFF_MIN * 2_u32.pow(rejections.min(8))).min(BACKOFF_MAX);
    // Jitter, so that failure domains rejected at the same time do not retry at
    // the same time.
    let jitter = span.mul_f64(board.rng.random_range(0.0..0.25));
    let backoff = Backoff {
        rejections: rejections + 1,
        until: now + span + jitter,
    };
    board.capacity.backoffs.insert(pool.clone(), backoff);
}

fn expire_pending(board: &mut Board, now: Time) {
    let Board {
        capacity,
        endpoints,
        ..
    } = board;
    // The listing may still show the earlier, removed state of an endpoint that
    // is being started again.
    let is_listed = |name: &str| {
        let endpoint = endpoints.find(name).and_then(|key| endpoints.get(key));
        endpoint.is_some_and(|endpoint| endpoint.record.state.is_active())
    };
    capacity
        .pending
        .retain(|pending| now < pending.until && !is_listed(&pending.endpoint));
}

fn plan_service(board: &mut Board, now: Time, service: &str, capacity: Capacity) -> Vec<Change> {
    let counts = count_endpoints(board, service);
    let domain = board.failure_domain.clone();
    let present = counts.get(&domain).copied().unwrap_or_default();
    let required = required(board, now, service, capacity, &counts);
    let desired = demand::desired_endpoints(board, now, service, capacity.max);
    let required = add_load(board, service, required, desired, present);
    let pools = [
        (CapacityClass::Stable, required.stable, present.stable),
        (CapacityClass::Cheap, required.cheap, present.cheap),
    ];
    let change = |(capacity_class, needed, present)| {
        let pool = Pool::new(service, capacity_class);
        plan_pool(board, now, pool, needed, present)
    };
    pools.into_iter().filter_map(change).collect()
}

/// Endpoints that are starting or ready.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    stable: u32,
    cheap: u32,
}

impl Count {
    fn add(&mut self, capacity_class: CapacityClass) {
        match capacity_class {
            CapacityClass::Stable => self.stable += 1,
            CapacityClass::Cheap => self.cheap += 1,
        }
    }
}

/// Counts the endpoints of `service` in each failure domain.
fn count_endpoints(board: &Board, service: &str) -> BTreeMap<String, Count> {
    let domains = board.capacity.domains.iter();
    let mut counts: BTreeMap<_, _> = domains.map(|d| (d.clone(), Count::default())).collect();
    let keys = board.endpoints.of_service(service).iter();
    let endpoints = keys.filter_map(|key| board.endpoints.get(*key));
    for endpoint in endpoints {
        let record = &endpoint.record;
        if record.state.is_active() {
            let count = counts.entry(record.failure_domain.clone()).or_default();
            count.add(record.capacity_class);
        }
    }
    let pending = board.capacity.pending.iter();
    let own = counts.entry(board.failure_domain.clone()).or_default();
    pending
        .filter(|pending| pending.pool.service == service)
        .for_each(|pending| own.add(pending.pool.capacity_class));
    counts
}

/// Returns how many endpoints of `service` this failure domain needs regardless
/// of load.
fn required(
    board: &mut Board,
    now: Time,
    service: &str,
    capacity: Capacity,
    counts: &BTreeMap<String, Count>,
) -> Count {
    let mut complete_domains = Vec::new();
    let (mut missing_cheap, mut stable, mut cheap) = (0, 0, Vec::new());
    for (domain, count) in counts {
        let mut shortage = |capacity_class, declared, present| {
            let pool = Pool::new(service, capacity_class);
            lasting_shortage(board, now, (domain.clone(), pool), declared, present)
        };
        let cheap_shortage = shortage(CapacityClass::Cheap, capacity.cheap, count.cheap);
        let stable_shortage = shortage(CapacityClass::Stable, capacity.stable, count.stable);
        missing_cheap += cheap_shortage;
        stable += capacity.stable - stable_shortage;
        cheap.push(count.cheap.max(capacity.cheap - cheap_shortage));
        if cheap_shortage == 0 {
            complete_domains.push(domain);
        }
    }
    let all_domains: Vec<_> = counts.keys().collect();
    let largest = cheap.iter().max().copied().unwrap_or_default();
    // The number that remains if the failure domain with the most cheap
    // endpoints loses them.
    let remaining = stable + cheap.iter().sum::<u32>() - largest;
    let domain = &board.failure_domain;
    Count {
        stable: capacity.stable
            + share(
                capacity.floor.saturating_sub(remaining),
                &all_domains,
                domain,
            ),
        cheap: capacity.cheap + share(missing_cheap, &complete_domains, domain),
    }
}

/// Returns `required`, raised to `desired` endpoints in total. Cheap endpoints
/// make up the difference. While orders of cheap ones are rejected, stable ones
/// replace those that are missing.
fn add_load(board: &Board, service: &str, required: Count, desired: u32, present: Count) -> Count {
    let extra = desired.saturating_sub(required.stable + required.cheap);
    let cheap = required.cheap + extra;
    let pool = Pool::new(service, CapacityClass::Cheap);
    let backoff = board.capacity.backoffs.get(&pool);
    let is_cheap_unavailable =
        backoff.is_some_and(|backoff| backoff.rejections >= CHEAP_REJECTIONS_MAX);
    let missing_cheap = cheap.saturating_sub(present.cheap);
    let stable = required.stable
        + if is_cheap_unavailable {
            extra.min(missing_cheap)
        } else {
            0
        };
    Count { stable, cheap }
}

/// Returns how many endpoints a failure domain is short of, or 0 until the
/// shortage has lasted for [`REPLACE_AFTER`].
fn lasting_shortage(
    board: &mut Board,
    now: Time,
    key: (String, Pool),
    declared: u32,
    present: u32,
) -> u32 {
    if present >= declared {
        board.capacity.shortage_since.remove(&key);
        return 0;
    }
    let since = *board.capacity.shortage_since.entry(key).or_insert(now);
    if now - since < REPLACE_AFTER {
        return 0;
    }
    declared - present
}

/// Returns the share of `total` that `domain` provides among `domains`.
fn share(total: u32, domains: &[&String], domain: &str) -> u32 {
    let Some(rank) = domains.iter().position(|other| *other == domain) else {
        return 0;
    };
    let count = domains.len() as u32;
    total / count + u32::from((rank as u32) < total % count)
}

/// Returns the change that brings `pool` from `present` to `needed` endpoints,
/// if one is due.
fn plan_pool(
    board: &mut Board,
    now: Time,
    pool: Pool,
    needed: u32,
    present: u32,
) -> Option<Change> {
    if present <= needed {
        board.capacity.surplus_since.remove(&pool);
    }
    if present < needed {
        let backoff = board.capacity.backoffs.get(&pool);
        if backoff.is_some_and(|backoff| now < backoff.until) {
            return None;
        }
        let count = needed - present;
        return Some(Change::Start { pool, count });
    }
    if present == needed {
        return None;
    }
    let since = *board
        .capacity
        .surplus_since
        .entry(pool.clone())
        .or_insert(now);
    if now - since < SHRINK_AFTER {
        return None;
    }
    let endpoint = pick_to_stop(board, &pool)?;
    Some(Change::Stop {
        service: pool.service,
        endpoint,
    })
}

/// Returns the endpoint of this failure domain to stop first: the one with the
/// last name in order.
fn pick_to_stop(board: &Board, pool: &Pool) -> Option<String> {
    let keys = board.endpoints.of_service(&pool.service).iter();
    keys.filter_map(|key| board.endpoints.get(*key))
        .map(|endpoint| &endpoint.record)
        .filter(|r| {
            r.failure_domain == board.failure_domain && r.capacity_class == pool.capacity_class
        })
        .filter(|r| r.state.is_active())
        .map(|r| r.id.clone())
        .max()
}
