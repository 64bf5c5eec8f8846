//! Ends of windows: closing, and settling what the frozen figures left out.

use std::rc::Rc;

use board::usage::{Frozen, KIND, Origin, Record, Window};
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
        board.usage.forget(close.frozen);
    }
    board.usage.forget_copies(close.frozen);
    let left = board.usage.windows_through(close.frozen);
    let answer = board.usage.answer(origin, close.window);
    drop(board);
    copy::prune(vm);
    if !left.is_empty() && !vm.usage.is_settling.replace(true) {
        let vm = vm.clone();
        monoio::spawn(async move {
            for window in left {
                settle(&vm, window).await;
            }
            vm.usage.is_settling.set(false);
        });
    }
    Answer::Closed(answer)
}

/// Holds copies for another process.
pub(crate) fn hold(vm: &Vm, origin: &Origin, records: Vec<Record>) -> Answer {
    vm.usage.heard.borrow_mut().insert(origin.clone(), vm.now());
    vm.board.borrow_mut().usage.hold(origin, records);
    held(vm)
}

/// Holds copies of a lost process along with another holder.
pub(crate) fn inherit(vm: &Vm, origin: &Origin, records: Vec<Record>) -> Answer {
    vm.board.borrow_mut().usage.inherit(origin, records);
    held(vm)
}

fn held(vm: &Vm) -> Answer {
    Answer::Held(Held {
        by: vm.usage.origin.clone(),
        closed: vm.board.borrow().usage.closed(),
    })
}

/// Brings the records of a window that was reported without this process in
/// line with its frozen figures: what they leave out goes into the next open
/// window.
async fn settle(vm: &Rc<Vm>, window: Window) {
    let name = window.0.to_string();
    let read = vm.platform.read::<Frozen>(KIND, &name);
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
    let moved = vm.board.borrow_mut().usage.settle(window, is_counted);
    copy::prune(vm);
    let (window, count) = (window.0, moved.len());
    spdlog::info!("usage of a reported window moved", kv: { window, records = count });
    for record in moved {
        vm.metrics.usage("late");
        copy::push(vm, record, None);
    }
}
