//! Jobs of many items: accepted once, run by one VM at a time, and read at
//! any.
//!
//! A job is a few objects in the store that are created and never changed:
//! its head, its items, pages of samples, claims of VMs to run it, and its
//! end. Whoever creates a page decides the positions in it, so positions never
//! move, and two VMs that run the same job cost work but do no harm.

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
pub mod text;

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Instant};

use board::hash::{Map, Set};
use platform::batch::Sample;

pub use self::registry::Registry;
use self::{
    record::{Head, Items, Page},
    text::Text,
};
use crate::notify::Notifier;

/// A job as this VM knows it.
pub struct Job {
    /// Its id.
    pub id: String,
    /// What it is.
    pub head: Rc<Head>,
    /// When it was first submitted, on this VM's clock.
    pub submitted_at: Instant,
    /// Its items, where this VM has them.
    pub items: Option<Rc<Items>>,
    /// The samples by position, as far as this VM has them.
    pub samples: Vec<Rc<Sample>>,
    /// The items that have a position.
    pub published: Set<String>,
    /// How many pages are known, all before them included.
    pub pages: u32,
    /// Pages that came before one that they follow.
    early_pages: BTreeMap<u32, Page>,
    /// How many claims were made after the first VM's.
    pub claims: u32,
    /// The VM that runs it; empty if that gave it up.
    pub holder: String,
    /// Where that one is reached.
    pub holder_address: Option<SocketAddr>,
    /// Whether it was ended.
    pub is_ended: bool,
    /// Whether every item had a position when its samples were forgotten.
    was_complete: bool,
    /// When this VM heard of the holder.
    pub held_since: Instant,
    /// When its items or samples were asked for last.
    pub used_at: Instant,
    /// Whether this process runs it.
    pub is_running: bool,
    /// Whether it runs it and has all pages that were written before.
    pub is_loaded: bool,
    /// What the items have made, by their place, that this process runs and
    /// that have no sample yet.
    pub partial_texts: Map<usize, Rc<RefCell<Text>>>,
    /// Raised at each change.
    pub changes: Notifier,
}

impl Job {
    /// Returns whether every item has a position, and this VM has the samples.
    pub fn is_complete(&self) -> bool {
        self.published.len() >= self.head.items
    }

    /// Returns whether nothing of it is left to be run.
    pub fn is_finished(&self) -> bool {
        self.is_ended || self.was_complete || self.is_complete()
    }

    /// Takes one page of samples.
    pub fn put_page(&mut self, number: u32, page: Page) {
        if number < self.pages {
            return;
        }
        self.early_pages.insert(number, page);
        while let Some(page) = self.early_pages.remove(&self.pages) {
            self.pages += 1;
            for sample in page.samples {
                // A second outcome of an item has no position of its own.
                if self.published.insert(sample.id.clone()) {
                    self.samples.push(Rc::new(sample));
                }
            }
        }
        self.changes.notify();
    }

    /// Forgets items and samples, which stand in the store.
    fn evict_content(&mut self) {
        self.was_complete |= self.is_complete();
        self.items = None;
        self.samples.clear();
        self.published.clear();
        self.early_pages.clear();
        self.pages = 0;
    }
}

/// A job that several parts of this process share.
pub type Handle = Rc<RefCell<Job>>;

/// What the parts of jobs share.
#[derive(Clone)]
pub struct Jobs {
    /// The jobs that this VM knows.
    pub registry: Registry,
    /// Where they are kept.
    pub store: platform::store::Store,
    /// What reads and writes what a job consists of.
    pub content: content::Content,
    /// How this VM stands with the store.
    pub view: crate::follow::View,
    /// What runs items.
    pub executor: executor::Executor,
    /// The name of this VM.
    pub vm: String,
    /// The VMs that keep jobs.
    pub coordinators: crate::coordinator::Coordinators,
    /// What hands calls over to them.
    pub proxy: proxy::Proxy,
    /// What is counted.
    pub metrics: crate::metrics::Metrics,
}
