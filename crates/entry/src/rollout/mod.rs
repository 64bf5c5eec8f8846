//! Production of lots.
//!
//! Every VM watches the steps that trainers declare. Rendezvous hashing selects
//! a few candidate VMs for each lot: the first one produces the lot, the others
//! monitor it and take over when it stops responding ([`owner`]). To produce a
//! lot, a VM generates each sample ([`sample`]), scores it ([`score`]) and
//! seals the complete lot ([`seal`]).

pub(crate) mod attempt;
pub(crate) mod owner;
pub(crate) mod produce;
pub(crate) mod read;
pub(crate) mod sample;
pub(crate) mod score;
pub(crate) mod seal;
pub(crate) mod spool;
pub(crate) mod step;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use board::{
    Time,
    hash::Map,
    lot::{Cursor, Manifest, Step},
    member,
    retention::{self, Retention},
};
use link::platform::Error;
use policy::{
    claim::Monitor,
    staleness::Interval,
    straggler::{Baseline, Budget},
};
use wire::message::Progress;

use crate::vm::Vm;

/// The state of rollouts on one VM.
#[derive(Default)]
pub(crate) struct State {
    /// Steps with lots that are not known to be sealed.
    steps: RefCell<BTreeMap<step::Name, Rc<RefCell<OpenStep>>>>,
    /// Lots that this VM produces, each with the flag that ends its production.
    producing: RefCell<Map<String, Rc<Cell<bool>>>>,
    /// The time since which every attempt to read or write a claim has failed.
    claims_failing_since: Cell<Option<Time>>,
    /// The number of lots that this VM produces without a claim.
    unclaimed_count: Cell<usize>,
    /// Manifests and contents of sealed lots.
    sealed: RefCell<read::Cache>,
    /// Whether a VM has a disk for bulk data, by the VM's name.
    pub(crate) disks: RefCell<Map<String, bool>>,
    /// The interval between new versions of the weights, by model.
    version_intervals: RefCell<Map<String, Interval>>,
    /// Statistics of how long samples take, by model.
    sample_durations: RefCell<Map<String, Baseline>>,
    /// The budget for second attempts at samples, by trainer.
    rerun_budgets: RefCell<Map<String, Budget>>,
}

/// A step with lots that are not known to be sealed.
pub(crate) struct OpenStep {
    /// The prompts of the step, once they have been read.
    content: Option<Rc<Step>>,
    /// The open lots by number.
    lots: BTreeMap<u64, Monitor>,
}

/// Starts the background tasks of rollouts.
pub(crate) fn start(vm: &Rc<Vm>) {
    monoio::spawn(step::follow(vm.clone()));
    monoio::spawn(owner::run(vm.clone()));
    monoio::spawn(owner::prune_acknowledged(vm.clone()));
    monoio::spawn(crate::bulk::sweep(vm.clone()));
}

/// Returns the progress of a lot on this VM.
pub(crate) fn progress(vm: &Vm, lot: &str) -> Progress {
    let state = &vm.rollouts;
    if let Some(manifest) = state.sealed.borrow().manifest(lot) {
        return Progress::Sealed(Manifest::clone(&manifest));
    }
    match state.producing.borrow().contains_key(lot) {
        true => Progress::Producing,
        false => Progress::Idle,
    }
}

/// Returns the VMs that are believed to be live, including this one.
pub(crate) fn live_vms(vm: &Vm) -> Vec<member::Record> {
    let members = &vm.board.borrow().members;
    let others = members.live().map(|member| member.record.clone());
    others.chain([members.local.clone()]).collect()
}

/// Returns the number of the next lot that `trainer` has to acknowledge, or
/// `None` when the platform cannot be read.
pub(crate) async fn next_unacknowledged(vm: &Vm, trainer: &str) -> Option<u64> {
    match vm.platform.read::<Cursor>(Cursor::KIND, trainer).await {
        Ok((_, cursor)) => Some(cursor.acknowledged + 1),
        Err(Error::Absent) => Some(0),
        Err(_) => None,
    }
}

/// Returns the number of the first lot of `trainer` that is not deleted.
///
/// # Errors
///
/// An [`Error`] when the platform cannot be read.
pub(crate) async fn floor(vm: &Vm, trainer: &str) -> Result<u64, Error> {
    let found = vm
        .platform
        .read::<Retention>(retention::KIND, trainer)
        .await;
    match found {
        Ok((_, retained)) => Ok(retained.floor),
        Err(Error::Absent) => Ok(0),
        Err(e) => Err(e),
    }
}

/// Returns whether a lot of `trainer` is permanently deleted. If so, an object
/// of the lot that was read or written before this call is not valid.
///
/// # Errors
///
/// An [`Error`] when the platform cannot be read.
pub(crate) async fn is_deleted(vm: &Vm, trainer: &str, lot: u64) -> Result<bool, Error> {
    Ok(lot < floor(vm, trainer).await?)
}

/// Returns the newest version of `model` that this VM knows, or 0 if none.
fn newest_version(vm: &Vm, model: &str) -> u64 {
    let board = vm.board.borrow();
    board.weights.get(model).copied().unwrap_or_default()
}
