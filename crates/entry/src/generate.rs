//! Generation requests of callers.

use std::{rc::Rc, time::Duration};

use board::{config::Model, lot::Span, usage::Figures};
use link::{
    Bytes, StatusCode, event,
    http::{
        Reply, Request,
        server::{Part, Sender},
    },
    telemetry,
};
use serde::{Deserialize, Serialize};

use crate::{
    auth::{self, Caller},
    engine::Token,
    failure::Failure,
    generation::{self, Output, Task},
    usage,
    vm::Vm,
};

/// The body of a generation request.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Parameters {
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    seed: u64,
}

#[derive(Serialize)]
struct Usage {
    tokens_in: u64,
    tokens_out: u64,
}

/// The body of a complete response, and the last event of a stream.
#[derive(Serialize)]
struct Completion<'a> {
    request_id: &'a str,
    model: &'a str,
    text: String,
    versions: &'a [Span],
    finish: &'a str,
    usage: Usage,
}

/// An event of a streamed response.
#[derive(Serialize)]
struct TokenEvent<'a> {
    index: u32,
    token: &'a str,
    version: u64,
}

/// Answers `POST /v1/models/{model}/generate`.
pub(crate) async fn handle(vm: Rc<Vm>, request: Request, model: String) -> Reply {
    let span = vm.telemetry.start_span("caller", &request.headers);
    let reply = match prepare(&vm, &request, &model, &span) {
        Err(failure) => {
            vm.metrics.record_request("generate", failure.code);
            failure.reply()
        }
        Ok((task, true)) => respond_streaming(&vm, task, &span),
        Ok((task, false)) => respond(&vm, task, &span).await,
    };
    reply.header("x-trace", span.trace_id())
}

fn prepare(
    vm: &Rc<Vm>,
    request: &Request,
    model: &str,
    span: &telemetry::Span,
) -> Result<(Task, bool), Failure> {
    let _admission = span.child("admission");
    let caller = auth::check(vm, request)?;
    let declared = vm.board.borrow().config.models.get(model).cloned();
    let declared = declared.ok_or_else(|| {
        Failure::client_error(
            StatusCode::NOT_FOUND,
            "no-model",
            "the model is not declared",
        )
    })?;
    let parameters: Parameters = serde_json::from_slice(&request.body)
        .map_err(|e| Failure::client_error(StatusCode::BAD_REQUEST, "bad-json", &e.to_string()))?;
    let is_stream = parameters.stream;
    let task = task(vm, request, caller, model, &declared, parameters)?;
    span.set_attribute("request", task.request_id.clone());
    Ok((task, is_stream))
}

fn task(
    vm: &Rc<Vm>,
    request: &Request,
    caller: Caller,
    model: &str,
    declared: &Model,
    parameters: Parameters,
) -> Result<Task, Failure> {
    let max_tokens = parameters.max_tokens.unwrap_or(declared.max_tokens);
    if max_tokens == 0 || max_tokens > declared.max_tokens {
        let detail = format!("max_tokens must be 1 to {}", declared.max_tokens);
        return Err(Failure::client_error(
            StatusCode::BAD_REQUEST,
            "bad-max-tokens",
            &detail,
        ));
    }
    Ok(Task {
        request_id: vm.request_id(),
        account: caller.account,
        model: model.into(),
        prompt: parameters.prompt,
        max_tokens,
        seed: parameters.seed,
        class: declared.class,
        deadline: vm.now() + time_limit(request, declared.deadline),
        digest: Some(caller.digest),
        oldest_version: 0,
    })
}

/// Returns how long the request may take: the time that the caller asks for in
/// `x-deadline-ms`, but no more than `declared`.
pub(crate) fn time_limit(request: &Request, declared: Duration) -> Duration {
    let requested = request
        .header("x-deadline-ms")
        .and_then(|value| value.parse().ok())
        .map(Duration::from_millis);
    requested.map_or(declared, |requested| requested.min(declared))
}

/// The usage of one request. It is billed however the request ends, also when
/// the caller disconnects and the request is dropped.
struct Meter {
    vm: Rc<Vm>,
    task: Task,
    output: Output,
    result: &'static str,
    is_billed: bool,
}

impl Meter {
    fn new(vm: &Rc<Vm>, task: Task) -> Self {
        Self {
            vm: vm.clone(),
            task,
            output: Output::default(),
            result: "caller-left",
            is_billed: false,
        }
    }

    /// Bills the usage so far, and waits until another VM holds a copy of the
    /// record.
    async fn charge(&mut self) {
        self.is_billed = true;
        bill(&self.vm, &self.task, &self.output).await;
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        if !self.is_billed && !self.output.tokens.is_empty() {
            let figures = figures(&self.task, &self.output);
            usage::bill_abandoned(&self.vm, &self.task.request_id, &self.task.account, figures);
        }
        self.vm.metrics.record_request("generate", self.result);
    }
}

async fn respond(vm: &Rc<Vm>, task: Task, span: &telemetry::Span) -> Reply {
    let mut meter = Meter::new(vm, task);
    let Meter { task, output, .. } = &mut meter;
    let result = generation::run(vm, task, output, span, async |_| true).await;
    meter.charge().await;
    match result {
        Ok(()) => {
            meter.result = "answered";
            Reply::json(StatusCode::OK, &summary(&meter.task, &meter.output))
        }
        Err(failure) => {
            meter.result = failure.code;
            failure.reply()
        }
    }
}

fn summary<'a>(task: &'a Task, output: &'a Output) -> Completion<'a> {
    Completion {
        request_id: &task.request_id,
        model: &task.model,
        text: output.tokens.join(" "),
        versions: &output.spans,
        finish: &output.finish,
        usage: Usage {
            tokens_in: count_words(&task.prompt),
            tokens_out: output.tokens.len() as u64,
        },
    }
}

fn respond_streaming(vm: &Rc<Vm>, task: Task, span: &telemetry::Span) -> Reply {
    let meter = Meter::new(vm, task);
    let (vm, span) = (vm.clone(), span.clone());
    let produce = |sender| async move { stream_events(&vm, meter, &span, &sender).await };
    Reply::produced(StatusCode::OK, produce).header("content-type", "text/event-stream")
}

async fn stream_events(vm: &Rc<Vm>, mut meter: Meter, span: &telemetry::Span, sender: &Sender) {
    let forward = async |token: &Token| send(sender, token_event(token)).await;
    let Meter { task, output, .. } = &mut meter;
    let result = generation::run(vm, task, output, span, forward).await;
    meter.charge().await;
    let last = match result {
        Ok(()) => {
            meter.result = "answered";
            serde_json::to_vec(&summary(&meter.task, &meter.output)).unwrap_or_default()
        }
        Err(failure) => {
            meter.result = failure.code;
            failure.json()
        }
    };
    drop(meter);
    send(sender, event::encode(&last)).await;
    // The body ends regularly in both cases, because the last event tells
    // whether the request succeeded. Sending fails if the caller disconnected.
    let _ = sender.send(Part::End).await;
}

async fn send(sender: &Sender, data: Bytes) -> bool {
    sender.send(Part::Data(data)).await.is_ok()
}

fn token_event(token: &Token) -> Bytes {
    let payload = TokenEvent {
        index: token.index,
        token: &token.token,
        version: token.version,
    };
    event::encode(&serde_json::to_vec(&payload).unwrap_or_default())
}

/// Bills the tokens of `output`, also those of a request that failed midway.
pub(crate) async fn bill(vm: &Rc<Vm>, task: &Task, output: &Output) {
    if output.tokens.is_empty() {
        return;
    }
    let figures = figures(task, output);
    usage::bill(vm, &task.request_id, &task.account, figures).await;
}

fn figures(task: &Task, output: &Output) -> Figures {
    Figures {
        requests: 1,
        tokens_in: count_words(&task.prompt),
        tokens_out: output.tokens.len() as u64,
        abandoned: 0,
    }
}

/// Returns the number of tokens of a prompt: each word is billed as one.
fn count_words(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}
