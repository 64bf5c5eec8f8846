//! The components of a VM and their dependencies.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use board::hash;
use link::http::{Limits, Memory, Pool};
use platform::{Settings, settings::Bounds, store::Store};
use policy::{cold, deputy};

use crate::{
    ask,
    coordinator::Coordinators,
    crash::Crashes,
    duty::{self, Duties, collect::Collector, lease::Manager},
    facts::Facts,
    follow::{self, Batching, View},
    forward::Forwarder,
    front::Front,
    gateway::Gateway,
    job::{
        Jobs, Registry, attempt::Runner, content::Content, executor::Executor, failover,
        proxy::Proxy, schedule::Schedule, unsettled::Unsettled,
    },
    member::{Members, Role},
    metrics::Metrics,
    mirror::Mirror,
    origin::Origins,
    path::{self, Paths},
    peer::Server,
    permit::Permits,
    retention,
    room::Room,
    usage::Usage,
};

/// The largest response of an endpoint that is read into memory.
const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// The components of a VM.
pub(crate) struct Components {
    /// The facts that this VM knows.
    pub(crate) facts: Rc<RefCell<Facts>>,
    /// The jobs.
    pub(crate) jobs: Jobs,
    /// The duties, which this VM performs while it holds the duty lease.
    pub(crate) duties: Duties,
    /// Serves callers and trainers.
    pub(crate) front: Front,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// The memory for callers.
    pub(crate) memory: Memory,
    mirror: Mirror,
    permits: Permits,
    origins: Origins,
    members: Members,
    paths: Paths,
    /// The age of the configuration and of the endpoints.
    facts_view: View,
    /// The requests under which endpoints ended.
    pub(crate) crashes: Crashes,
}

/// Returns the VM from whose mirror `vm` reads, or `None` if it reads from the
/// store. The first seed reads from the store, the other seeds read from the
/// first one, and each other VM reads from one of the seeds.
fn upstream(seeds: &[SocketAddr], own: Option<SocketAddr>, vm: &str) -> Option<SocketAddr> {
    let first = seeds.first()?;
    let own = own.filter(|own| seeds.contains(own));
    match own {
        Some(own) if own == *first => None,
        Some(_) => Some(*first),
        None => {
            let index = hash::hash_bytes(vm.as_bytes(), 0) % seeds.len() as u64;
            seeds.get(index as usize).copied()
        }
    }
}

/// Returns the VMs from whose mirrors `vm` reads: that of [`upstream`], and a
/// deputy in case it is lost. The first deputy then reads from the store, and the
/// other deputies from the first one.
fn mirrors(coordinators: &Coordinators, vm: &str) -> Vec<SocketAddr> {
    let own = coordinators.own_address();
    let seeds = coordinators.seeds();
    let mut mirrors: Vec<SocketAddr> = upstream(&seeds, own, vm).into_iter().collect();
    if !coordinators.is_seed() {
        mirrors.extend(upstream(&coordinators.deputies(), own, vm));
    }
    mirrors
}

/// Chooses the mirrors anew each time that the seeds or the deputies change.
/// Never returns.
async fn follow_mirrors(
    coordinators: Coordinators,
    store: Store,
    mirror: Mirror,
    view: View,
    vm: String,
) {
    let mut seen = None;
    let mut was_enabled = coordinators.is_seed();
    loop {
        seen = Some(coordinators.wait_for_change(seen).await);
        store.set_mirrors(mirrors(&coordinators, &vm));
        let is_enabled = coordinators.is_seed() || coordinators.is_deputy();
        mirror.set_enabled(is_enabled);
        store.set_serves_others(is_enabled);
        if is_enabled && !was_enabled {
            // A mirror begins with complete lists.
            view.list_again();
        }
        was_enabled = is_enabled;
    }
}

/// Returns how far requests to cold endpoints may exceed the rate of their service.
fn cold_bounds(bounds: &Bounds) -> cold::Bounds {
    let default = cold::Bounds::default();
    cold::Bounds {
        excess: bounds.cold_excess.unwrap_or(default.excess),
        slack: bounds.cold_slack.unwrap_or(default.slack),
    }
}

/// The part of the time for which a leaving endpoint serves in which it may still get
/// requests that no other endpoint can run. It may have begun to leave before this VM
/// learns of it.
const LEAVING_GRACE_DIVISOR: u32 = 2;

/// Returns how long after an endpoint stated that it leaves it may get such requests.
fn leaving_grace(bounds: &Bounds) -> Duration {
    bounds.drain.unwrap_or_default() / LEAVING_GRACE_DIVISOR
}

fn role(settings: &Settings) -> Role {
    let limits = settings.limits;
    Role {
        domain: settings.failure_domain.clone(),
        is_disk: false,
        power: deputy::power(limits.memory_mb, limits.link_mbps, limits.cpu_share),
    }
}

/// Returns the seeds in an order that is the same on all VMs with the same
/// settings.
fn sorted_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let mut seeds = settings.seeds.clone();
    seeds.sort();
    seeds
}

fn other_seeds(seeds: &[SocketAddr], own: Option<SocketAddr>) -> Vec<SocketAddr> {
    let others = seeds.iter().copied().filter(|seed| Some(*seed) != own);
    others.collect()
}

impl Components {
    /// Returns the components for `settings`. No task is started.
    pub(crate) fn new(settings: &Settings) -> Self {
        let own = settings.listen.peers;
        let seeds = sorted_seeds(settings);
        let mirrors = upstream(&seeds, own, &settings.vm).into_iter().collect();
        let store = Store::new(settings.store.address, other_seeds(&seeds, own), mirrors);
        let coordinators = Coordinators::new(seeds, own);
        let mirror = Mirror::new(coordinators.is_seed());
        let facts: Rc<RefCell<Facts>> = Rc::default();
        facts.borrow_mut().cold_bounds = cold_bounds(&settings.bounds);
        facts.borrow_mut().leaving_grace = leaving_grace(&settings.bounds);
        let metrics = Metrics::default();
        let observer = metrics.clone();
        store.set_observer(move |kind, purpose, outcome| {
            observer.record_store_call(kind, purpose, outcome);
        });
        let observer = metrics.clone();
        let room = Room::new(&settings.limits);
        let memory = Memory::new(room.requests_bytes, room.total_bytes);
        let pool = Pool::new(Limits::new().body_bytes(RESPONSE_BYTES_MAX))
            .memory(memory.clone())
            .unfinished_memory(Memory::new(0, room.unfinished_bytes))
            .silence_timeout(path::SILENCE_TIMEOUT)
            .reset_on_close()
            .on_open(move |cause| observer.record_endpoint_connection(cause));
        let usage = Usage::new(settings.bounds.usage_window);
        let vm = settings.vm.as_str();
        let client = ask::Client::default();
        let members = Members::new(coordinators.clone(), client.clone(), role(settings));
        let paths = Paths::new(
            facts.clone(),
            members.clone(),
            client.clone(),
            pool.clone(),
            metrics.clone(),
        );
        let permits = Permits::new(
            facts.clone(),
            coordinators.clone(),
            client.clone(),
            metrics.clone(),
            vm,
        );
        let crashes = Crashes::new(store.clone(), metrics.clone());
        let view = View::new(mirror.clone());
        let facts_view = view.sibling();
        let origins = Origins::new(
            facts.clone(),
            store.clone(),
            coordinators.clone(),
            members.clone(),
            client,
            settings.tolerate.disks + 1,
        );
        let forwarder = Forwarder {
            facts: facts.clone(),
            paths: paths.clone(),
            permits: permits.clone(),
            origins: origins.clone(),
            crashes: crashes.clone(),
            usage: usage.clone(),
            metrics: metrics.clone(),
            domain: settings.failure_domain.clone(),
            vm: settings.vm.clone(),
            stop: Rc::default(),
        };
        let registry = Registry::default();
        let content = Content::new(store.clone(), registry.clone());
        let executor = Executor {
            runner: Runner {
                facts: facts.clone(),
                paths: paths.clone(),
                forwarder: forwarder.clone(),
                permits: permits.clone(),
                metrics: metrics.clone(),
            },
            registry: registry.clone(),
            schedule: Schedule::new(facts.clone(), metrics.clone()),
            content: content.clone(),
            view: view.clone(),
            coordinators: coordinators.clone(),
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let jobs = Jobs {
            registry: registry.clone(),
            store: store.clone(),
            unsettled: Unsettled::default(),
            view: view.clone(),
            content: content.clone(),
            executor,
            vm: settings.vm.clone(),
            coordinators: coordinators.clone(),
            proxy: Proxy::new(coordinators.clone()),
            metrics: metrics.clone(),
        };
        let duties = Duties {
            collector: Collector::new(store.clone(), coordinators.clone(), &settings.vm),
            lease: Manager::new(
                store.clone(),
                view.sibling(),
                &settings.vm,
                coordinators,
                paths.clone(),
                &settings.bounds,
            ),
            jobs: registry,
            content,
            facts: facts.clone(),
            store,
            view,
            paths: paths.clone(),
            permits: permits.clone(),
            pool,
            provider: settings.provider.address,
            usage,
            metrics: metrics.clone(),
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
            memory,
            mirror,
            permits,
            origins,
            members,
            paths,
            facts_view,
            crashes,
        }
    }

    /// Returns the server for calls from other VMs.
    pub(crate) fn peer(&self) -> Server {
        Server {
            jobs: self.jobs.clone(),
            mirror: self.mirror.clone(),
            collector: self.duties.collector.clone(),
            permits: self.permits.clone(),
            origins: self.origins.clone(),
            members: self.members.clone(),
            gateway: Gateway {
                facts: self.facts.clone(),
                paths: self.paths.clone(),
                permits: self.permits.clone(),
                proxy: self.jobs.proxy.clone(),
            },
        }
    }

    /// Applies the settings that may change while the process runs.
    pub(crate) fn apply_settings(&self, settings: &Settings) {
        let seeds = sorted_seeds(settings);
        let coordinators = &self.jobs.coordinators;
        let own = coordinators.own_address();
        self.jobs.store.set_relays(other_seeds(&seeds, own));
        coordinators.set_seeds(seeds);
    }

    /// Starts the tasks that run as long as the process.
    pub(crate) fn spawn_tasks(&self, settings: &Settings) {
        let (store, facts) = (self.jobs.store.clone(), self.facts.clone());
        let pool = self.duties.pool.clone();
        let view = self.facts_view.clone();
        monoio::spawn(follow::config(store.clone(), view.clone(), facts.clone()));
        monoio::spawn(self.crashes.clone().follow(view.sibling()));
        if let Some(bound) = settings.bounds.evacuation() {
            facts.borrow_mut().await_evacuations();
            monoio::spawn(follow::evacuations(
                store.clone(),
                view.sibling(),
                facts.clone(),
                self.metrics.clone(),
                bound,
            ));
        }
        let crashes = self.crashes.clone();
        let batching = Batching::of_endpoints(settings.bounds.drain);
        monoio::spawn(follow::endpoints(
            store, batching, view, facts, pool, crashes,
        ));
        monoio::spawn(self.origins.clone().copy());
        monoio::spawn(self.members.clone().run());
        monoio::spawn(follow_mirrors(
            self.jobs.coordinators.clone(),
            self.jobs.store.clone(),
            self.mirror.clone(),
            self.facts_view.clone(),
            settings.vm.clone(),
        ));
        monoio::spawn(self.paths.clone().watch());
        monoio::spawn(failover::follow(self.jobs.clone()));
        monoio::spawn(failover::take_over(self.jobs.clone()));
        monoio::spawn(failover::send_heartbeats(self.jobs.clone()));
        let lease = self.duties.lease.clone();
        let follower = lease.clone();
        monoio::spawn(async move { lease.run().await });
        monoio::spawn(async move { follower.follow().await });
        monoio::spawn(duty::report::submit_counts(self.duties.clone()));
        self.spawn_duties(settings.bounds);
    }

    /// Starts the tasks that run while this VM is a coordinator.
    fn spawn_duties(&self, bounds: Bounds) {
        let (coordinators, duties) = (self.jobs.coordinators.clone(), self.duties.clone());
        let run = move || {
            let duties = duties.clone();
            async move {
                monoio::join!(
                    follow::versions(
                        duties.store.clone(),
                        duties.view.sibling(),
                        duties.facts.clone(),
                    ),
                    duty::weights::run(duties.clone()),
                    duty::report::run(duties.clone()),
                    duty::retire::run(duties.clone()),
                    retention::run(duties.clone(), bounds),
                );
            }
        };
        monoio::spawn(async move { coordinators.run_while_coordinator(run).await });
    }
}
