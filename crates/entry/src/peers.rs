//! Answers to other processes of the project.

use std::rc::Rc;

use wire::{Answer, Ask, message::Status};

use crate::vm::Vm;

/// Answers one question.
pub(crate) fn answer(vm: &Rc<Vm>, ask: &Ask) -> Answer {
    let board = vm.board.borrow();
    match ask {
        Ask::Usage(window) => Answer::Usage(board.usage.sheet(*window)),
        Ask::Status => Answer::Status(Status {
            vm: board.vm.clone(),
            failure_domain: board.failure_domain.clone(),
            revision: board.revision,
            keys: board.keys.len() as u64,
            endpoints: board.endpoints.iter().count() as u64,
        }),
    }
}
