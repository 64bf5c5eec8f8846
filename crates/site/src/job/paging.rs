//! Decides when finished samples are published in a page, and which of them go
//! into it.
//!
//! Each page costs a write to the store, while trainers wait for complete
//! groups. The decisions are pure functions of the samples and the time since
//! the last page.

use std::time::Duration;

use board::hash::{Map, Set};
use platform::batch::{Item, Sample};

/// The minimum time between two pages if samples without a group are ready.
/// Readers poll twice a second.
const UNGROUPED_PAGE_PERIOD_MIN: Duration = Duration::from_millis(350);
/// The minimum time between two pages if a group is complete. Groups that are
/// completed at nearly the same time thus share a page.
const GROUP_PAGE_PERIOD_MIN: Duration = Duration::from_millis(100);
/// How long samples wait for the rest of their group. Unpublished samples are
/// lost with the VM and have to be produced again.
const SAMPLE_WAIT_MAX: Duration = Duration::from_millis(1200);
/// The maximum size of the texts in one page. The store limits an object to
/// 1 MB.
const PAGE_BYTES_MAX: usize = 400 * 1024;

/// The groups of a job.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    /// The ids of the items of each group.
    members: Map<String, Vec<String>>,
    /// The group of each item that has one, by item id.
    group_of: Map<String, String>,
}

impl Groups {
    /// Returns the groups of `items`.
    pub fn new(items: &[Item]) -> Self {
        let mut groups = Self::default();
        for item in items {
            if let Some(group) = &item.group {
                let members = groups.members.entry(group.clone()).or_default();
                members.push(item.id.clone());
                groups.group_of.insert(item.id.clone(), group.clone());
            }
        }
        groups
    }

    /// Returns whether the samples in `ready` should be published now.
    /// `published` has the ids of the items that have a position, and
    /// `since_last_page` is the time since the last page was written.
    pub fn is_due(
        &self,
        ready: &[Sample],
        published: &Set<String>,
        since_last_page: Duration,
    ) -> bool {
        if ready.is_empty() || since_last_page < GROUP_PAGE_PERIOD_MIN {
            return false;
        }
        if since_last_page >= SAMPLE_WAIT_MAX || self.has_complete_group(ready, published) {
            return true;
        }
        let is_ungrouped = |sample: &Sample| !self.group_of.contains_key(&sample.id);
        since_last_page >= UNGROUPED_PAGE_PERIOD_MIN && ready.iter().any(is_ungrouped)
    }

    /// Returns whether a group is complete with the samples in `ready`.
    fn has_complete_group(&self, ready: &[Sample], published: &Set<String>) -> bool {
        let ids: Set<&str> = ready.iter().map(|sample| sample.id.as_str()).collect();
        let is_available = |id: &String| published.contains(id) || ids.contains(id.as_str());
        ready.iter().any(|sample| {
            let group = self.group_of.get(&sample.id);
            let members = group.and_then(|group| self.members.get(group));
            members.is_some_and(|members| members.iter().all(is_available))
        })
    }
}

/// Returns the first samples of `ready` that fit into one page.
pub fn next_page(ready: &[Sample]) -> Vec<Sample> {
    prefix_within(ready, PAGE_BYTES_MAX, |sample| sample.text.len()).to_vec()
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
