//! Collects usage counts at a coordinator. All VMs submit their counts to it
//! after each window, and it writes them to the store as one object, so that
//! the calls to the store do not grow with the number of VMs.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use link::{
    StatusCode,
    http::{Limits, Pool, Request, client::Call, server::Reply},
};
use platform::store::{Error, Object, Store, Written};

use crate::{coordinator::Coordinators, notify::Notifier, usage::Counts};

/// The kind of the objects that hold the counts of one window by process.
pub(crate) const KIND: &str = "usage-counts";
/// The prefix of the path under which counts are submitted. The number of the
/// window follows.
pub(crate) const PATH: &str = "/usage/";
/// How long the counts of a window are collected before they are written. VMs
/// check four times a second whether a window has ended.
const COLLECT_TIME: Duration = Duration::from_millis(500);
/// How long a coordinator may take to collect and write the counts.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1800);
/// How long a coordinator may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The number of coordinators that are tried before a VM writes its counts
/// itself.
const ATTEMPTS_MAX: usize = 2;

/// Counts by the process that counted. Several objects may contain counts of
/// the same process, since it submits them again when a response is lost.
pub type CountsByProcess = BTreeMap<String, Counts>;

board::record! {
    /// The counts that one process submits.
    pub(crate) struct Contribution {
        /// The process that counted.
        pub(crate) process: String,
        /// The number of requests of each account.
        pub(crate) counts: Counts,
    }
}

/// Submits the counts of this VM, and collects those of other VMs. Clones share
/// the state.
#[derive(Clone)]
pub struct Collector(Rc<Inner>);

struct Inner {
    store: Store,
    coordinators: Coordinators,
    pool: Pool,
    /// The name of this process, which no other process has.
    process: String,
    /// The batches that are being collected, by window.
    open_batches: RefCell<Map<u64, Rc<Batch>>>,
    /// How many batches this process has written.
    written: Cell<u32>,
}

/// Counts of one window that are written together.
#[derive(Default)]
struct Batch {
    counts: RefCell<CountsByProcess>,
    /// Whether the batch was stored, once the write has ended.
    outcome: Cell<Option<bool>>,
    changed: Notifier,
}

impl Collector {
    /// Returns the collector of a process of `vm` that was just started.
    pub fn new(store: Store, coordinators: Coordinators, vm: &str) -> Self {
        // After a restart within a window, the new process needs another name:
        // counts under one name are merged by maximum and not added.
        let start: u32 = rand::random();
        Self(Rc::new(Inner {
            store,
            coordinators,
            pool: Pool::new(Limits::new()).reset_on_close(),
            process: format!("{vm}.{start:08x}"),
            open_batches: RefCell::default(),
            written: Cell::new(0),
        }))
    }

    /// Returns the name of this process.
    pub(crate) fn process(&self) -> &str {
        &self.0.process
    }

    /// Submits the counts of this process in `window` to a coordinator, and
    /// returns whether they are stored.
    pub(crate) async fn submit(&self, window: u64, counts: &Counts) -> bool {
        let contribution = Contribution {
            process: self.0.process.clone(),
            counts: counts.clone(),
        };
        let ranked = self.0.coordinators.rank_with_deputies(KIND, Instant::now());
        for vm in ranked.into_iter().take(ATTEMPTS_MAX) {
            if self.0.coordinators.is_own(vm) {
                break;
            }
            if self.send(vm, window, &contribution).await {
                return true;
            }
        }
        self.collect(window, contribution).await
    }

    async fn send(
        &self,
        vm: std::net::SocketAddr,
        window: u64,
        contribution: &Contribution,
    ) -> bool {
        let Ok(body) = serde_json::to_vec(contribution) else {
            return false;
        };
        let call = Call::post(format!("{PATH}{window}"), body)
            .idempotent(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .deadline(SUBMIT_TIMEOUT);
        let sent = self.0.pool.fetch(vm, call).await;
        let is_stored = sent
            .as_ref()
            .is_ok_and(|response| response.status.is_success());
        if !is_stored {
            let coordinator = vm.to_string();
            let problem = match sent {
                Ok(response) => response.status.to_string(),
                Err(e) => e.to_string(),
            };
            spdlog::info!("coordinator did not store usage counts", kv: { window, keeper = coordinator, problem });
        }
        is_stored
    }

    /// Serves the request of a VM that submits counts. The path ends with the
    /// number of the window.
    pub(crate) async fn answer(&self, request: &Request) -> Reply {
        let window = request.uri.path().strip_prefix(PATH);
        let Some(window) = window.and_then(|window| window.parse().ok()) else {
            return Reply::new(StatusCode::BAD_REQUEST, "");
        };
        let contribution = match request.json() {
            Ok(contribution) => contribution,
            Err(reply) => return reply,
        };
        let status = match self.collect(window, contribution).await {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        Reply::new(status, "")
    }

    /// Adds counts to the open batch of `window`, and returns whether the batch
    /// was written to the store.
    async fn collect(&self, window: u64, contribution: Contribution) -> bool {
        let (batch, is_new) = self.open_batch(window);
        let counts = BTreeMap::from([(contribution.process, contribution.counts)]);
        merge(&mut batch.counts.borrow_mut(), counts);
        if is_new {
            let (collector, batch) = (self.clone(), batch.clone());
            monoio::spawn(async move { collector.write(window, &batch).await });
        }
        loop {
            let seen = batch.changed.count();
            if let Some(is_stored) = batch.outcome.get() {
                return is_stored;
            }
            batch.changed.wait(seen).await;
        }
    }

    fn open_batch(&self, window: u64) -> (Rc<Batch>, bool) {
        let mut open_batches = self.0.open_batches.borrow_mut();
        if let Some(batch) = open_batches.get(&window) {
            return (batch.clone(), false);
        }
        let batch = Rc::new(Batch::default());
        open_batches.insert(window, batch.clone());
        (batch, true)
    }

    async fn write(&self, window: u64, batch: &Batch) {
        monoio::time::sleep(COLLECT_TIME).await;
        // Counts that arrive later go into a new batch.
        self.0.open_batches.borrow_mut().remove(&window);
        let counts = batch.counts.borrow().clone();
        let is_stored = self.store(window, &counts).await;
        batch.outcome.set(Some(is_stored));
        batch.changed.notify();
    }

    /// Writes the counts of this process to the store without collecting those of
    /// others, and returns whether they are stored.
    pub(crate) async fn write_own(&self, window: u64, counts: &Counts) -> bool {
        let counts = BTreeMap::from([(self.0.process.clone(), counts.clone())]);
        self.store(window, &counts).await
    }

    async fn store(&self, window: u64, counts: &CountsByProcess) -> bool {
        let number = self.0.written.get();
        self.0.written.set(number + 1);
        let name = object_name(window, &format!("{}.{number}", self.0.process));
        let written = self.0.store.create(KIND, &name, counts).await;
        let processes = counts.len();
        match written {
            // A conflict means that an earlier attempt of this write succeeded.
            Ok(Written::Done(_) | Written::Conflict(_)) => true,
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("writing usage counts failed", kv: { window, processes, problem });
                false
            }
        }
    }
}

/// Returns the name of `window` in the names of objects, which sorts as the
/// numbers do.
pub(super) fn window_name(window: u64) -> String {
    format!("{window:012}")
}

/// Returns the name of an object that holds counts of `window`. `rest`
/// distinguishes the objects of one window.
pub(crate) fn object_name(window: u64, rest: &str) -> String {
    format!("{}.{rest}", window_name(window))
}

/// Merges `more` into `all`. For each process and account the larger count is
/// kept: counts of a process only grow, so the larger one is the later one.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use tarragonseam_site::duty::collect::{CountsByProcess, merge};
///
/// let counts = |count| BTreeMap::from([("acme".to_string(), count)]);
/// let mut all = CountsByProcess::from([("vm-0.1".to_string(), counts(3))]);
/// // The answer was lost, so the process submitted its counts again.
/// merge(&mut all, CountsByProcess::from([("vm-0.1".to_string(), counts(4))]));
/// assert_eq!(all["vm-0.1"]["acme"], 4);
/// ```
pub fn merge(all: &mut CountsByProcess, more: CountsByProcess) {
    for (process, counts) in more {
        let known = all.entry(process).or_default();
        for (account, count) in counts {
            let known = known.entry(account).or_default();
            *known = count.max(*known);
        }
    }
}

/// Returns how many of the `counts` that `process` submitted are not in
/// `report`. The report is the sum of the objects of its window that existed
/// when it was summed; `stored` are all of them in the order of their creation.
pub fn count_omitted(
    report: &Counts,
    stored: Vec<CountsByProcess>,
    process: &str,
    counts: &Counts,
) -> u64 {
    let mut summed = CountsByProcess::new();
    for object in stored {
        let mut more = summed.clone();
        merge(&mut more, object);
        let exceeds = |(account, count): (&String, &u64)| {
            *count > report.get(account).copied().unwrap_or_default()
        };
        if sum(&more).iter().any(exceeds) {
            break;
        }
        summed = more;
    }
    let summed = summed.remove(process).unwrap_or_default();
    let omitted = counts.iter().map(|(account, count)| {
        count.saturating_sub(summed.get(account).copied().unwrap_or_default())
    });
    omitted.sum()
}

/// Returns the sum of the counts of all processes.
pub fn sum(all: &CountsByProcess) -> Counts {
    let mut sum = Counts::new();
    for (account, count) in all.values().flatten() {
        *sum.entry(account.clone()).or_default() += count;
    }
    sum
}

/// Returns the objects that hold counts of `window`, in the order of their
/// creation.
///
/// # Errors
///
/// An [`Error`] when they cannot be read.
pub(crate) async fn read_counts(store: &Store, window: u64) -> Result<Vec<CountsByProcess>, Error> {
    let objects = store.list_after(KIND, &window_name(window)).await?;
    let prefix = object_name(window, "");
    let mut objects = objects.value;
    objects.retain(|object| object.name.starts_with(&prefix));
    objects.sort_by_key(|object| object.revision);
    let counts = objects.iter().map(Object::read);
    counts.collect::<Option<_>>().ok_or(Error::Malformed)
}
