//! Whether an endpoint is fit for work, judged by how attempts end.

use std::time::Duration;

use board::{Time, endpoint::Endpoint};

use crate::call::Outcome;

const REST_FIRST: Duration = Duration::from_millis(250);
const REST_MAX: Duration = Duration::from_secs(8);
const REST_DOUBLINGS: u32 = 5;

/// An endpoint that sent no report for this long was out of reach.
const SILENCE: Duration = Duration::from_secs(3);

/// Notes the end of an attempt. Failures in a row make the endpoint rest for
/// an exponentially growing time.
pub fn note(endpoint: &mut Endpoint, now: Time, outcome: Outcome) {
    match outcome {
        Outcome::Abandoned => {}
        Outcome::Answered => endpoint.failures = 0,
        Outcome::Failed => {
            let doublings = endpoint.failures.min(REST_DOUBLINGS);
            endpoint.failures += 1;
            endpoint.backoff_until = now + (REST_FIRST * 2_u32.pow(doublings)).min(REST_MAX);
        }
    }
}

/// Notes at `now` a load report that was made at `made`, before it takes the
/// place of the last one. The first report after a silence ends the rest of an
/// endpoint that failed: it was out of reach and is back. One that reported all
/// the while it failed goes on resting, since its reports tell nothing of the
/// fault. Failures still count, so that another one brings a long rest again.
pub(crate) fn reported(endpoint: &mut Endpoint, now: Time, made: Time) {
    let last = endpoint.other_load.reported_at;
    if last.is_some_and(|last| made - last >= SILENCE) {
        endpoint.backoff_until = endpoint.backoff_until.min(now);
    }
}
