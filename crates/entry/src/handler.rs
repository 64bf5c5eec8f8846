//! Dispatch of requests to the modules that answer them, by path.

use std::rc::Rc;

use link::{
    Method, StatusCode,
    http::{Reply, Request},
};

use crate::{auth, failure::Failure, generate, proxy, trainer, vm::Vm};

/// Answers a request of a caller or trainer.
pub(crate) async fn handle(vm: Rc<Vm>, request: Request) -> Reply {
    if let Err(failure) = auth::check_key_placement(&request) {
        vm.metrics.record_request("any", failure.code);
        return failure.reply();
    }
    let segments: Vec<String> = request.segments().into_iter().map(String::from).collect();
    let path: Vec<&str> = segments.iter().map(String::as_str).collect();
    match path.as_slice() {
        ["v1", "models", model, "generate"] if request.method == Method::POST => {
            generate::handle(vm, request, (*model).to_string()).await
        }
        ["v1", "trainers", name, _, ..] => trainer::handle(vm, request, (*name).to_string()).await,
        ["v1", ..] => {
            Failure::client_error(StatusCode::NOT_FOUND, "no-page", "no such call below /v1")
                .reply()
        }
        _ => match proxy::find_route(&vm, request.uri.path()) {
            Some((name, route)) => proxy::handle(vm, request, name, route).await,
            None if vm.board.borrow().revision == 0 => Failure::not_ready().reply(),
            None => proxy::not_found(),
        },
    }
}
