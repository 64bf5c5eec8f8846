//! A simulated deployment with endpoints in three failure domains, and the
//! platform that starts them.

use std::time::Duration;

use board::{
    Board, Time,
    capacity::{Accepted, Pool},
    config::{Capacity, Service},
    endpoint::{CapacityClass, Load, Record, State},
};
use policy::capacity::{self, Change};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::Figures;
use crate::plan::DOMAINS;

/// Requests that an endpoint runs concurrently.
pub(crate) const SLOTS: u32 = 8;

const SERVICE: &str = "notes";
const STABLE_PRICE: f64 = 1.0;
const CHEAP_PRICE: f64 = 0.3;
/// The time from an order until the new endpoint is ready.
const STARTUP_TIME: Duration = Duration::from_secs(45);
/// The most cheap endpoints that the platform can run in a failure domain.
const STOCK_MAX: usize = 12;
/// The probability that a failure domain loses all its cheap endpoints in a
/// second.
const LOSS_PROBABILITY_PER_S: f64 = 1.0 / (6.0 * 3600.0);
/// How long a failure domain gets no cheap endpoints after such a loss.
const OUT_OF_STOCK_TIME: Duration = Duration::from_secs(900);

/// An endpoint that the platform has started.
struct Endpoint {
    domain: usize,
    record: Record,
    ready_at: Time,
}

/// The endpoints, the board with which each failure domain plans them, and the
/// totals of the run.
pub(crate) struct Deployment {
    rng: SmallRng,
    boards: Vec<Board>,
    endpoints: Vec<Endpoint>,
    /// The time until which each failure domain gets no cheap endpoints.
    out_of_stock_until: [Time; DOMAINS.len()],
    /// The number of the last endpoint started.
    last_id: u64,
    /// Offered work: the number of concurrent requests multiplied by seconds.
    offered_slot_s: f64,
    /// The part of the offered work that found a slot.
    served_slot_s: f64,
    /// The part of the served work that cheap endpoints did.
    cheap_slot_s: f64,
    /// The sum of each endpoint's price multiplied by its seconds.
    price_seconds: f64,
    orders: u64,
}

impl Deployment {
    /// Creates a deployment that declares `capacity` and has no endpoints yet.
    pub(crate) fn new(capacity: Capacity, seed: u64) -> Self {
        let board = |domain: &&str| {
            let mut board = Board::new(&format!("vm-{domain}"), domain, seed);
            board.capacity.domains.extend(DOMAINS.map(String::from));
            let service = Service { capacity };
            board.config.services.insert(SERVICE.into(), service);
            board
        };
        Self {
            rng: SmallRng::seed_from_u64(!seed),
            boards: DOMAINS.iter().map(board).collect(),
            endpoints: Vec::new(),
            out_of_stock_until: [Time::ZERO; DOMAINS.len()],
            last_id: 0,
            offered_slot_s: 0.0,
            served_slot_s: 0.0,
            cheap_slot_s: 0.0,
            price_seconds: 0.0,
            orders: 0,
        }
    }

    /// Simulates `tick` with `offered` concurrent requests.
    pub(crate) fn step(&mut self, now: Time, tick: Duration, offered: f64) {
        self.lose_cheap_endpoints(now);
        self.mark_ready(now);
        self.serve(now, tick.as_secs_f64(), offered);
        for domain in 0..DOMAINS.len() {
            self.update_board(domain);
            let plan = capacity::plan(&mut self.boards[domain], now);
            for change in plan {
                self.apply(now, domain, change);
            }
        }
    }

    /// Returns the cost and the work served so far.
    pub(crate) fn figures(&self) -> Figures {
        const HOUR_S: f64 = 3600.0;
        Figures {
            price_hours: self.price_seconds / HOUR_S,
            served_hours: self.served_slot_s / HOUR_S,
            unserved_fraction: 1.0 - self.served_slot_s / self.offered_slot_s,
            cheap_fraction: self.cheap_slot_s / self.served_slot_s,
            orders: self.orders,
        }
    }

    /// Removes the cheap endpoints of randomly chosen failure domains.
    fn lose_cheap_endpoints(&mut self, now: Time) {
        for domain in 0..DOMAINS.len() {
            if self.rng.random_bool(LOSS_PROBABILITY_PER_S) {
                self.out_of_stock_until[domain] = now + OUT_OF_STOCK_TIME;
                let is_lost = |e: &Endpoint| {
                    e.domain == domain && e.record.capacity_class == CapacityClass::Cheap
                };
                self.endpoints.retain(|endpoint| !is_lost(endpoint));
            }
        }
    }

    fn mark_ready(&mut self, now: Time) {
        for endpoint in &mut self.endpoints {
            if endpoint.ready_at <= now {
                endpoint.record.state = State::Ready;
            }
        }
    }

    /// Spreads the load evenly, as routing does, and updates the load reports of
    /// all endpoints.
    fn serve(&mut self, now: Time, tick_s: f64, offered: f64) {
        let is_ready = |e: &&Endpoint| e.record.state == State::Ready;
        let ready = self.endpoints.iter().filter(is_ready).count();
        let wanted = offered / ready.max(1) as f64;
        let used = wanted.min(f64::from(SLOTS));
        self.offered_slot_s += offered * tick_s;
        for endpoint in &self.endpoints {
            self.price_seconds += endpoint.record.price * tick_s;
        }
        for endpoint in self.endpoints.iter().filter(is_ready) {
            self.served_slot_s += used * tick_s;
            if endpoint.record.capacity_class == CapacityClass::Cheap {
                self.cheap_slot_s += used * tick_s;
            }
        }
        let load = Load {
            in_flight: used.round() as u32,
            queued: (wanted - used).min(f64::from(SLOTS / 2)).round() as u32,
            slots: SLOTS,
            ..Load::default()
        };
        for board in &mut self.boards {
            let keys: Vec<_> = board.endpoints.iter().map(|(key, _)| key).collect();
            for key in keys {
                if let Some(endpoint) = board.endpoints.get_mut(key) {
                    endpoint.load = Some((now, load.clone()));
                }
            }
        }
    }

    /// Updates the board of a failure domain to the list of all endpoints.
    fn update_board(&mut self, domain: usize) {
        let board = &mut self.boards[domain];
        let known: Vec<_> = board.endpoints.iter().map(|(key, _)| key).collect();
        for key in known {
            let id = board.endpoints.get(key).map(|e| e.record.id.clone());
            let is_listed = self
                .endpoints
                .iter()
                .any(|e| Some(&e.record.id) == id.as_ref());
            if !is_listed {
                board.endpoints.remove(key);
            }
        }
        for endpoint in &self.endpoints {
            board.endpoints.put(endpoint.record.clone());
        }
    }

    /// Executes a change that a failure domain has planned.
    fn apply(&mut self, now: Time, domain: usize, change: Change) {
        self.orders += 1;
        match change {
            Change::Start { pool, count } => self.start_endpoints(now, domain, &pool, count),
            Change::Stop { endpoint, .. } => {
                self.endpoints.retain(|other| other.record.id != endpoint);
                let board = &mut self.boards[domain];
                if let Some(key) = board.endpoints.find(&endpoint) {
                    board.endpoints.remove(key);
                }
            }
        }
    }

    fn start_endpoints(&mut self, now: Time, domain: usize, pool: &Pool, count: u32) {
        let started = (count as usize).min(self.available(now, domain, pool.capacity_class));
        if started == 0 {
            capacity::record_rejected(&mut self.boards[domain], now, pool);
            return;
        }
        let mut ids = Vec::new();
        for _ in 0..started {
            self.last_id += 1;
            let endpoint = self.new_endpoint(now, domain, pool);
            ids.push(endpoint.record.id.clone());
            self.endpoints.push(endpoint);
        }
        let answer = Accepted {
            key: format!("{}.1.{}", DOMAINS[domain], self.last_id),
            endpoints: ids,
        };
        capacity::record_accepted(&mut self.boards[domain], now, pool, count, &answer);
    }

    /// Returns how many more endpoints of a capacity class the platform can start
    /// in a failure domain.
    fn available(&self, now: Time, domain: usize, capacity_class: CapacityClass) -> usize {
        let is_cheap_in_domain =
            |e: &&Endpoint| e.domain == domain && e.record.capacity_class == CapacityClass::Cheap;
        match capacity_class {
            CapacityClass::Stable => usize::MAX,
            CapacityClass::Cheap if now < self.out_of_stock_until[domain] => 0,
            CapacityClass::Cheap => {
                STOCK_MAX.saturating_sub(self.endpoints.iter().filter(is_cheap_in_domain).count())
            }
        }
    }

    fn new_endpoint(&self, now: Time, domain: usize, pool: &Pool) -> Endpoint {
        let price = match pool.capacity_class {
            CapacityClass::Stable => STABLE_PRICE,
            CapacityClass::Cheap => CHEAP_PRICE,
        };
        let record = Record {
            id: format!("{}-{:06}", DOMAINS[domain], self.last_id),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: DOMAINS[domain].into(),
            service: SERVICE.into(),
            capacity_class: pool.capacity_class,
            state: State::Starting,
            checks_epoch: true,
            price,
        };
        Endpoint {
            domain,
            record,
            ready_at: now + STARTUP_TIME,
        }
    }
}
