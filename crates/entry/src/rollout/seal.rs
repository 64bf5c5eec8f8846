//! Sealing of lots: the content is stored first, then the manifest is created
//! if absent, so that the first manifest written determines the lot.

use std::rc::Rc;

use board::{
    key::Digest,
    lot::{Content, Entry, Lot, Manifest},
    retention::{LOT_KIND, PART_KIND},
    weights::{self, Weights},
};
use link::platform::Error;
use wire::message::File;

use crate::{bulk, vm::Vm};

/// The largest object that is written, with headroom for the platform's own
/// overhead.
const OBJECT_BYTES_MAX: usize = 900 * 1024;

/// Reads the newest version of `model` from the platform.
///
/// # Errors
///
/// An [`Error`] when the platform cannot be read.
pub(crate) async fn read_newest_version(vm: &Vm, model: &str) -> Result<u64, Error> {
    match vm.platform.read::<Weights>(weights::KIND, model).await {
        Ok((_, weights)) => {
            vm.board.borrow_mut().record_weights(model, weights.version);
            Ok(weights.version)
        }
        Err(Error::Absent) => Ok(0),
        Err(e) => Err(e),
    }
}

/// Seals `lot` under `name`, and returns the manifest in force, which another
/// VM may have written, or `None` when the lot was sealed before and is
/// deleted.
///
/// # Errors
///
/// An [`Error`] when the outcome is unknown; the call may be repeated.
pub(crate) async fn write(
    vm: &Rc<Vm>,
    name: &str,
    lot: &Lot,
    newest_version: u64,
) -> Result<Option<Manifest>, Error> {
    let content = serde_json::to_string(lot).map_err(|e| Error::Rejected {
        status: 0,
        detail: e.to_string(),
    })?;
    let digest = Digest::of(&content);
    let entry = |sample: &board::lot::Sample| Entry {
        id: sample.id.clone(),
        spans: sample.spans.clone(),
    };
    let mut manifest = Manifest {
        trainer: lot.trainer.clone(),
        number: lot.number,
        step: lot.step,
        newest_version,
        samples: lot.samples.iter().map(entry).collect(),
        digest,
        bytes: content.len() as u64,
        content: Content::Objects(Vec::new()),
    };
    manifest.content = store_content(vm, &manifest, &content).await?;
    let value = serde_json::to_vec(&manifest).unwrap_or_default();
    let object = vm.platform.create(LOT_KIND, name, value).await?;
    let stored: Manifest = object.json()?;
    // A process that was suspended while another VM sealed the lot may write
    // the manifest again after the lot's deletion, so the floor is read after
    // the write.
    if super::is_deleted(vm, &lot.trainer, lot.number).await? {
        // If this fails, the next round of deletion removes the object.
        let _ = vm.platform.delete(LOT_KIND, name, object.version).await;
        vm.metrics.record_lot("sealed-deleted");
        return Ok(None);
    }
    let is_own = stored.digest == digest;
    vm.metrics
        .record_lot(if is_own { "sealed" } else { "sealed-elsewhere" });
    spdlog::info!("lot sealed", kv: { lot = name, mine = is_own });
    vm.rollouts.sealed.borrow_mut().put(name, stored.clone());
    if is_own {
        let mut sealed = vm.rollouts.sealed.borrow_mut();
        sealed.put_content(name, content.into());
    }
    Ok(Some(stored))
}

/// Stores the content where it costs the fewest calls: a small content in the
/// manifest, a large one on two disks or, without disks, in several objects.
async fn store_content(vm: &Rc<Vm>, manifest: &Manifest, content: &str) -> Result<Content, Error> {
    let entries = serde_json::to_vec(&manifest.samples).unwrap_or_default();
    // Each quote is escaped, so it takes two bytes in the JSON string.
    let escaped = content.len() + content.bytes().filter(|byte| *byte == b'"').count();
    if entries.len() + escaped < OBJECT_BYTES_MAX {
        return Ok(Content::Inline(content.to_string()));
    }
    let file = File {
        trainer: manifest.trainer.clone(),
        lot: manifest.number,
        digest: manifest.digest,
    };
    if let Some(holders) = bulk::replicate(vm, &file, content.as_bytes()).await {
        return Ok(Content::Disks(holders));
    }
    let mut parts = Vec::new();
    for part in content.as_bytes().chunks(OBJECT_BYTES_MAX) {
        let digest = Digest::of_bytes(part);
        let name = part_name(manifest, &digest);
        vm.platform.create(PART_KIND, &name, part.to_vec()).await?;
        parts.push(digest);
    }
    Ok(Content::Objects(parts))
}

/// Returns the name of the object that holds a part of a lot's content. It
/// starts with the lot's name, so that no two lots share a part, and parts that
/// no manifest refers to can be found.
pub(crate) fn part_name(manifest: &Manifest, part: &Digest) -> String {
    format!("{}.{}.{part}", manifest.trainer, manifest.number)
}
