//! How many endpoints each failure domain should have.
//!
//! Each failure domain's lease holder decides for its own failure domain from
//! the list of all endpoints, without talking to the others: what several
//! failure domains must make up for together is split by their order of name.
//!
//! - A failure domain has at least its declared stable and cheap endpoints.
//! - Cheap endpoints that another failure domain has lost, or cannot get, for
//!   [`REPLACE_AFTER`] are replaced by cheap ones elsewhere.
//! - Stable endpoints are added until the declared floor is met without the
//!   cheap endpoints of whichever failure domain has most of them.
//! - Cheap endpoints are added up to the declared most as load asks for them
//!   ([`crate::demand`]), and stable ones while cheap ones are refused.
//! - What is no longer needed is stopped after [`SHRINK_AFTER`], one at a time.

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
    /// Start this many.
    Start {
        /// Of which kind.
        pool: Pool,
        /// How many.
        count: u32,
    },
    /// Stop one.
    Stop {
        /// The service.
        service: String,
        /// The name of the endpoint.
        endpoint: String,
    },
}

/// How long a shortage elsewhere lasts before it is made up for.
pub const REPLACE_AFTER: Duration = Duration::from_secs(4);

/// How long a surplus lasts before an endpoint is stopped.
pub const SHRINK_AFTER: Duration = Duration::from_secs(60);

/// How long an accepted order counts before its endpoint is listed.
const LIST_LAG: Duration = Duration::from_secs(10);

const BACKOFF_MIN: Duration = Duration::from_secs(2);
const BACKOFF_MAX: Duration = Duration::from_secs(60);

/// Refusals in a row after which stable endpoints take the place of the cheap
/// ones that load asks for.
const REFUSALS_MAX: u32 = 2;

/// Returns the changes that bring the VM's failure domain to what is needed.
pub fn plan(board: &mut Board, now: Time) -> Vec<Change> {
    let domain = board.failure_domain.clone();
    board.capacity.domains.insert(domain);
    forget_pending(board, now);
    let models = board.config.models.iter();
    let models = models.map(|(name, model)| (name.clone(), model.capacity));
    let services = board.config.services.iter();
    let services = services.map(|(name, service)| (name.clone(), service.capacity));
    let declared: Vec<_> = models.chain(services).collect();
    declared
        .into_iter()
        .flat_map(|(service, capacity)| of_service(board, now, &service, capacity))
        .collect()
}

/// Notes that the platform took an order for `count` endpoints.
pub fn accepted(board: &mut Board, now: Time, pool: &Pool, count: u32, answer: &Accepted) {
    let got = answer.endpoints.len() as u32;
    let pending = answer.endpoints.iter().map(|endpoint| Pending {
        endpoint: endpoint.clone(),
        pool: pool.clone(),
        until: now + LIST_LAG,
    });
    board.capacity.pending.extend(pending);
    if got < count {
        refused(board, now, pool);
    } else {
        board.capacity.backoffs.remove(pool);
    }
}

/// Notes that the platform refused an order, as when none are in stock.
pub fn refused(board: &mut Board, now: Time, pool: &Pool) {
    let known = board.capacity.backoffs.get(pool);
    let refusals = known.map_or(0, |backoff| backoff.rejections);
    let span = (BACKOFF_MIN * 2_u32.pow(refusals.min(8))).min(BACKOFF_MAX);
    // Failure domains that ran out together do not ask again together.
    let jitter = span.mul_f64(board.rng.random_range(0.0..0.25));
    let backoff = Backoff {
        rejections: refusals + 1,
        until: now + span + jitter,
    };
    board.capacity.backoffs.insert(pool.clone(), backoff);
}

fn forget_pending(board: &mut Board, now: Time) {
    let Board {
        capacity,
        endpoints,
        ..
    } = board;
    // One that was gone before may still be listed as it was then.
    let is_listed = |name: &str| {
        let endpoint = endpoints.find(name).and_then(|key| endpoints.get(key));
        endpoint.is_some_and(|endpoint| endpoint.record.state.is_active())
    };
    capacity
        .pending
        .retain(|pending| now < pending.until && !is_listed(&pending.endpoint));
}

fn of_service(board: &mut Board, now: Time, service: &str, capacity: Capacity) -> Vec<Change> {
    let counts = counts(board, service);
    let domain = board.failure_domain.clone();
    let present = counts.get(&domain).copied().unwrap_or_default();
    let needed = needed(board, now, service, capacity, &counts);
    let asked = demand::endpoints(board, now, service, capacity.max);
    let needed = with_load(board, service, needed, asked, present);
    let lines = [
        (CapacityClass::Stable, needed.stable, present.stable),
        (CapacityClass::Cheap, needed.cheap, present.cheap),
    ];
    let change = |(capacity_class, needed, present)| {
        let pool = Pool::new(service, capacity_class);
        of_line(board, now, pool, needed, present)
    };
    lines.into_iter().filter_map(change).collect()
}

/// Endpoints that start or take work.
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
fn counts(board: &Board, service: &str) -> BTreeMap<String, Count> {
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

/// Returns what this failure domain should have of `service`.
fn needed(
    board: &mut Board,
    now: Time,
    service: &str,
    capacity: Capacity,
    counts: &BTreeMap<String, Count>,
) -> Count {
    let mut whole = Vec::new();
    let (mut missing, mut stable, mut cheap) = (0, 0, Vec::new());
    for (domain, count) in counts {
        let mut lasting = |capacity_class, declared, present| {
            let pool = Pool::new(service, capacity_class);
            lasting_shortage(board, now, (domain.clone(), pool), declared, present)
        };
        let cheap_short = lasting(CapacityClass::Cheap, capacity.cheap, count.cheap);
        let stable_short = lasting(CapacityClass::Stable, capacity.stable, count.stable);
        missing += cheap_short;
        stable += capacity.stable - stable_short;
        cheap.push(count.cheap.max(capacity.cheap - cheap_short));
        if cheap_short == 0 {
            whole.push(domain);
        }
    }
    let all: Vec<_> = counts.keys().collect();
    let largest = cheap.iter().max().copied().unwrap_or_default();
    let left = stable + cheap.iter().sum::<u32>() - largest;
    let domain = &board.failure_domain;
    Count {
        stable: capacity.stable + share(capacity.floor.saturating_sub(left), &all, domain),
        cheap: capacity.cheap + share(missing, &whole, domain),
    }
}

/// Returns `needed` with what load asks for beyond it.
fn with_load(board: &Board, service: &str, needed: Count, asked: u32, present: Count) -> Count {
    let extra = asked.saturating_sub(needed.stable + needed.cheap);
    let cheap = needed.cheap + extra;
    let pool = Pool::new(service, CapacityClass::Cheap);
    let refused = board.capacity.backoffs.get(&pool);
    let is_out = refused.is_some_and(|backoff| backoff.rejections >= REFUSALS_MAX);
    let missing = cheap.saturating_sub(present.cheap);
    let stable = needed.stable + if is_out { extra.min(missing) } else { 0 };
    Count { stable, cheap }
}

/// Returns by how much a failure domain has been short for long enough.
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

/// Returns the part of `total` that falls to `domain` among `domains`.
fn share(total: u32, domains: &[&String], domain: &str) -> u32 {
    let Some(rank) = domains.iter().position(|other| *other == domain) else {
        return 0;
    };
    let count = domains.len() as u32;
    total / count + u32::from((rank as u32) < total % count)
}

fn of_line(board: &mut Board, now: Time, pool: Pool, needed: u32, present: u32) -> Option<Change> {
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
    let endpoint = last(board, &pool)?;
    Some(Change::Stop {
        service: pool.service,
        endpoint,
    })
}

/// Returns the endpoint of this failure domain to stop first.
fn last(board: &Board, pool: &Pool) -> Option<String> {
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
