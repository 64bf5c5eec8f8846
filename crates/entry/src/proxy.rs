//! Requests on routes, which are forwarded to plain services.

use std::{
    cell::Cell,
    future::{Future, poll_fn},
    pin::{Pin, pin},
    rc::Rc,
    sync::Arc,
    task::Poll,
};

use board::{config::Route, ticket::Ticket};
use link::{
    Method, StatusCode,
    http::{
        Error, Reply, Request,
        client::{Call, Fetched},
        error::Kind,
        forwarded_headers,
    },
    telemetry,
};
use policy::{call::Outcome, execution::Execution};

use crate::{
    auth::{self, Caller},
    exchange::{self, Billing, Exchange},
    failure::Failure,
    generate,
    slot::{self, Slot},
    timeouts::Timeouts,
    usage,
    vm::Vm,
};

const ATTEMPTS_MAX: usize = 3;

/// Headers that are not forwarded: those that may hold credentials, and
/// `x-request-ran`, which only this daemon sets.
const STRIPPED_HEADERS: [&str; 4] = ["authorization", "cookie", "x-api-key", "x-request-ran"];

/// Returns the name of the route that matches `path`, and the route: the one
/// with the longest prefix.
pub(crate) fn find_route(vm: &Vm, path: &str) -> Option<(String, Route)> {
    let board = vm.board.borrow();
    let matches = |route: &Route| {
        path.strip_prefix(route.path.as_str()).is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || route.path.ends_with('/')
        })
    };
    board
        .config
        .routes
        .iter()
        .filter(|(_, route)| matches(route))
        .max_by_key(|(_, route)| route.path.len())
        .map(|(name, route)| (name.clone(), route.clone()))
}

/// Answers a request on a route.
pub(crate) async fn handle(vm: Rc<Vm>, request: Request, name: String, route: Route) -> Reply {
    let span = vm.telemetry.start_span("caller", &request.headers);
    let reply = match serve(&vm, &request, &name, &route, &span).await {
        Ok(reply) => {
            vm.metrics.record_request("route", "answered");
            reply
        }
        Err(failure) => {
            vm.metrics.record_request("route", failure.code);
            failure.reply()
        }
    };
    reply.header("x-trace", span.trace_id())
}

async fn serve(
    vm: &Rc<Vm>,
    request: &Request,
    name: &str,
    route: &Route,
    span: &telemetry::Span,
) -> Result<Reply, Failure> {
    let execution = Cell::new(Execution::NotRun);
    if route.public {
        let account = format!("public:{name}").into();
        return attempts(vm, request, account, route, span, &execution).await;
    }
    let Caller { account, digest } = auth::check(vm, request)?;
    monoio::select! {
        result = attempts(vm, request, account, route, span, &execution) => result,
        () = auth::wait_withdrawn(vm, &digest) => Err(Failure::key_withdrawn(execution.get())),
    }
}

async fn attempts(
    vm: &Rc<Vm>,
    request: &Request,
    account: Arc<str>,
    route: &Route,
    span: &telemetry::Span,
    execution: &Cell<Execution>,
) -> Result<Reply, Failure> {
    let mut ticket = ticket(vm, request, &account, route);
    let method = request.method.as_str();
    let may_repeat = route.idempotent.iter().any(|known| known == method);
    let request_id = vm.request_id();
    let mut last_error = String::new();
    for number in 1..=ATTEMPTS_MAX {
        slot::reset_exhausted_avoid(vm, &route.service, &mut ticket.avoid);
        let queue = span.child("queue");
        let slot = slot::acquire(vm, ticket.clone()).await;
        drop(queue);
        let slot = slot.map_err(|rejection| Failure::unserved(rejection, execution.get()))?;
        ticket.avoid.push(slot.endpoint);
        let is_last = !may_repeat || number == ATTEMPTS_MAX;
        let call = call(vm, request, &request_id, &ticket, may_repeat, is_last);
        // From here on the request may have run, even if this future is
        // dropped; reset below if the attempt certainly did not run.
        let previous = execution.replace(Execution::Unknown);
        let exchange = attempt_or_hedge(vm.clone(), slot, call, ticket.clone(), span.clone());
        let billing = Billing::new(vm, &request_id, &account);
        let result = Exchange::new(billing, exchange).await;
        match result {
            Ok(answer) => {
                usage::bill(vm, &request_id, &account, exchange::REQUEST_USAGE).await;
                return Ok(reply(request, answer));
            }
            Err(e) => {
                vm.metrics.record_attempt("failed");
                if e.is_unsent() {
                    execution.set(previous);
                }
                last_error = e.to_string();
                let service = &route.service;
                let may_retry = e.is_unsent()
                    || (may_repeat
                        && policy::retry::try_spend(&mut vm.board.borrow_mut(), service));
                if !may_retry {
                    break;
                }
            }
        }
    }
    Err(Failure::endpoint_failed(last_error, execution.get()))
}

fn ticket(vm: &Vm, request: &Request, account: &Arc<str>, route: &Route) -> Ticket {
    let now = vm.now();
    let deadline = now + generate::time_limit(request, route.deadline);
    Ticket::new(account.clone(), route.service.as_str(), now, deadline).class(route.class)
}

/// Returns the call for one attempt. A call that may be repeated gets half of
/// the remaining time unless it is the last attempt, so that there is time for
/// another one. A call that may not be repeated uses a new connection, because
/// the endpoint may close an idle pooled connection just as the call is sent.
fn call(
    vm: &Vm,
    request: &Request,
    id: &str,
    ticket: &Ticket,
    may_repeat: bool,
    is_last: bool,
) -> Call {
    let time_left = ticket.deadline - vm.now();
    let call = Call::new(request.method.clone(), request.target())
        .headers(forwarded_headers(&request.headers, &STRIPPED_HEADERS))
        .request_id(id)
        .idempotent(may_repeat)
        .body(request.body.clone())
        .connect_timeout(Timeouts::of(ticket.class).connect)
        .deadline(if is_last { time_left } else { time_left / 2 });
    if may_repeat {
        call
    } else {
        call.new_connection()
    }
}

/// Runs an attempt, hedged if the call may be repeated.
async fn attempt_or_hedge(
    vm: Rc<Vm>,
    slot: Slot,
    call: Call,
    ticket: Ticket,
    span: telemetry::Span,
) -> Result<Fetched, Error> {
    match call.may_repeat() {
        true => hedged(&vm, slot, call, &ticket, &span).await,
        false => attempt(&vm, slot, call, &span).await,
    }
}

/// Runs an attempt, and a concurrent second one once the first exceeds the
/// hedging delay of the service. The first answer is returned and the other
/// attempt is dropped, which closes its connection and releases its slot.
async fn hedged(
    vm: &Rc<Vm>,
    slot: Slot,
    call: Call,
    ticket: &Ticket,
    span: &telemetry::Span,
) -> Result<Fetched, Error> {
    let delay = policy::hedge::delay(&vm.board.borrow(), &ticket.service, ticket.cost);
    let Some(delay) = delay else {
        return attempt(vm, slot, call, span).await;
    };
    let mut first = pin!(attempt(vm, slot, call.clone(), span));
    if let Ok(result) = monoio::time::timeout(delay, first.as_mut()).await {
        return result;
    }
    let Some(slot) = slot::hedge(vm, ticket.clone()) else {
        return first.await;
    };
    vm.metrics.record_attempt("hedged");
    let second = pin!(attempt(vm, slot, call, span));
    first_success(first, second).await
}

/// Returns the first success, or an error once both attempts have failed.
///
/// That error counts as sent, because the first attempt was sent before the
/// second one started.
async fn first_success<A>(mut first: Pin<&mut A>, mut second: Pin<&mut A>) -> Result<Fetched, Error>
where
    A: Future<Output = Result<Fetched, Error>>,
{
    let mut failed = [false; 2];
    poll_fn(|cx| {
        for (attempt, has_failed) in [&mut first, &mut second].into_iter().zip(&mut failed) {
            if *has_failed {
                continue;
            }
            match attempt.as_mut().poll(cx) {
                Poll::Pending => {}
                Poll::Ready(Ok(answer)) => return Poll::Ready(Ok(answer)),
                Poll::Ready(Err(_)) => *has_failed = true,
            }
        }
        if failed == [true; 2] {
            let detail = "both attempts of a hedged call failed";
            return Poll::Ready(Err(Error::new(Kind::Incomplete, detail)));
        }
        Poll::Pending
    })
    .await
}

async fn attempt(
    vm: &Rc<Vm>,
    slot: Slot,
    call: Call,
    span: &telemetry::Span,
) -> Result<Fetched, Error> {
    let span = span.child("attempt");
    span.set_attribute("endpoint", slot.id.clone());
    let result = vm.pool.fetch(slot.address, call.traced(&span)).await;
    match &result {
        Ok(_) => {
            vm.metrics.record_attempt("answered");
            slot.finish(Outcome::Answered);
        }
        Err(e) => {
            if e.kind() == Kind::Timeout {
                vm.pool.close_idle(slot.address);
            }
            slot.finish(Outcome::Failed);
        }
    }
    result
}

fn reply(request: &Request, answer: Fetched) -> Reply {
    let mut reply = Reply::new(answer.status, answer.body);
    *reply.headers_mut() = forwarded_headers(&answer.headers, &STRIPPED_HEADERS);
    if request.method == Method::HEAD
        && let Some(length) = answer.headers.get("content-length")
    {
        // The response to a HEAD has no body; this is the length of the body
        // of a GET.
        reply.headers_mut().insert("content-length", length.clone());
    }
    reply
}

/// Returns the reply to a path that no route matches.
pub(crate) fn not_found() -> Reply {
    Failure::client_error(
        StatusCode::NOT_FOUND,
        "no-route",
        "no route matches this path",
    )
    .reply()
}
