//! Decides when finished samples are published in a page, and which of them go
//! into it.
//!
//! Each page costs a write to the store, while trainers wait for complete
//! groups. The decisions are pure functions of the samples and the time since
//! the last page.

use std::{rc::Rc, time::Duration};

use board::hash::Set;
use platform::{batch::Sample, items::Items};

/// The minimum time between two pages if samples without a group are ready.
/// Readers poll twice a second.
const UNGROUPED_PAGE_PERIOD_MIN: Duration = Duration::from_millis(350);
/// The minimum time between two pages if a group is complete. Groups that are
/// completed at nearly the same time thus share a page.
const GROUP_PAGE_PERIOD_MIN: Duration = Duration::from_millis(100);
/// How long samples wait for the rest of their group. Unpublished samples are
/// lost with the VM and have to be produced again.
const SAMPLE_WAIT_MAX: Duration = Duration::from_millis(1200);
/// The maximum encoded size of the samples in one page. The store limits an
/// object to 1 MB.
const PAGE_BYTES_MAX: usize = 400 * 1024;

/// A sample that is in no page yet.
#[derive(Clone, Debug)]
pub struct Ready {
    /// The position of its item in the job.
    pub item: usize,
    /// The sample.
    pub sample: Sample,
}

/// The groups of a job.
#[derive(Clone, Debug)]
pub struct Groups {
    items: Rc<Items>,
    /// The positions of the items of each group, by its number.
    members: Vec<Vec<u32>>,
}

impl Groups {
    /// Returns the groups of `items`.
    pub fn new(items: Rc<Items>) -> Self {
        let mut members = vec![Vec::new(); items.groups_len()];
        for position in 0..items.len() {
            if let Some(group) = items.group(position) {
                members[group].push(position as u32);
            }
        }
        Self { items, members }
    }

    /// Returns whether the samples in `ready` should be published now.
    /// `published` has the ids of the items that have a position, and
    /// `since_last_page` is the time since the last page was written.
    pub fn is_due(
        &self,
        ready: &[Ready],
        published: &Set<String>,
        since_last_page: Duration,
    ) -> bool {
        if ready.is_empty() || since_last_page < GROUP_PAGE_PERIOD_MIN {
            return false;
        }
        if since_last_page >= SAMPLE_WAIT_MAX || self.has_complete_group(ready, published) {
            return true;
        }
        let is_ungrouped = |ready: &Ready| self.items.group(ready.item).is_none();
        since_last_page >= UNGROUPED_PAGE_PERIOD_MIN && ready.iter().any(is_ungrouped)
    }

    /// Returns whether a group is complete with the samples in `ready`.
    fn has_complete_group(&self, ready: &[Ready], published: &Set<String>) -> bool {
        let ids: Set<&str> = ready.iter().map(|ready| ready.sample.id.as_str()).collect();
        let is_available = |position: &u32| {
            let id = self.items.id(*position as usize);
            published.contains(id) || ids.contains(id)
        };
        ready.iter().any(|ready| {
            let group = self.items.group(ready.item);
            group.is_some_and(|group| self.members[group].iter().all(is_available))
        })
    }
}

/// Returns the first samples of `ready` that fit into one page.
pub fn next_page(ready: &[Ready]) -> Vec<Sample> {
    let page = prefix_within(ready, PAGE_BYTES_MAX, |ready| ready.sample.encoded_bytes());
    page.iter().map(|ready| ready.sample.clone()).collect()
}

/// Returns the longest prefix of `values` with a total size of at most
/// `max_bytes`, but at least one value if there is any.
pub(crate) fn prefix_within<T>(values: &[T], max_bytes: usize, size: impl Fn(&T) -> usize) -> &[T] {
    let mut sum = 0;
    let fits = |(index, value): &(usize, &T)| {
        sum += size(value);
        *index == 0 || sum <= max_bytes
    };
    let count = values.iter().enumerate().take_while(fits).count();
    &values[..count]
}
