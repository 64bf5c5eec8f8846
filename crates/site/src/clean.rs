//! Removal of what has served its time: jobs that nobody may ask for any
//! more, and counts of usage that were reported.

use std::time::{Duration, Instant};

use platform::{settings::Bounds, store::Error};

use crate::{
    duty::{Duties, report},
    job::{Job, record},
};

/// How often it is looked for.
const PERIOD: Duration = Duration::from_secs(5);
/// How much longer than promised a job is kept: clocks of VMs differ, and a
/// reader may be on its way.
const SLACK: Duration = Duration::from_secs(60);
/// How many objects are removed at a time, so that calls stay few.
const AT_ONCE: usize = 20;

/// Removes while this VM has the duties, for ever.
pub(crate) async fn run(duties: Duties, bounds: Bounds) {
    loop {
        monoio::time::sleep(PERIOD).await;
        if duties.steward.authority().is_none() {
            continue;
        }
        let removed = match remove(&duties, bounds).await {
            Ok(removed) => removed,
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("nothing removed", kv: { problem });
                continue;
            }
        };
        if removed > 0 {
            spdlog::info!("objects removed", kv: { removed });
        }
    }
}

async fn remove(duties: &Duties, bounds: Bounds) -> Result<usize, Error> {
    let now = Instant::now();
    let age = bounds.job_retention + SLACK;
    let jobs = duties.jobs.all();
    let old = jobs.iter().filter(|job| is_old(&job.borrow(), age, now));
    let ids: Vec<String> = old.map(|job| job.borrow().id.clone()).collect();
    let mut removed = 0;
    for id in ids {
        if removed >= AT_ONCE {
            return Ok(removed);
        }
        removed += remove_job(duties, &id).await?;
    }
    let window = duties.usage.window();
    removed += report::remove_before(duties, window, bounds.usage_window, AT_ONCE).await?;
    Ok(removed)
}

fn is_old(job: &Job, age: Duration, now: Instant) -> bool {
    let is_over = job.is_ended || job.is_whole();
    // A job that nobody ended is given up by its route's time long before.
    let age = if is_over { age } else { age * 2 };
    now.saturating_duration_since(job.submitted) > age
}

/// Removes the objects of a job, its head last, so that a job that is found
/// again after a failure here is one that can be removed again.
async fn remove_job(duties: &Duties, id: &str) -> Result<usize, Error> {
    let objects = duties.store.list_after(record::KIND, id).await?.value;
    let prefix = format!("{id}.");
    let parts = objects
        .iter()
        .filter(|object| object.name.starts_with(&prefix));
    let mut removed = duties.content.remove(id).await?;
    for part in parts {
        duties.store.remove(record::KIND, &part.name).await?;
        removed += 1;
    }
    duties.store.remove(record::KIND, id).await?;
    duties.jobs.remove(id);
    Ok(removed + 1)
}
