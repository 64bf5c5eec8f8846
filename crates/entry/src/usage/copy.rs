//! Copies of usage records on another VM.

use std::{mem, net::SocketAddr, rc::Rc, time::Duration};

use board::{
    hash::Set,
    usage::{Origin, Record},
};
use local_sync::oneshot;
use policy::usage;
use wire::{Answer, Ask, message::Held};

use crate::vm::Vm;

/// A record on its way to a holder.
pub(crate) struct Waiting {
    record: Record,
    /// Whether a VM has held it before.
    was_held: bool,
    /// Whether another VM may have it, even if that gave no answer.
    was_sent: bool,
    done: Option<oneshot::Sender<bool>>,
}

impl Waiting {
    fn new(record: Record) -> Self {
        Self {
            record,
            was_held: false,
            was_sent: false,
            done: None,
        }
    }

    /// Lets the caller go on without a holder.
    fn release(&mut self) {
        if let Some(done) = self.done.take() {
            // A caller that left does not wait.
            let _ = done.send(false);
        }
    }
}

/// How long one holder may take to answer.
const HOLD_TIME: Duration = Duration::from_millis(300);

/// How long a VM that did not answer is passed over.
const ABSENT_TIME: Duration = Duration::from_secs(5);

/// How many VMs are asked before records wait for the next turn.
const HOLDERS_MAX: usize = 3;

/// Records in one message, which keeps it well below the largest frame.
const BATCH_MAX: usize = 4096;

/// How often a holder is asked when nothing is to be held, so that its loss is
/// noticed.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// How long a process may be silent before its copies are passed on.
const SILENT_TIME: Duration = Duration::from_secs(5);

/// Sends what could not be sent before, and notices a holder that is lost, for
/// ever.
pub(crate) async fn keep(vm: Rc<Vm>) {
    loop {
        monoio::time::sleep(PROBE_TIME).await;
        vm.metrics.usage_open(open_len(&vm));
        pass_on(&vm).await;
        if vm.usage.is_sending.get() {
            continue;
        }
        if vm.usage.queue.borrow().is_empty() {
            send(&vm, Vec::new()).await;
        }
        start(&vm);
    }
}

/// Has another VM hold the copies of processes that went silent, so that they
/// do not hang on this VM alone.
async fn pass_on(vm: &Rc<Vm>) {
    for (origin, records) in silent(vm) {
        let ask = Ask::Inherit(origin.clone(), records);
        for (name, address) in candidates(vm) {
            if name == origin.vm {
                continue;
            }
            if vm.usage.links.ask(address, &ask, HOLD_TIME).await.is_ok() {
                vm.usage.heard.borrow_mut().remove(&origin);
                break;
            }
        }
    }
}

/// Returns what is held for processes that went silent and was not passed on.
fn silent(vm: &Vm) -> Vec<(Origin, Vec<Record>)> {
    let now = vm.now();
    let heard = vm.usage.heard.borrow();
    let is_silent = |origin: &Origin| heard.get(origin).is_some_and(|at| now - *at > SILENT_TIME);
    let board = vm.board.borrow();
    let origins = board.usage.copied().filter(|origin| is_silent(origin));
    origins
        .map(|origin| (origin.clone(), board.usage.all_copies(origin)))
        .collect()
}

/// Waits up to `limit` until every record is held by another VM, as before a
/// shutdown.
pub(crate) async fn flush(vm: &Rc<Vm>, limit: Duration) {
    start(vm);
    let wait = async {
        while vm.usage.is_sending.get() {
            monoio::time::sleep(HOLD_TIME / 10).await;
        }
    };
    let _ = monoio::time::timeout(limit, wait).await;
}

/// Sends a new record to a holder; `done` is told whether it is held.
///
/// While no VM takes records, the caller is told so at once and the record
/// waits for the next turn of [`keep`]: to try with each request would cost
/// the more the longer this VM is alone.
pub(crate) fn push(vm: &Rc<Vm>, record: Record, done: Option<oneshot::Sender<bool>>) {
    let mut waiting = Waiting {
        done,
        ..Waiting::new(record)
    };
    if vm.usage.is_alone.get() {
        waiting.release();
    }
    vm.usage.queue.borrow_mut().push(waiting);
    if !vm.usage.is_alone.get() {
        start(vm);
    }
}

/// Starts the task that empties the queue, unless it runs.
fn start(vm: &Rc<Vm>) {
    if vm.usage.queue.borrow().is_empty() || vm.usage.is_sending.replace(true) {
        return;
    }
    let vm = vm.clone();
    monoio::spawn(async move {
        let mut is_going = true;
        while is_going && !vm.usage.queue.borrow().is_empty() {
            let mut batch = mem::take(&mut *vm.usage.queue.borrow_mut());
            let rest = batch.split_off(batch.len().min(BATCH_MAX));
            *vm.usage.queue.borrow_mut() = rest;
            is_going = send(&vm, batch).await;
        }
        vm.usage.is_sending.set(false);
    });
}

/// Sends a batch to the best holder that answers; returns whether one did.
async fn send(vm: &Rc<Vm>, mut batch: Vec<Waiting>) -> bool {
    let candidates = candidates(vm);
    if candidates.is_empty() {
        put_back(vm, batch);
        return false;
    }
    for waiting in &mut batch {
        waiting.was_sent = true;
    }
    let records = batch.iter().map(|waiting| waiting.record.clone()).collect();
    let ask = Ask::Hold(vm.usage.origin.clone(), records);
    for (name, address) in candidates {
        let answer = vm.usage.links.ask(address, &ask, HOLD_TIME).await;
        if let Ok(Answer::Held(held)) = answer {
            vm.usage.is_alone.set(false);
            note_holder(vm, &held.by);
            finish(vm, batch, &held);
            return true;
        }
        let until = vm.now() + ABSENT_TIME;
        vm.usage.absent.borrow_mut().insert(name, until);
    }
    put_back(vm, batch);
    false
}

/// Lets every caller go on, also those behind `batch` in the queue; the
/// records are sent again later.
///
/// What was sent to nobody is added up, so that a VM that stays alone holds
/// one record for each account and window. The batch goes first again, so that
/// no more than one is ever in doubt.
fn put_back(vm: &Vm, batch: Vec<Waiting>) {
    vm.usage.is_alone.set(true);
    let mut queue = vm.usage.queue.borrow_mut();
    let mut all = batch;
    all.append(&mut queue);
    all.iter_mut().for_each(Waiting::release);
    let (mut kept, unsent): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|waiting| waiting.was_sent);
    let sent: Set<&str> = kept.iter().map(|waiting| &*waiting.record.id).collect();
    let unsent = unsent.into_iter().map(|waiting| waiting.record);
    let unsent = unsent
        .filter(|record| !sent.contains(&*record.id))
        .collect();
    let sums = vm.board.borrow_mut().usage.merge(unsent);
    kept.extend(sums.into_iter().map(Waiting::new));
    *queue = kept;
}

/// Drops what waits to be sent of records that are counted or have moved.
pub(crate) fn prune(vm: &Vm) {
    let board = vm.board.borrow();
    let mut queue = vm.usage.queue.borrow_mut();
    queue.retain(|waiting| board.usage.is_open(&waiting.record));
}

/// Returns how many records measured here are in memory, those that wait to be
/// sent twice.
fn open_len(vm: &Vm) -> usize {
    vm.board.borrow().usage.open_len() + vm.usage.queue.borrow().len()
}

/// Returns the VMs to ask, the best holder first.
fn candidates(vm: &Vm) -> Vec<(String, SocketAddr)> {
    let now = vm.now();
    let board = vm.board.borrow();
    let absent = vm.usage.absent.borrow();
    let members = board.members.live().map(|member| &member.record);
    let live: Vec<_> = members
        .filter(|other| absent.get(&other.vm).is_none_or(|until| *until <= now))
        .collect();
    let names: Vec<_> = live
        .iter()
        .map(|other| (other.vm.as_str(), other.failure_domain.as_str()))
        .collect();
    let domain = &vm.settings.failure_domain;
    usage::copy_holders(&vm.settings.vm, domain, &names)
        .into_iter()
        .take(HOLDERS_MAX)
        .map(|place| (live[place].vm.clone(), live[place].address))
        .collect()
}

/// Sends all records again when another process holds copies from now on.
fn note_holder(vm: &Vm, by: &Origin) {
    let before = vm.usage.holder.borrow_mut().replace(by.clone());
    if before.is_none_or(|before| before == *by) {
        return;
    }
    let (holder, records) = (by.vm.as_str(), vm.board.borrow().usage.open_records());
    let count = records.len();
    spdlog::info!("usage held by another process", kv: { holder, records = count });
    let again = records.into_iter().map(|record| Waiting {
        was_held: true,
        was_sent: true,
        ..Waiting::new(record)
    });
    vm.usage.queue.borrow_mut().extend(again);
}

/// Tells the callers, and moves records whose window the holder has closed.
fn finish(vm: &Vm, batch: Vec<Waiting>, held: &Held) {
    for mut waiting in batch {
        let (id, window) = (&waiting.record.id, waiting.record.window);
        if window > held.closed || waiting.was_held {
            if let Some(done) = waiting.done.take() {
                let _ = done.send(true);
            }
            continue;
        }
        let usage = &mut vm.board.borrow_mut().usage;
        match usage.postpone(id, window, held.closed) {
            Some(record) => {
                waiting.record = record;
                vm.usage.queue.borrow_mut().push(waiting);
            }
            // It is closed here too: whether it was counted is settled with
            // the frozen figures.
            None => {
                if let Some(done) = waiting.done.take() {
                    let _ = done.send(false);
                }
            }
        }
    }
}
