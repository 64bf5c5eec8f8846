//! Reading of sealed lots.
//!
//! A sealed lot never changes, so whatever is known of it, from whichever
//! VM, can be served at once, also in an outage of the platform.

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

/// Manifests and contents that this VM knows, the oldest forgotten first.
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

    /// Keeps the manifest of a sealed lot.
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

    /// Keeps the content of a sealed lot.
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

/// Where a wait for a lot stands.
#[derive(Default)]
pub(crate) struct Poller {
    rounds: u32,
}

/// Rounds of asking peers between two reads of the platform.
const ROUNDS_PER_READ: u32 = 25;

impl Poller {
    /// Time from one round to the next.
    pub(crate) const INTERVAL: Duration = Duration::from_millis(200);

    /// Looks once for the manifest of a lot: here, then with the VMs that care
    /// for it, and now and then with the platform.
    ///
    /// # Errors
    ///
    /// An [`Error`] when the platform cannot tell.
    pub(crate) async fn poll(&mut self, vm: &Rc<Vm>, name: &str) -> Result<Status, Error> {
        if let Some(manifest) = vm.rollouts.sealed.borrow().manifest(name) {
            return Ok(Status::Sealed(manifest));
        }
        if let Some(manifest) = ask_peers(vm, name).await {
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

/// Where a lot stands.
#[derive(Debug, PartialEq)]
pub(crate) enum Status {
    /// It is not known as sealed.
    Open,
    /// It is sealed.
    Sealed(Rc<Manifest>),
    /// It was acknowledged and is deleted for good.
    Deleted,
}

/// Returns where a lot stands by what the platform holds, and notes it.
///
/// # Errors
///
/// An [`Error`] when it cannot be learned.
pub(crate) async fn status(vm: &Vm, name: &str) -> Result<Status, Error> {
    let found = match vm.platform.read::<Manifest>(LOT_KIND, name).await {
        Ok((_, manifest)) => Some(manifest),
        Err(Error::Absent) => None,
        Err(e) => return Err(e),
    };
    // The floor is read after the manifest: one that was written anew below
    // the floor is no manifest of this lot.
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

async fn ask_peers(vm: &Rc<Vm>, name: &str) -> Option<Rc<Manifest>> {
    let vms = super::live_vms(vm);
    let order = claim::candidates(vms.iter().map(|vm| vm.vm.as_str()), name);
    for id in order.into_iter().filter(|id| *id != vm.settings.vm) {
        let other = vms.iter().find(|vm| vm.vm == id)?;
        match owner::ask(other.address, name).await {
            Some(Progress::Sealed(manifest)) => {
                owner::record_sealed(vm, name, manifest);
                return vm.rollouts.sealed.borrow().manifest(name);
            }
            // The owner knows best: the others need not be asked.
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
/// [`Error::Unavailable`] when no whole copy can be read now.
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
            found.ok_or_else(|| Error::Unavailable("no disk with a whole copy".to_string()))?
        }
    };
    if Digest::of_bytes(&content) != manifest.digest {
        return Err(Error::Unavailable("the content is damaged".to_string()));
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
