//! What began each stream. Endpoints of another service, or of another version
//! of the software, cannot continue it: what they write does not fit.
//!
//! A caller may resume a stream at any VM, and names the attempt that received
//! its first event. So the VM that opens a stream records its producer before it
//! passes the first event on: at VMs with disks ([`archive`]), whose records
//! outlast the loss of all other VMs at once, and at the coordinators, which
//! keep them in memory. Neither needs the store. Where the producer is not known,
//! a stream is not resumed, unless only one version can have begun it.

pub mod archive;
mod census;
pub mod ledger;
mod table;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::key::Digest;
use futures_util::stream::{FuturesUnordered, StreamExt};
use link::{
    StatusCode,
    http::{Request, server::Reply},
};
use platform::{endpoint, store::Store};
use policy::replica;

use self::{census::Census, table::Table};
use crate::{ask, coordinator::Coordinators, facts::Facts, member::Members, notify::Notifier};

/// The path at which VMs record and return producers.
pub(crate) const PATH: &str = "/streams";
/// The number of records that a coordinator copies when it starts.
const COPIED_MAX: usize = 10_000;
/// The number of hexadecimal digits of a digest that identify an attempt.
const ATTEMPT_DIGITS: usize = 32;
/// The time over which this VM must have known the endpoints to tell that only
/// one version can have begun a stream: longer than an endpoint serves after it
/// has left the store and a caller waits to resume its stream.
const HISTORY: Duration = Duration::from_secs(60);
/// How long a coordinator that starts attempts to copy the records.
const COPY_TIME: Duration = Duration::from_secs(10);
const COPY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long after its start a VM may not know all VMs with disks, which start or
/// announce themselves meanwhile. Until then it asks again for a record.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The pause before a VM asks again.
const FIND_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The number of disks that get a record beyond those that must have it, so that
/// one of them may be slow.
const SPARE_COPIES: usize = 1;

board::record! {
    /// What wrote the first event of a stream, and has to write the others.
    #[derive(Eq)]
    pub struct Producer {
        /// The service.
        pub service: String,
        /// The version of the software of its endpoint.
        pub software: String,
    }
}

impl Producer {
    /// Returns the producer whose endpoint announced itself with `record`.
    pub fn new(record: &endpoint::Record) -> Self {
        Self {
            service: record.service.clone(),
            software: record.software.clone(),
        }
    }
}

board::record! {
    /// A question to another VM.
    enum Question {
        /// To record the producer of the stream that this attempt began.
        Record(String, Producer),
        /// To return the producer of the stream that this attempt began.
        Find(String),
        /// To return the latest records.
        List,
    }
}

board::record! {
    /// The answer of a VM: the records that it has.
    struct Answer(Vec<(String, Producer)>);
}

impl Table {
    /// Answers another VM's question.
    fn answer(&mut self, question: Question) -> Answer {
        Answer(match question {
            Question::Record(name, producer) => {
                self.put(&name, producer, Instant::now());
                Vec::new()
            }
            Question::Find(name) => {
                let producer = self.get(&name);
                producer.map(|p| (name, p)).into_iter().collect()
            }
            Question::List => self.latest(COPIED_MAX),
        })
    }
}

/// The producers of streams. Clones share the records.
#[derive(Clone)]
pub struct Origins(Rc<Inner>);

struct Inner {
    table: RefCell<Table>,
    facts: Rc<RefCell<Facts>>,
    /// The producers that are in the store.
    census: Census,
    coordinators: Coordinators,
    members: Members,
    client: ask::Client,
    /// The number of disks that must have a record.
    copies: usize,
    started: Instant,
}

/// The copies of a record that were asked for and made.
#[derive(Default)]
struct Copies {
    /// Copies in the memory of coordinators.
    in_memory: Cell<usize>,
    on_disk: Cell<usize>,
    /// The VMs that have not answered yet.
    pending: Cell<usize>,
    changed: Notifier,
}

impl Origins {
    /// Returns the producers that are recorded on `copies` disks and at
    /// `coordinators`. The endpoints are in `store`.
    pub fn new(
        facts: Rc<RefCell<Facts>>,
        store: Store,
        coordinators: Coordinators,
        members: Members,
        client: ask::Client,
        copies: usize,
    ) -> Self {
        Self(Rc::new(Inner {
            table: RefCell::default(),
            facts,
            census: Census::new(store),
            coordinators,
            members,
            client,
            copies,
            started: Instant::now(),
        }))
    }

    /// Records here, on disks and at the coordinators that the stream of `attempt`
    /// comes from `producer`. Waits for enough copies, but only as long as each VM
    /// may take to answer. Right after its start this VM may have to learn of disks first.
    pub(crate) async fn record(&self, attempt: &str, producer: &Producer) {
        let name = name(attempt);
        self.put(&name, producer.clone());
        self.0.members.wait_for_disks(self.0.copies).await;
        let coordinators = self.other_coordinators();
        let mut disks = self.ranked_disks(&name);
        let now = Instant::now();
        // The sort is stable, so the rank decides otherwise.
        disks.sort_by_key(|vm| self.0.client.is_backing_off(*vm, now));
        disks.truncate(self.0.copies + SPARE_COPIES);
        let question = Question::Record(name, producer.clone());
        let copies = Rc::new(Copies::default());
        let awaited_coordinators =
            self.copy_to(&coordinators, &question, attempt, &copies, |c| &c.in_memory);
        let awaited_disks = self.copy_to(&disks, &question, attempt, &copies, |c| &c.on_disk);
        let goal = self.0.copies.min(awaited_disks);
        let needs_memory = goal == 0 && awaited_coordinators > 0;
        loop {
            let seen = copies.changed.count();
            let has_memory = copies.in_memory.get() > 0 || !needs_memory;
            let is_done = copies.on_disk.get() >= goal && has_memory;
            if is_done || copies.pending.get() == 0 {
                break;
            }
            copies.changed.wait(seen).await;
        }
        let (on_disk, in_memory) = (copies.on_disk.get(), copies.in_memory.get());
        if on_disk < self.0.copies {
            let software = producer.software.as_str();
            spdlog::warn!("producer of a stream is on too few disks", kv: { attempt, software, on_disk, in_memory });
        }
    }

    /// Asks `vms` to keep a record, and counts their answers. Returns the number of
    /// VMs that are waited for: one that failed lately may answer late.
    fn copy_to(
        &self,
        vms: &[SocketAddr],
        question: &Question,
        attempt: &str,
        copies: &Rc<Copies>,
        counter: impl Fn(&Copies) -> &Cell<usize> + Copy + 'static,
    ) -> usize {
        let now = Instant::now();
        let mut awaited = 0;
        for vm in vms {
            let (vm, is_awaited) = (*vm, !self.0.client.is_backing_off(*vm, now));
            if is_awaited {
                awaited += 1;
                copies.pending.set(copies.pending.get() + 1);
            }
            let (origins, copies) = (self.clone(), copies.clone());
            let (question, attempt) = (question.clone(), attempt.to_string());
            monoio::spawn(async move {
                if origins.ask(vm, &question, &attempt).await.is_some() {
                    let count = counter(&copies);
                    count.set(count.get() + 1);
                }
                if is_awaited {
                    copies.pending.set(copies.pending.get() - 1);
                }
                copies.changed.notify();
            });
        }
        awaited
    }

    /// Returns the producer of the stream that `attempt` began, on a route to
    /// `service`. Returns `None` if it is not known at `deadline`.
    pub(crate) async fn find(
        &self,
        attempt: Option<&str>,
        service: &str,
        deadline: Instant,
    ) -> Option<Producer> {
        if let Some(attempt) = attempt
            && let Some(producer) = self.find_record(attempt, deadline).await
        {
            return Some(producer);
        }
        let software = self.only_software(service, deadline).await?;
        Some(Producer {
            service: service.to_string(),
            software,
        })
    }

    async fn find_record(&self, attempt: &str, deadline: Instant) -> Option<Producer> {
        loop {
            let found = self.search(attempt).await;
            let is_settled = self.0.started.elapsed() >= SETTLE_TIME;
            if found.is_some() || is_settled || Instant::now() + FIND_RETRY_DELAY >= deadline {
                return found;
            }
            monoio::time::sleep(FIND_RETRY_DELAY).await;
            self.0.members.refresh().await;
        }
    }

    /// Asks all VMs that may have the record of `attempt`.
    async fn search(&self, attempt: &str) -> Option<Producer> {
        let name = name(attempt);
        let known = self.0.table.borrow().get(&name);
        if known.is_some() {
            return known;
        }
        let mut others = self.other_coordinators();
        others.extend(self.ranked_disks(&name));
        let question = Question::Find(name);
        let mut asked: FuturesUnordered<_> = others
            .iter()
            .map(|vm| self.ask(*vm, &question, attempt))
            .collect();
        while let Some(answer) = asked.next().await {
            let record = answer.and_then(|answer| answer.0.into_iter().next());
            if let Some((name, producer)) = record {
                self.put(&name, producer.clone());
                return Some(producer);
            }
        }
        None
    }

    /// Returns the VMs with disks in the order in which they get the record `name`.
    fn ranked_disks(&self, name: &str) -> Vec<SocketAddr> {
        let disks = self.0.members.disks();
        let names: Vec<String> = disks.iter().map(|disk| disk.address.to_string()).collect();
        let vms = names.iter().zip(&disks);
        let vms: Vec<(&str, &str)> = vms
            .map(|(name, disk)| (name.as_str(), disk.domain.as_str()))
            .collect();
        let order = replica::rank(name, &vms);
        order
            .into_iter()
            .map(|index| disks[index].address)
            .collect()
    }

    /// Returns the version of the software of `service` if no endpoint of another
    /// version can have begun a stream that is resumed now, as far as this is known
    /// at `deadline`. What this VM has followed may be out of date, so the store
    /// confirms it.
    async fn only_software(&self, service: &str, deadline: Instant) -> Option<String> {
        let followed = || {
            let facts = self.0.facts.borrow();
            facts.only_software(service, HISTORY, Instant::now())
        };
        followed()?;
        let listed = self.0.census.producers(deadline).await?;
        followed().filter(|software| {
            let mut others = listed.iter().filter(|listed| listed.service == service);
            others.all(|listed| listed.software == *software)
        })
    }

    fn put(&self, name: &str, producer: Producer) {
        let mut table = self.0.table.borrow_mut();
        table.put(name, producer, Instant::now());
    }

    fn other_coordinators(&self) -> Vec<SocketAddr> {
        let coordinators = &self.0.coordinators;
        let mut others = coordinators.rank(PATH, Instant::now());
        others.retain(|vm| !coordinators.is_own(*vm));
        others
    }

    async fn ask(&self, vm: SocketAddr, question: &Question, attempt: &str) -> Option<Answer> {
        match self.0.client.ask(vm, PATH, question).await {
            Ok(answer) => Some(answer),
            Err(problem) => {
                let vm = vm.to_string();
                spdlog::warn!("VM did not answer about a stream", kv: { attempt, vm, problem });
                None
            }
        }
    }

    /// Answers another VM's question.
    pub(crate) fn answer(&self, request: &Request) -> Reply {
        let question = match request.json::<Question>() {
            Ok(question) => question,
            Err(reply) => return reply,
        };
        let answer = self.0.table.borrow_mut().answer(question);
        Reply::json(StatusCode::OK, &answer)
    }

    /// Copies the records of another coordinator if this VM is one, so that they
    /// outlast restarts of all coordinators in turn.
    pub(crate) async fn copy(self) {
        let start = Instant::now();
        while self.0.coordinators.is_seed() && start.elapsed() < COPY_TIME {
            for vm in self.other_coordinators() {
                let Some(answer) = self.ask(vm, &Question::List, "").await else {
                    continue;
                };
                let (records, vm) = (answer.0.len(), vm.to_string());
                // The latest record comes first.
                for (name, producer) in answer.0.into_iter().rev() {
                    self.put(&name, producer);
                }
                spdlog::info!("producers of streams copied", kv: { records, vm });
                return;
            }
            monoio::time::sleep(COPY_RETRY_DELAY).await;
        }
    }
}

/// Returns a short name for an attempt, since callers choose their ids.
fn name(attempt: &str) -> String {
    let mut digest = Digest::of(attempt).to_string();
    digest.truncate(ATTEMPT_DIGITS);
    digest
}
