//! Whether an endpoint is fit for work, judged by how attempts end.

use std::time::Duration;

use board::{Time, endpoint::Endpoint};

use crate::call::Outcome;

const REST_FIRST: Duration = Duration::from_millis(250);
const REST_MAX: Duration = Duration::from_secs(8);
const REST_DOUBLINGS: u32 = 5;

/// Notes the end of an attempt. Failures in a row make the endpoint rest for
/// an exponentially growing time.
pub fn note(endpoint: &mut Endpoint, now: Time, outcome: Outcome) {
    match outcome {
        Outcome::Abandoned => {}
        Outcome::Answered => endpoint.failures = 0,
        Outcome::Failed => {
            let doublings = endpoint.failures.min(REST_DOUBLINGS);
            endpoint.failures += 1;
            endpoint.rest_until = now + (REST_FIRST * 2_u32.pow(doublings)).min(REST_MAX);
        }
    }
}
