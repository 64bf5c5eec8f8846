//! Answers to messages of other tarragonseam processes.

use std::rc::Rc;

use board::{endpoint::Endpoint, shared::Item};
use link::gossip::Source;
use policy::{
    isolation::{self, View},
    relay,
};
use wire::{Answer, Ask, message::Status};

use crate::{bulk, explain, rollout, usage::window, vm::Vm};

/// Carries out the request of one message, and returns the answer.
pub(crate) async fn serve(vm: Rc<Vm>, ask: Ask) -> Answer {
    match ask {
        Ask::Offer(items) => accept_offer(&vm, items).await,
        Ask::Lot(name) => Answer::Lot(rollout::progress(&vm, &name)),
        Ask::Disk => Answer::Disk(vm.disk.is_some()),
        Ask::Store(chunk) => bulk::store(&vm, chunk).await,
        Ask::Load(piece) => bulk::load(&vm, piece).await,
        Ask::Find(trainer, lot) => bulk::list_files(&vm, trainer, lot).await,
        Ask::Close(close) => window::close(&vm, &close),
        Ask::Copies(origin, window) => {
            Answer::Copies(vm.board.borrow().usage.copies(&origin, window))
        }
        Ask::Hold(origin, records) => window::hold(&vm, &origin, records),
        Ask::Inherit(origin, records) => window::inherit(&vm, &origin, records),
        other => answer(&vm, &other),
    }
}

async fn accept_offer(vm: &Rc<Vm>, items: Vec<Item>) -> Answer {
    let source = Source::Platform(vm.platform.clone());
    if vm.gossip.take(items, &source).await {
        Answer::Done
    } else {
        Answer::Refused("a part of the configuration is missing on this VM".to_string())
    }
}

/// Answers a query for state that this VM has in memory.
pub(crate) fn answer(vm: &Rc<Vm>, ask: &Ask) -> Answer {
    let board = vm.board.borrow();
    match ask {
        Ask::Status => Answer::Status(Status {
            vm: board.vm.clone(),
            failure_domain: board.failure_domain.clone(),
            revision: board.revision,
            keys: board.keys.len() as u64,
            endpoints: board.endpoints.iter().count() as u64,
            live: board.members.live_count().into(),
            is_relay: relay::is_relay(&board),
            fresh_ms: vm.gossip.fresh_ms(),
            is_isolated: isolation::view(&board, vm.now()) == View::Isolated,
        }),
        Ask::Sync { buckets, members } => Answer::Facts(vm.gossip.facts(buckets, *members)),
        Ask::Parts(digests) => {
            let texts = digests
                .iter()
                .filter_map(|digest| board.shared.parts.get(digest));
            Answer::Parts(texts.cloned().collect())
        }
        Ask::Loads => {
            let is_local =
                |endpoint: &&Endpoint| endpoint.record.failure_domain == board.failure_domain;
            let load = |endpoint: &Endpoint| {
                let (_, load) = endpoint.load.clone()?;
                Some((endpoint.record.id.clone(), load))
            };
            let endpoints = board.endpoints.iter().map(|(_, endpoint)| endpoint);
            Answer::Loads(endpoints.filter(is_local).filter_map(load).collect())
        }
        Ask::Explain(subject) => Answer::Explanation(explain::lines(vm, &board, subject)),
        _ => Answer::Refused("the entry daemon does not answer this message".to_string()),
    }
}
