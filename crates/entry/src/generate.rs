//! Callers' requests to models.

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
    generation::{self, Output, Task},
    refusal::Failure,
    usage,
    vm::Vm,
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Ask {
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

#[derive(Serialize)]
struct Whole<'a> {
    request_id: &'a str,
    model: &'a str,
    text: String,
    versions: &'a [Span],
    finish: &'a str,
    usage: Usage,
}

#[derive(Serialize)]
struct Piece<'a> {
    index: u32,
    token: &'a str,
    version: u64,
}

/// Answers `POST /v1/models/{model}/generate`.
pub(crate) async fn handle(vm: Rc<Vm>, request: Request, model: String) -> Reply {
    let span = vm.telemetry.accept("caller", &request.headers);
    let reply = match prepare(&vm, &request, &model, &span) {
        Err(failure) => {
            vm.metrics.request("generate", failure.code);
            failure.reply()
        }
        Ok((task, true)) => stream(&vm, task, &span),
        Ok((task, false)) => whole(&vm, task, &span).await,
    };
    reply.header("x-trace", span.trace())
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
    let declared = declared
        .ok_or_else(|| Failure::rejected(StatusCode::NOT_FOUND, "no-model", "no such model"))?;
    let ask: Ask = serde_json::from_slice(&request.body)
        .map_err(|e| Failure::rejected(StatusCode::BAD_REQUEST, "bad-json", &e.to_string()))?;
    let is_stream = ask.stream;
    let task = task(vm, request, caller, model, &declared, ask)?;
    span.set("request", task.request_id.clone());
    Ok((task, is_stream))
}

fn task(
    vm: &Rc<Vm>,
    request: &Request,
    caller: Caller,
    model: &str,
    declared: &Model,
    ask: Ask,
) -> Result<Task, Failure> {
    let max_tokens = ask.max_tokens.unwrap_or(declared.max_tokens);
    if max_tokens == 0 || max_tokens > declared.max_tokens {
        let detail = format!("max_tokens must be 1 to {}", declared.max_tokens);
        return Err(Failure::rejected(
            StatusCode::BAD_REQUEST,
            "bad-max-tokens",
            &detail,
        ));
    }
    Ok(Task {
        request_id: vm.request_id(),
        account: caller.account,
        model: model.into(),
        prompt: ask.prompt,
        max_tokens,
        seed: ask.seed,
        class: declared.class,
        deadline: vm.now() + deadline(request, declared.deadline),
        digest: Some(caller.digest),
        oldest_version: 0,
    })
}

/// Returns how long the caller waits: what it says, up to what is declared.
pub(crate) fn deadline(request: &Request, declared: Duration) -> Duration {
    let asked = request
        .header("x-deadline-ms")
        .and_then(|value| value.parse().ok())
        .map(Duration::from_millis);
    asked.map_or(declared, |asked| asked.min(declared))
}

/// What an account uses; billed however the request ends, also when its caller
/// leaves and the request is dropped.
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

    /// Bills what was used, and waits until another VM holds the record.
    async fn settle(&mut self) {
        self.is_billed = true;
        bill(&self.vm, &self.task, &self.output).await;
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        if !self.is_billed && !self.output.tokens.is_empty() {
            let figures = figures(&self.task, &self.output);
            usage::note(&self.vm, &self.task.request_id, &self.task.account, figures);
        }
        self.vm.metrics.request("generate", self.result);
    }
}

async fn whole(vm: &Rc<Vm>, task: Task, span: &telemetry::Span) -> Reply {
    let mut meter = Meter::new(vm, task);
    let Meter { task, output, .. } = &mut meter;
    let result = generation::run(vm, task, output, span, async |_| true).await;
    meter.settle().await;
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

fn summary<'a>(task: &'a Task, output: &'a Output) -> Whole<'a> {
    Whole {
        request_id: &task.request_id,
        model: &task.model,
        text: output.tokens.join(" "),
        versions: &output.spans,
        finish: &output.finish,
        usage: Usage {
            tokens_in: words(&task.prompt),
            tokens_out: output.tokens.len() as u64,
        },
    }
}

fn stream(vm: &Rc<Vm>, task: Task, span: &telemetry::Span) -> Reply {
    let meter = Meter::new(vm, task);
    let (vm, span) = (vm.clone(), span.clone());
    let feed = |sender| async move { feed(&vm, meter, &span, &sender).await };
    Reply::produced(StatusCode::OK, feed).header("content-type", "text/event-stream")
}

async fn feed(vm: &Rc<Vm>, mut meter: Meter, span: &telemetry::Span, sender: &Sender) {
    let pass = async |token: &Token| send(sender, piece(token)).await;
    let Meter { task, output, .. } = &mut meter;
    let result = generation::run(vm, task, output, span, pass).await;
    meter.settle().await;
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
    // The end mark of the body is sent in both cases: the last event says
    // whether the answer is whole. A caller that is gone misses nothing.
    let _ = sender.send(Part::End).await;
}

async fn send(sender: &Sender, data: Bytes) -> bool {
    sender.send(Part::Data(data)).await.is_ok()
}

fn piece(token: &Token) -> Bytes {
    let piece = Piece {
        index: token.index,
        token: &token.token,
        version: token.version,
    };
    event::encode(&serde_json::to_vec(&piece).unwrap_or_default())
}

/// Counts what the account used, also for a request that failed part-way.
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
        tokens_in: words(&task.prompt),
        tokens_out: output.tokens.len() as u64,
        abandoned: 0,
    }
}

/// Counts the words of a prompt, which are its tokens.
fn words(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}
