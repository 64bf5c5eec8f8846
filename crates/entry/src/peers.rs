//! Answers to other processes of the project.

use std::rc::Rc;

use wire::{Answer, Ask, message::Status};

use crate::{bulk, rollout, vm::Vm};

/// Answers one question of another process.
pub(crate) async fn reply(vm: Rc<Vm>, ask: Ask) -> Answer {
    match ask {
        Ask::Lot(name) => Answer::Lot(rollout::progress(&vm, &name)),
        Ask::Disk => Answer::Disk(vm.disk.is_some()),
        Ask::Store(chunk) => bulk::store(&vm, chunk).await,
        Ask::Load(piece) => bulk::load(&vm, piece).await,
        ask => answer(&vm, &ask),
    }
}

/// Answers a question about what this VM knows.
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
        _ => Answer::Refused("not answered here".to_string()),
    }
}
