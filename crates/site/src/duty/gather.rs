//! Counts of usage gathered by a keeper: the VMs hand it theirs after each
//! window, and it writes them as one object, so that calls to the store do not
//! grow with the number of VMs.

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
use platform::store::{Error, Store, Written};

use crate::{keeper::Keepers, notice::Notice, usage::Counts};

/// The kind of the objects that hold counts of one window, by process.
pub(crate) const KIND: &str = "usage-counts";
/// What the path begins with under which counts are handed over; the window
/// follows.
pub(crate) const PATH: &str = "/usage/";
/// How long counts of a window are gathered. VMs look at their windows four
/// times a second.
const GATHER_TIME: Duration = Duration::from_millis(500);
/// How long a keeper may take: to gather, and to write.
const HAND_TIME: Duration = Duration::from_millis(1800);
/// How long a connection to it may take.
const CONNECT_TIME: Duration = Duration::from_millis(200);
/// How many keepers are asked to take counts.
const TRIES: usize = 2;

/// Counts by the process that made them. The same process may stand in several
/// objects, since an answer may be lost.
pub type ByProcess = BTreeMap<String, Counts>;

board::record! {
    /// Counts as they are handed over.
    pub(crate) struct Handed {
        /// The process that counted.
        pub(crate) process: String,
        /// The requests of each account.
        pub(crate) counts: Counts,
    }
}

/// The counts that a VM hands over and gathers; copies share them.
#[derive(Clone)]
pub struct Gather(Rc<Inner>);

struct Inner {
    store: Store,
    keepers: Keepers,
    pool: Pool,
    /// This process, under a name that no other one has.
    process: String,
    open: RefCell<Map<u64, Rc<Batch>>>,
    written: Cell<u32>,
}

/// Counts of one window that are written together.
#[derive(Default)]
struct Batch {
    counts: RefCell<ByProcess>,
    outcome: Cell<Option<bool>>,
    changed: Notice,
}

impl Gather {
    /// Returns what gathers for a process of `vm`.
    pub fn new(store: Store, keepers: Keepers, vm: &str) -> Self {
        // A restart within a window must not meet the counts of the process
        // before it under the same name.
        let start: u32 = rand::random();
        Self(Rc::new(Inner {
            store,
            keepers,
            pool: Pool::new(Limits::new()).resets(),
            process: format!("{vm}.{start:08x}"),
            open: RefCell::default(),
            written: Cell::new(0),
        }))
    }

    /// Hands the counts of this process in `window` on, and returns whether
    /// they are kept.
    pub(crate) async fn hand_on(&self, window: u64, counts: &Counts) -> bool {
        let handed = Handed {
            process: self.0.process.clone(),
            counts: counts.clone(),
        };
        let order = self.0.keepers.of(KIND, Instant::now());
        for vm in order.into_iter().take(TRIES) {
            if self.0.keepers.is_own(vm) {
                break;
            }
            if self.send(vm, window, &handed).await {
                return true;
            }
        }
        self.take(window, handed).await
    }

    async fn send(&self, vm: std::net::SocketAddr, window: u64, handed: &Handed) -> bool {
        let Ok(body) = serde_json::to_vec(handed) else {
            return false;
        };
        let call = Call::post(format!("{PATH}{window}"), body)
            .idempotent(true)
            .connect_time(CONNECT_TIME)
            .deadline(HAND_TIME);
        let sent = self.0.pool.fetch(vm, call).await;
        let is_kept = sent.as_ref().is_ok_and(|found| found.status.is_success());
        if !is_kept {
            let keeper = vm.to_string();
            let problem = match sent {
                Ok(found) => found.status.to_string(),
                Err(e) => e.to_string(),
            };
            spdlog::info!("usage not taken by a keeper", kv: { window, keeper, problem });
        }
        is_kept
    }

    /// Answers a VM that hands counts of the window at the end of its path
    /// over.
    pub(crate) async fn answer(&self, request: &Request) -> Reply {
        let window = request.uri.path().strip_prefix(PATH);
        let Some(window) = window.and_then(|window| window.parse().ok()) else {
            return Reply::new(StatusCode::BAD_REQUEST, "");
        };
        let handed = match request.json() {
            Ok(handed) => handed,
            Err(reply) => return reply,
        };
        let status = match self.take(window, handed).await {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        Reply::new(status, "")
    }

    /// Gathers counts, and returns whether they are kept in the store.
    async fn take(&self, window: u64, handed: Handed) -> bool {
        let (batch, is_new) = self.batch(window);
        let counts = BTreeMap::from([(handed.process, handed.counts)]);
        merge(&mut batch.counts.borrow_mut(), counts);
        if is_new {
            let (gather, batch) = (self.clone(), batch.clone());
            monoio::spawn(async move { gather.write(window, &batch).await });
        }
        loop {
            let seen = batch.changed.count();
            if let Some(is_kept) = batch.outcome.get() {
                return is_kept;
            }
            batch.changed.past(seen).await;
        }
    }

    fn batch(&self, window: u64) -> (Rc<Batch>, bool) {
        let mut open = self.0.open.borrow_mut();
        if let Some(batch) = open.get(&window) {
            return (batch.clone(), false);
        }
        let batch = Rc::new(Batch::default());
        open.insert(window, batch.clone());
        (batch, true)
    }

    async fn write(&self, window: u64, batch: &Batch) {
        monoio::time::sleep(GATHER_TIME).await;
        // Counts that come later are written by themselves.
        self.0.open.borrow_mut().remove(&window);
        let number = self.0.written.get();
        self.0.written.set(number + 1);
        let name = name(window, &format!("{}.{number}", self.0.process));
        let counts = batch.counts.borrow().clone();
        let written = self.0.store.create(KIND, &name, &counts).await;
        let processes = counts.len();
        let is_kept = match written {
            // An earlier try of the same call took effect.
            Ok(Written::Done(_) | Written::Conflict(_)) => true,
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("usage not kept yet", kv: { window, processes, problem });
                false
            }
        };
        batch.outcome.set(Some(is_kept));
        batch.changed.raise();
    }
}

/// Returns the name of an object that holds counts of `window`.
pub(crate) fn name(window: u64, rest: &str) -> String {
    format!("{window:012}.{rest}")
}

/// Adds `more` to `all`. What one process counted is counted once, in its
/// latest and therefore largest state.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use tarragonseam_site::duty::gather::{ByProcess, merge};
///
/// let counts = |count| BTreeMap::from([("acme".to_string(), count)]);
/// let mut all = ByProcess::from([("vm-0.1".to_string(), counts(3))]);
/// // Its answer was lost, and the process handed its counts on again.
/// merge(&mut all, ByProcess::from([("vm-0.1".to_string(), counts(4))]));
/// assert_eq!(all["vm-0.1"]["acme"], 4);
/// ```
pub fn merge(all: &mut ByProcess, more: ByProcess) {
    for (process, counts) in more {
        let known = all.entry(process).or_default();
        for (account, count) in counts {
            let known = known.entry(account).or_default();
            *known = count.max(*known);
        }
    }
}

/// Returns the counts of `window` that were kept, by process.
///
/// # Errors
///
/// An [`Error`] when they cannot be had.
pub(crate) async fn kept(store: &Store, window: u64) -> Result<ByProcess, Error> {
    let objects = store
        .list_after(KIND, &format!("{window:012}"))
        .await?
        .value;
    let prefix = name(window, "");
    let mut all = ByProcess::new();
    for object in objects {
        if object.name.starts_with(&prefix) {
            merge(&mut all, object.read().ok_or(Error::Malformed)?);
        }
    }
    Ok(all)
}
