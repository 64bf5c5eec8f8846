//! Copies of usage records on another VM, the holder.

use std::{mem, net::SocketAddr, rc::Rc, time::Duration};

use board::{
    hash::Set,
    usage::{Origin, Record},
};
use local_sync::oneshot;
use policy::{execution::Execution, usage};
use wire::{Request, Response, message::Holder};

use crate::vm::Vm;

/// A record that is to be sent to a holder.
pub(crate) struct Pending {
    record: Record,
    /// Whether an earlier attempt to store a copy may have succeeded: one that
    /// was not answered, or one at an earlier holder.
    stored: Execution,
    /// Reports to the waiting request whether a copy is held.
    done: Option<oneshot::Sender<bool>>,
}

impl Pending {
    fn new(record: Record) -> Self {
        Self {
            record,
            stored: Execution::NotRun,
            done: None,
        }
    }

    /// Reports to the waiting request that no copy is held.
    fn report_not_held(&mut self) {
        if let Some(done) = self.done.take() {
            // The receiver is dropped if the caller disconnected.
            let _ = done.send(false);
        }
    }
}

const HOLDER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long no records are sent to a VM that did not answer.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(5);

/// The maximum number of VMs that are tried in turn for one batch.
const HOLDERS_TRIED_MAX: usize = 3;

/// The maximum number of records in one message, which keeps the message well
/// below the largest frame.
const BATCH_RECORDS_MAX: usize = 4096;

/// How often the queue is sent again. With an empty queue an empty batch is
/// sent, so that the loss of the holder is detected.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a process may send nothing before its copies are replicated to
/// another VM.
const ORIGIN_EXPIRY: Duration = Duration::from_secs(5);

/// Sends queued records again and probes the holder, at intervals; never
/// returns.
pub(crate) async fn run(vm: Rc<Vm>) {
    loop {
        monoio::time::sleep(PROBE_INTERVAL).await;
        vm.metrics.record_usage_open(open_count(&vm));
        replicate_copies_of_lost_processes(&vm).await;
        if vm.usage.is_sending.get() {
            continue;
        }
        if vm.usage.queue.borrow().is_empty() {
            send(&vm, Vec::new()).await;
        }
        start(&vm);
    }
}

/// Replicates the copies of processes that are considered lost to another VM,
/// so that this VM does not hold the only ones.
async fn replicate_copies_of_lost_processes(vm: &Rc<Vm>) {
    for (origin, records) in copies_of_lost_processes(vm) {
        let request = Request::InheritCopies(origin.clone(), records);
        for (name, address) in candidates(vm) {
            if name == origin.vm {
                continue;
            }
            if vm
                .usage
                .peer_pool
                .request(address, &request, HOLDER_TIMEOUT)
                .await
                .is_ok()
            {
                vm.usage.last_seen.borrow_mut().remove(&origin);
                break;
            }
        }
    }
}

/// Returns the copies of processes that are considered lost, unless they were
/// replicated already.
fn copies_of_lost_processes(vm: &Vm) -> Vec<(Origin, Vec<Record>)> {
    let now = vm.now();
    let seen = vm.usage.last_seen.borrow();
    let is_lost = |origin: &Origin| seen.get(origin).is_some_and(|at| now - *at > ORIGIN_EXPIRY);
    let board = vm.board.borrow();
    let origins = board
        .usage
        .copied_origins()
        .filter(|origin| is_lost(origin));
    origins
        .map(|origin| (origin.clone(), board.usage.all_copies(origin)))
        .collect()
}

/// Starts to send the queue before a shutdown, and waits for at most `limit`
/// until sending ends.
pub(crate) async fn flush(vm: &Rc<Vm>, limit: Duration) {
    start(vm);
    let wait = async {
        while vm.usage.is_sending.get() {
            monoio::time::sleep(HOLDER_TIMEOUT / 10).await;
        }
    };
    let _ = monoio::time::timeout(limit, wait).await;
}

/// Queues a new record for a holder; `done` receives whether a copy is held.
///
/// While no VM accepts records, `done` is answered at once and the record waits
/// for the next round of [`run`]: the queue grows as long as there is no
/// holder, so sending it with each request would cost more and more.
pub(crate) fn enqueue(vm: &Rc<Vm>, record: Record, done: Option<oneshot::Sender<bool>>) {
    let mut pending = Pending {
        done,
        ..Pending::new(record)
    };
    if vm.usage.has_no_holder.get() {
        pending.report_not_held();
    }
    vm.usage.queue.borrow_mut().push(pending);
    if !vm.usage.has_no_holder.get() {
        start(vm);
    }
}

/// Starts the task that sends the queue, unless it runs already.
fn start(vm: &Rc<Vm>) {
    if vm.usage.queue.borrow().is_empty() || vm.usage.is_sending.replace(true) {
        return;
    }
    let vm = vm.clone();
    monoio::spawn(async move {
        let mut has_holder = true;
        while has_holder && !vm.usage.queue.borrow().is_empty() {
            let mut batch = mem::take(&mut *vm.usage.queue.borrow_mut());
            let remaining = batch.split_off(batch.len().min(BATCH_RECORDS_MAX));
            *vm.usage.queue.borrow_mut() = remaining;
            has_holder = send(&vm, batch).await;
        }
        vm.usage.is_sending.set(false);
    });
}

/// Sends a batch to the best holder that answers, and returns whether one did.
async fn send(vm: &Rc<Vm>, mut batch: Vec<Pending>) -> bool {
    let candidates = candidates(vm);
    if candidates.is_empty() {
        requeue(vm, batch);
        return false;
    }
    let records: Vec<_> = batch.iter().map(|pending| pending.record.clone()).collect();
    vm.board.borrow_mut().usage.begin_copies(&records);
    let request = Request::AddCopies(vm.usage.origin.clone(), records);
    for (name, address) in candidates {
        let (answer, unanswered) = vm
            .usage
            .peer_pool
            .request_with_execution(address, &request, HOLDER_TIMEOUT)
            .await;
        for pending in &mut batch {
            pending.stored = pending.stored.and(unanswered);
        }
        if let Ok(Response::CopiesAdded(holder)) = answer {
            vm.usage.has_no_holder.set(false);
            update_holder(vm, &holder.origin);
            complete(vm, batch, &holder);
            return true;
        }
        let until = vm.now() + UNRESPONSIVE_BACKOFF;
        vm.usage.backoff_until.borrow_mut().insert(name, until);
    }
    requeue(vm, batch);
    false
}

/// Puts a batch that no VM accepted back at the front of the queue, and reports
/// to all waiting requests that no copy is held.
///
/// Records that no VM can have stored are merged, so that a VM without a holder
/// keeps one record for each account and window. The same batch is sent first at
/// the next try, so that at most one batch has an unknown outcome.
fn requeue(vm: &Vm, batch: Vec<Pending>) {
    vm.usage.has_no_holder.set(true);
    for pending in &batch {
        end_copy(vm, pending, false);
    }
    let mut queue = vm.usage.queue.borrow_mut();
    let mut all = batch;
    all.append(&mut queue);
    all.iter_mut().for_each(Pending::report_not_held);
    let (mut queued, unstored): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|pending| pending.stored == Execution::Unknown);
    let queued_ids: Set<&str> = queued.iter().map(|pending| &*pending.record.id).collect();
    let unstored = unstored.into_iter().map(|pending| pending.record);
    let unstored = unstored
        .filter(|record| !queued_ids.contains(&*record.id))
        .collect();
    let merged = vm.board.borrow_mut().usage.merge(unstored);
    queued.extend(merged.into_iter().map(Pending::new));
    *queue = queued;
}

/// Notes the outcome of an attempt to store a copy. An attempt that a holder
/// confirmed, or that may have succeeded, lets other processes count the record.
fn end_copy(vm: &Vm, pending: &Pending, is_held: bool) {
    let may_be_stored = is_held || pending.stored == Execution::Unknown;
    let usage = &mut vm.board.borrow_mut().usage;
    usage.end_copy(&pending.record, may_be_stored);
}

/// Removes queued records that were counted already or moved to another window.
pub(crate) fn prune(vm: &Vm) {
    let board = vm.board.borrow();
    let mut queue = vm.usage.queue.borrow_mut();
    queue.retain(|pending| board.usage.is_uncounted(&pending.record));
}

/// Returns how many records of this process are in memory; queued records count
/// twice, because they are on the board and in the queue.
fn open_count(vm: &Vm) -> usize {
    vm.board.borrow().usage.uncounted_len() + vm.usage.queue.borrow().len()
}

/// Returns the VMs that may hold copies, in order of preference.
fn candidates(vm: &Vm) -> Vec<(String, SocketAddr)> {
    let now = vm.now();
    let board = vm.board.borrow();
    let backoff = vm.usage.backoff_until.borrow();
    let members = board.members.live().map(|member| &member.record);
    let live: Vec<_> = members
        .filter(|other| backoff.get(&other.vm).is_none_or(|until| *until <= now))
        .collect();
    let names: Vec<_> = live
        .iter()
        .map(|other| (other.vm.as_str(), other.failure_domain.as_str()))
        .collect();
    let domain = &vm.settings.failure_domain;
    usage::copy_holders(&vm.settings.vm, domain, &names)
        .into_iter()
        .take(HOLDERS_TRIED_MAX)
        .map(|index| (live[index].vm.clone(), live[index].address))
        .collect()
}

/// Records which process holds the copies; if it changed, queues all open
/// records for the new one.
fn update_holder(vm: &Vm, origin: &Origin) {
    let previous = vm.usage.holder.borrow_mut().replace(origin.clone());
    if previous.is_none_or(|previous| previous == *origin) {
        return;
    }
    let (holder, records) = (
        origin.vm.as_str(),
        vm.board.borrow().usage.uncounted_records(),
    );
    let count = records.len();
    spdlog::info!("another process holds the copies of usage records now", kv: { holder, records = count });
    let repeated = records.into_iter().map(|record| Pending {
        stored: Execution::Unknown,
        ..Pending::new(record)
    });
    vm.usage.queue.borrow_mut().extend(repeated);
}

/// Reports the batch as held, and moves records whose window the holder has
/// closed to a later window.
///
/// A record that may have been stored without an answer stays in its window,
/// because it may be counted there. If it is not, it moves when the window is
/// reconciled.
fn complete(vm: &Vm, batch: Vec<Pending>, holder: &Holder) {
    let mut has_moved = false;
    for mut pending in batch {
        let (id, window) = (&pending.record.id, pending.record.window);
        let is_held = window > holder.closed;
        end_copy(vm, &pending, is_held);
        let moved = match pending.stored {
            Execution::NotRun if !is_held => {
                let usage = &mut vm.board.borrow_mut().usage;
                usage.postpone(id, window, holder.closed)
            }
            _ => None,
        };
        if let Some(record) = moved {
            pending.record = record;
            vm.usage.queue.borrow_mut().push(pending);
            has_moved = true;
            continue;
        }
        // If the window is closed on this VM too, whether the record was counted
        // is found in the frozen figures later.
        if let Some(done) = pending.done.take() {
            let _ = done.send(is_held);
        }
    }
    if has_moved {
        // A record must not be sent for its earlier window again.
        prune(vm);
    }
}
