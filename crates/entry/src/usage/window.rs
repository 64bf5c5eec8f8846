//! Ends of windows: closing, and settling what the frozen figures left out.

use std::rc::Rc;

use board::usage::{FrozenWindow, KIND, Origin, Record, Window};
use link::platform::Error;
use policy::usage;
use wire::{
    Answer,
    message::{Close, Held},
};

use super::copy;
use crate::vm::Vm;

/// Closes a window and tells what it holds.
pub(crate) fn close(vm: &Rc<Vm>, close: &Close) -> Answer {
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
    Answer::Closed(answer)
}

/// Holds copies for another process.
pub(crate) fn hold(vm: &Vm, origin: &Origin, records: Vec<Record>) -> Answer {
    vm.usage
        .last_seen
        .borrow_mut()
        .insert(origin.clone(), vm.now());
    vm.board.borrow_mut().usage.add_copies(origin, records);
    held_answer(vm)
}

/// Holds copies of a lost process along with another holder.
pub(crate) fn inherit(vm: &Vm, origin: &Origin, records: Vec<Record>) -> Answer {
    vm.board.borrow_mut().usage.inherit_copies(origin, records);
    held_answer(vm)
}

fn held_answer(vm: &Vm) -> Answer {
    Answer::Held(Held {
        by: vm.usage.origin.clone(),
        closed: vm.board.borrow().usage.closed(),
    })
}

/// Brings the records of a window that was reported without this process in
/// line with its frozen figures: what they leave out goes into the next open
/// window.
async fn reconcile(vm: &Rc<Vm>, window: Window) {
    let name = window.0.to_string();
    let read = vm.platform.read::<FrozenWindow>(KIND, &name);
    let frozen = match read.await {
        Ok((_, frozen)) => Some(frozen),
        // A later window is frozen already, so this one never will be.
        Err(Error::Absent) => None,
        // Without the figures nothing is moved: the next close tries again.
        Err(_) => return,
    };
    let origin = &vm.usage.origin;
    let is_counted = |id: &str| {
        frozen.as_ref().is_some_and(|frozen| {
            frozen.origins.contains(origin) || usage::is_counted(frozen, origin, id)
        })
    };
    let moved = vm.board.borrow_mut().usage.resolve(window, is_counted);
    copy::prune(vm);
    let (window, count) = (window.0, moved.len());
    spdlog::info!("usage of a reported window moved", kv: { window, records = count });
    for record in moved {
        vm.metrics.usage("late");
        copy::enqueue(vm, record, None);
    }
}
