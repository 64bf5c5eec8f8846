//! Removes expired objects from the store: jobs past their retention, usage
//! counts that were reported, and losses of requests.

use std::time::{Duration, Instant};

use platform::{
    settings::Bounds,
    store::{Error, Object, Store},
};

use crate::{
    crash,
    duty::{Duties, report},
    job::{Job, record},
};

/// How often expired objects are removed.
const SCAN_PERIOD: Duration = Duration::from_secs(5);
/// How much longer than its retention a job is kept. The clocks of VMs differ,
/// and a read may be in progress.
const RETENTION_SLACK: Duration = Duration::from_secs(60);
/// The number of removed objects after which a pass ends, which bounds the
/// calls to the store.
const REMOVALS_MAX: usize = 20;

/// Counts, reports and losses of requests are removed in windows whose number is
/// a multiple of this.
const REMOVAL_INTERVAL_WINDOWS: u64 = 16;

/// Removes expired objects while this VM holds the duty lease. Never returns.
pub(crate) async fn run(duties: Duties, bounds: Bounds) {
    loop {
        monoio::time::sleep(SCAN_PERIOD).await;
        if duties.lease.authority().is_none() {
            continue;
        }
        let removed = match remove_expired(&duties, bounds).await {
            Ok(removed) => removed,
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("removing expired objects failed", kv: { problem });
                continue;
            }
        };
        if removed > 0 {
            spdlog::info!("expired objects removed", kv: { removed });
        }
    }
}

async fn remove_expired(duties: &Duties, bounds: Bounds) -> Result<usize, Error> {
    let now = Instant::now();
    let age = bounds.job_retention + RETENTION_SLACK;
    let jobs = duties.jobs.all();
    let expired = jobs
        .iter()
        .filter(|job| is_expired(&job.borrow(), age, now));
    let ids: Vec<String> = expired.map(|job| job.borrow().id.clone()).collect();
    let mut removed = 0;
    for id in ids {
        if removed >= REMOVALS_MAX {
            return Ok(removed);
        }
        removed += remove_job(duties, &id).await?;
    }
    let window = duties.usage.window();
    // Few of these objects expire in one window, so they are listed only in some
    // windows.
    if window.is_multiple_of(REMOVAL_INTERVAL_WINDOWS) {
        let length = bounds.usage_window;
        removed += report::remove_expired(duties, window, length, REMOVALS_MAX).await?;
        removed += crash::remove_expired(&duties.store, REMOVALS_MAX).await?;
    }
    Ok(removed)
}

fn is_expired(job: &Job, age: Duration, now: Instant) -> bool {
    let is_complete = job.is_ended || job.is_complete();
    // The items of a job that was never ended are abandoned at the timeout of
    // its route, long before this age.
    let age = if is_complete { age } else { age * 2 };
    now.saturating_duration_since(job.submitted_at) > age
}

/// Removes `objects` of `kind`, and returns their number.
///
/// # Errors
///
/// An [`Error`] when one cannot be removed.
pub(crate) async fn remove_objects<'a>(
    store: &Store,
    kind: &str,
    objects: impl Iterator<Item = &'a Object>,
) -> Result<usize, Error> {
    let mut removed = 0;
    for object in objects {
        store.remove(kind, &object.name).await?;
        removed += 1;
    }
    Ok(removed)
}

/// Removes the objects of a job. The head is removed last, so that after a
/// failure the job is still found and removed in a later pass.
async fn remove_job(duties: &Duties, id: &str) -> Result<usize, Error> {
    let objects = duties.store.list_after(record::KIND, id).await?.value;
    let prefix = format!("{id}.");
    let parts = objects
        .iter()
        .filter(|object| object.name.starts_with(&prefix));
    let mut removed = duties.content.remove(id).await?;
    removed += remove_objects(&duties.store, record::KIND, parts).await?;
    duties.store.remove(record::KIND, id).await?;
    duties.jobs.remove(id);
    Ok(removed + 1)
}
