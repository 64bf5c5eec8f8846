//! One generation: attempts on engines until all tokens are generated.
//!
//! When an engine fails, the next attempt resumes on another engine after the
//! tokens received so far, so that no token is lost or duplicated.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use board::{
    Time,
    config::Class,
    endpoint,
    key::Digest,
    lot::{self, Span},
    ticket::Ticket,
};
use link::{HeaderMap, telemetry};
use policy::{
    call::{Outcome, Reason, Rejection},
    execution::Execution,
};

use crate::{
    auth,
    engine::{self, Event, Fault, Prompt, Token},
    failure::Failure,
    slot::{self, Slot},
    timeouts::Timeouts,
    vm::Vm,
};

/// A generation to run.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) request_id: String,
    pub(crate) account: Arc<str>,
    pub(crate) model: Arc<str>,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) seed: u64,
    pub(crate) class: Class,
    pub(crate) deadline: Time,
    /// The digest of the caller's key, which is checked until the request ends;
    /// `None` for a trainer's sample.
    pub(crate) digest: Option<Digest>,
    /// The oldest version of the weights with which an engine may run it.
    pub(crate) oldest_version: u64,
}

/// The result of a generation, which may be partial.
#[derive(Clone, Debug, Default)]
pub(crate) struct Output {
    pub(crate) tokens: Vec<String>,
    pub(crate) spans: Vec<Span>,
    pub(crate) finish: String,
    /// Endpoints to avoid from the first attempt on.
    pub(crate) avoid: Vec<endpoint::Key>,
    /// The endpoint of the current attempt, shared with the caller of [`run`].
    pub(crate) endpoint: Rc<Cell<Option<endpoint::Key>>>,
}

const ATTEMPTS_MAX: usize = 4;

/// Runs `task` and passes each new token to `sink`, which returns whether to
/// continue. `output` holds the tokens so far, also after a failure or when the
/// future is dropped.
///
/// # Errors
///
/// A [`Failure`] when the generation did not complete.
pub(crate) async fn run(
    vm: &Rc<Vm>,
    task: &Task,
    output: &mut Output,
    span: &telemetry::Span,
    sink: impl AsyncFnMut(&Token) -> bool,
) -> Result<(), Failure> {
    let execution = Cell::new(Execution::NotRun);
    let work = attempts(vm, task, output, span, &execution, sink);
    let Some(digest) = &task.digest else {
        return work.await;
    };
    monoio::select! {
        result = work => result,
        () = auth::wait_withdrawn(vm, digest) => Err(Failure::key_withdrawn(execution.get())),
    }
}

async fn attempts(
    vm: &Rc<Vm>,
    task: &Task,
    output: &mut Output,
    span: &telemetry::Span,
    execution: &Cell<Execution>,
    mut sink: impl AsyncFnMut(&Token) -> bool,
) -> Result<(), Failure> {
    let mut avoid = output.avoid.clone();
    let mut last_error = String::new();
    for number in 0..ATTEMPTS_MAX {
        slot::reset_exhausted_avoid(vm, &task.model, &mut avoid);
        let queue = span.child("queue");
        let slot = slot::acquire(vm, ticket(vm, task, &avoid)).await;
        drop(queue);
        let slot = slot.map_err(|rejection| Failure::unserved(rejection, execution.get()))?;
        let endpoint = slot.endpoint;
        output.endpoint.set(Some(endpoint));
        // From here on the request may have run, even if this future is
        // dropped; reset below if the attempt certainly did not run.
        let previous = execution.replace(Execution::Unknown);
        let request_id = attempt_id(task, number);
        // Resuming a stream repeats no work, so only an attempt that may have
        // run without producing a token is charged to the retry budget.
        let tokens = output.tokens.len();
        match attempt(vm, task, output, span, slot, &request_id, &mut sink).await {
            Ok(Ending::Complete) => return Ok(()),
            Ok(Ending::Stopped) => return Err(caller_disconnected()),
            Err(fault) => {
                vm.metrics.record_attempt("failed");
                if fault.has_not_run() {
                    execution.set(previous);
                }
                last_error = fault.to_string();
                avoid.push(endpoint);
                let is_retry_charged = !fault.has_not_run() && output.tokens.len() == tokens;
                if is_retry_charged
                    && !policy::retry::try_spend(&mut vm.board.borrow_mut(), &task.model)
                {
                    break;
                }
            }
        }
        if task.deadline <= vm.now() {
            let rejection = Rejection {
                reason: Reason::Deadline,
                retry_after: policy::admission::RETRY_AFTER,
            };
            return Err(Failure::unserved(rejection, execution.get()));
        }
    }
    Err(Failure::endpoint_failed(last_error, execution.get()))
}

/// Returns a separate id for each attempt of a caller's request, so that a late
/// response to, or cancellation of, an earlier attempt cannot affect it. All
/// attempts of a sample share one id, by which their tokens are found in the
/// logs of engines.
fn attempt_id(task: &Task, number: usize) -> String {
    if number == 0 || task.digest.is_none() {
        return task.request_id.clone();
    }
    format!("{}.{number}", task.request_id)
}

/// How a stream ended without an error.
enum Ending {
    /// The engine sent all tokens.
    Complete,
    /// The sink returned that the generation should stop.
    Stopped,
}

async fn attempt(
    vm: &Rc<Vm>,
    task: &Task,
    output: &mut Output,
    span: &telemetry::Span,
    slot: Slot,
    request_id: &str,
    sink: &mut impl AsyncFnMut(&Token) -> bool,
) -> Result<Ending, Fault> {
    let span = span.child("attempt");
    span.set_attribute("endpoint", slot.id.clone());
    let mut headers = HeaderMap::new();
    span.inject(&mut headers);
    let resume = output.tokens.clone();
    let prompt = Prompt {
        request_id,
        model: &task.model,
        prompt: &task.prompt,
        max_tokens: task.max_tokens,
        priority: task.class.priority(),
        seed: task.seed,
        resume: &resume,
    };
    let time_left = task.deadline - vm.now();
    let work = stream(vm, task, output, &slot, &prompt, headers, time_left, sink);
    let result = match monoio::time::timeout(time_left, work).await {
        Ok(result) => result,
        Err(_) => Err(Fault::DeadlineExceeded),
    };
    match &result {
        Ok(Ending::Complete) => slot.finish(Outcome::Answered),
        // A deadline that passed does not mean that the engine failed.
        Ok(Ending::Stopped) | Err(Fault::DeadlineExceeded) => slot.finish(Outcome::Abandoned),
        Err(fault) if fault.is_timeout() => probe_unresponsive(vm, slot),
        Err(_) => slot.finish(Outcome::Failed),
    }
    result
}

/// Drops the pooled connections to an engine that timed out, and probes it on a
/// new connection: either the engine failed or only the old connection did.
fn probe_unresponsive(vm: &Rc<Vm>, slot: Slot) {
    vm.pool.close_idle(slot.address);
    let vm = vm.clone();
    monoio::spawn(async move {
        let outcome = match engine::probe(&vm.pool, slot.address).await {
            true => Outcome::Abandoned,
            false => Outcome::Failed,
        };
        vm.metrics.record_probe(outcome == Outcome::Abandoned);
        slot.finish(outcome);
    });
}

#[allow(clippy::too_many_arguments)]
async fn stream(
    vm: &Rc<Vm>,
    task: &Task,
    output: &mut Output,
    slot: &Slot,
    prompt: &Prompt<'_>,
    headers: HeaderMap,
    time_left: Duration,
    sink: &mut impl AsyncFnMut(&Token) -> bool,
) -> Result<Ending, Fault> {
    let timeouts = Timeouts::of(task.class);
    let mut stream = engine::open(&vm.pool, slot, prompt, headers, time_left, timeouts).await?;
    loop {
        let token = match stream.next().await? {
            Event::Done(done) => {
                output.finish = done.finish;
                stream.close().await;
                vm.metrics.record_attempt("answered");
                return Ok(Ending::Complete);
            }
            Event::Token(token) => token,
        };
        lot::append_token(&mut output.spans, token.index, token.version);
        output.tokens.push(token.token.clone());
        if !sink(&token).await {
            return Ok(Ending::Stopped);
        }
    }
}

fn ticket(vm: &Vm, task: &Task, avoid: &[endpoint::Key]) -> Ticket {
    Ticket::new(
        task.account.clone(),
        task.model.clone(),
        vm.now(),
        task.deadline,
    )
    .class(task.class)
    .cost(task.max_tokens)
    .prefix(prefix_hash(&task.prompt))
    .avoid(avoid)
    .oldest_version(task.oldest_version)
}

const PREFIX_WORDS_MAX: usize = 32;

/// Returns a hash of the first words of `prompt`, which identifies the prefix
/// that engines cache.
fn prefix_hash(prompt: &str) -> u64 {
    let mut hasher = board::hash::Hasher::default();
    for word in prompt.split_whitespace().take(PREFIX_WORDS_MAX) {
        word.hash(&mut hasher);
    }
    hasher.finish()
}

fn caller_disconnected() -> Failure {
    Failure::client_error(
        link::StatusCode::BAD_REQUEST,
        "caller-left",
        "the caller closed the connection",
    )
}
