//! The production of one lot.

use std::{cell::Cell, cell::RefCell, rc::Rc, time::Duration};

use board::{
    config::Trainer,
    lot::{self, Id, Lot, Sample, Step},
};
use local_sync::mpsc::unbounded;
use policy::lot::Production;

use super::{Open, keep, owner, sample, seal, step};
use crate::vm::Vm;

/// One lot in production.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) step: step::Name,
    pub(crate) number: u64,
    pub(crate) trainer: Trainer,
    /// Whether no other VM can have produced a part of it.
    pub(crate) is_first: bool,
    /// Set once the lot is sealed, by whoever.
    pub(crate) is_over: Rc<Cell<bool>>,
}

impl Job {
    /// Returns the name of the lot.
    pub(crate) fn name(&self) -> String {
        format!("{}.{}", self.step.trainer, self.number)
    }

    /// Returns the names of its samples, in order.
    fn ids(&self) -> Vec<Id> {
        let place = (self.number - self.step.lots(&self.trainer).start) as u32;
        let first = place * self.trainer.groups_per_lot;
        let last = (first + self.trainer.groups_per_lot).min(self.trainer.groups_per_step);
        let id = |group, index| Id {
            trainer: self.step.trainer.clone(),
            step: self.step.number,
            group,
            index,
        };
        (first..last)
            .flat_map(|group| (0..self.trainer.group).map(move |index| (group, index)))
            .map(|(group, index)| id(group, index))
            .collect()
    }
}

/// Samples of one lot that run at once.
const RUNNING_MAX: usize = 64;
const RETRY_TIME: Duration = Duration::from_millis(300);

/// What came of one sample.
type Result = (usize, Option<Sample>);

/// Produces and seals the lot, unless it is sealed elsewhere meanwhile.
pub(crate) async fn run(vm: &Rc<Vm>, job: Job, open: &RefCell<Open>) {
    let name = job.name();
    let span = vm.telemetry.accept("lot", &link::HeaderMap::new());
    span.set("lot", name.clone());
    let Ok(content) = step::content(vm, &job.step, open).await else {
        // The next tick of the owner starts again.
        return;
    };
    let ids = job.ids();
    let mut production = Production::new(ids.len());
    let mut samples: Vec<Option<Sample>> = vec![None; ids.len()];
    let (sender, mut receiver) = unbounded::channel::<Result>();
    let job = Rc::new(job);
    if !job.is_first
        && let Some(adopted) = keep::adopt(vm, &job, &ids).await
    {
        for (place, sample) in adopted.into_iter().enumerate() {
            put(&mut production, &mut samples, place, sample);
        }
    }
    let mut is_kept = false;
    while !job.is_over.get() {
        for place in production.start_missing(RUNNING_MAX) {
            start(
                vm,
                &job,
                &content,
                ids[place].clone(),
                place,
                sender.clone(),
                &span,
            );
        }
        if production.is_complete() {
            match try_seal(vm, &job, &mut production, &samples, &span).await {
                Sealing::Over => return,
                Sealing::Stale => is_kept = false,
                Sealing::Failed => {
                    if !is_kept {
                        keep::store(vm, &assemble(&job, &samples)).await;
                        is_kept = true;
                    }
                    monoio::time::sleep(RETRY_TIME).await;
                }
            }
            continue;
        }
        let next = monoio::time::timeout(RETRY_TIME, receiver.recv()).await;
        let Ok(Some((place, result))) = next else {
            continue;
        };
        note(vm, &mut production, &mut samples, place, result);
    }
}

fn note(
    vm: &Vm,
    production: &mut Production,
    samples: &mut [Option<Sample>],
    place: usize,
    result: Option<Sample>,
) {
    let Some(sample) = result else {
        vm.metrics.sample("redrawn");
        production.record_failure(place);
        return;
    };
    if put(production, samples, place, sample) {
        vm.metrics.sample("kept");
    }
}

/// Puts a sample in its place, and returns whether it is the first one there.
fn put(
    production: &mut Production,
    samples: &mut [Option<Sample>],
    place: usize,
    sample: Sample,
) -> bool {
    let oldest = lot::oldest(&sample.spans).unwrap_or_default();
    let is_first = production.record_score(place, oldest);
    if is_first {
        samples[place] = Some(sample);
    }
    is_first
}

fn assemble(job: &Job, samples: &[Option<Sample>]) -> Lot {
    Lot {
        trainer: job.step.trainer.clone(),
        number: job.number,
        step: job.step.number,
        samples: samples.iter().flatten().cloned().collect(),
    }
}

/// How a try to seal a lot ended.
enum Sealing {
    /// The lot is sealed or deleted: there is nothing left to do.
    Over,
    /// Samples were too old and are missing again.
    Stale,
    /// The platform could not be asked, or did not answer.
    Failed,
}

fn start(
    vm: &Rc<Vm>,
    job: &Rc<Job>,
    content: &Rc<Step>,
    id: Id,
    place: usize,
    sender: unbounded::Tx<Result>,
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
        if sample.is_none() && !job.is_over.get() {
            monoio::time::sleep(RETRY_TIME).await;
        }
        // Nobody listens once the lot is sealed.
        let _ = sender.send((place, sample));
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
    let Ok(newest) = seal::newest_version(vm, &job.trainer.model).await else {
        return Sealing::Failed;
    };
    let allowed = policy::staleness::oldest_at_sealing(newest, job.trainer.max_staleness);
    let discarded = production.discard_older(allowed);
    if !discarded.is_empty() {
        let tokens = |place: &usize| samples[*place].as_ref().map_or(0, |s| s.tokens.len());
        let wasted: usize = discarded.iter().map(tokens).sum();
        vm.metrics.wasted("stale", wasted as u64);
        return Sealing::Stale;
    }
    let lot = assemble(job, samples);
    match seal::write(vm, &job.name(), &lot, newest).await {
        Ok(Some(manifest)) => {
            owner::note_sealed(vm, &job.name(), manifest);
            Sealing::Over
        }
        Ok(None) => {
            owner::note_deleted(vm, &job.name());
            Sealing::Over
        }
        Err(_) => Sealing::Failed,
    }
}
