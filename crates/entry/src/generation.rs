//! One generation: attempts on engines until the tokens are whole.
//!
//! A generation that loses its engine goes on elsewhere from the tokens so
//! far, so that no token is lost or doubled.

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
use policy::call::{Outcome, Reason, Refusal};

use crate::{
    auth,
    engine::{self, Event, Fault, Prompt, Token},
    refusal::{Failure, Ran},
    slot::{self, Slot},
    vm::Vm,
};

/// What to generate.
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
    /// The key to check while the stream runs, for a caller's request.
    pub(crate) digest: Option<Digest>,
    pub(crate) oldest_version: u64,
}

/// What was generated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Output {
    pub(crate) tokens: Vec<String>,
    pub(crate) spans: Vec<Span>,
    pub(crate) finish: String,
    /// Endpoints that the next attempt keeps away from.
    pub(crate) avoid: Vec<endpoint::Key>,
    /// Where the attempt that runs was sent, for who watches it.
    pub(crate) endpoint: Rc<Cell<Option<endpoint::Key>>>,
}

const ATTEMPTS_MAX: usize = 4;

/// Runs `task` and hands each new token to `sink`, which returns whether to go
/// on. `output` holds the tokens so far, also after a failure.
///
/// # Errors
///
/// The [`Failure`] to tell the caller.
pub(crate) async fn run(
    vm: &Rc<Vm>,
    task: &Task,
    output: &mut Output,
    span: &telemetry::Span,
    mut sink: impl AsyncFnMut(&Token) -> bool,
) -> Result<(), Failure> {
    let mut avoid = output.avoid.clone();
    let mut ran = Ran::NotRun;
    let mut last = String::new();
    for _ in 0..ATTEMPTS_MAX {
        slot::forgive(vm, &task.model, &mut avoid);
        let queue = span.child("queue");
        let slot = slot::acquire(vm, ticket(vm, task, &avoid)).await;
        drop(queue);
        let slot = slot.map_err(|refusal| Failure::refused(refusal, ran))?;
        let endpoint = slot.endpoint;
        output.endpoint.set(Some(endpoint));
        match attempt(vm, task, output, span, slot, &mut sink).await {
            Ok(Ended::Whole) => return Ok(()),
            Ok(Ended::Left) => return Err(left()),
            Ok(Ended::Withdrawn) => return Err(withdrawn()),
            Err(fault) => {
                vm.metrics.attempt("failed");
                if !fault.is_unsent() && !matches!(fault, Fault::Refused(_)) {
                    ran = Ran::Unknown;
                }
                last = fault.to_string();
                avoid.push(endpoint);
            }
        }
        if task.deadline <= vm.now() {
            let refusal = Refusal {
                reason: Reason::Deadline,
                retry_after: policy::admission::RETRY_AFTER,
            };
            return Err(Failure::refused(refusal, ran));
        }
    }
    Err(Failure::endpoint(last, ran))
}

enum Ended {
    Whole,
    Left,
    Withdrawn,
}

async fn attempt(
    vm: &Rc<Vm>,
    task: &Task,
    output: &mut Output,
    span: &telemetry::Span,
    slot: Slot,
    sink: &mut impl AsyncFnMut(&Token) -> bool,
) -> Result<Ended, Fault> {
    let span = span.child("attempt");
    span.set("endpoint", slot.id.clone());
    let mut headers = HeaderMap::new();
    span.inject(&mut headers);
    let resume = output.tokens.clone();
    let prompt = Prompt {
        request_id: &task.request_id,
        model: &task.model,
        prompt: &task.prompt,
        max_tokens: task.max_tokens,
        priority: task.class.priority(),
        seed: task.seed,
        resume: &resume,
    };
    let left = task.deadline - vm.now();
    let result = stream(vm, task, output, &slot, &prompt, headers, left, sink).await;
    let outcome = match &result {
        Ok(Ended::Whole) => Outcome::Answered,
        Ok(Ended::Left | Ended::Withdrawn) => Outcome::Abandoned,
        Err(_) => Outcome::Failed,
    };
    slot.finish(outcome);
    result
}

#[allow(clippy::too_many_arguments)]
async fn stream(
    vm: &Rc<Vm>,
    task: &Task,
    output: &mut Output,
    slot: &Slot,
    prompt: &Prompt<'_>,
    headers: HeaderMap,
    left: Duration,
    sink: &mut impl AsyncFnMut(&Token) -> bool,
) -> Result<Ended, Fault> {
    let mut stream = engine::open(&vm.pool, slot, prompt, headers, left).await?;
    loop {
        let token = match stream.next().await? {
            Event::Done(done) => {
                output.finish = done.finish;
                stream.close().await;
                vm.metrics.attempt("answered");
                return Ok(Ended::Whole);
            }
            Event::Token(token) => token,
        };
        let is_good = |digest| auth::is_good(&vm.board.borrow(), digest);
        if !task.digest.as_ref().is_none_or(is_good) {
            return Ok(Ended::Withdrawn);
        }
        lot::extend(&mut output.spans, token.index, token.version);
        output.tokens.push(token.token.clone());
        if !sink(&token).await {
            return Ok(Ended::Left);
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
    .prefix(prefix(&task.prompt))
    .avoid(avoid)
    .oldest_version(task.oldest_version)
}

const PREFIX_WORDS: usize = 32;

/// Returns a hash of the start of `prompt`, which names the cached prefix.
fn prefix(prompt: &str) -> u64 {
    let mut hasher = board::hash::Hasher::default();
    for word in prompt.split_whitespace().take(PREFIX_WORDS) {
        word.hash(&mut hasher);
    }
    hasher.finish()
}

fn left() -> Failure {
    Failure::rejected(
        link::StatusCode::BAD_REQUEST,
        "caller-left",
        "the caller left",
    )
}

fn withdrawn() -> Failure {
    Failure {
        ran: Ran::Unknown,
        ..Failure::rejected(
            link::StatusCode::UNAUTHORIZED,
            "key-withdrawn",
            "the key was withdrawn",
        )
    }
}
