//! Endpoint health, judged by the outcomes of attempts.

use std::time::Duration;

use board::{Time, endpoint::Endpoint};

use crate::call::Outcome;

const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(8);
const BACKOFF_DOUBLINGS_MAX: u32 = 5;

/// An endpoint without a report for this long counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

/// Records the outcome of an attempt. Consecutive failures put the endpoint
/// into exponential backoff.
pub fn record_outcome(endpoint: &mut Endpoint, now: Time, outcome: Outcome) {
    match outcome {
        Outcome::Abandoned => {}
        Outcome::Answered => endpoint.failures = 0,
        Outcome::Failed => {
            let doublings = endpoint.failures.min(BACKOFF_DOUBLINGS_MAX);
            endpoint.failures += 1;
            endpoint.backoff_until = now + (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        }
    }
}

/// Records at `now` a load report made at `made_at`, before it replaces the
/// previous one. The first report after a gap ends the backoff of a failed
/// endpoint, since it was unreachable and is back. An endpoint that kept
/// reporting while its attempts failed stays in backoff, since its reports do
/// not reflect the fault. The failure count is kept, so another failure causes
/// a long backoff again.
pub(crate) fn record_report(endpoint: &mut Endpoint, now: Time, made_at: Time) {
    let last = endpoint.other_load.reported_at;
    if last.is_some_and(|last| made_at - last >= UNREACHABLE_AFTER) {
        endpoint.backoff_until = endpoint.backoff_until.min(now);
    }
}
