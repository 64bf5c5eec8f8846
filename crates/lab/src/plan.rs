//! What an experiment runs: a deployment, its load and the way of deciding.

use std::time::Duration;

use board::endpoint::CapacityClass;
use serde::{Deserialize, Serialize};

/// Failure domains, all in one region.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Weights of the accounts: a few large ones.
pub const WEIGHTS: [u32; 8] = [4, 4, 2, 2, 1, 1, 1, 1];

/// The account that asks for more than its share, where one does.
pub const GREEDY: usize = 7;

/// How the VMs decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
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
    pub is_shared: bool,
    /// How many endpoints it has.
    pub count: usize,
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
        self.count as f64 * self.units_per_s / self.mean_units
    }

    /// Returns where the endpoint at `place` is and how long it stays: the
    /// first of each failure domain is stable, the others are cheap.
    pub fn endpoint(&self, place: usize) -> (&'static str, CapacityClass) {
        let capacity_class = match place < DOMAINS.len() {
            true => CapacityClass::Stable,
            false => CapacityClass::Cheap,
        };
        (DOMAINS[place % DOMAINS.len()], capacity_class)
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
            services: vec![plain("entries", 3), engines("notes", 8)],
            client_delay: Duration::from_millis(3),
        }
    }

    /// Returns the plan of the benchmarking body.
    pub fn benchmarks() -> Self {
        Self {
            name: "benchmarks",
            vms: 6,
            services: vec![plain("rates", 7), engines("scoring", 9)],
            client_delay: Duration::from_millis(1),
        }
    }

    /// Sets how many VMs there are.
    pub fn vms(mut self, vms: usize) -> Self {
        self.vms = vms;
        self
    }
}

fn plain(name: &'static str, count: usize) -> Service {
    Service {
        name,
        is_shared: false,
        count,
        slots: 8,
        queue: 64,
        units_per_s: 400.0,
        mean_units: 1.0,
        miss_units: 0.0,
        prefixes: (0, 0),
        deadline: Duration::from_millis(250),
    }
}

fn engines(name: &'static str, count: usize) -> Service {
    Service {
        name,
        is_shared: true,
        count,
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
    pub way: Way,
    /// Offered work as a part of capacity.
    pub load: f64,
    /// Whether one account asks for all that is offered above 0.7 of capacity.
    pub greedy: bool,
    /// Whether the cheap endpoints of one failure domain end in mid-run.
    pub loss: bool,
    /// Simulated length.
    pub length: Duration,
}

impl Setup {
    /// Returns a run of 30 simulated seconds at 0.7 of capacity.
    pub fn new(plan: Plan, way: Way) -> Self {
        Self {
            plan,
            way,
            load: 0.7,
            greedy: false,
            loss: false,
            length: Duration::from_secs(30),
        }
    }

    /// Sets the offered work as a part of capacity.
    pub fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Sets whether one account is greedy.
    pub fn greedy(mut self, greedy: bool) -> Self {
        self.greedy = greedy;
        self
    }

    /// Sets whether a failure domain loses its cheap endpoints.
    pub fn loss(mut self, loss: bool) -> Self {
        self.loss = loss;
        self
    }

    /// Sets the simulated length.
    pub fn seconds(mut self, seconds: u64) -> Self {
        self.length = Duration::from_secs(seconds);
        self
    }
}
