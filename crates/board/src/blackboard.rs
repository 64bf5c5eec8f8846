//! The blackboard: one VM's view of the deployment.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    capacity,
    config::Config,
    endpoint,
    hash::Map,
    key::{Digest, Grant},
    member, queue, service, shared, ticket,
    usage::Ledger,
};

/// The address of this VM until its peer address is set.
const NO_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// The state of one VM, which decisions take by mutable reference.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::Board;
///
/// let board = Board::new("vm-1", "a", 7);
/// assert_eq!(board.revision, 0);
/// ```
#[derive(Clone, Debug)]
pub struct Board {
    /// The name of this VM.
    pub vm: String,
    /// The failure domain of this VM.
    pub failure_domain: String,
    /// The revision of the current configuration, 0 before the first one.
    pub revision: u64,
    /// The current configuration.
    pub config: Config,
    /// The grants of callers' keys by digest.
    pub keys: Map<Digest, Grant>,
    /// The known endpoints.
    pub endpoints: endpoint::Table,
    /// The version of the weights that each model should serve.
    pub weights: Map<String, u64>,
    /// The facts that are replicated to every VM, with their versions.
    pub shared: shared::Store,
    /// The known VMs.
    pub members: member::Table,
    /// Latencies and retry budgets of each service.
    pub services: service::Table,
    /// Requests that wait on this VM or were sent by it.
    pub tickets: ticket::Table,
    /// The waiting requests, in the order in which they are sent.
    pub queue: queue::Queue,
    /// The usage that this VM has measured, and copies of other VMs' usage.
    pub usage: Ledger,
    /// The state of orders that start and stop endpoints.
    pub capacity: capacity::State,
    /// The source of randomness of every decision.
    pub rng: SmallRng,
}

impl Board {
    /// Returns an empty board for a VM.
    pub fn new(vm: &str, failure_domain: &str, seed: u64) -> Self {
        Self {
            vm: vm.to_string(),
            failure_domain: failure_domain.to_string(),
            revision: 0,
            config: Config::default(),
            keys: Map::default(),
            endpoints: endpoint::Table::default(),
            weights: Map::default(),
            shared: shared::Store::default(),
            members: member::Table::new(member::Record {
                vm: vm.to_string(),
                failure_domain: failure_domain.to_string(),
                address: NO_ADDRESS,
                incarnation: seed,
            }),
            services: service::Table::default(),
            tickets: ticket::Table::default(),
            queue: queue::Queue::default(),
            usage: Ledger::default(),
            capacity: capacity::State::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the configuration by `config` if `revision` is newer than the
    /// current one, and returns whether it was replaced.
    pub fn apply(&mut self, revision: u64, config: Config) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.config = config;
        true
    }

    /// Returns the observations of the service `name` for modification, and
    /// adds empty ones if there are none.
    pub fn service(&mut self, name: &str) -> &mut service::Service {
        if !self.services.contains_key(name) {
            self.services
                .insert(name.into(), service::Service::default());
        }
        self.services.entry(name.into()).or_default()
    }

    /// Records the grant of a key. A withdrawal is never undone.
    pub fn record_key(&mut self, digest: Digest, grant: Grant) {
        let known = self.keys.entry(digest).or_insert_with(|| grant.clone());
        known.withdrawn |= grant.withdrawn;
    }

    /// Records the version of the weights that a model should serve. An older
    /// version never replaces a newer one.
    pub fn record_weights(&mut self, model: &str, version: u64) {
        let known = self.weights.entry(model.to_string()).or_default();
        *known = version.max(*known);
    }
}
