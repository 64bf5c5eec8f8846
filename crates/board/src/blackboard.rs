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

/// The address of a VM that has no peers.
const NO_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// What one VM knows. Decisions take it by mutable reference.
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
    /// The revision of the configuration in force, 0 before the first one.
    pub revision: u64,
    /// The configuration in force.
    pub config: Config,
    /// Callers' keys by digest.
    pub keys: Map<Digest, Grant>,
    /// The endpoints known.
    pub endpoints: endpoint::Table,
    /// The version of each model's weights that should be in force.
    pub weights: Map<String, u64>,
    /// Facts that every VM holds, with their versions.
    pub shared: shared::Store,
    /// The VMs known.
    pub members: member::Table,
    /// What was observed of each service.
    pub services: service::Table,
    /// Requests that wait or run on this VM.
    pub tickets: ticket::Table,
    /// The order in which requests wait.
    pub queue: queue::Queue,
    /// Usage measured here.
    pub usage: Ledger,
    /// What is known of orders for endpoints.
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

    /// Puts `config` in force if `revision` is newer than the one in force,
    /// and returns whether it did.
    pub fn apply(&mut self, revision: u64, config: Config) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.config = config;
        true
    }

    /// Returns what was observed of the service `name`, to change it.
    pub fn service(&mut self, name: &str) -> &mut service::Service {
        if !self.services.contains_key(name) {
            self.services
                .insert(name.into(), service::Service::default());
        }
        self.services.entry(name.into()).or_default()
    }

    /// Notes what is known of a key. A withdrawal is never undone.
    pub fn record_key(&mut self, digest: Digest, grant: Grant) {
        let known = self.keys.entry(digest).or_insert_with(|| grant.clone());
        known.withdrawn |= grant.withdrawn;
    }

    /// Notes the version of a model's weights that should be in force. An older
    /// version never replaces a newer one.
    pub fn record_weights(&mut self, model: &str, version: u64) {
        let known = self.weights.entry(model.to_string()).or_default();
        *known = version.max(*known);
    }
}
