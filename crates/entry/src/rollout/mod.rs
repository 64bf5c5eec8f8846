//! Production of lots.
//!
//! Every VM follows the steps that trainers declare. For each lot a few VMs
//! are candidates: the first produces it, the others guard it and take over
//! when it falls silent ([`owner`]). Producing means generating each sample
//! ([`sample`]), scoring it ([`score`]) and sealing the whole ([`seal`]).

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

/// What one VM knows of steps and lots.
#[derive(Default)]
pub(crate) struct State {
    /// Steps with lots that are not known as sealed.
    steps: RefCell<BTreeMap<step::Name, Rc<RefCell<OpenStep>>>>,
    /// Lots that this VM produces, with the flag that ends the work.
    producing: RefCell<Map<String, Rc<Cell<bool>>>>,
    /// Since when no claim could be read or written.
    claims_failing_since: Cell<Option<Time>>,
    /// How many lots are produced without a claim.
    unclaimed_count: Cell<usize>,
    /// Lots known as sealed.
    sealed: RefCell<read::Cache>,
    /// Whether a VM has a disk, by name.
    pub(crate) disks: RefCell<Map<String, bool>>,
    /// How often versions come, by model.
    version_rates: RefCell<Map<String, Interval>>,
    /// How long a sample usually takes, by model.
    sample_durations: RefCell<Map<String, Baseline>>,
    /// What may be spent on second attempts, by trainer.
    rerun_budgets: RefCell<Map<String, Budget>>,
}

/// A step with lots that are not known as sealed.
pub(crate) struct OpenStep {
    content: Option<Rc<Step>>,
    lots: BTreeMap<u64, Monitor>,
}

/// Starts the tasks of rollouts.
pub(crate) fn start(vm: &Rc<Vm>) {
    monoio::spawn(step::follow(vm.clone()));
    monoio::spawn(owner::run(vm.clone()));
    monoio::spawn(owner::prune_acknowledged(vm.clone()));
    monoio::spawn(crate::bulk::sweep(vm.clone()));
}

/// Returns where a lot stands on this VM.
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

/// Returns the VMs that are thought to live, this one included.
pub(crate) fn live_vms(vm: &Vm) -> Vec<member::Record> {
    let members = &vm.board.borrow().members;
    let others = members.live().map(|member| member.record.clone());
    others.chain([members.local.clone()]).collect()
}

/// Returns the number of the next lot that `trainer` has to acknowledge, or
/// `None` when it cannot be learned.
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
/// An [`Error`] when it cannot be learned.
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

/// Returns whether a lot of `trainer` is deleted for good. An object of the lot
/// that was read or written before this call stands only if it is not.
///
/// # Errors
///
/// An [`Error`] when it cannot be learned.
pub(crate) async fn is_deleted(vm: &Vm, trainer: &str, lot: u64) -> Result<bool, Error> {
    Ok(lot < floor(vm, trainer).await?)
}

/// Returns the newest version of `model` that this VM knows, 0 for none.
fn newest_version(vm: &Vm, model: &str) -> u64 {
    let board = vm.board.borrow();
    board.weights.get(model).copied().unwrap_or_default()
}
