//! Jobs of many items. A job is accepted once, run by one VM at a time, and
//! can be read at every VM.
//!
//! In the store a job consists of immutable objects: its head, its items,
//! pages of samples, claims of VMs to run it, and an end marker. A page is
//! created with a conditional write, and the first writer fixes the positions
//! of its samples. Positions therefore never change, and two VMs that run the
//! same job at once waste work but do not corrupt it.
//!
//! A VM that takes a job over first writes an empty page, the fence. A write of
//! a former runner that arrives later conflicts with it, and a VM that meets a
//! page of another one stops running the job. From its fence on, a VM therefore
//! knows all pages until another VM claims the job.
//!
//! The one object that is overwritten is the saved progress of unfinished
//! items, from which another VM resumes them.

pub mod api;
pub mod attempt;
pub mod content;
pub mod executor;
pub mod failover;
pub mod paging;
pub(crate) mod progress;
pub mod proxy;
pub mod record;
pub mod registry;
pub(crate) mod rejection;
pub mod schedule;
pub mod submission;
pub mod text;
pub mod unsettled;

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Instant};

use board::hash::{Map, Set};
use platform::{batch::Sample, items::Items};

pub use self::registry::Registry;
use self::{
    record::{Head, Page},
    text::Text,
};
use crate::notify::Notifier;

/// The state of a job as far as this VM has read it.
pub struct Job {
    /// The id under which the job was submitted.
    pub id: String,
    /// The head with which the job was accepted.
    pub head: Rc<Head>,
    /// When the job was submitted, on this VM's monotonic clock.
    pub submitted_at: Instant,
    /// The items, if they are in memory.
    pub items: Option<Rc<Items>>,
    /// The samples in memory, by position.
    pub samples: Vec<Rc<Sample>>,
    /// The ids of the items whose samples have a position in `samples`.
    pub published: Set<String>,
    /// The number of pages in memory, without gaps from the first one on.
    pub pages: u32,
    /// Pages that were received before an earlier page, by number.
    early_pages: BTreeMap<u32, Page>,
    /// The number of claims in the store, which is the number of the next one.
    /// The VM that accepts a job runs it without a claim.
    pub claims: u32,
    /// The VM that should run the job; empty after a VM released it.
    pub holder: String,
    /// The peer address of the holder.
    pub holder_address: Option<SocketAddr>,
    /// Whether the trainer ended the job.
    pub is_ended: bool,
    /// Whether the job was complete when its content was evicted from memory.
    was_complete: bool,
    /// When this VM learned of the current holder.
    pub held_since: Instant,
    /// When a call last used the items or samples.
    pub used_at: Instant,
    /// Whether this process runs the job.
    pub is_running: bool,
    /// Whether this process runs the job and has read all pages that were
    /// written before it started to run it.
    pub is_loaded: bool,
    /// Whether this process runs the job, knows all of its pages, and no other
    /// VM can add a page without a new claim.
    pub is_sole_writer: bool,
    /// The texts of unfinished items that this process runs, by item index.
    pub partial_texts: Map<usize, Rc<RefCell<Text>>>,
    /// Notifies tasks that wait for a change of this job.
    pub changes: Notifier,
}

impl Job {
    /// Returns whether every item has a position and all samples are in memory.
    pub fn is_complete(&self) -> bool {
        self.published.len() >= self.head.items
    }

    /// Returns whether no more items of the job have to be run.
    pub fn is_finished(&self) -> bool {
        self.is_ended || self.was_complete || self.is_complete()
    }

    /// Adds page `number`. Its samples get their positions once all earlier
    /// pages were added.
    pub fn put_page(&mut self, number: u32, page: Page) {
        if number < self.pages {
            return;
        }
        if page.vm != self.holder {
            self.is_sole_writer = false;
        }
        self.early_pages.insert(number, page);
        while let Some(page) = self.early_pages.remove(&self.pages) {
            self.pages += 1;
            for sample in page.samples {
                // Only the first sample of an item counts: two VMs that ran
                // the same job may both have published one.
                if self.published.insert(sample.id.clone()) {
                    self.samples.push(Rc::new(sample));
                }
            }
        }
        self.changes.notify();
    }

    /// Frees the memory of items and samples, which remain in the store.
    fn evict_content(&mut self) {
        self.was_complete |= self.is_complete();
        self.items = None;
        self.samples.clear();
        self.published.clear();
        self.early_pages.clear();
        self.pages = 0;
    }
}

/// A reference to a job that tasks of this process share.
pub type Handle = Rc<RefCell<Job>>;

/// The components that accept jobs, run them and answer calls about them.
#[derive(Clone)]
pub struct Jobs {
    /// The jobs known to this VM.
    pub registry: Registry,
    /// The store of all jobs.
    pub store: platform::store::Store,
    /// Reads and writes the items, pages and progress of jobs.
    pub content: content::Content,
    /// The submissions whose outcome this VM does not know.
    pub unsettled: unsettled::Unsettled,
    /// How recent this VM's view of the jobs in the store is.
    pub view: crate::follow::View,
    /// Runs jobs.
    pub executor: executor::Executor,
    /// The name of this VM.
    pub vm: String,
    /// The VMs that run jobs.
    pub coordinators: crate::coordinator::Coordinators,
    /// Forwards calls about jobs to the coordinators.
    pub proxy: proxy::Proxy,
    /// Counters of jobs and items.
    pub metrics: crate::metrics::Metrics,
}
