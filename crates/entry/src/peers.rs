//! Answers to other processes of the project.

use std::rc::Rc;

use wire::{Answer, Ask, message::Status};

use crate::{usage::settle, vm::Vm};

/// Answers one question.
pub(crate) fn answer(vm: &Rc<Vm>, ask: Ask) -> Answer {
    match ask {
        Ask::Close(window) => settle::close(vm, &window),
        Ask::Copies(origin, window) => {
            Answer::Copies(vm.board.borrow().usage.copies(&origin, window))
        }
        Ask::Hold(origin, records) => settle::hold(vm, &origin, records),
        Ask::Inherit(origin, records) => settle::inherit(vm, &origin, records),
        Ask::Status => Answer::Status(status(vm)),
    }
}

fn status(vm: &Vm) -> Status {
    let board = vm.board.borrow();
    Status {
        vm: board.vm.clone(),
        failure_domain: board.failure_domain.clone(),
        revision: board.revision,
        keys: board.keys.len() as u64,
        endpoints: board.endpoints.iter().count() as u64,
    }
}
