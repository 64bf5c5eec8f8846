//! Reading of sealed lots.
//!
//! A sealed lot never changes, so a copy from any VM can be served without
//! asking the platform, also during an outage of the platform.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use board::{
    hash::Map,
    key::Digest,
    lot::{Content, Manifest},
    retention::{LOT_KIND, PART_KIND},
};
use link::{Bytes, platform::Error};
use policy::claim;
use wire::message::{File, Progress};

use super::{owner, seal, step};
use crate::{bulk, vm::Vm};

/// Manifests and contents of sealed lots, evicted in the order of insertion.
#[derive(Default)]
pub(crate) struct Cache {
    manifests: Map<String, Rc<Manifest>>,
    contents: Map<String, Bytes>,
    manifest_order: VecDeque<String>,
    content_order: VecDeque<String>,
    content_bytes: usize,
}

const MANIFESTS_MAX: usize = 256;
const CONTENT_BYTES_MAX: usize = 48 * 1024 * 1024;

impl Cache {
    /// Returns the manifest of a lot.
    pub(crate) fn manifest(&self, name: &str) -> Option<Rc<Manifest>> {
        self.manifests.get(name).cloned()
    }

    fn content(&self, name: &str) -> Option<Bytes> {
        self.contents.get(name).cloned()
    }

    /// Inserts the manifest of a sealed lot.
    pub(crate) fn put(&mut self, name: &str, manifest: Manifest) {
        if self.manifests.contains_key(name) {
            return;
        }
        self.manifests.insert(name.to_string(), Rc::new(manifest));
        self.manifest_order.push_back(name.to_string());
        if self.manifest_order.len() > MANIFESTS_MAX
            && let Some(oldest) = self.manifest_order.pop_front()
        {
            self.manifests.remove(&oldest);
        }
    }

    /// Inserts the content of a sealed lot.
    pub(crate) fn put_content(&mut self, name: &str, content: Bytes) {
        self.content_bytes += content.len();
        match self.contents.insert(name.to_string(), content) {
            Some(known) => self.content_bytes -= known.len(),
            None => self.content_order.push_back(name.to_string()),
        }
        while self.content_bytes > CONTENT_BYTES_MAX {
            let Some(oldest) = self.content_order.pop_front() else {
                break;
            };
            let removed = self.contents.remove(&oldest);
            self.content_bytes -= removed.map_or(0, |content| content.len());
        }
    }
}

/// Polls for the manifest of a lot while a trainer waits for it.
#[derive(Default)]
pub(crate) struct Poller {
    rounds: u32,
}

/// Every round with a multiple of this number also reads the platform; the
/// others poll only the peers.
const ROUNDS_PER_READ: u32 = 25;

impl Poller {
    /// The time from one round to the next.
    pub(crate) const INTERVAL: Duration = Duration::from_millis(200);

    /// Looks up the manifest of a lot: in the cache, then on the candidates for
    /// the lot, and every [`ROUNDS_PER_READ`] rounds on the platform.
    ///
    /// # Errors
    ///
    /// An [`Error`] when the platform cannot be read.
    pub(crate) async fn poll(&mut self, vm: &Rc<Vm>, name: &str) -> Result<Status, Error> {
        if let Some(manifest) = vm.rollouts.sealed.borrow().manifest(name) {
            return Ok(Status::Sealed(manifest));
        }
        if let Some(manifest) = query_peers(vm, name).await {
            return Ok(Status::Sealed(manifest));
        }
        let is_read_due = self.rounds.is_multiple_of(ROUNDS_PER_READ);
        self.rounds += 1;
        if !is_read_due {
            return Ok(Status::Open);
        }
        status(vm, name).await
    }
}

/// The status of a lot.
#[derive(Debug, PartialEq)]
pub(crate) enum Status {
    /// It is not known to be sealed.
    Open,
    /// It is sealed.
    Sealed(Rc<Manifest>),
    /// It was acknowledged and is permanently deleted.
    Deleted,
}

/// Reads the status of a lot from the platform, and records it on this VM.
///
/// # Errors
///
/// An [`Error`] when the platform cannot be read.
pub(crate) async fn status(vm: &Vm, name: &str) -> Result<Status, Error> {
    let found = match vm.platform.read::<Manifest>(LOT_KIND, name).await {
        Ok((_, manifest)) => Some(manifest),
        Err(Error::Absent) => None,
        Err(e) => return Err(e),
    };
    // The floor is read after the manifest, because a manifest that a suspended
    // process wrote after the deletion of its lot is not valid.
    if let Some(lot) = step::Name::parse(name)
        && super::is_deleted(vm, &lot.trainer, lot.number).await?
    {
        owner::record_deleted(vm, name);
        return Ok(Status::Deleted);
    }
    let Some(manifest) = found else {
        return Ok(Status::Open);
    };
    owner::record_sealed(vm, name, manifest.clone());
    Ok(Status::Sealed(Rc::new(manifest)))
}

async fn query_peers(vm: &Rc<Vm>, name: &str) -> Option<Rc<Manifest>> {
    let vms = super::live_vms(vm);
    let candidates = claim::candidates(vms.iter().map(|vm| vm.vm.as_str()), name);
    for id in candidates.into_iter().filter(|id| *id != vm.settings.vm) {
        let other = vms.iter().find(|vm| vm.vm == id)?;
        match owner::fetch_progress(other.address, name).await {
            Some(Progress::Sealed(manifest)) => {
                owner::record_sealed(vm, name, manifest);
                return vm.rollouts.sealed.borrow().manifest(name);
            }
            // The VM that produces the lot would know if it were sealed, so
            // the remaining candidates are not queried.
            Some(Progress::Producing) => return None,
            Some(Progress::Idle) | None => {}
        }
    }
    None
}

/// Returns the content of a sealed lot.
///
/// # Errors
///
/// [`Error::Unavailable`] when no complete copy can be read now.
pub(crate) async fn content(vm: &Rc<Vm>, name: &str, manifest: &Manifest) -> Result<Bytes, Error> {
    if let Some(content) = vm.rollouts.sealed.borrow().content(name) {
        return Ok(content);
    }
    let content = match &manifest.content {
        Content::Inline(content) => Bytes::from(content.clone()),
        Content::Objects(parts) => read_parts(vm, manifest, parts).await?,
        Content::Disks(holders) => {
            let file = File {
                trainer: manifest.trainer.clone(),
                lot: manifest.number,
                digest: manifest.digest,
            };
            let found = bulk::fetch(vm, &file, manifest.bytes, holders).await;
            found.ok_or_else(|| {
                Error::Unavailable("no disk holds a complete copy of the lot".to_string())
            })?
        }
    };
    if Digest::of_bytes(&content) != manifest.digest {
        return Err(Error::Unavailable(
            "the content of the lot does not match its digest".to_string(),
        ));
    }
    let mut sealed = vm.rollouts.sealed.borrow_mut();
    sealed.put_content(name, content.clone());
    Ok(content)
}

async fn read_parts(vm: &Rc<Vm>, manifest: &Manifest, parts: &[Digest]) -> Result<Bytes, Error> {
    let mut content = Vec::new();
    for part in parts {
        let name = seal::part_name(manifest, part);
        let object = vm.platform.get(PART_KIND, &name).await?;
        content.extend_from_slice(&object.value);
    }
    Ok(content.into())
}
