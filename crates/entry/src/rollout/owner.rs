//! Which lots this VM produces, monitors and takes over.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use board::{
    config::Trainer,
    lot::{Claim, Manifest},
    member,
    retention::CLAIM_KIND,
};
use link::{
    peer,
    platform::{Condition, Error},
};
use policy::claim::{self, Action, Monitor, OWNER_TIMEOUT, Outage};
use wire::{Request, Response, message::Progress};

use super::{
    OpenStep, produce,
    read::{self, Status},
    step,
};
use crate::vm::Vm;

const TICK_INTERVAL: Duration = Duration::from_millis(500);
const PRUNE_INTERVAL: Duration = Duration::from_secs(300);
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// A lot that is not known to be sealed.
#[derive(Clone)]
struct Lot {
    step: step::Name,
    open: Rc<RefCell<OpenStep>>,
    number: u64,
    trainer: Trainer,
}

impl Lot {
    fn name(&self) -> String {
        format!("{}.{}", self.step.trainer, self.number)
    }

    fn guard(&self) -> Option<Monitor> {
        self.open.borrow().lots.get(&self.number).copied()
    }

    /// Records that another VM works on the lot.
    fn record_activity(&self, vm: &Vm) {
        if let Some(guard) = self.open.borrow_mut().lots.get_mut(&self.number) {
            guard.record_producer(vm.now());
        }
    }
}

/// Checks at intervals what this VM has to do for each open lot; never returns.
pub(crate) async fn run(vm: Rc<Vm>) {
    let busy = Rc::new(RefCell::new(board::hash::Set::default()));
    let mut last_tick = vm.now();
    loop {
        monoio::time::sleep(TICK_INTERVAL).await;
        let now = vm.now();
        if now - last_tick > OWNER_TIMEOUT {
            // This process was suspended: other VMs may have taken over its
            // lots.
            recheck_producing(&vm).await;
            drop_acknowledged(&vm).await;
        }
        last_tick = vm.now();
        if vm.rollouts.steps.borrow().is_empty() || vm.is_draining.get() {
            continue;
        }
        let vms = super::live_vms(&vm);
        for lot in open_lots(&vm) {
            start_due_task(&vm, &vms, lot, &busy);
        }
    }
}

fn open_lots(vm: &Vm) -> Vec<Lot> {
    let steps = vm.rollouts.steps.borrow();
    let board = vm.board.borrow();
    let mut lots = Vec::new();
    for (name, open) in steps.iter() {
        let Some(trainer) = board.config.trainers.get(&name.trainer) else {
            continue;
        };
        let mut state = open.borrow_mut();
        if state.lots.is_empty() {
            let guards = name.lots(trainer).map(|lot| (lot, Monitor::new(vm.now())));
            state.lots = guards.collect();
        }
        lots.extend(state.lots.keys().map(|number| Lot {
            step: name.clone(),
            open: open.clone(),
            number: *number,
            trainer: trainer.clone(),
        }));
    }
    lots
}

/// Drops lots that their trainer has acknowledged, at intervals; never returns.
/// It is needed because a VM that is not a candidate is not told that a lot was
/// sealed.
pub(crate) async fn prune_acknowledged(vm: Rc<Vm>) {
    loop {
        monoio::time::sleep(PRUNE_INTERVAL).await;
        drop_acknowledged(&vm).await;
    }
}

async fn drop_acknowledged(vm: &Vm) {
    let steps: Vec<_> = vm.rollouts.steps.borrow().keys().cloned().collect();
    let trainers: std::collections::BTreeSet<_> =
        steps.into_iter().map(|step| step.trainer).collect();
    for trainer in trainers {
        if let Some(next) = super::next_unacknowledged(vm, &trainer).await {
            drop_before(vm, &trainer, next);
        }
    }
}

fn drop_before(vm: &Vm, trainer: &str, next: u64) {
    vm.rollouts.steps.borrow_mut().retain(|name, open| {
        if name.trainer != trainer {
            return true;
        }
        let mut open = open.borrow_mut();
        let had_lots = !open.lots.is_empty();
        open.lots.retain(|lot, _| *lot >= next);
        !(had_lots && open.lots.is_empty())
    });
}

/// Starts the task that is due for `lot` on this VM, if there is one.
fn start_due_task(
    vm: &Rc<Vm>,
    vms: &[member::Record],
    lot: Lot,
    busy: &Rc<RefCell<board::hash::Set<String>>>,
) {
    let name = lot.name();
    if vm.rollouts.producing.borrow().contains_key(&name) {
        return;
    }
    let candidates = claim::candidates(vms.iter().map(|vm| vm.vm.as_str()), &name);
    let rank = candidates.iter().position(|id| *id == vm.settings.vm);
    let Some(guard) = lot.guard() else {
        return;
    };
    let duty = guard.action(rank, vm.now());
    if duty == Action::Nothing || !busy.borrow_mut().insert(name.clone()) {
        return;
    }
    let others = candidates.into_iter().filter(|id| *id != vm.settings.vm);
    let others: Vec<_> = others.filter_map(|id| address(vms, id)).collect();
    let (vm, vms, busy) = (vm.clone(), vms.to_vec(), busy.clone());
    monoio::spawn(async move {
        match duty {
            Action::Produce => claim_and_produce(&vm, &vms, &lot, &others).await,
            _ => {
                ask_candidates(&vm, &lot, &others).await;
            }
        }
        busy.borrow_mut().remove(&name);
    });
}

fn address(vms: &[member::Record], id: &str) -> Option<SocketAddr> {
    vms.iter().find(|vm| vm.vm == id).map(|vm| vm.address)
}

/// Asks the other candidates in turn, and returns whether one of them produces
/// the lot or knows that it is sealed.
async fn ask_candidates(vm: &Rc<Vm>, lot: &Lot, others: &[SocketAddr]) -> bool {
    for other in others {
        match ask(*other, &lot.name()).await {
            Some(Progress::Producing) => lot.record_activity(vm),
            Some(Progress::Sealed(manifest)) => record_sealed(vm, &lot.name(), manifest),
            Some(Progress::Idle) | None => continue,
        }
        return true;
    }
    false
}

/// Asks a VM for its progress on a lot; `None` when it does not answer.
pub(crate) async fn ask(other: SocketAddr, lot: &str) -> Option<Progress> {
    match peer::request(other, &Request::Lot(lot.to_string()), ASK_TIMEOUT).await {
        Ok(Response::Lot(progress)) => Some(progress),
        _ => None,
    }
}

/// Records that a lot is sealed, and ends its production on this VM.
pub(crate) fn record_sealed(vm: &Vm, name: &str, manifest: Manifest) {
    let state = &vm.rollouts;
    if let Some(is_ended) = state.producing.borrow_mut().remove(name) {
        is_ended.set(true);
    }
    let step = step::Name {
        trainer: manifest.trainer.clone(),
        number: manifest.step,
    };
    let mut steps = state.steps.borrow_mut();
    if let Some(open) = steps.get(&step).cloned() {
        open.borrow_mut().lots.remove(&manifest.number);
        if open.borrow().lots.is_empty() {
            steps.remove(&step);
        }
    }
    state.sealed.borrow_mut().put(name, manifest);
}

/// Records that a lot is deleted, and ends its production on this VM.
pub(crate) fn record_deleted(vm: &Vm, name: &str) {
    if let Some(is_ended) = vm.rollouts.producing.borrow_mut().remove(name) {
        is_ended.set(true);
    }
    if let Some(lot) = step::Name::parse(name) {
        // Lots are acknowledged in order, so all earlier ones are deleted too.
        drop_before(vm, &lot.trainer, lot.number + 1);
    }
}

/// Claims `lot` unless another VM produces it, and starts to produce it. During
/// an outage of the platform it may be produced without a claim.
async fn claim_and_produce(vm: &Rc<Vm>, vms: &[member::Record], lot: &Lot, others: &[SocketAddr]) {
    let claimed = claim_lot(vm, vms, lot).await;
    let state = &vm.rollouts;
    if claimed.is_ok() {
        state.claims_failing_since.set(None);
    }
    match claimed {
        Ok(Some(ownership)) => start(vm, lot, ownership),
        Ok(None) => {}
        Err(_) => {
            let since = state.claims_failing_since.get().unwrap_or(vm.now());
            state.claims_failing_since.set(Some(since));
            let outage = Outage {
                duration: vm.now() - since,
                has_producer: ask_candidates(vm, lot, others).await,
                unclaimed: state.unclaimed_count.get(),
            };
            // Otherwise the claim is retried at the next tick.
            if claim::may_produce_unclaimed(outage) {
                start(vm, lot, Ownership::Unclaimed);
            }
        }
    }
}

/// How this VM came to produce a lot.
#[derive(Clone, Copy, PartialEq)]
enum Ownership {
    /// It is the first VM to claim the lot.
    First,
    /// It claimed the lot after another VM had.
    TakenOver,
    /// It has no claim, because the platform is unavailable; no other candidate
    /// is known to produce the lot.
    Unclaimed,
}

/// Writes a claim for this VM; `None` when the lot needs no production here, or
/// when another VM may own it.
async fn claim_lot(
    vm: &Rc<Vm>,
    vms: &[member::Record],
    lot: &Lot,
) -> Result<Option<Ownership>, Error> {
    let name = lot.name();
    let me = vm.settings.vm.as_str();
    let found = match vm.platform.read::<Claim>(CLAIM_KIND, &name).await {
        Ok(found) => Some(found),
        Err(Error::Absent) => None,
        Err(e) => return Err(e),
    };
    // An absent claim may mean that the lot is deleted: claims are deleted with
    // their lots.
    if found.is_none() && super::is_deleted(vm, &lot.step.trainer, lot.number).await? {
        record_deleted(vm, &name);
        return Ok(None);
    }
    if let Some((_, claim)) = &found {
        if is_sealed_or_deleted(vm, &name).await? {
            return Ok(None);
        }
        if claim.owner != me && is_owner_alive(vm, vms, lot, claim).await {
            return Ok(None);
        }
    }
    let when = match &found {
        Some((version, _)) => Condition::At(*version),
        None => Condition::Absent,
    };
    let claim = claim::next_claim(found.as_ref().map(|(_, claim)| claim), me);
    match vm.platform.write(CLAIM_KIND, &name, when, &claim).await {
        Ok(_) => {
            let (lot, epoch) = (name.as_str(), claim.epoch);
            if epoch > 1 {
                vm.metrics.record_lot("taken-over");
                spdlog::info!("took over the production of a lot", kv: { lot, epoch });
                return Ok(Some(Ownership::TakenOver));
            }
            Ok(Some(Ownership::First))
        }
        // Another VM wrote first, or the reply was lost: the next tick reads
        // the claim again.
        Err(Error::Conflict(_) | Error::Unknown(_)) => Ok(None),
        Err(e) => Err(e),
    }
}

async fn is_sealed_or_deleted(vm: &Vm, name: &str) -> Result<bool, Error> {
    Ok(read::status(vm, name).await? != Status::Open)
}

/// Returns whether the owner of a claim still works on the lot, or was last
/// seen too recently to be considered lost.
async fn is_owner_alive(vm: &Rc<Vm>, vms: &[member::Record], lot: &Lot, claim: &Claim) -> bool {
    let answer = match address(vms, &claim.owner) {
        Some(owner) => ask(owner, &lot.name()).await,
        // A VM that is not among the live ones counts as not answering.
        None => None,
    };
    match answer {
        Some(Progress::Producing) => {
            lot.record_activity(vm);
            true
        }
        Some(Progress::Sealed(manifest)) => {
            record_sealed(vm, &lot.name(), manifest);
            true
        }
        Some(Progress::Idle) => false,
        None => lot
            .guard()
            .is_some_and(|guard| guard.is_within_timeout(vm.now())),
    }
}

fn start(vm: &Rc<Vm>, lot: &Lot, ownership: Ownership) {
    let name = lot.name();
    let is_ended = Rc::new(Cell::new(false));
    let mut producing = vm.rollouts.producing.borrow_mut();
    if producing.insert(name.clone(), is_ended.clone()).is_some() {
        return;
    }
    drop(producing);
    let unclaimed = usize::from(ownership == Ownership::Unclaimed);
    vm.rollouts
        .unclaimed_count
        .update(|count| count + unclaimed);
    if ownership == Ownership::Unclaimed {
        vm.metrics.record_lot("unclaimed");
    }
    let (vm, lot) = (vm.clone(), lot.clone());
    monoio::spawn(async move {
        let job = produce::Job {
            step: lot.step.clone(),
            number: lot.number,
            trainer: lot.trainer.clone(),
            is_first: ownership == Ownership::First,
            is_ended: is_ended.clone(),
        };
        produce::run(&vm, job, &lot.open).await;
        vm.rollouts
            .unclaimed_count
            .update(|count| count - unclaimed);
        let mut producing = vm.rollouts.producing.borrow_mut();
        if producing
            .get(&name)
            .is_some_and(|flag| Rc::ptr_eq(flag, &is_ended))
        {
            producing.remove(&name);
        }
    });
}

/// Ends the production of lots that were sealed while this process was
/// suspended.
async fn recheck_producing(vm: &Vm) {
    let names: Vec<_> = vm.rollouts.producing.borrow().keys().cloned().collect();
    for name in names {
        // If the status cannot be read, sealing decides: the first manifest
        // that is written wins.
        let _ = is_sealed_or_deleted(vm, &name).await;
    }
}
