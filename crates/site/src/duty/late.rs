//! Finds counts that were stored after their window had been summed.
//!
//! A report never changes, and what it omits belongs to no other window, so
//! these requests are not reported. They are logged and counted in a metric.

use std::time::{Duration, Instant};

use platform::store::Error;

use super::{
    Duties, collect,
    report::{REPORT_AGE_MAX, REPORT_KIND, SUM_DELAY},
};
use crate::usage::Counts;

/// How much the clocks of this VM and of the holder of the duty lease may differ
/// without a late submission going unnoticed.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(1000);
/// How often a report that does not exist yet is read again.
const RETRY_PERIOD: Duration = Duration::from_secs(5);

/// Compares `counts` of `window`, which are stored now, with the report of the
/// window, unless they are certain to be in it.
pub(super) fn check(duties: &Duties, window: u64, counts: &Counts) {
    let age = duties.usage.elapsed_since_end(window);
    if age + CLOCK_TOLERANCE < SUM_DELAY {
        return;
    }
    let requests: u64 = counts.values().sum();
    let age_ms = age.as_millis() as u64;
    spdlog::info!("usage counts submitted late", kv: { window, requests, age_ms });
    let (duties, counts) = (duties.clone(), counts.clone());
    monoio::spawn(async move { record_omitted(&duties, window, &counts).await });
}

async fn record_omitted(duties: &Duties, window: u64, counts: &Counts) {
    let omitted = wait_for_report(duties, window, counts).await;
    let is_reported = omitted.is_some();
    let requests = omitted.unwrap_or_else(|| counts.values().sum());
    if requests > 0 {
        duties.metrics.record_omitted_usage(requests);
        spdlog::warn!("usage counts omitted from report", kv: { window, requests, is_reported });
    }
}

/// Returns how many of `counts` the report of `window` omits, or `None` if no
/// report is found while the window may be reported.
async fn wait_for_report(duties: &Duties, window: u64, counts: &Counts) -> Option<u64> {
    let start = Instant::now();
    while start.elapsed() < REPORT_AGE_MAX {
        match count_omitted(duties, window, counts).await {
            Ok(Some(omitted)) => return Some(omitted),
            Ok(None) if duties.usage.elapsed_since_end(window) > REPORT_AGE_MAX => break,
            Ok(None) => {}
            Err(e) => {
                let problem = e.to_string();
                spdlog::warn!("reading usage report failed, retrying", kv: { window, problem });
            }
        }
        monoio::time::sleep(RETRY_PERIOD).await;
    }
    None
}

async fn count_omitted(
    duties: &Duties,
    window: u64,
    counts: &Counts,
) -> Result<Option<u64>, Error> {
    let store = &duties.store;
    let name = collect::window_name(window);
    let Some(report) = store.get(REPORT_KIND, &name).await? else {
        return Ok(None);
    };
    let report: Counts = report.read().ok_or(Error::Malformed)?;
    let stored = collect::read_counts(store, window).await?;
    let process = duties.collector.process();
    Ok(Some(collect::count_omitted(
        &report, stored, process, counts,
    )))
}
