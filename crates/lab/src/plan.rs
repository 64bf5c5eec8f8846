//! What an experiment simulates: a deployment, its load and the strategy by
//! which VMs choose endpoints.

use std::time::Duration;

use board::endpoint::CapacityClass;
use serde::{Deserialize, Serialize};

/// The failure domains, all in one region.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Weights of the accounts: a few large ones and several small ones.
pub const ACCOUNT_WEIGHTS: [u32; 8] = [4, 4, 2, 2, 1, 1, 1, 1];

/// The index of the account that offers more than its share when
/// [`Setup::has_greedy_account`] is set.
pub const GREEDY_ACCOUNT: usize = 7;

/// How VMs choose the endpoint of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Baseline: each VM sends without queueing to its next endpoint in turn.
    RoundRobin,
    /// Baseline: each VM sends without queueing to the endpoint where it has the
    /// fewest requests in flight.
    LeastOutstanding,
    /// The decisions of `policy`, by each VM independently.
    Independent,
    /// As `Independent`, within the slots that owners of endpoints grant as
    /// credits.
    Credits,
    /// As `Independent`, but one VM decides for all requests of a service in its
    /// failure domain.
    Owner,
}

/// One service of a deployment.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name of the service.
    pub name: &'static str,
    /// Whether running requests share the endpoint's speed, as in a batch.
    pub is_batched: bool,
    /// The number of endpoints.
    pub endpoint_count: usize,
    /// Requests that an endpoint runs concurrently.
    pub slots: u32,
    /// Requests that may wait at an endpoint.
    pub queue: usize,
    /// Units of work per second of an endpoint at full load.
    pub units_per_s: f64,
    /// Mean units of work of a request.
    pub mean_units: f64,
    /// Extra units of work of a request whose prefix is not cached.
    pub miss_units: f64,
    /// How many prefixes an endpoint caches, and how many each account uses.
    pub prefixes: (usize, u64),
    /// The time after which an answer is too late for the client.
    pub deadline: Duration,
}

impl Service {
    /// Returns the requests per second that all endpoints together can serve.
    pub fn capacity(&self) -> f64 {
        self.endpoint_count as f64 * self.units_per_s / self.mean_units
    }

    /// Returns the failure domain and capacity class of the endpoint at `index`.
    /// The first endpoint of each failure domain is stable, the others are
    /// cheap.
    pub fn placement(&self, index: usize) -> (&'static str, CapacityClass) {
        let capacity_class = match index < DOMAINS.len() {
            true => CapacityClass::Stable,
            false => CapacityClass::Cheap,
        };
        (DOMAINS[index % DOMAINS.len()], capacity_class)
    }
}

/// A simulated deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The name of the deployment.
    pub name: &'static str,
    /// The number of VMs, spread evenly over the failure domains.
    pub vms: usize,
    /// The services.
    pub services: Vec<Service>,
    /// One-way network delay between a client and a VM.
    pub client_delay: Duration,
}

impl Plan {
    /// Returns the deployment of a festival: a small plain service and engines.
    pub fn festival() -> Self {
        Self {
            name: "festival",
            vms: 6,
            services: vec![plain_service("entries", 3), engine_service("notes", 8)],
            client_delay: Duration::from_millis(3),
        }
    }

    /// Returns the deployment of a benchmarking organization: more endpoints of
    /// both kinds and clients that are closer.
    pub fn benchmarks() -> Self {
        Self {
            name: "benchmarks",
            vms: 6,
            services: vec![plain_service("rates", 7), engine_service("scoring", 9)],
            client_delay: Duration::from_millis(1),
        }
    }

    /// Sets the number of VMs.
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

/// The parameters of a run, except its seed.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The deployment.
    pub plan: Plan,
    /// How VMs choose endpoints.
    pub strategy: Strategy,
    /// Offered work as a fraction of the capacity.
    pub load: f64,
    /// Whether the last account is greedy: the others offer at most 0.7 of their
    /// fair shares, and it offers the rest of the load.
    pub has_greedy_account: bool,
    /// Whether one failure domain loses its cheap endpoints halfway through.
    pub has_loss: bool,
    /// The simulated duration.
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

    /// Sets the offered work as a fraction of the capacity.
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

    /// Sets the simulated duration in seconds.
    pub fn seconds(mut self, seconds: u64) -> Self {
        self.duration = Duration::from_secs(seconds);
        self
    }
}
