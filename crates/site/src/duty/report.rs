//! Usage reports. Each VM stores its counts of a window, and the holder of the
//! duty lease reports their sum to the provider.
//!
//! Before it is reported, the sum is created as an object that never changes,
//! so that two holders never report different counts for one window.

use std::time::Duration;

use futures_util::future::join_all;
use platform::{
    order::{self, Outcome},
    store::{Error, Written},
};

use super::{
    Duties,
    collect::{self, CountsByProcess},
    late,
};
use crate::{retention::remove_objects, usage::Counts};

/// The kind of the objects that hold the reported sum of a window, by its name.
pub(super) const REPORT_KIND: &str = "usage-reports";
/// How long after the end of a window a VM submits its counts, so that all
/// requests that began in the window have been counted.
const SUBMIT_DELAY: Duration = Duration::from_millis(1200);
/// How long after the end of a window its counts are summed. Submitting them
/// takes well under a second, and a report is due 10 s after its window.
pub(super) const SUM_DELAY: Duration = Duration::from_millis(4000);
/// How long after its end a window may still be reported.
pub(super) const REPORT_AGE_MAX: Duration = Duration::from_secs(60);
/// How often the VM checks for a window to submit or to report.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Submits the counts of this VM after each window. Never returns.
pub async fn submit_counts(duties: Duties) {
    loop {
        monoio::time::sleep(CHECK_PERIOD).await;
        while let Some((window, counts)) = duties.usage.begin_submission(SUBMIT_DELAY) {
            if !submit(&duties, window, &counts, Way::Collected).await {
                break;
            }
        }
    }
}

/// How counts are submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// A coordinator collects those of several VMs, which takes half a second.
    Collected,
    /// This VM writes them to the store at once.
    Direct,
}

/// Submits the counts of `window`, and returns whether they are stored.
async fn submit(duties: &Duties, window: u64, counts: &Counts, way: Way) -> bool {
    let is_stored = match way {
        Way::Collected => duties.collector.submit(window, counts).await,
        Way::Direct => duties.collector.write_own(window, counts).await,
    };
    duties.usage.end_submission(window, is_stored);
    if is_stored {
        late::check(duties, window, counts);
    }
    is_stored
}

/// Submits the counts of all windows that are not being submitted, including the
/// current one.
pub async fn submit_all(duties: &Duties, way: Way) {
    let usage = &duties.usage;
    let windows = std::iter::from_fn(|| usage.begin_submission(Duration::ZERO));
    // The submissions run concurrently, since each waits while the coordinator
    // collects the counts of its window.
    let submissions = windows.map(|(window, counts)| async move {
        let is_stored = submit(duties, window, &counts, way).await;
        let requests: u64 = counts.values().sum();
        spdlog::info!("usage counts submitted before exit", kv: { window, requests, is_kept = is_stored });
    });
    join_all(submissions).await;
}

/// Submits all counts of a process that is about to exit, including those of
/// the current window, until all of them are stored.
pub async fn submit_remaining(duties: &Duties, way: Way) {
    while duties.usage.unconfirmed_requests() > 0 {
        submit_all(duties, way).await;
        // `submit_counts` may have begun a submission, and may begin others.
        duties.usage.wait_for_submission().await;
    }
}

/// Reports windows while this VM holds the duty lease. Never returns.
pub async fn run(duties: Duties) {
    let mut next = duties.usage.window();
    loop {
        monoio::time::sleep(CHECK_PERIOD).await;
        if duties.lease.authority().is_none() {
            // A new holder starts with windows that the previous one may not
            // have reported.
            next = duties.usage.window().saturating_sub(SUCCESSOR_WINDOWS);
            continue;
        }
        let age = duties.usage.elapsed_since_end(next);
        let is_due = age >= SUM_DELAY;
        if age > REPORT_AGE_MAX || (is_due && report(&duties, next).await) {
            next += 1;
        }
    }
}

/// The number of windows before the current one with which a new holder of the
/// lease starts.
const SUCCESSOR_WINDOWS: u64 = 3;

/// Reports `window`, and returns whether the provider has accepted the report.
async fn report(duties: &Duties, window: u64) -> bool {
    let counts = match create_report(duties, window).await {
        Ok(counts) => counts,
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("summing usage failed, retrying", kv: { window, problem });
            return false;
        }
    };
    let Some(authority) = duties.lease.authority() else {
        return false;
    };
    let sent =
        order::report_usage(&duties.pool, duties.provider, window, &counts, &authority).await;
    let epoch = authority.epoch;
    match sent {
        Ok(outcome) => {
            let result = format!("{outcome:?}");
            let requests: u64 = counts.values().sum();
            spdlog::info!("usage reported", kv: { window, epoch, requests, result });
            matches!(outcome, Outcome::Accepted)
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("reporting usage failed, retrying", kv: { window, epoch, problem });
            false
        }
    }
}

/// Returns the counts to report for `window`. The first call by any holder
/// stores the sum, and later calls return the stored one.
async fn create_report(duties: &Duties, window: u64) -> Result<Counts, Error> {
    let mut all = CountsByProcess::new();
    for counts in collect::read_counts(&duties.store, window).await? {
        collect::merge(&mut all, counts);
    }
    let sum = collect::sum(&all);
    let name = collect::window_name(window);
    match duties.store.create(REPORT_KIND, &name, &sum).await? {
        Written::Done(_) => Ok(sum),
        Written::Conflict(object) => {
            let stored = object.and_then(|object| object.read());
            stored.ok_or(Error::Malformed)
        }
    }
}

/// How long counts and reports are kept. This exceeds the age up to which a
/// window may be reported by any holder.
const COUNTS_RETENTION: Duration = Duration::from_secs(120);

/// Removes counts and reports of windows that ended long before `window`, at
/// most `limit` objects of each kind. Each window lasts `length`. Returns the
/// number of removed objects.
pub(crate) async fn remove_expired(
    duties: &Duties,
    window: u64,
    length: Duration,
    limit: usize,
) -> Result<usize, Error> {
    let windows = COUNTS_RETENTION.as_millis() / length.as_millis().max(1);
    let oldest = collect::object_name(window.saturating_sub(windows as u64), "");
    let mut removed = 0;
    for kind in [collect::KIND, REPORT_KIND] {
        let objects = duties.store.list_after(kind, "").await?.value;
        let expired = objects.iter().filter(|object| object.name < oldest);
        removed += remove_objects(&duties.store, kind, expired.take(limit)).await?;
    }
    Ok(removed)
}
