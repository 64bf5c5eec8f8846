//! Failover of jobs: coordinators watch the jobs in the store and take over
//! those whose VM has stopped.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use link::clock;
use platform::store::Written;

use super::{
    Handle, Job, Jobs, Registry,
    record::{self, Claim, Heartbeat, Name, Part},
};
use crate::follow::{self, Change, Plan};
use platform::store::Event;

/// How jobs are watched. The wait must stay well below the 2 s after which a
/// view is too old to start items, and the 0.85 s after which it is too old to
/// confirm that a job has no more samples.
const JOBS_PLAN: Plan = Plan {
    kind: record::KIND,
    wait: Duration::from_millis(500),
    batch_time: Duration::from_millis(50),
    is_probe: false,
    is_required: false,
};
/// How often jobs are checked for a takeover.
const SCAN_PERIOD: Duration = Duration::from_millis(300);
/// How often a VM that runs jobs writes a heartbeat.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1000);
/// The time without a heartbeat after which a job is taken over: three
/// heartbeat periods.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3000);
/// The delay between the takeover attempts of VMs with consecutive ranks, so
/// that usually one of them writes the claim.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(500);
/// The number of ranks. A hash of VM and job determines the rank of the VM.
const TAKEOVER_RANKS: u64 = 8;
/// The age from which on a job is no longer taken over. It exceeds the time
/// that the items of a job may take.
pub(super) const TAKEOVER_AGE_MAX: Duration = Duration::from_secs(120);

/// Follows the jobs in the store while this VM is a coordinator. Never returns.
pub async fn follow(jobs: Jobs) {
    let coordinators = jobs.coordinators.clone();
    loop {
        coordinators.wait_until(true).await;
        monoio::select! {
            () = watch(&jobs) => {}
            () = coordinators.wait_until(false) => {}
        }
        // Without a watch the registry would become stale. No job runs here now:
        // an execution keeps this VM a coordinator.
        jobs.view.reset();
        jobs.registry.clear();
    }
}

async fn watch(jobs: &Jobs) {
    let registry = jobs.registry.clone();
    let apply = move |change: Change, _| match change {
        Change::Snapshot(objects) => objects.iter().for_each(|object| registry.apply(object)),
        Change::Events(events) => {
            for event in events {
                match event {
                    Event::Put(object) => registry.apply(&object),
                    Event::Removed(name) => remove(&registry, &name),
                }
            }
        }
    };
    follow::follow(jobs.store.clone(), JOBS_PLAN, jobs.view.clone(), apply).await;
}

/// Removes a job from the registry if `name` is that of its head.
fn remove(registry: &Registry, name: &str) {
    if let Some(Name::Job {
        job,
        part: Part::Head,
    }) = Name::decode(name)
    {
        registry.remove(&job);
    }
}

/// Takes over jobs that no VM runs, while this VM is a coordinator. Ends when
/// this VM starts to drain.
pub async fn take_over(jobs: Jobs) {
    loop {
        monoio::time::sleep(SCAN_PERIOD).await;
        jobs.coordinators.wait_until(true).await;
        if jobs.proxy.is_draining() {
            return;
        }
        let now = Instant::now();
        let reachable_for = jobs.view.connected_for(now);
        jobs.registry.evict_unused(now);
        for job in jobs.registry.all() {
            let last_heartbeat = jobs.registry.last_heartbeat(&job.borrow().holder);
            if should_take_over(&job.borrow(), &jobs.vm, last_heartbeat, reachable_for, now) {
                claim(&jobs, &job).await;
            }
        }
    }
}

/// Writes heartbeats to the store while this VM runs jobs.
pub async fn send_heartbeats(jobs: Jobs) {
    let name = Name::Heartbeat(jobs.vm.clone()).encode();
    loop {
        monoio::time::sleep(HEARTBEAT_PERIOD).await;
        if !jobs.registry.is_busy() {
            jobs.coordinators.wait_until(true).await;
            continue;
        }
        let heartbeat = Heartbeat {
            number: clock::wall_millis(),
            slow: jobs
                .executor
                .runner
                .facts
                .borrow()
                .slow_endpoints(Instant::now()),
        };
        if let Err(e) = jobs.store.put(record::KIND, &name, &heartbeat).await {
            let problem = e.to_string();
            spdlog::warn!("cannot write heartbeat", kv: { problem });
        }
    }
}

fn should_take_over(
    job: &Job,
    vm: &str,
    last_heartbeat: Option<Instant>,
    reachable_for: Duration,
    now: Instant,
) -> bool {
    if job.is_finished() || job.is_running || now - job.submitted_at > TAKEOVER_AGE_MAX {
        return false;
    }
    let rank =
        board::hash::hash_bytes(vm.as_bytes(), board::hash::hash_bytes(job.id.as_bytes(), 0))
            % TAKEOVER_RANKS;
    let delay = TAKEOVER_STAGGER * rank as u32;
    let last_heartbeat = last_heartbeat.map_or(job.held_since, |at| at.max(job.held_since));
    let silent_for = now.saturating_duration_since(last_heartbeat);
    match job.holder.as_str() {
        // An earlier process of this VM held the job.
        holder if holder == vm => reachable_for > Duration::ZERO,
        "" => now.saturating_duration_since(job.held_since) >= delay,
        // Without a connection to the store, this VM sees no heartbeats.
        _ => silent_for.min(reachable_for) >= HEARTBEAT_TIMEOUT + delay,
    }
}

async fn claim(jobs: &Jobs, job: &Handle) {
    let _tenure = jobs.coordinators.hold("this VM takes over a job");
    let (id, number, from) = {
        let job = job.borrow();
        (job.id.clone(), job.claims, job.holder.clone())
    };
    let name = Name::new(&id, Part::Claim(number)).encode();
    let claim = Claim {
        vm: jobs.vm.clone(),
        address: jobs.coordinators.own_address(),
    };
    let written = jobs.store.create(record::KIND, &name, &claim).await;
    let (id, from) = (id.as_str(), from.as_str());
    match written {
        Ok(Written::Done(_)) => {
            spdlog::info!("job taken over", kv: { job = id, from });
            jobs.metrics.record_job("taken-over");
            jobs.registry.put_claim(id, number, claim);
            jobs.executor.start(job);
        }
        Ok(Written::Conflict(object)) => {
            let claim: Option<Claim> = object.and_then(|object| object.read());
            if let Some(claim) = claim {
                jobs.registry.put_claim(id, number, claim);
            }
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("cannot claim job, retrying", kv: { job = id, problem });
        }
    }
}

/// Waits until this VM runs no job, or `limit` has passed.
pub async fn wait_until_idle(jobs: &Jobs, limit: Duration) {
    let start = Instant::now();
    while start.elapsed() < limit {
        let jobs = jobs.registry.all();
        if !jobs.iter().any(|job| job.borrow().is_running) {
            return;
        }
        monoio::time::sleep(IDLE_POLL_PERIOD).await;
    }
}

/// How often [`wait_until_idle`] checks for running jobs.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(100);

/// Saves the progress of the jobs that this VM runs and releases them, so that
/// other VMs resume them at once. Each write waits for a store that does not answer,
/// so all jobs are released at the same time.
pub async fn release_jobs(jobs: &Jobs) {
    let all = jobs.registry.all();
    let running = all.iter().filter(|job| job.borrow().is_running);
    join_all(running.map(|job| release_job(jobs, job))).await;
}

async fn release_job(jobs: &Jobs, job: &Handle) {
    let (id, number) = {
        let job = job.borrow();
        (job.id.clone(), job.claims)
    };
    jobs.executor.save_progress(job).await;
    let name = Name::new(&id, Part::Claim(number)).encode();
    let release = Claim {
        vm: String::new(),
        address: None,
    };
    let written = jobs.store.create(record::KIND, &name, &release).await;
    let stored: Option<Claim> = match written {
        Ok(Written::Done(_)) => Some(release.clone()),
        // The release itself, if an earlier attempt at the write succeeded.
        Ok(Written::Conflict(object)) => object.and_then(|object| object.read()),
        Err(_) => None,
    };
    let is_told = stored.as_ref() == Some(&release);
    let claim = stored.unwrap_or(release);
    let (job, holder) = (id.as_str(), claim.vm.as_str());
    spdlog::info!("job released", kv: { job, is_told, holder });
    jobs.registry.put_claim(&id, number, claim);
}
