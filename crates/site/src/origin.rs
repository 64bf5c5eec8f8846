//! What began each stream. Endpoints of another service, or of another version
//! of the software, cannot continue it: what they write does not fit.
//!
//! A caller may resume a stream at any VM, and names the attempt that received
//! its first event. So the VM that opens a stream records its producer at the
//! coordinators before it passes the first event on. They need neither the
//! store nor each other, and keep the records in memory: a coordinator that
//! restarts copies them from another one. Where the producer is not known, a
//! stream is not resumed, unless only one version can have begun it.

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::{hash::Map, key::Digest};
use futures_util::stream::{FuturesUnordered, StreamExt};
use link::{
    StatusCode,
    http::{Request, server::Reply},
};
use platform::endpoint;

use crate::{ask, coordinator::Coordinators, facts::Facts, follow::View};

/// The path at which VMs record and return producers.
pub(crate) const PATH: &str = "/streams";
/// How long a record is kept: longer than a stream lasts and its caller waits.
const RETENTION: Duration = Duration::from_secs(300);
/// The number of records that are kept. Each takes about 150 bytes.
const RECORDS_MAX: usize = 50_000;
/// The number of records that a coordinator copies when it starts.
const COPIED_MAX: usize = 10_000;
/// The number of hexadecimal digits of a digest that identify an attempt.
const ATTEMPT_DIGITS: usize = 32;
/// The time over which this VM must have known the endpoints to tell that only
/// one version can have begun a stream: longer than an endpoint serves after it
/// has left the store and a caller waits to resume its stream.
const HISTORY: Duration = Duration::from_secs(60);
/// How old the list of endpoints may be for that.
const VIEW_AGE_MAX: Duration = Duration::from_millis(2000);
/// How long a coordinator that starts attempts to copy the records.
const COPY_TIME: Duration = Duration::from_secs(10);
const COPY_RETRY_DELAY: Duration = Duration::from_millis(500);

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

/// Records of producers by attempt, the oldest first.
#[derive(Default)]
struct Table {
    producers: Map<Rc<str>, (Producer, Instant)>,
    order: VecDeque<(Rc<str>, Instant)>,
}

impl Table {
    fn put(&mut self, attempt: &str, producer: Producer, now: Instant) {
        let attempt: Rc<str> = attempt.into();
        self.producers.insert(attempt.clone(), (producer, now));
        self.order.push_back((attempt, now));
        while let Some((attempt, at)) = self.order.front() {
            let is_excess = self.order.len() > RECORDS_MAX;
            if !is_excess && now.saturating_duration_since(*at) < RETENTION {
                break;
            }
            // A record that was put again has a later place in the order.
            if self
                .producers
                .get(attempt)
                .is_some_and(|(_, put)| put == at)
            {
                self.producers.remove(attempt);
            }
            self.order.pop_front();
        }
    }

    fn get(&self, attempt: &str) -> Option<Producer> {
        self.producers
            .get(attempt)
            .map(|(producer, _)| producer.clone())
    }

    fn latest(&self) -> Vec<(String, Producer)> {
        let latest = self.order.iter().rev().take(COPIED_MAX);
        let records = latest.filter_map(|(id, _)| Some((id.to_string(), self.get(id)?)));
        records.collect()
    }
}

/// The producers of streams. Clones share the records.
#[derive(Clone)]
pub struct Origins(Rc<Inner>);

struct Inner {
    table: RefCell<Table>,
    facts: Rc<RefCell<Facts>>,
    /// The age of the list of endpoints.
    view: View,
    coordinators: Coordinators,
    client: ask::Client,
}

impl Origins {
    /// Returns the producers that are recorded at `coordinators`. `view` is that
    /// of the endpoints.
    pub fn new(
        facts: Rc<RefCell<Facts>>,
        view: View,
        coordinators: Coordinators,
        client: ask::Client,
    ) -> Self {
        Self(Rc::new(Inner {
            table: RefCell::default(),
            facts,
            view,
            coordinators,
            client,
        }))
    }

    /// Records here and at the coordinators that the stream of `attempt` comes
    /// from `producer`. Waits for the coordinators only as long as each may take
    /// to answer.
    pub(crate) async fn record(&self, attempt: &str, producer: &Producer) {
        let name = name(attempt);
        self.put(&name, producer.clone());
        let now = Instant::now();
        let mut others = self.other_coordinators();
        others.retain(|vm| !self.0.client.is_backing_off(*vm, now));
        let question = Question::Record(name, producer.clone());
        let asked: FuturesUnordered<_> = others
            .iter()
            .map(|vm| self.ask(*vm, &question, attempt))
            .collect();
        let copies = asked.filter_map(|answer| async { answer }).count().await;
        if copies == 0 && !self.0.coordinators.is_seed() {
            let software = producer.software.as_str();
            spdlog::warn!("producer of a stream is known to this VM only", kv: { attempt, software });
        }
    }

    /// Returns the producer of the stream that `attempt` began, on a route to
    /// `service`. Returns `None` if it is not known.
    pub(crate) async fn find(&self, attempt: Option<&str>, service: &str) -> Option<Producer> {
        if let Some(attempt) = attempt
            && let Some(producer) = self.find_record(attempt).await
        {
            return Some(producer);
        }
        let software = self.only_software(service)?;
        Some(Producer {
            service: service.to_string(),
            software,
        })
    }

    async fn find_record(&self, attempt: &str) -> Option<Producer> {
        let name = name(attempt);
        let known = self.0.table.borrow().get(&name);
        if known.is_some() {
            return known;
        }
        let question = Question::Find(name);
        let others = self.other_coordinators();
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

    /// Returns the version of the software of `service` if no endpoint of another
    /// version can have begun a stream that is resumed now.
    fn only_software(&self, service: &str) -> Option<String> {
        let now = Instant::now();
        let age = self.0.view.age(now)?;
        let facts = self.0.facts.borrow();
        (age <= VIEW_AGE_MAX).then(|| facts.only_software(service, HISTORY, now))?
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
                spdlog::warn!("coordinator did not answer about a stream", kv: { attempt, vm, problem });
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
        let records = match question {
            Question::Record(name, producer) => {
                self.put(&name, producer);
                Vec::new()
            }
            Question::Find(name) => {
                let producer = self.0.table.borrow().get(&name);
                producer.map(|p| (name, p)).into_iter().collect()
            }
            Question::List => self.0.table.borrow().latest(),
        };
        Reply::json(StatusCode::OK, &Answer(records))
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
