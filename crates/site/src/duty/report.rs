//! Usage: each VM has its counts of a window kept in the store, and the VM
//! that has the duties reports their sum.
//!
//! The sum is created once as an object before it is reported, so that two
//! holders never report different counts for one window.

use std::{collections::BTreeMap, time::Duration};

use futures_util::future::join_all;
use platform::{
    order::{self, Outcome},
    store::{Error, Written},
};

use super::{Duties, gather};
use crate::usage::Counts;

/// The kind of the objects that hold what is reported of a window.
const REPORTS: &str = "usage-reports";
/// How long after the end of a window a VM hands its counts on, so that
/// requests that began in it have been counted.
const HAND_ON: Duration = Duration::from_millis(1200);
/// How long after the end of a window it is summed up: handing on takes well
/// under a second, and a report is due 10 s after its window.
const SUM_UP: Duration = Duration::from_millis(4000);
/// How long after its end a window is not reported any more.
const TOO_LATE: Duration = Duration::from_secs(60);
/// How often both are looked at.
const PERIOD: Duration = Duration::from_millis(250);

/// Hands the counts of this VM on after each window, for ever.
pub async fn hand_on(duties: Duties) {
    loop {
        monoio::time::sleep(PERIOD).await;
        while let Some((window, counts)) = duties.usage.take_ended(HAND_ON) {
            if !duties.gather.hand_on(window, &counts).await {
                duties.usage.put_back(window, counts);
                break;
            }
        }
    }
}

/// Hands on all counts of a process that is about to end, those of the present
/// window included.
pub async fn hand_on_rest(duties: &Duties) {
    let rest = std::iter::from_fn(|| duties.usage.take_ended(Duration::ZERO));
    // Together, since a keeper gathers each window for a while.
    let handed = rest.map(|(window, counts)| async move {
        let is_kept = duties.gather.hand_on(window, &counts).await;
        let requests: u64 = counts.values().sum();
        spdlog::info!("last usage handed on", kv: { window, requests, is_kept });
    });
    join_all(handed).await;
}

/// Reports windows while this VM has the duties, for ever.
pub async fn run(duties: Duties) {
    let mut next = duties.usage.window();
    loop {
        monoio::time::sleep(PERIOD).await;
        if duties.steward.authority().is_none() {
            // A successor looks back for windows that were left unreported.
            next = duties.usage.window().saturating_sub(LOOK_BACK);
            continue;
        }
        let age = duties.usage.since_end(next);
        let is_due = age >= SUM_UP;
        if age > TOO_LATE || (is_due && report(&duties, next).await) {
            next += 1;
        }
    }
}

/// How many windows a successor looks back.
const LOOK_BACK: u64 = 3;

/// Reports `window`, and returns whether that is settled.
async fn report(duties: &Duties, window: u64) -> bool {
    let counts = match decide(duties, window).await {
        Ok(counts) => counts,
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("usage not summed up yet", kv: { window, problem });
            return false;
        }
    };
    let Some(authority) = duties.steward.authority() else {
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
            spdlog::warn!("usage not reported yet", kv: { window, epoch, problem });
            false
        }
    }
}

/// Returns the counts that stand for `window`, and sets them if none do.
async fn decide(duties: &Duties, window: u64) -> Result<Counts, Error> {
    let mut sum: Counts = BTreeMap::new();
    for counts in gather::kept(&duties.store, window).await?.into_values() {
        for (account, count) in counts {
            *sum.entry(account).or_default() += count;
        }
    }
    let name = format!("{window:012}");
    match duties.store.create(REPORTS, &name, &sum).await? {
        Written::Done(_) => Ok(sum),
        Written::Conflict(object) => {
            let standing = object.and_then(|object| object.read());
            standing.ok_or(Error::Malformed)
        }
    }
}

/// For how many windows counts and reports are kept: longer than a successor
/// looks back, with the time after which nothing is reported.
const KEPT: Duration = Duration::from_secs(120);

/// Removes counts and reports of windows of `length` long before `window`,
/// `most` objects at the most, and returns how many.
pub(crate) async fn remove_before(
    duties: &Duties,
    window: u64,
    length: Duration,
    most: usize,
) -> Result<usize, Error> {
    let kept = KEPT.as_millis() / length.as_millis().max(1);
    let oldest = gather::name(window.saturating_sub(kept as u64), "");
    let mut removed = 0;
    for kind in [gather::KIND, REPORTS] {
        // Windows pass slowly, so their objects are looked for seldom.
        if !window.is_multiple_of(LOOK_EVERY) {
            continue;
        }
        let objects = duties.store.list_after(kind, "").await?.value;
        let old = objects.iter().filter(|object| object.name < oldest);
        for object in old.take(most) {
            duties.store.remove(kind, &object.name).await?;
            removed += 1;
        }
    }
    Ok(removed)
}

/// In which windows old objects are looked for.
const LOOK_EVERY: u64 = 16;
