//! The progress of the unfinished items of a job, saved in the store so that
//! another VM can resume them.

use std::time::Duration;

use super::{Job, record::Progress, text::Text};

/// The maximum size of the texts that are saved for a job. The store limits an
/// object to 1 MB.
const TEXT_BYTES_MAX: usize = 400 * 1024;
/// How often progress is saved. When a VM is killed, about a second of work is
/// lost.
pub(crate) const WRITE_PERIOD: Duration = Duration::from_millis(1200);
/// The minimum size of an item's text for its progress to be saved: about a
/// second of work of an engine.
const ITEM_BYTES_MIN: usize = 4 * 1024;

/// Returns the progress of the unfinished items that have enough text to be
/// saved; `None` if no item has.
pub(crate) fn collect(job: &Job) -> Option<Progress> {
    let mut total_bytes = 0;
    let items = job.items.as_ref()?;
    let texts = job.partial_texts.iter().filter_map(|(index, text)| {
        let text = text.borrow();
        let is_large_enough = text.len_bytes() >= ITEM_BYTES_MIN;
        let has_space = is_large_enough && total_bytes + text.len_bytes() <= TEXT_BYTES_MAX;
        has_space.then(|| {
            total_bytes += text.len_bytes();
            (items.id(*index).to_string(), text.clone())
        })
    });
    let texts: Vec<(String, Text)> = texts.collect();
    (!texts.is_empty()).then_some(Progress { texts })
}
