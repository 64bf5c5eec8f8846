//! Routes to plain services.

use std::{rc::Rc, sync::Arc};

use board::{config::Route, ticket::Ticket, usage::Figures};
use link::{
    HeaderMap, StatusCode,
    http::{
        Error, Reply, Request,
        client::{Call, Fetched},
    },
    telemetry,
};
use policy::call::Outcome;

use crate::{
    auth, generate,
    refusal::{Failure, Ran},
    slot::{self, Slot},
    usage,
    vm::Vm,
};

const ATTEMPTS_MAX: usize = 3;

/// Headers that concern one connection, or that no endpoint may see.
const STRIPPED: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
];

/// Returns the route that takes `path`: the one with the longest prefix.
pub(crate) fn find(vm: &Vm, path: &str) -> Option<(String, Route)> {
    let board = vm.board.borrow();
    let takes = |route: &Route| {
        path.strip_prefix(route.path.as_str()).is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || route.path.ends_with('/')
        })
    };
    board
        .config
        .routes
        .iter()
        .filter(|(_, route)| takes(route))
        .max_by_key(|(_, route)| route.path.len())
        .map(|(name, route)| (name.clone(), route.clone()))
}

/// Answers a request on a route.
pub(crate) async fn handle(vm: Rc<Vm>, request: Request, name: String, route: Route) -> Reply {
    let span = vm.telemetry.accept("caller", &request.headers);
    let reply = match serve(&vm, &request, &name, &route, &span).await {
        Ok(reply) => {
            vm.metrics.request("route", "answered");
            reply
        }
        Err(failure) => {
            vm.metrics.request("route", failure.code);
            failure.reply()
        }
    };
    reply.header("x-trace", span.trace())
}

async fn serve(
    vm: &Rc<Vm>,
    request: &Request,
    name: &str,
    route: &Route,
    span: &telemetry::Span,
) -> Result<Reply, Failure> {
    let account: Arc<str> = if route.public {
        format!("public:{name}").into()
    } else {
        auth::check(vm, request)?.account
    };
    let now = vm.now();
    let deadline = now + generate::deadline(request, route.deadline);
    let mut ticket =
        Ticket::new(account.clone(), route.service.as_str(), now, deadline).class(route.class);
    let method = request.method.as_str();
    let may_repeat = route.idempotent.iter().any(|known| known == method);
    let request_id = vm.request_id();
    let mut ran = Ran::NotRun;
    let mut last = String::new();
    for _ in 0..ATTEMPTS_MAX {
        let queue = span.child("queue");
        let slot = slot::acquire(vm, ticket.clone()).await;
        drop(queue);
        let slot = slot.map_err(|refusal| Failure::refused(refusal, ran))?;
        ticket.avoid.push(slot.endpoint);
        let call = call(vm, request, &request_id, &ticket, may_repeat);
        match attempt(vm, slot, call, &request_id, span).await {
            Ok(answer) => {
                let figures = Figures {
                    requests: 1,
                    ..Figures::default()
                };
                usage::bill(vm, &request_id, &account, figures).await;
                return Ok(reply(answer));
            }
            Err(fault) => {
                vm.metrics.attempt("failed");
                last = fault.detail;
                if !fault.is_unsent {
                    ran = Ran::Unknown;
                }
                if !fault.is_unsent && !may_repeat {
                    break;
                }
            }
        }
    }
    Err(Failure::endpoint(last, ran))
}

struct Fault {
    detail: String,
    is_unsent: bool,
}

impl From<Error> for Fault {
    fn from(e: Error) -> Self {
        Self {
            detail: e.to_string(),
            is_unsent: e.is_unsent(),
        }
    }
}

fn call(vm: &Vm, request: &Request, id: &str, ticket: &Ticket, may_repeat: bool) -> Call {
    let mut headers = HeaderMap::new();
    for (name, value) in &request.headers {
        if !STRIPPED.contains(&name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers.insert("x-request-id", link::header_value(id));
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let call = Call::new(request.method.clone(), path)
        .headers(headers)
        .body(request.body.clone())
        .deadline(ticket.deadline - vm.now());
    if may_repeat { call } else { call.fresh() }
}

async fn attempt(
    vm: &Rc<Vm>,
    slot: Slot,
    call: Call,
    request_id: &str,
    span: &telemetry::Span,
) -> Result<Fetched, Fault> {
    let span = span.child("attempt");
    span.set("endpoint", slot.id.clone());
    let result = vm.pool.fetch(slot.address, call.traced(&span)).await;
    let answer = match result {
        Ok(answer) => answer,
        Err(e) => {
            slot.finish(Outcome::Failed);
            return Err(e.into());
        }
    };
    let echoed = answer.headers.get("x-request-id");
    if echoed.is_none_or(|id| id.as_bytes() != request_id.as_bytes()) {
        vm.pool.forget(slot.address);
        slot.finish(Outcome::Failed);
        return Err(Fault {
            detail: "answer to another request".to_string(),
            is_unsent: false,
        });
    }
    vm.metrics.attempt("answered");
    slot.finish(Outcome::Answered);
    Ok(answer)
}

fn reply(answer: Fetched) -> Reply {
    let mut reply = Reply::new(answer.status, answer.body);
    for (name, value) in &answer.headers {
        if !STRIPPED.contains(&name.as_str()) {
            reply.headers_mut().append(name.clone(), value.clone());
        }
    }
    reply
}

/// Answers a path that no route takes.
pub(crate) fn not_found() -> Reply {
    Failure::rejected(
        StatusCode::NOT_FOUND,
        "no-route",
        "no route takes this path",
    )
    .reply()
}
