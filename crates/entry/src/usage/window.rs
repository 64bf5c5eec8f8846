//! The end of usage windows: closing them, holding copies until they are
//! reported, and reconciling records with the frozen figures.

use std::rc::Rc;

use board::usage::{
    FIRST_KIND, FIRST_NAME, FLOOR_KIND, FLOOR_NAME, FrozenWindow, KIND, Origin, Record, Totals,
    Window,
};
use link::platform::Error;
use policy::usage;
use wire::{
    Response,
    message::{Close, Holder},
};

use super::copy;
use crate::vm::Vm;

/// Closes a window, and answers with its records and the copies held here.
pub(crate) fn close(vm: &Rc<Vm>, close: &Close) -> Response {
    let origin = &vm.usage.origin;
    let mut board = vm.board.borrow_mut();
    board.usage.close(close.window);
    if close.counted.contains(origin) {
        board.usage.discard(close.frozen);
    }
    board.usage.discard_copies(close.frozen);
    let unreconciled = board.usage.windows_through(close.frozen);
    let answer = board.usage.summarize(origin, close.window);
    drop(board);
    copy::prune(vm);
    if !unreconciled.is_empty() && !vm.usage.is_reconciling.replace(true) {
        let vm = vm.clone();
        monoio::spawn(async move {
            for window in unreconciled {
                reconcile(&vm, window).await;
            }
            vm.usage.is_reconciling.set(false);
        });
    }
    Response::Closed(answer)
}

/// Stores copies of the records of another process.
pub(crate) fn hold(vm: &Vm, origin: &Origin, records: Vec<Record>) -> Response {
    vm.usage
        .last_seen
        .borrow_mut()
        .insert(origin.clone(), vm.now());
    vm.board.borrow_mut().usage.add_copies(origin, records);
    holder_response(vm)
}

/// Stores copies of a lost process's records, which another VM holds too.
pub(crate) fn inherit(vm: &Vm, origin: &Origin, records: Vec<Record>) -> Response {
    vm.board.borrow_mut().usage.inherit_copies(origin, records);
    holder_response(vm)
}

fn holder_response(vm: &Vm) -> Response {
    Response::CopiesAdded(Holder {
        origin: vm.usage.origin.clone(),
        closed: vm.board.borrow().usage.closed(),
    })
}

/// Reconciles the records of a window that was reported without this process
/// with its frozen figures: records that they omit move to the next open
/// window.
async fn reconcile(vm: &Rc<Vm>, window: Window) {
    // If the figures cannot be read now, the next call of `close` tries again.
    let Ok(moved) = resolve(vm, window).await else {
        return;
    };
    copy::prune(vm);
    let (window, count) = (window.0, moved.len());
    spdlog::info!("moved usage records that a reported window omits", kv: { window, records = count });
    for record in moved {
        vm.metrics.record_usage("late");
        copy::enqueue(vm, record, None);
    }
}

/// Drops the records of a reported window that were or may have been counted,
/// and returns the others, which are in a later window now.
async fn resolve(vm: &Vm, window: Window) -> Result<Vec<Record>, Error> {
    let name = window.0.to_string();
    let frozen = match vm.platform.read::<FrozenWindow>(KIND, &name).await {
        Ok((_, frozen)) => Some(frozen),
        Err(Error::Absent) => None,
        Err(e) => return Err(e),
    };
    let origin = &vm.usage.origin;
    // The floor is read last: figures written after a deletion are below it.
    let is_never_frozen = frozen.is_none() && is_before(vm, window, FIRST_KIND, FIRST_NAME).await?;
    let is_deleted = is_before(vm, window, FLOOR_KIND, FLOOR_NAME).await?;
    let frozen = frozen.filter(|_| !is_deleted);
    let usage = &mut vm.board.borrow_mut().usage;
    if let Some(frozen) = frozen {
        let is_all_counted = frozen.origins.contains(origin);
        let is_counted = |id: &str| is_all_counted || usage::is_counted(&frozen, origin, id);
        return Ok(usage.resolve(window, is_counted));
    }
    if is_never_frozen {
        return Ok(usage.resolve(window, |_| false));
    }
    // The figures were deleted.
    let unresolved = usage.resolve_unknown(window);
    report_undecided(vm, window, &unresolved.undecided);
    Ok(unresolved.moved)
}

/// Returns whether `window` is before the window that an object holds, and
/// `false` if there is no such object.
async fn is_before(vm: &Vm, window: Window, kind: &str, name: &str) -> Result<bool, Error> {
    match vm.platform.read::<Window>(kind, name).await {
        Ok((_, stored)) => Ok(window < stored),
        Err(Error::Absent) => Ok(false),
        Err(e) => Err(e),
    }
}

/// Logs and counts records that are not billed, because they may have been
/// counted in `window`.
fn report_undecided(vm: &Vm, window: Window, records: &[Record]) {
    let mut totals = Totals::default();
    for record in records {
        vm.metrics.record_usage("undecided");
        let account = record.account.clone();
        totals.entry(account).or_default().add(record.figures);
    }
    for (account, figures) in totals {
        let (window, requests) = (window.0, figures.requests);
        let (tokens_in, tokens_out) = (figures.tokens_in, figures.tokens_out);
        spdlog::warn!("usage not billed because it may have been reported", kv: { window, account, requests, tokens_in, tokens_out });
    }
}
