//! What an experiment runs: a deployment, its load and the way of deciding.

use std::time::Duration;

use board::endpoint::CapacityClass;
use serde::{Deserialize, Serialize};

/// Failure domains, all in one region.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Weights of the accounts: a few large ones.
pub const ACCOUNT_WEIGHTS: [u32; 8] = [4, 4, 2, 2, 1, 1, 1, 1];

/// The account that asks for more than its share, where one does.
pub const GREEDY_ACCOUNT: usize = 7;

/// How the VMs decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Each VM sends at once to the next endpoint.
    RoundRobin,
    /// Each VM sends at once to the endpoint where it has least in flight.
    LeastOutstanding,
    /// The decisions of `policy`, each VM by itself.
    Independent,
    /// The same, with slots granted by the owners of endpoints.
    Credits,
    /// The same, made by one VM for each service and failure domain.
    Owner,
}

/// One service of a deployment.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// Whether running requests share the endpoint's speed, as in a batch.
    pub is_batched: bool,
    /// How many endpoints it has.
    pub endpoint_count: usize,
    /// Requests that an endpoint runs at once.
    pub slots: u32,
    /// Requests that may wait at an endpoint.
    pub queue: usize,
    /// Units of work an endpoint does a second at most.
    pub units_per_s: f64,
    /// Mean units of work of a request.
    pub mean_units: f64,
    /// Units of work for a prefix that is not cached.
    pub miss_units: f64,
    /// How many prefixes an endpoint caches, and how many there are.
    pub prefixes: (usize, u64),
    /// How long a caller waits.
    pub deadline: Duration,
}

impl Service {
    /// Returns the requests a second that all endpoints serve at most.
    pub fn capacity(&self) -> f64 {
        self.endpoint_count as f64 * self.units_per_s / self.mean_units
    }

    /// Returns where the endpoint at `index` is and how long it stays: the
    /// first of each failure domain is stable, the others are cheap.
    pub fn placement(&self, index: usize) -> (&'static str, CapacityClass) {
        let capacity_class = match index < DOMAINS.len() {
            true => CapacityClass::Stable,
            false => CapacityClass::Cheap,
        };
        (DOMAINS[index % DOMAINS.len()], capacity_class)
    }
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: &'static str,
    /// How many VMs it has, spread over the failure domains.
    pub vms: usize,
    /// Its services.
    pub services: Vec<Service>,
    /// One way between a client and a VM.
    pub client_delay: Duration,
}

impl Plan {
    /// Returns the plan of the cider festival.
    pub fn festival() -> Self {
        Self {
            name: "festival",
            vms: 6,
            services: vec![plain_service("entries", 3), engine_service("notes", 8)],
            client_delay: Duration::from_millis(3),
        }
    }

    /// Returns the plan of the benchmarking body.
    pub fn benchmarks() -> Self {
        Self {
            name: "benchmarks",
            vms: 6,
            services: vec![plain_service("rates", 7), engine_service("scoring", 9)],
            client_delay: Duration::from_millis(1),
        }
    }

    /// Sets how many VMs there are.
    pub fn vms(mut self, vms: usize) -> Self {
        self.vms = vms;
        self
    }
}

fn plain_service(name: &'static str, endpoint_count: usize) -> Service {
    Service {
        name,
        is_batched: false,
        endpoint_count,
        slots: 8,
        queue: 64,
        units_per_s: 400.0,
        mean_units: 1.0,
        miss_units: 0.0,
        prefixes: (0, 0),
        deadline: Duration::from_millis(250),
    }
}

fn engine_service(name: &'static str, endpoint_count: usize) -> Service {
    Service {
        name,
        is_batched: true,
        endpoint_count,
        slots: 8,
        queue: 64,
        units_per_s: 400.0,
        mean_units: 64.0,
        miss_units: 16.0,
        prefixes: (64, 32),
        deadline: Duration::from_secs(5),
    }
}

/// One run of an experiment but for its seed.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The deployment.
    pub plan: Plan,
    /// How the VMs decide.
    pub strategy: Strategy,
    /// Offered work as a part of capacity.
    pub load: f64,
    /// Whether one account asks for all that is offered above 0.7 of capacity.
    pub has_greedy_account: bool,
    /// Whether the cheap endpoints of one failure domain end in mid-run.
    pub has_loss: bool,
    /// Simulated duration.
    pub duration: Duration,
}

impl Setup {
    /// Returns a run of 30 simulated seconds at 0.7 of capacity.
    pub fn new(plan: Plan, strategy: Strategy) -> Self {
        Self {
            plan,
            strategy,
            load: 0.7,
            has_greedy_account: false,
            has_loss: false,
            duration: Duration::from_secs(30),
        }
    }

    /// Sets the offered work as a part of capacity.
    pub fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Sets whether one account is greedy.
    pub fn greedy(mut self, greedy: bool) -> Self {
        self.has_greedy_account = greedy;
        self
    }

    /// Sets whether a failure domain loses its cheap endpoints.
    pub fn loss(mut self, loss: bool) -> Self {
        self.has_loss = loss;
        self
    }

    /// Sets the simulated duration.
    pub fn seconds(mut self, seconds: u64) -> Self {
        self.duration = Duration::from_secs(seconds);
        self
    }
}
