//! The content of jobs in the store: items, pages of samples, and the saved
//! progress of unfinished items. Each job has its own kind of objects.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use platform::{
    batch::Item,
    items::Items,
    store::{Error, Store, Written},
};

use super::{
    Handle, Registry,
    record::{self, Page, Progress},
};
use crate::pace::Pace;

/// The maximum encoded size of the items in one object. The platform allows
/// 1 MB per object.
const PART_BYTES_MAX: usize = 500 * 1024;

/// How long the failed write of a part of the items is repeated if there is no deadline:
/// less than half of the time in which a trainer expects the response to its submission.
const PART_RETRY_MAX: Duration = Duration::from_millis(150);
/// The pause before it is repeated.
const PART_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The pause before a failed write of a fence is repeated.
const FENCE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads and writes the content of jobs.
#[derive(Clone)]
pub struct Content {
    store: Store,
    registry: Registry,
}

impl Content {
    /// Returns access to the content of jobs in `store`. Texts that are read
    /// are added to `registry`.
    pub fn new(store: Store, registry: Registry) -> Self {
        Self { store, registry }
    }

    /// Writes the items of the job `id`. Failed writes are repeated for a short time, or
    /// until `deadline` if there is one. Objects that exist already are kept: they have
    /// the same content, as they were submitted with the same job id.
    ///
    /// # Errors
    ///
    /// An [`Error`] when some of the items may be missing in the store.
    pub async fn write_items(
        &self,
        id: &str,
        items: &Items,
        deadline: Option<Instant>,
    ) -> Result<(), Error> {
        let kind = record::ContentName::kind(id);
        for (number, part) in split_items(items).enumerate() {
            let part = part?;
            let name = record::ContentName::Items(number as u32).encode();
            let retry_end = match deadline {
                Some(deadline) => deadline - PART_RETRY_DELAY,
                None => Instant::now() + PART_RETRY_MAX,
            };
            loop {
                let written = match deadline {
                    Some(end) => self.store.create_until(&kind, &name, &part, end).await,
                    None => self.store.create(&kind, &name, &part).await,
                };
                match written {
                    Ok(Written::Done(_) | Written::Conflict(_)) => break,
                    Err(e) if Instant::now() > retry_end => return Err(e),
                    Err(_) => monoio::time::sleep(PART_RETRY_DELAY).await,
                }
            }
        }
        Ok(())
    }

    /// Writes page `number`, unless that page exists already.
    ///
    /// # Errors
    ///
    /// An [`Error`] when it is unknown whether the page exists.
    pub async fn write_page(&self, id: &str, number: u32, page: &Page) -> Result<Written, Error> {
        let name = record::ContentName::Page(number).encode();
        let kind = record::ContentName::kind(id);
        self.store.create(&kind, &name, page).await
    }

    /// Writes an empty page of `vm` after all pages of `job`, and adds those that
    /// were not in memory. Marks the job as written by this process alone, unless
    /// another VM has added a page since. Retries until the page is written.
    pub async fn write_fence(&self, job: &Handle, vm: &str) {
        let id = job.borrow().id.clone();
        let fence = Page {
            vm: vm.to_string(),
            samples: Vec::new(),
        };
        loop {
            let number = job.borrow().pages;
            let existing = match self.write_page(&id, number, &fence).await {
                Ok(Written::Done(_)) => {
                    let mut job = job.borrow_mut();
                    job.put_page(number, fence);
                    job.is_sole_writer = job.pages == number + 1;
                    return;
                }
                Ok(Written::Conflict(object)) => object.and_then(|object| object.read()),
                Err(e) => {
                    let (job, problem) = (id.as_str(), e.to_string());
                    spdlog::warn!("cannot write fence of job, retrying", kv: { job, problem });
                    None
                }
            };
            match existing {
                Some(page) => job.borrow_mut().put_page(number, page),
                None => monoio::time::sleep(FENCE_RETRY_DELAY).await,
            }
        }
    }

    /// Saves the progress of the unfinished items of the job `id`.
    ///
    /// # Errors
    ///
    /// An [`Error`] when the progress may not have been written.
    pub async fn write_progress(&self, id: &str, progress: &Progress) -> Result<(), Error> {
        let name = record::ContentName::Progress.encode();
        let kind = record::ContentName::kind(id);
        self.store.put(&kind, &name, progress).await
    }

    /// Reads the pages of `job` that are not in memory.
    ///
    /// # Errors
    ///
    /// An [`Error`] when not all of them could be read.
    pub async fn read_pages(&self, job: &Handle) -> Result<(), Error> {
        let pages = job.borrow().pages;
        let after = match pages.checked_sub(1) {
            Some(last) => record::ContentName::Page(last).encode(),
            None => record::LIST_PAGES_AFTER.to_string(),
        };
        self.read_after(job, &after).await
    }

    /// Returns the items of `job`. If they are not in memory, reads the whole
    /// content of the job.
    ///
    /// # Errors
    ///
    /// An [`Error`] when they could not be read.
    pub async fn items(&self, job: &Handle) -> Result<Rc<Items>, Error> {
        let known = job.borrow().items.clone();
        match known {
            Some(known) => Ok(known),
            None => self.read(job).await,
        }
    }

    /// Reads the whole content of `job`, and returns its items.
    ///
    /// # Errors
    ///
    /// An [`Error`] when not all of the content could be read.
    pub async fn read(&self, job: &Handle) -> Result<Rc<Items>, Error> {
        self.read_after(job, "").await?;
        job.borrow().items.clone().ok_or(Error::Malformed)
    }

    async fn read_after(&self, job: &Handle, after: &str) -> Result<(), Error> {
        let id = job.borrow().id.clone();
        let kind = record::ContentName::kind(&id);
        let objects = self.store.list_after(&kind, after).await?.value;
        let mut parts: Vec<(u32, Bytes)> = Vec::new();
        for object in objects {
            let name = object.name.clone();
            let is_applied = match record::ContentName::decode(&name) {
                Some(record::ContentName::Items(number)) => {
                    let text = object.into_text();
                    text.map(|text| parts.push((number, text))).is_some()
                }
                Some(record::ContentName::Page(number)) => {
                    let page: Option<Page> = object.read();
                    // Applied to `job` itself, since the registry may have removed
                    // it in the meantime.
                    page.map(|page| job.borrow_mut().put_page(number, page))
                        .is_some()
                }
                Some(record::ContentName::Progress) => object
                    .read()
                    .map(|progress| self.put_texts(progress))
                    .is_some(),
                None => false,
            };
            if !is_applied {
                return Err(malformed(&id, &name));
            }
        }
        if !parts.is_empty() {
            parts.sort_by_key(|(number, _)| *number);
            let (mut items, mut pace) = (Items::default(), Pace::start());
            for (number, text) in parts {
                if items.append(text).is_err() {
                    return Err(malformed(&id, &record::ContentName::Items(number).encode()));
                }
                pace.pause_if_due().await;
            }
            job.borrow_mut().items = Some(Rc::new(items));
        }
        Ok(())
    }

    fn put_texts(&self, progress: Progress) {
        for (item, text) in progress.texts {
            self.registry.put_text(&item, text);
        }
    }

    /// Removes the content of the job `id` from the store, and returns the
    /// number of removed objects.
    ///
    /// # Errors
    ///
    /// An [`Error`] when some objects may still exist.
    pub async fn remove(&self, id: &str) -> Result<usize, Error> {
        let kind = record::ContentName::kind(id);
        let objects = self.store.list_after(&kind, "").await?.value;
        for object in &objects {
            self.store.remove(&kind, &object.name).await?;
        }
        Ok(objects.len())
    }
}

fn malformed(job: &str, name: &str) -> Error {
    spdlog::error!("cannot parse content of job in the store", kv: { job, name });
    Error::Malformed
}

/// Splits items into parts, each of which fits into one object. Only one part is decoded
/// at a time.
///
/// Two VMs may write the items of a job at once, so builds that run side by side must
/// split them at the same positions.
fn split_items(items: &Items) -> impl Iterator<Item = Result<Vec<Item>, Error>> {
    let mut decoded = (0..items.len())
        .map(|position| items.decode(position).map_err(|_| Error::Malformed))
        .peekable();
    let mut is_first = true;
    std::iter::from_fn(move || {
        // A job without items has one empty part, so that readers find its items.
        if !std::mem::take(&mut is_first) && decoded.peek().is_none() {
            return None;
        }
        let (mut part, mut bytes) = (Vec::new(), 0);
        let mut fits = |next: &Result<Item, Error>| {
            let Ok(item) = next else {
                return true;
            };
            let is_first = bytes == 0;
            bytes += item.encoded_bytes();
            is_first || bytes <= PART_BYTES_MAX
        };
        while let Some(next) = decoded.next_if(&mut fits) {
            match next {
                Ok(item) => part.push(item),
                Err(e) => return Some(Err(e)),
            }
        }
        Some(Ok(part))
    })
}
