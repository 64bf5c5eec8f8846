//! Lots that are complete but cannot be sealed because the platform is
//! unavailable. Their content is stored on two disks, so that a VM that takes
//! over can seal it without producing it again.

use std::rc::Rc;

use board::{
    key::Digest,
    lot::{Id, Lot, Sample},
};
use wire::message::File;

use super::produce::Job;
use crate::{bulk, vm::Vm};

/// Stores the content of a complete lot on two disks. If that fails, the lot
/// exists in the memory of this process only.
pub(crate) async fn store(vm: &Rc<Vm>, lot: &Lot) {
    let Ok(content) = serde_json::to_vec(lot) else {
        return;
    };
    let file = File {
        trainer: lot.trainer.clone(),
        lot: lot.number,
        digest: Digest::of_bytes(&content),
    };
    let holders = bulk::replicate(vm, &file, &content).await;
    vm.metrics.record_lot(if holders.is_some() {
        "kept"
    } else {
        "not-kept"
    });
}

/// Returns the samples of a lot that its previous owner stored on disks, in the
/// order of `ids`.
pub(crate) async fn load(vm: &Rc<Vm>, job: &Job, ids: &[Id]) -> Option<Vec<Sample>> {
    let content = bulk::find_content(vm, &job.step.trainer, job.number).await?;
    let lot: Lot = serde_json::from_slice(&content).ok()?;
    let is_lot = lot.trainer == job.step.trainer && lot.number == job.number;
    let is_complete = lot.samples.iter().map(|sample| &sample.id).eq(ids);
    if !is_lot || !is_complete {
        return None;
    }
    vm.metrics.record_lot("adopted");
    Some(lot.samples)
}
