//! What a job consists of: its items, its pages of samples and what its open
//! items have made, in a kind of its own in the store.

use std::rc::Rc;

use platform::{
    batch::Item,
    store::{Error, Object, Store, Written},
};

use super::{
    Registry, Shared,
    listing::first_of,
    record::{self, Items, Page, Progress},
};

/// How much of a job's items goes into one object, as encoded; the platform
/// allows 1 MB.
const PART_BYTES: usize = 500 * 1024;

/// Reads and writes what jobs consist of.
#[derive(Clone)]
pub struct Content {
    store: Store,
    registry: Registry,
}

impl Content {
    /// Returns what reads from `store` into `registry`.
    pub fn new(store: Store, registry: Registry) -> Self {
        Self { store, registry }
    }

    /// Writes the items of the job `id`. Items that stand there are the same,
    /// since they came under the same id.
    ///
    /// # Errors
    ///
    /// An [`Error`] when not all of them stand.
    pub async fn write_items(&self, id: &str, items: &[Item]) -> Result<(), Error> {
        let kind = record::Content::kind(id);
        for (number, part) in parts(items).into_iter().enumerate() {
            let name = record::Content::Items(number as u32).encode();
            match self.store.create(&kind, &name, &part).await? {
                Written::Done(_) | Written::Conflict(_) => {}
            }
        }
        Ok(())
    }

    /// Writes one page, and returns how that ended.
    ///
    /// # Errors
    ///
    /// An [`Error`] when it is not known to stand.
    pub async fn write_page(&self, id: &str, number: u32, page: &Page) -> Result<Written, Error> {
        let name = record::Content::Page(number).encode();
        let kind = record::Content::kind(id);
        self.store.create(&kind, &name, page).await
    }

    /// Writes what the open items of the job `id` have made.
    ///
    /// # Errors
    ///
    /// An [`Error`] when it is not known to stand.
    pub async fn write_progress(&self, id: &str, progress: &Progress) -> Result<(), Error> {
        let name = record::Content::Progress.encode();
        let kind = record::Content::kind(id);
        self.store.put(&kind, &name, progress).await
    }

    /// Reads the pages of `job` that this VM does not have.
    ///
    /// # Errors
    ///
    /// An [`Error`] when it does not have all of them now.
    pub async fn read_pages(&self, job: &Shared) -> Result<(), Error> {
        let pages = job.borrow().pages;
        let after = match pages.checked_sub(1) {
            Some(last) => record::Content::Page(last).encode(),
            None => record::BEFORE_PAGES.to_string(),
        };
        self.read_after(job, &after).await
    }

    /// Returns the items of `job`, which are read with all else unless this VM
    /// has them.
    ///
    /// # Errors
    ///
    /// An [`Error`] when they cannot be had.
    pub async fn items(&self, job: &Shared) -> Result<Rc<Items>, Error> {
        let known = job.borrow().items.clone();
        match known {
            Some(known) => Ok(known),
            None => self.read(job).await,
        }
    }

    /// Reads all of `job`, and returns its items.
    ///
    /// # Errors
    ///
    /// An [`Error`] when not all of it can be had.
    pub async fn read(&self, job: &Shared) -> Result<Rc<Items>, Error> {
        self.read_after(job, "").await?;
        job.borrow().items.clone().ok_or(Error::Malformed)
    }

    async fn read_after(&self, job: &Shared, after: &str) -> Result<(), Error> {
        let id = job.borrow().id.clone();
        let kind = record::Content::kind(&id);
        let objects = self.store.list_after(&kind, after).await?.value;
        let mut items: Vec<(u32, Items)> = Vec::new();
        for object in &objects {
            match self.take(job, object) {
                Some(None) => {}
                Some(Some(part)) => items.push(part),
                None => {
                    let name = object.name.as_str();
                    spdlog::error!("part of a job cannot be read", kv: { job = id, name });
                    return Err(Error::Malformed);
                }
            }
        }
        if !items.is_empty() {
            items.sort_by_key(|(number, _)| *number);
            let items = items.into_iter().flat_map(|(_, items)| items);
            job.borrow_mut().items = Some(Rc::new(items.collect()));
        }
        Ok(())
    }

    /// Takes one object; returns its items if it holds some, and `None` if it
    /// cannot be read.
    fn take(&self, job: &Shared, object: &Object) -> Option<Option<(u32, Items)>> {
        match record::Content::decode(&object.name)? {
            record::Content::Items(number) => Some(Some((number, object.read()?))),
            record::Content::Page(number) => {
                // Into the job itself: the registry may have forgotten it since.
                job.borrow_mut().put_page(number, object.read()?);
                Some(None)
            }
            record::Content::Progress => {
                let progress: Progress = object.read()?;
                for (item, text) in progress.texts {
                    self.registry.put_text(&item, text);
                }
                Some(None)
            }
        }
    }

    /// Removes all of the job `id`, and returns how many objects that were.
    ///
    /// # Errors
    ///
    /// An [`Error`] when some may still be there.
    pub async fn remove(&self, id: &str) -> Result<usize, Error> {
        let kind = record::Content::kind(id);
        let objects = self.store.list_after(&kind, "").await?.value;
        for object in &objects {
            self.store.remove(&kind, &object.name).await?;
        }
        Ok(objects.len())
    }
}

/// Splits items into parts that fit into an object each.
fn parts(items: &[Item]) -> Vec<&[Item]> {
    let (mut parts, mut rest) = (Vec::new(), items);
    // A job without items has one part, which says so.
    while parts.is_empty() || !rest.is_empty() {
        let part = first_of(rest, PART_BYTES, Item::encoded_bytes);
        rest = &rest[part.len()..];
        parts.push(part);
    }
    parts
}
