//! One sample: generated, run once more elsewhere when it is slow, scored.

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

const LOOK_TIME: Duration = Duration::from_millis(250);

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
    if lot::oldest(&output.spans)? < allowed {
        vm.metrics.wasted("stale", output.tokens.len() as u64);
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

/// A whole output and the id of its request.
type Whole = (String, Output);
type Running = Pin<Box<dyn Future<Output = Option<Whole>>>>;

/// Runs one attempt, and a second one beside it when the first is slow. The
/// first whole output wins; dropping the other closes its connection, which
/// frees its place on the engine.
async fn generate(
    vm: &Rc<Vm>,
    job: &Rc<Job>,
    id: &Id,
    prompt: &str,
    span: &telemetry::Span,
) -> Option<Whole> {
    let first = Attempt::new(vm, job, id, prompt, Vec::new());
    let mut running: Running = Box::pin(attempt::run(first.clone(), span.clone()));
    loop {
        if let Ok(output) = monoio::time::timeout(LOOK_TIME, running.as_mut()).await {
            return output;
        }
        if let Some(avoid) = first.slow_on()
            && spend(vm, job)
        {
            vm.metrics.sample("second-attempt");
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
) -> Option<Whole> {
    let (output, rest, loser) = monoio::select! {
        output = first.as_mut() => (output, second, second_attempt),
        output = second.as_mut() => (output, first, first_attempt),
    };
    match output {
        Some(output) => {
            drop(rest);
            loser.waste();
            Some(output)
        }
        // One failed: the other is all there is.
        None => rest.await,
    }
}

fn spend(vm: &Vm, job: &Job) -> bool {
    let tokens_max = job.trainer.max_tokens;
    let mut budgets = vm.rollouts.budgets.borrow_mut();
    let budget = budgets.entry(job.step.trainer.clone());
    budget
        .or_insert_with(|| Budget::new(tokens_max, job.trainer.rerun_percent))
        .try_spend(tokens_max)
}

/// Notes a whole output in what is usual and in the budget.
pub(super) fn note(vm: &Vm, job: &Job, tokens: u32, took: Duration) {
    let tokens_max = job.trainer.max_tokens;
    let mut usual = vm.rollouts.usual.borrow_mut();
    usual
        .entry(job.trainer.model.clone())
        .or_default()
        .observe(took);
    let mut budgets = vm.rollouts.budgets.borrow_mut();
    let budget = budgets.entry(job.step.trainer.clone());
    budget
        .or_insert_with(|| Budget::new(tokens_max, job.trainer.rerun_percent))
        .earn(tokens, tokens_max);
}

impl Attempt {
    /// Returns the endpoint on which the attempt is so slow that another one
    /// should run elsewhere.
    fn slow_on(&self) -> Option<endpoint::Key> {
        let usual = self.vm.rollouts.usual.borrow();
        let usual = usual.get(&self.job.trainer.model)?;
        let endpoint = self.endpoint.get()?;
        let now = self.vm.now();
        let progress = self.progress.get().unwrap_or(self.unstarted(now));
        self.progress.set(Some(progress));
        straggler::is_straggler(&progress, usual, now).then_some(endpoint)
    }
}
