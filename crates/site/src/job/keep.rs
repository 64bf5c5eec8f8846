//! Keeping jobs going: following them in the store, and running those whose
//! VM has stopped.

use std::time::{Duration, Instant};

use link::clock;
use platform::store::Written;

use super::{
    Job, Jobs, Registry, Shared,
    record::{self, Beat, Claim, Name, Part},
};
use crate::follow::{self, Change, Plan};
use platform::store::Event;

/// A VM that runs a job starts no item on knowledge older than 2 s, and tells
/// that there is no more sample on none older than 0.85 s.
const JOBS: Plan = Plan {
    kind: record::KIND,
    wait: Duration::from_millis(500),
    gather: Duration::from_millis(50),
    is_probe: false,
    is_urgent: false,
};
/// How often jobs are looked over.
const PERIOD: Duration = Duration::from_millis(300);
/// How often a VM that runs jobs says that it is alive.
const BEAT_PERIOD: Duration = Duration::from_millis(1000);
/// After how long without a sign of life a job is taken over: three times that.
const QUIET: Duration = Duration::from_millis(3000);
/// How much later each VM than the one before it takes a job over.
const STAGGER: Duration = Duration::from_millis(500);
/// How many places there are in that order.
const PLACES: u64 = 8;
/// How long after its submission a job is not taken over any more, beyond
/// the time that its items may take.
const LATE: Duration = Duration::from_secs(120);

/// Follows the jobs in the store while this VM is a keeper.
pub async fn follow(jobs: Jobs) {
    let keepers = jobs.keepers.clone();
    loop {
        keepers.until(true).await;
        monoio::select! {
            () = follow_kind(&jobs) => {}
            () = keepers.until(false) => {}
        }
        // What is not followed is not known any more.
        jobs.contact.forget();
        jobs.registry.clear();
    }
}

async fn follow_kind(jobs: &Jobs) {
    let registry = jobs.registry.clone();
    let apply = move |change: Change, _| match change {
        Change::All(objects) => objects.iter().for_each(|object| registry.put(object)),
        Change::Some(events) => {
            for event in events {
                match event {
                    Event::Put(object) => registry.put(&object),
                    Event::Removed(name) => remove(&registry, &name),
                }
            }
        }
    };
    follow::follow(jobs.store.clone(), JOBS, jobs.contact.clone(), apply).await;
}

/// Forgets a job whose head was removed.
fn remove(registry: &Registry, name: &str) {
    if let Some(Name::Job {
        job,
        part: Part::Head,
    }) = Name::decode(name)
    {
        registry.remove(&job);
    }
}

/// Takes over the jobs that nobody runs, while this VM is a keeper that does
/// not leave.
pub async fn take_over(jobs: Jobs) {
    loop {
        monoio::time::sleep(PERIOD).await;
        jobs.keepers.until(true).await;
        if jobs.handover.is_leaving() {
            return;
        }
        if jobs.registry.is_busy() {
            jobs.keepers.stand_in("it runs a job");
        }
        let now = Instant::now();
        let steady = jobs.contact.steady(now);
        jobs.registry.forget_unused(now);
        for job in jobs.registry.all() {
            let heard = jobs.registry.beat(&job.borrow().holder);
            if is_due(&job.borrow(), &jobs.vm, heard, steady, now) {
                claim(&jobs, &job).await;
            }
        }
    }
}

/// Says that this VM is alive while it runs jobs, for ever.
pub async fn beat(jobs: Jobs) {
    let name = Name::Beat(jobs.vm.clone()).encode();
    loop {
        monoio::time::sleep(BEAT_PERIOD).await;
        if !jobs.registry.is_busy() {
            jobs.keepers.until(true).await;
            continue;
        }
        let beat = Beat {
            number: clock::wall_millis(),
            slow: jobs.producer.runner.facts.borrow().slow(Instant::now()),
        };
        if let Err(e) = jobs.store.put(record::KIND, &name, &beat).await {
            let problem = e.to_string();
            spdlog::warn!("sign of life not written", kv: { problem });
        }
    }
}

fn is_due(job: &Job, vm: &str, heard: Option<Instant>, steady: Duration, now: Instant) -> bool {
    if job.is_over() || job.is_running || now - job.submitted > LATE {
        return false;
    }
    let rank =
        board::hash::hash_bytes(vm.as_bytes(), board::hash::hash_bytes(job.id.as_bytes(), 0))
            % PLACES;
    let turn = STAGGER * rank as u32;
    let heard = heard.map_or(job.held_since, |heard| heard.max(job.held_since));
    let quiet = now.saturating_duration_since(heard);
    match job.holder.as_str() {
        // A process of this VM that is gone.
        holder if holder == vm => steady > Duration::ZERO,
        "" => now.saturating_duration_since(job.held_since) >= turn,
        // Silence counts only while this VM would have heard.
        _ => quiet.min(steady) >= QUIET + turn,
    }
}

async fn claim(jobs: &Jobs, job: &Shared) {
    let (id, number, from) = {
        let job = job.borrow();
        (job.id.clone(), job.claims, job.holder.clone())
    };
    let name = Name::new(&id, Part::Claim(number)).encode();
    let claim = Claim {
        vm: jobs.vm.clone(),
        address: jobs.keepers.own(),
    };
    let written = jobs.store.create(record::KIND, &name, &claim).await;
    let (id, from) = (id.as_str(), from.as_str());
    match written {
        Ok(Written::Done(_)) => {
            spdlog::info!("job taken over", kv: { job = id, from });
            jobs.metrics.job("taken-over");
            jobs.registry.put_claim(id, number, claim);
            jobs.producer.start(job);
        }
        Ok(Written::Conflict(object)) => {
            let claim: Option<Claim> = object.and_then(|object| object.read());
            if let Some(claim) = claim {
                jobs.registry.put_claim(id, number, claim);
            }
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("job not taken over yet", kv: { job = id, problem });
        }
    }
}

/// Waits until this VM runs no job, for `limit` at most.
pub async fn finish(jobs: &Jobs, limit: Duration) {
    let start = Instant::now();
    while start.elapsed() < limit {
        let jobs = jobs.registry.all();
        if !jobs.iter().any(|job| job.borrow().is_running) {
            return;
        }
        monoio::time::sleep(FINISH_POLL).await;
    }
}

/// How often it is looked whether the last job is done.
const FINISH_POLL: Duration = Duration::from_millis(100);

/// Gives up the jobs that this VM runs, so that others go on at once from what
/// they have made.
pub async fn release(jobs: &Jobs) {
    for job in jobs.registry.all() {
        let (id, number, is_running) = {
            let job = job.borrow();
            (job.id.clone(), job.claims, job.is_running)
        };
        if !is_running {
            continue;
        }
        jobs.producer.save(&job).await;
        let name = Name::new(&id, Part::Claim(number)).encode();
        let nobody = Claim {
            vm: String::new(),
            address: None,
        };
        let written = jobs.store.create(record::KIND, &name, &nobody).await;
        jobs.registry.put_claim(&id, number, nobody);
        let (job, is_told) = (id.as_str(), written.is_ok());
        spdlog::info!("job given up", kv: { job, is_told });
    }
}
