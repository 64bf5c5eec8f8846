//! Producers of streams on the VMs that have disks.
//!
//! The VMs that callers reach have none, and all of them may be killed or lose
//! power at once. So they record the producer of a stream also at VMs with
//! disks, which acknowledge a record once it is synced. Records that arrive
//! while the disk is busy are synced together. A record that the disk does not
//! take is kept in memory, and not acknowledged.

use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    StatusCode,
    http::{Request, server::Reply},
    worker::Worker,
};

use super::{
    PATH, Question,
    ledger::{Entry, Ledger},
    table::Table,
};
use crate::notify::Notifier;

/// The number of records that wait for the disk. A disk that hangs for longer
/// than these take to arrive acknowledges none of the others.
const WAITING_MAX: usize = 10_000;
/// The pause before the disk is written to again after it failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// The producers that this VM keeps. Clones share them.
#[derive(Clone)]
pub struct Archive(Rc<Inner>);

struct Inner {
    table: RefCell<Table>,
    worker: Option<Worker<Ledger>>,
    /// The records to write next, and the outcome that their callers wait for.
    waiting: RefCell<(Vec<Entry>, Batch)>,
    added: Notifier,
}

/// The outcome of a write, once it is known. Clones share it.
#[derive(Clone, Default)]
struct Batch {
    is_stored: Rc<Cell<Option<bool>>>,
    done: Notifier,
}

impl Batch {
    fn end(&self, is_stored: bool) {
        self.is_stored.set(Some(is_stored));
        self.done.notify();
    }

    async fn wait(&self) -> bool {
        loop {
            let seen = self.done.count();
            if let Some(is_stored) = self.is_stored.get() {
                return is_stored;
            }
            self.done.wait(seen).await;
        }
    }
}

impl Archive {
    /// Returns the archive in `folder`. If the folder cannot be used, records are
    /// kept in memory only.
    pub fn open(folder: &Path) -> Self {
        let mut table = Table::default();
        let worker = match Ledger::open(folder) {
            Ok((ledger, entries)) => {
                let records = entries.len();
                let now = Instant::now();
                for (name, producer) in entries {
                    table.put(&name, producer, now);
                }
                spdlog::info!("producers of streams read from the disk", kv: { records });
                Some(Worker::start(ledger))
            }
            Err(e) => {
                let problem = e.to_string();
                spdlog::error!("disk cannot be used, producers of streams are kept in memory", kv: { problem });
                None
            }
        };
        Self(Rc::new(Inner {
            table: RefCell::new(table),
            worker,
            waiting: RefCell::default(),
            added: Notifier::default(),
        }))
    }

    /// Answers another VM's question.
    pub async fn answer(&self, request: &Request) -> Reply {
        if request.target() != PATH {
            return Reply::new(StatusCode::NOT_FOUND, "");
        }
        let question = match request.json::<Question>() {
            Ok(question) => question,
            Err(reply) => return reply,
        };
        let entry = match &question {
            Question::Record(name, producer) => Some((name.clone(), producer.clone())),
            Question::Find(_) | Question::List => None,
        };
        let answer = self.0.table.borrow_mut().answer(question);
        if let Some(entry) = entry
            && !self.store(entry).await
        {
            return Reply::new(StatusCode::INSUFFICIENT_STORAGE, "");
        }
        Reply::json(StatusCode::OK, &answer)
    }

    /// Writes a record to the disk, and returns whether it is stored.
    async fn store(&self, entry: Entry) -> bool {
        let batch = {
            let mut waiting = self.0.waiting.borrow_mut();
            if self.0.worker.is_none() || waiting.0.len() >= WAITING_MAX {
                return false;
            }
            waiting.0.push(entry);
            waiting.1.clone()
        };
        self.0.added.notify();
        batch.wait().await
    }

    /// Writes the records that arrive to the disk. Never returns if there is one.
    pub async fn run(self) {
        let Some(worker) = &self.0.worker else {
            return;
        };
        let mut is_failing = false;
        loop {
            let seen = self.0.added.count();
            let (entries, batch) = std::mem::take(&mut *self.0.waiting.borrow_mut());
            if entries.is_empty() {
                // The batch has no record, but one may be added to it meanwhile.
                self.0.waiting.borrow_mut().1 = batch;
                self.0.added.wait(seen).await;
                continue;
            }
            let records = entries.len();
            let problem = match worker.run(move |ledger| ledger.append(&entries)).await {
                Ok(Ok(())) => None,
                Ok(Err(e)) => Some(e.to_string()),
                Err(e) => Some(e.to_string()),
            };
            batch.end(problem.is_none());
            match &problem {
                None if is_failing => spdlog::info!("producers of streams are stored again"),
                Some(problem) if !is_failing => {
                    let problem = problem.as_str();
                    spdlog::error!("producers of streams cannot be stored", kv: { records, problem });
                }
                _ => {}
            }
            is_failing = problem.is_some();
            if is_failing {
                monoio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}
