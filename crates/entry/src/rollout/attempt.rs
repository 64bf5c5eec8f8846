//! One attempt at a sample, with its progress.

use std::{cell::Cell, rc::Rc, time::Duration};

use board::{
    Time,
    config::Class,
    endpoint,
    lot::{self, Id},
};
use link::telemetry;
use policy::{staleness, straggler::Progress};

use super::{newest_version, produce::Job, sample};
use crate::{
    engine::Token,
    generate,
    generation::{self, Output, Task},
    vm::Vm,
};

/// The deadline of one attempt, across all engines it runs on.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(600);

/// An attempt, and its progress as seen by the task that supervises it.
#[derive(Clone)]
pub(crate) struct Attempt {
    pub(super) vm: Rc<Vm>,
    pub(super) job: Rc<Job>,
    /// The endpoint on which the attempt runs.
    pub(super) endpoint: Rc<Cell<Option<endpoint::Key>>>,
    /// The progress, once the attempt has been observed on an engine.
    pub(super) progress: Rc<Cell<Option<Progress>>>,
    task: Rc<Task>,
    avoid: Vec<endpoint::Key>,
}

impl Attempt {
    pub(crate) fn new(
        vm: &Rc<Vm>,
        job: &Rc<Job>,
        id: &Id,
        prompt: &str,
        avoid: Vec<endpoint::Key>,
    ) -> Self {
        let task = Task {
            request_id: vm.request_id(),
            account: job.trainer.account.as_str().into(),
            model: job.trainer.model.as_str().into(),
            prompt: prompt.to_string(),
            max_tokens: job.trainer.max_tokens,
            seed: u64::from(id.index),
            class: Class::Trainer,
            deadline: vm.now() + ATTEMPT_TIMEOUT,
            digest: None,
            oldest_version: oldest_at_dispatch(vm, job),
        };
        Self {
            vm: vm.clone(),
            job: job.clone(),
            endpoint: Rc::default(),
            progress: Rc::default(),
            task: Rc::new(task),
            avoid,
        }
    }

    /// Counts the tokens of a dropped attempt as wasted.
    pub(super) fn count_wasted(&self) {
        let tokens = self.progress.get().map_or(0, |progress| progress.tokens);
        self.vm
            .metrics
            .record_wasted("second-attempt", u64::from(tokens));
    }

    /// Returns the progress of an attempt that reached an engine at `now`.
    pub(super) fn initial_progress(&self, now: Time) -> Progress {
        Progress {
            started: now,
            first_token: None,
            last_token: None,
            tokens: 0,
            tokens_max: self.task.max_tokens,
        }
    }

    /// Records a token, and returns whether to continue: the lot is not done
    /// and the token's version is not too old.
    fn observe(&self, token: &Token) -> bool {
        let now = self.vm.now();
        let mut progress = self.progress.get().unwrap_or(self.initial_progress(now));
        progress.first_token.get_or_insert(now);
        progress.last_token = Some(now);
        progress.tokens += 1;
        self.progress.set(Some(progress));
        let newest = newest_version(&self.vm, &self.job.trainer.model);
        let bound = self.job.trainer.max_staleness;
        let is_recent_enough = token.version >= staleness::oldest_at_sealing(newest, bound);
        is_recent_enough && !self.job.is_ended.get()
    }
}

/// Generates the tokens of a sample, and returns the id of the request and its
/// output; `None` when the sample has to be drawn again.
pub(crate) async fn run(attempt: Attempt, span: telemetry::Span) -> Option<(String, Output)> {
    let vm = &attempt.vm;
    let start = vm.now();
    let mut output = Output {
        avoid: attempt.avoid.clone(),
        endpoint: attempt.endpoint.clone(),
        ..Output::default()
    };
    let sink = async |token: &Token| attempt.observe(token);
    let result = generation::run(vm, &attempt.task, &mut output, &span, sink).await;
    generate::bill(vm, &attempt.task, &output).await;
    if result.is_err() {
        vm.metrics
            .record_wasted("failed", output.tokens.len() as u64);
        return None;
    }
    lot::oldest_version(&output.spans)?;
    let took = vm.now() - start;
    sample::record_duration(vm, &attempt.job, output.tokens.len() as u32, took);
    Some((attempt.task.request_id.clone(), output))
}

/// Returns the oldest version of the weights that may serve a new attempt.
fn oldest_at_dispatch(vm: &Vm, job: &Job) -> u64 {
    let model = &job.trainer.model;
    let newest = newest_version(vm, model);
    let now = vm.now();
    let mut interval = vm.rollouts.version_intervals.borrow_mut();
    let interval = interval.entry(model.clone()).or_default();
    interval.observe(now, newest);
    let durations = vm.rollouts.sample_durations.borrow();
    let sample_time = durations
        .get(model)
        .and_then(|durations| durations.sample_time());
    let expected = interval.expected_versions(now, sample_time.unwrap_or_default());
    staleness::oldest_at_dispatch(newest, job.trainer.max_staleness, expected)
}
