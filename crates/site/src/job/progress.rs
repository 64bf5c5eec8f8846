//! What the open items of a job have made, kept so that another VM goes on
//! from it.

use std::time::Duration;

use super::{Job, record::Progress, text::Text};

/// How much text of open items is kept; an object is 1 MB at most.
const TEXT_BYTES_MAX: usize = 400 * 1024;
/// How often what long items have made is written, so that another VM goes on
/// from it: a kill costs a second of work then, and not all of it.
pub(crate) const WRITE_PERIOD: Duration = Duration::from_millis(1200);
/// How much an item must have made: about a second's work of an engine.
const ITEM_BYTES_MIN: usize = 4 * 1024;

/// Returns what the items under way have made, if they have made enough.
pub(crate) fn collect(job: &Job) -> Option<Progress> {
    let mut total_bytes = 0;
    let items = job.items.as_ref()?;
    let texts = job.partial_texts.iter().filter_map(|(index, text)| {
        let text = text.borrow();
        let is_large_enough = text.len_bytes() >= ITEM_BYTES_MIN;
        let has_space = is_large_enough && total_bytes + text.len_bytes() <= TEXT_BYTES_MAX;
        has_space.then(|| {
            total_bytes += text.len_bytes();
            (items[*index].id.clone(), text.clone())
        })
    });
    let texts: Vec<(String, Text)> = texts.collect();
    (!texts.is_empty()).then_some(Progress { texts })
}
