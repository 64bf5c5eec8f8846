//! The HTTP interface for operators: metrics, readiness, status and recent
//! spans.

use std::rc::Rc;

use link::{
    StatusCode, fault,
    http::{Reply, Request},
};
use wire::{Request as PeerRequest, Response};

use crate::{peers, vm::Vm};

/// Answers a request of an operator.
pub(crate) fn handle(vm: &Rc<Vm>, request: &Request) -> Reply {
    match request.uri.path() {
        "/metrics" => vm.telemetry.metrics_page(),
        "/ready" => ready(vm),
        "/status" => match peers::answer(vm, &PeerRequest::Status) {
            Response::Status(status) => Reply::json(StatusCode::OK, &status),
            _ => Reply::error(StatusCode::INTERNAL_SERVER_ERROR, "no-status", ""),
        },
        "/fault" if vm.settings.test_faults => fault::answer(request),
        "/spans" => {
            let trace = request.query("trace").unwrap_or_default();
            Reply::json(StatusCode::OK, &vm.telemetry.spans(trace))
        }
        _ => Reply::error(StatusCode::NOT_FOUND, "no-page", "no such page"),
    }
}

fn ready(vm: &Rc<Vm>) -> Reply {
    if vm.is_draining.get() {
        return Reply::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "leaving",
            "the process is shutting down",
        );
    }
    if !vm.gossip.is_bootstrapped() || vm.board.borrow().revision == 0 {
        let detail = "the configuration or the keys are not known yet";
        return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "not-ready", detail);
    }
    Reply::new(StatusCode::OK, "ready\n")
}
