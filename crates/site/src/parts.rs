//! The parts of a VM, and who is given what.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use board::hash;
use link::http::{Limits, Pool};
use platform::{Settings, settings::Bounds, store::Store};

use crate::{
    clean,
    duty::{self, Duties, gather::Gather, lease::Steward},
    facts::Facts,
    follow::{self, Contact},
    forward::Forwarder,
    front::Front,
    job::{
        Jobs, Registry, attempt::Runner, content::Content, handover::Handover, keep,
        produce::Producer,
    },
    keeper::Keepers,
    metrics::Metrics,
    mirror::Mirror,
    peer::Peer,
    usage::Usage,
};

/// The largest answer of an endpoint that is kept in memory.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The parts of a VM.
pub(crate) struct Parts {
    /// What it knows.
    pub(crate) facts: Rc<RefCell<Facts>>,
    /// The jobs.
    pub(crate) jobs: Jobs,
    /// The duties that it takes its turn at.
    pub(crate) duties: Duties,
    /// What answers callers.
    pub(crate) front: Front,
    /// What is counted.
    pub(crate) metrics: Metrics,
    mirror: Mirror,
}

/// Returns the VM that `vm` asks for whole kinds: the first seed asks the store
/// itself, the other seeds ask that one, and all others a seed each.
fn upstream(seeds: &[SocketAddr], own: Option<SocketAddr>, vm: &str) -> Option<SocketAddr> {
    let first = seeds.first()?;
    let own = own.filter(|own| seeds.contains(own));
    match own {
        Some(own) if own == *first => None,
        Some(_) => Some(*first),
        None => {
            let place = hash::hash_bytes(vm.as_bytes(), 0) % seeds.len() as u64;
            seeds.get(place as usize).copied()
        }
    }
}

/// Returns the seeds in the order in which all VMs see them that are told the
/// same.
fn sorted(settings: &Settings) -> Vec<SocketAddr> {
    let mut seeds = settings.seeds.clone();
    seeds.sort();
    seeds
}

fn others(seeds: &[SocketAddr], own: Option<SocketAddr>) -> Vec<SocketAddr> {
    let others = seeds.iter().copied().filter(|seed| Some(*seed) != own);
    others.collect()
}

impl Parts {
    /// Returns the parts of the VM of `settings`, none of them running.
    pub(crate) fn new(settings: &Settings) -> Self {
        let own = settings.listen.peers;
        let seeds = sorted(settings);
        let upstream = upstream(&seeds, own, &settings.vm);
        let store = Store::new(settings.store.address, others(&seeds, own), upstream);
        let keepers = Keepers::new(seeds, own);
        let mirror = Mirror::new(keepers.is_named());
        let facts: Rc<RefCell<Facts>> = Rc::default();
        let metrics = Metrics::default();
        let pool = Pool::new(Limits::new().body_bytes(ANSWER_BYTES)).resets();
        let usage = Usage::new(settings.bounds.usage_window);
        let domain = settings.failure_domain.as_str();
        let forwarder = Forwarder::new(
            facts.clone(),
            pool.clone(),
            usage.clone(),
            metrics.clone(),
            domain,
        );
        let registry = Registry::default();
        let contact = Contact::new(mirror.clone());
        let content = Content::new(store.clone(), registry.clone());
        let producer = Producer {
            runner: Runner {
                facts: facts.clone(),
                pool: pool.clone(),
                forwarder: forwarder.clone(),
                metrics: metrics.clone(),
            },
            registry: registry.clone(),
            content: content.clone(),
            contact: contact.clone(),
            vm: settings.vm.clone(),
            domain: settings.failure_domain.clone(),
        };
        let jobs = Jobs {
            registry: registry.clone(),
            store: store.clone(),
            contact: contact.clone(),
            content: content.clone(),
            producer,
            vm: settings.vm.clone(),
            keepers: keepers.clone(),
            handover: Handover::new(keepers.clone()),
            metrics: metrics.clone(),
        };
        let duties = Duties {
            gather: Gather::new(store.clone(), keepers.clone(), &settings.vm),
            steward: Steward::new(
                store.clone(),
                contact.other(),
                &settings.vm,
                keepers,
                settings.bounds.lease_ttl,
            ),
            jobs: registry,
            content,
            facts: facts.clone(),
            store,
            contact,
            pool,
            provider: settings.provider.address,
            usage,
        };
        let front = Front {
            facts: facts.clone(),
            forwarder,
            jobs: jobs.clone(),
        };
        Self {
            facts,
            jobs,
            duties,
            front,
            metrics,
            mirror,
        }
    }

    /// Returns what answers other VMs.
    pub(crate) fn peer(&self) -> Peer {
        Peer::new(
            self.jobs.clone(),
            self.mirror.clone(),
            self.duties.gather.clone(),
        )
    }

    /// Takes over what may change while the process runs.
    pub(crate) fn set(&self, settings: &Settings) {
        let seeds = sorted(settings);
        let keepers = &self.jobs.keepers;
        let own = keepers.own();
        let upstream = upstream(&seeds, own, &settings.vm);
        self.jobs.store.set_relays(others(&seeds, own), upstream);
        keepers.set(seeds);
        self.mirror.set_asked(keepers.is_named());
    }

    /// Starts what runs as long as the process.
    pub(crate) fn spawn(&self, settings: &Settings) {
        let (store, facts) = (self.jobs.store.clone(), self.facts.clone());
        let pool = self.duties.pool.clone();
        let others = self.jobs.contact.other();
        monoio::spawn(follow::config(store.clone(), others.clone(), facts.clone()));
        monoio::spawn(follow::endpoints(store, others, facts, pool));
        monoio::spawn(keep::follow(self.jobs.clone()));
        monoio::spawn(keep::take_over(self.jobs.clone()));
        monoio::spawn(keep::beat(self.jobs.clone()));
        let steward = self.duties.steward.clone();
        let other = steward.clone();
        monoio::spawn(async move { steward.hold().await });
        monoio::spawn(async move { other.follow().await });
        monoio::spawn(duty::report::hand_on(self.duties.clone()));
        self.spawn_duties(settings.bounds);
    }

    /// Starts what only keepers do.
    fn spawn_duties(&self, bounds: Bounds) {
        let (keepers, duties) = (self.jobs.keepers.clone(), self.duties.clone());
        let run = move || {
            let duties = duties.clone();
            async move {
                monoio::join!(
                    follow::versions(
                        duties.store.clone(),
                        duties.contact.other(),
                        duties.facts.clone(),
                    ),
                    duty::weights::run(duties.clone()),
                    duty::report::run(duties.clone()),
                    duty::retire::run(duties.clone()),
                    clean::run(duties.clone(), bounds),
                );
            }
        };
        monoio::spawn(async move { keepers.while_one(run).await });
    }
}
