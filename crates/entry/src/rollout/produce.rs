//! The production of one lot.

use std::{cell::Cell, cell::RefCell, rc::Rc, time::Duration};

use board::{
    config::Trainer,
    lot::{self, Id, Lot, Sample, Step},
};
use local_sync::mpsc::unbounded;
use policy::lot::Production;

use super::{OpenStep, owner, sample, seal, spool, step};
use crate::vm::Vm;

/// The production of one lot.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) step: step::Name,
    pub(crate) number: u64,
    pub(crate) trainer: Trainer,
    /// Whether no other VM has claimed the lot before, so that there is no
    /// content of an earlier owner to reuse.
    pub(crate) is_first: bool,
    /// Set once the lot is sealed or deleted, by any VM.
    pub(crate) is_ended: Rc<Cell<bool>>,
}

impl Job {
    /// Returns the name of the lot.
    pub(crate) fn name(&self) -> String {
        format!("{}.{}", self.step.trainer, self.number)
    }

    /// Returns the ids of its samples, in order.
    fn ids(&self) -> Vec<Id> {
        let position = (self.number - self.step.lots(&self.trainer).start) as u32;
        let first = position * self.trainer.groups_per_lot;
        let last = (first + self.trainer.groups_per_lot).min(self.trainer.groups_per_step);
        let id = |group, index| Id {
            trainer: self.step.trainer.clone(),
            step: self.step.number,
            group,
            index,
        };
        (first..last)
            .flat_map(|group| (0..self.trainer.group_size).map(move |index| (group, index)))
            .map(|(group, index)| id(group, index))
            .collect()
    }
}

/// Samples of one lot that are produced concurrently.
const RUNNING_SAMPLES_MAX: usize = 64;
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The position of a sample in its lot, and the sample unless it failed.
type Drawn = (usize, Option<Sample>);

/// Produces and seals the lot, unless another VM seals it first.
pub(crate) async fn run(vm: &Rc<Vm>, job: Job, open: &RefCell<OpenStep>) {
    let name = job.name();
    let span = vm.telemetry.start_span("lot", &link::HeaderMap::new());
    span.set_attribute("lot", name.clone());
    let Ok(content) = step::content(vm, &job.step, open).await else {
        // The next tick of `owner` starts the production again.
        return;
    };
    let ids = job.ids();
    let mut production = Production::new(ids.len());
    let mut samples: Vec<Option<Sample>> = vec![None; ids.len()];
    let (sender, mut receiver) = unbounded::channel::<Drawn>();
    let job = Rc::new(job);
    if !job.is_first
        && let Some(adopted) = spool::load(vm, &job, &ids).await
    {
        for (position, sample) in adopted.into_iter().enumerate() {
            insert_sample(&mut production, &mut samples, position, sample);
        }
    }
    let mut is_spooled = false;
    while !job.is_ended.get() {
        for position in production.start_missing(RUNNING_SAMPLES_MAX) {
            start_sample(
                vm,
                &job,
                &content,
                ids[position].clone(),
                position,
                sender.clone(),
                &span,
            );
        }
        if production.is_complete() {
            match try_seal(vm, &job, &mut production, &samples, &span).await {
                Sealing::Finished => return,
                Sealing::Stale => is_spooled = false,
                Sealing::Failed => {
                    if !is_spooled {
                        spool::store(vm, &build_lot(&job, &samples)).await;
                        is_spooled = true;
                    }
                    monoio::time::sleep(RETRY_DELAY).await;
                }
            }
            continue;
        }
        let next = monoio::time::timeout(RETRY_DELAY, receiver.recv()).await;
        let Ok(Some((position, result))) = next else {
            continue;
        };
        record_result(vm, &mut production, &mut samples, position, result);
    }
}

fn record_result(
    vm: &Vm,
    production: &mut Production,
    samples: &mut [Option<Sample>],
    position: usize,
    result: Option<Sample>,
) {
    let Some(sample) = result else {
        vm.metrics.record_sample("redrawn");
        production.record_failure(position);
        return;
    };
    if insert_sample(production, samples, position, sample) {
        vm.metrics.record_sample("kept");
    }
}

/// Stores a sample at its position, and returns whether it is the first one
/// there.
fn insert_sample(
    production: &mut Production,
    samples: &mut [Option<Sample>],
    position: usize,
    sample: Sample,
) -> bool {
    let oldest = lot::oldest_version(&sample.spans).unwrap_or_default();
    let is_first = production.record_score(position, oldest);
    if is_first {
        samples[position] = Some(sample);
    }
    is_first
}

fn build_lot(job: &Job, samples: &[Option<Sample>]) -> Lot {
    Lot {
        trainer: job.step.trainer.clone(),
        number: job.number,
        step: job.step.number,
        samples: samples.iter().flatten().cloned().collect(),
    }
}

/// The result of an attempt to seal a lot.
enum Sealing {
    /// The lot is sealed or deleted, so its production ends.
    Finished,
    /// Some samples were too old; they were discarded and are drawn again.
    Stale,
    /// The platform could not be read or written.
    Failed,
}

fn start_sample(
    vm: &Rc<Vm>,
    job: &Rc<Job>,
    content: &Rc<Step>,
    id: Id,
    position: usize,
    sender: unbounded::Tx<Drawn>,
    span: &link::telemetry::Span,
) {
    let span = span.child("sample");
    let (vm, job, content) = (vm.clone(), job.clone(), content.clone());
    monoio::spawn(async move {
        let prompt = content.prompts.get(id.group as usize);
        let sample = match prompt {
            Some(prompt) => sample::draw(&vm, &job, &id, prompt, &span).await,
            None => None,
        };
        if sample.is_none() && !job.is_ended.get() {
            monoio::time::sleep(RETRY_DELAY).await;
        }
        // The receiver is dropped once the production has ended.
        let _ = sender.send((position, sample));
    });
}

/// Seals the lot, unless samples are too old.
async fn try_seal(
    vm: &Rc<Vm>,
    job: &Job,
    production: &mut Production,
    samples: &[Option<Sample>],
    span: &link::telemetry::Span,
) -> Sealing {
    let _sealing = span.child("sealing");
    let Ok(newest) = seal::read_newest_version(vm, &job.trainer.model).await else {
        return Sealing::Failed;
    };
    let allowed = policy::staleness::oldest_at_sealing(newest, job.trainer.max_staleness);
    let discarded = production.discard_older(allowed);
    if !discarded.is_empty() {
        let tokens = |position: &usize| samples[*position].as_ref().map_or(0, |s| s.tokens.len());
        let wasted: usize = discarded.iter().map(tokens).sum();
        vm.metrics.record_wasted("stale", wasted as u64);
        return Sealing::Stale;
    }
    let lot = build_lot(job, samples);
    match seal::write(vm, &job.name(), &lot, newest).await {
        Ok(Some(manifest)) => {
            owner::record_sealed(vm, &job.name(), manifest);
            Sealing::Finished
        }
        Ok(None) => {
            owner::record_deleted(vm, &job.name());
            Sealing::Finished
        }
        Err(_) => Sealing::Failed,
    }
}
