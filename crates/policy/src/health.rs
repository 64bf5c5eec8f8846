//! Whether an endpoint is fit for work, judged by how attempts end.

use std::time::Duration;

use board::{Time, endpoint::Endpoint};

use crate::call::Outcome;

const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(8);
const BACKOFF_DOUBLINGS_MAX: u32 = 5;

/// An endpoint that sent no report for this long was out of reach.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

/// Notes the end of an attempt. Failures in a row make the endpoint rest for
/// an exponentially growing time.
pub fn record_outcome(endpoint: &mut Endpoint, now: Time, outcome: Outcome) {
    match outcome {
        Outcome::Abandoned => {}
        Outcome::Answered => endpoint.failures = 0,
        Outcome::Failed => {
            let doublings = endpoint.failures.min(BACKOFF_DOUBLINGS_MAX);
            endpoint.failures += 1;
            endpoint.rest_until = now + (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        }
    }
}

/// Notes at `now` a load report that was made at `made`, before it takes the
/// place of the last one. The first report after a silence ends the rest of an
/// endpoint that failed: it was out of reach and is back. One that reported all
/// the while it failed goes on resting, since its reports tell nothing of the
/// fault. Failures still count, so that another one brings a long rest again.
pub(crate) fn record_report(endpoint: &mut Endpoint, now: Time, made_at: Time) {
    let last = endpoint.elsewhere.at;
    if last.is_some_and(|last| made_at - last >= UNREACHABLE_AFTER) {
        endpoint.rest_until = endpoint.rest_until.min(now);
    }
}
