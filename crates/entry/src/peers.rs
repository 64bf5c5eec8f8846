//! Answers to messages of other tarragonseam processes.

use std::rc::Rc;

use board::{endpoint::Endpoint, shared::Item};
use link::gossip::Source;
use policy::{
    isolation::{self, View},
    relay,
};
use wire::{Request, Response, message::Status};

use crate::{bulk, explain, rollout, usage::window, vm::Vm};

/// Carries out the request of one message, and returns the answer.
pub(crate) async fn serve(vm: Rc<Vm>, request: Request) -> Response {
    match request {
        Request::Offer(items) => accept_offer(&vm, items).await,
        Request::Lot(name) => Response::Lot(rollout::progress(&vm, &name)),
        Request::HasDisk => Response::HasDisk(vm.disk.is_some()),
        Request::WriteChunk(chunk) => bulk::store(&vm, chunk).await,
        Request::ReadRange(range) => bulk::load(&vm, range).await,
        Request::FindFiles(trainer, lot) => bulk::list_files(&vm, trainer, lot).await,
        Request::Close(close) => window::close(&vm, &close),
        Request::Copies(origin, window) => {
            Response::Copies(vm.board.borrow().usage.copies(&origin, window))
        }
        Request::AddCopies(origin, records) => window::hold(&vm, &origin, records),
        Request::InheritCopies(origin, records) => window::inherit(&vm, &origin, records),
        other => answer(&vm, &other),
    }
}

async fn accept_offer(vm: &Rc<Vm>, items: Vec<Item>) -> Response {
    let source = Source::Platform(Box::new(vm.platform.clone()));
    if vm.gossip.merge(items, &source).await {
        Response::Done
    } else {
        Response::Rejected("a part of the configuration is missing on this VM".to_string())
    }
}

/// Answers a query for state that this VM has in memory.
pub(crate) fn answer(vm: &Rc<Vm>, request: &Request) -> Response {
    let board = vm.board.borrow();
    match request {
        Request::Status => Response::Status(Status {
            vm: board.vm.clone(),
            failure_domain: board.failure_domain.clone(),
            revision: board.revision,
            keys: board.keys.len() as u64,
            endpoints: board.endpoints.iter().count() as u64,
            live_vms: board.members.live_count().into(),
            is_relay: relay::is_relay(&board),
            keys_age_ms: vm.gossip.keys_age_ms(),
            is_isolated: isolation::view(&board, vm.now()) == View::Isolated,
        }),
        Request::Sync {
            buckets,
            members_digest,
        } => Response::Facts(vm.gossip.pull_response(buckets, *members_digest)),
        Request::ConfigParts(digests) => {
            let texts = digests
                .iter()
                .filter_map(|digest| board.shared.parts.get(digest));
            Response::ConfigParts(texts.cloned().collect())
        }
        Request::EndpointLoads => {
            let is_local =
                |endpoint: &&Endpoint| endpoint.record.failure_domain == board.failure_domain;
            let load = |endpoint: &Endpoint| {
                let (received, mut load) = endpoint.load.clone()?;
                let held_ms = (vm.now() - received).as_millis() as u64;
                load.age_ms = load.age_ms.saturating_add(held_ms);
                Some((endpoint.record.id.clone(), load))
            };
            let endpoints = board.endpoints.iter().map(|(_, endpoint)| endpoint);
            Response::EndpointLoads(endpoints.filter(is_local).filter_map(load).collect())
        }
        Request::Explain(subject) => Response::Explanation(explain::lines(vm, &board, subject)),
        _ => Response::Rejected("the entry daemon does not answer this message".to_string()),
    }
}
