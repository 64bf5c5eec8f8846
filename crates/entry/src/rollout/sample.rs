//! One sample: generated, with a second attempt if the first is a straggler,
//! and scored.

use std::{future::Future, pin::Pin, rc::Rc, time::Duration};

use board::{
    endpoint,
    lot::{self, Id, Sample},
};
use link::telemetry;
use policy::straggler::{self, Budget};

use super::{
    attempt::{self, Attempt},
    newest_version,
    produce::Job,
    score,
};
use crate::{generation::Output, vm::Vm};

const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns a valid sample, or `None` when it has to be drawn again.
pub(crate) async fn draw(
    vm: &Rc<Vm>,
    job: &Rc<Job>,
    id: &Id,
    prompt: &str,
    span: &telemetry::Span,
) -> Option<Sample> {
    let (request_id, output) = generate(vm, job, id, prompt, span).await?;
    let score = score::fetch(vm, job, id, prompt, &output.tokens, span).await?;
    let newest = newest_version(vm, &job.trainer.model);
    let allowed = policy::staleness::oldest_at_sealing(newest, job.trainer.max_staleness);
    if lot::oldest_version(&output.spans)? < allowed {
        vm.metrics
            .record_wasted("stale", output.tokens.len() as u64);
        return None;
    }
    Some(Sample {
        id: id.clone(),
        request_id,
        prompt: prompt.to_string(),
        tokens: output.tokens,
        spans: output.spans,
        score,
    })
}

/// The id of a request and its complete output.
type Generated = (String, Output);
type Running = Pin<Box<dyn Future<Output = Option<Generated>>>>;

/// Runs an attempt, and a concurrent second one if the first is a straggler.
/// The first complete output is returned and the other attempt is dropped,
/// which closes its connection and frees its slot on the engine.
async fn generate(
    vm: &Rc<Vm>,
    job: &Rc<Job>,
    id: &Id,
    prompt: &str,
    span: &telemetry::Span,
) -> Option<Generated> {
    let first = Attempt::new(vm, job, id, prompt, Vec::new());
    let mut running: Running = Box::pin(attempt::run(first.clone(), span.clone()));
    loop {
        if let Ok(output) = monoio::time::timeout(CHECK_INTERVAL, running.as_mut()).await {
            return output;
        }
        if let Some(avoid) = first.straggling_endpoint()
            && try_spend_rerun(vm, job)
        {
            vm.metrics.record_sample("second-attempt");
            let second = Attempt::new(vm, job, id, prompt, vec![avoid]);
            let other: Running = Box::pin(attempt::run(second.clone(), span.clone()));
            return race(running, &first, other, &second).await;
        }
    }
}

async fn race(
    mut first: Running,
    first_attempt: &Attempt,
    mut second: Running,
    second_attempt: &Attempt,
) -> Option<Generated> {
    let (output, remaining, dropped) = monoio::select! {
        output = first.as_mut() => (output, second, second_attempt),
        output = second.as_mut() => (output, first, first_attempt),
    };
    match output {
        Some(output) => {
            drop(remaining);
            dropped.count_wasted();
            Some(output)
        }
        // The attempt that ended first failed, so the result is the other's.
        None => remaining.await,
    }
}

/// Spends the tokens for a second attempt from the budget of the trainer, and
/// returns whether the budget sufficed.
fn try_spend_rerun(vm: &Vm, job: &Job) -> bool {
    let tokens_max = job.trainer.max_tokens;
    let mut budgets = vm.rollouts.rerun_budgets.borrow_mut();
    let budget = budgets.entry(job.step.trainer.clone());
    budget
        .or_insert_with(|| Budget::new(tokens_max, job.trainer.rerun_percent))
        .try_spend(tokens_max)
}

/// Records the duration of a complete output, and adds its tokens to the budget
/// for second attempts.
pub(super) fn record_duration(vm: &Vm, job: &Job, tokens: u32, took: Duration) {
    let tokens_max = job.trainer.max_tokens;
    let mut durations = vm.rollouts.sample_durations.borrow_mut();
    durations
        .entry(job.trainer.model.clone())
        .or_default()
        .observe(took);
    let mut budgets = vm.rollouts.rerun_budgets.borrow_mut();
    let budget = budgets.entry(job.step.trainer.clone());
    budget
        .or_insert_with(|| Budget::new(tokens_max, job.trainer.rerun_percent))
        .earn(tokens, tokens_max);
}

impl Attempt {
    /// Returns the endpoint of the attempt if it is a straggler, so that a
    /// second attempt can avoid that endpoint.
    fn straggling_endpoint(&self) -> Option<endpoint::Key> {
        let durations = self.vm.rollouts.sample_durations.borrow();
        let durations = durations.get(&self.job.trainer.model)?;
        let endpoint = self.endpoint.get()?;
        let now = self.vm.now();
        let progress = self.progress.get().unwrap_or(self.initial_progress(now));
        self.progress.set(Some(progress));
        straggler::is_straggler(&progress, durations, now).then_some(endpoint)
    }
}
