//! Production of lots: generation, scoring and sealing of samples.

use std::{rc::Rc, time::Duration};

use board::{
    config::{Class, Trainer},
    lot::{self, Id, Lot, Sample, Step},
};
use link::{http::client::Call, telemetry};
use serde::{Deserialize, Serialize};

use crate::{
    generate,
    generation::{self, Output, Task},
    vm::Vm,
};

#[derive(Serialize)]
struct Question<'a> {
    key: String,
    prompt: &'a str,
    tokens: &'a [String],
}

#[derive(Deserialize)]
struct Scored {
    score: f64,
}

const SAMPLE_TIME: Duration = Duration::from_secs(600);
const SCORE_TIME: Duration = Duration::from_secs(5);
const RETRY_TIME: Duration = Duration::from_millis(200);

/// One step in production.
struct Job {
    name: String,
    trainer: Trainer,
    step: u64,
    prompts: Vec<String>,
}

/// Starts the production of every lot of a step.
pub(crate) fn start(vm: &Rc<Vm>, name: &str, trainer: &Trainer, step: u64, prompts: Step) {
    let job = Rc::new(Job {
        name: name.to_string(),
        trainer: trainer.clone(),
        step,
        prompts: prompts.prompts,
    });
    for place in 0..trainer.lots_per_step() {
        let vm = vm.clone();
        let job = job.clone();
        monoio::spawn(async move { produce(&vm, &job, place).await });
    }
}

async fn produce(vm: &Rc<Vm>, job: &Rc<Job>, place: u32) {
    let number = job.step * u64::from(job.trainer.lots_per_step()) + u64::from(place);
    let claim = format!("{}.{number}", job.name);
    let claimed = vm.platform.create("claim", &claim, vm.settings.vm.clone());
    match claimed.await {
        Ok(object) if object.value == vm.settings.vm.as_bytes() => {}
        _ => return,
    }
    let span = vm.telemetry.accept("lot", &link::HeaderMap::new());
    span.set("lot", claim.clone());
    let samples = generate_all(vm, job, place, &span).await;
    let lot = Lot {
        trainer: job.name.clone(),
        number,
        step: job.step,
        samples,
    };
    seal(vm, &claim, &lot, &span).await;
}

async fn generate_all(
    vm: &Rc<Vm>,
    job: &Rc<Job>,
    place: u32,
    span: &telemetry::Span,
) -> Vec<Sample> {
    let first = place * job.trainer.groups_per_lot;
    let last = (first + job.trainer.groups_per_lot).min(job.trainer.groups_per_step);
    let mut running = Vec::new();
    for group in first..last {
        for index in 0..job.trainer.group {
            let vm = vm.clone();
            let job = job.clone();
            let span = span.child("sample");
            running.push(monoio::spawn(async move {
                sample(&vm, &job, group, index, &span).await
            }));
        }
    }
    let mut samples = Vec::with_capacity(running.len());
    for task in running {
        samples.push(task.await);
    }
    samples
}

async fn sample(vm: &Rc<Vm>, job: &Job, group: u32, index: u32, span: &telemetry::Span) -> Sample {
    let id = Id {
        trainer: job.name.clone(),
        step: job.step,
        group,
        index,
    };
    loop {
        if let Some(sample) = draw(vm, job, &id, span).await {
            vm.metrics.sample("kept");
            return sample;
        }
        vm.metrics.sample("redrawn");
        monoio::time::sleep(RETRY_TIME).await;
    }
}

async fn draw(vm: &Rc<Vm>, job: &Job, id: &Id, span: &telemetry::Span) -> Option<Sample> {
    let prompt = job.prompts.get(id.group as usize)?;
    let task = Task {
        request_id: vm.request_id(),
        account: job.trainer.account.as_str().into(),
        model: job.trainer.model.as_str().into(),
        prompt: prompt.clone(),
        max_tokens: job.trainer.max_tokens,
        seed: u64::from(id.index),
        class: Class::Trainer,
        deadline: vm.now() + SAMPLE_TIME,
        digest: None,
        oldest_version: oldest_version(vm, job),
    };
    let mut output = Output::default();
    let result = generation::run(vm, &task, &mut output, span, async |_| true).await;
    generate::bill(vm, &task, &output).await;
    result.ok()?;
    let score = score(vm, job, id, prompt, &output.tokens, span).await?;
    if lot::oldest(&output.spans)? < oldest_version(vm, job) {
        return None;
    }
    Some(Sample {
        id: id.clone(),
        prompt: prompt.clone(),
        tokens: output.tokens,
        spans: output.spans,
        score,
    })
}

fn oldest_version(vm: &Vm, job: &Job) -> u64 {
    let board = vm.board.borrow();
    let newest = board.weights.get(&job.trainer.model).copied();
    newest
        .unwrap_or_default()
        .saturating_sub(u64::from(job.trainer.max_staleness))
}

async fn score(
    vm: &Rc<Vm>,
    job: &Job,
    id: &Id,
    prompt: &str,
    tokens: &[String],
    span: &telemetry::Span,
) -> Option<f64> {
    let span = span.child("scoring");
    let question = Question {
        key: id.to_string(),
        prompt,
        tokens,
    };
    let body = serde_json::to_vec(&question).ok()?;
    let call = Call::post("/v1/score", body)
        .deadline(SCORE_TIME)
        .traced(&span);
    let answer = vm.pool.fetch(job.trainer.scorer, call).await.ok()?;
    let scored: Scored = serde_json::from_slice(&answer.body).ok()?;
    Some(scored.score)
}

async fn seal(vm: &Rc<Vm>, name: &str, lot: &Lot, span: &telemetry::Span) {
    let _sealing = span.child("sealing");
    let value = serde_json::to_vec(lot).unwrap_or_default();
    while vm
        .platform
        .create("lot", name, value.clone())
        .await
        .is_err()
    {
        monoio::time::sleep(RETRY_TIME).await;
    }
    spdlog::info!("lot sealed", kv: { lot = name });
}
