//! When to send a second attempt beside a slow first one.
//!
//! Only an idempotent request may be hedged. The second attempt goes to
//! another endpoint once the first has taken longer than most answers of the
//! service do. A budget bounds the extra load: when the whole service slows
//! down, every request is past the quantile and hedges would only add to it.
//!
//! A caller of this module waits for [`delay`], then asks [`take`], then
//! looks for a free place by [`call::start_now`](crate::call::start_now): a
//! hedge never waits in a queue.

use std::time::Duration;

use board::Board;

const DELAY_QUANTILE: f64 = 0.95;
const DELAY_MIN: Duration = Duration::from_millis(2);

/// Fewer answers than this say nothing of the quantile.
const ANSWERS_MIN: u32 = 50;

/// Thousandths of a token that an answer earns: one hedge for fifty answers.
const EARNED_PER_ANSWER_MILLI: u32 = 20;

/// Returns how long after the first attempt of a request of `cost` units a
/// second one should follow, or `None` when too little is known of `service`
/// or its budget is spent.
pub fn delay(board: &Board, service: &str, cost: u32) -> Option<Duration> {
    let service = board.services.get(service)?;
    if !service.hedge.is_open() || service.latency.count() < ANSWERS_MIN {
        return None;
    }
    let slow = service.latency.quantile(cost, DELAY_QUANTILE)?;
    Some(slow.max(DELAY_MIN))
}

/// Spends a token on a second attempt at `service`, and returns whether there
/// was one.
pub fn try_spend(board: &mut Board, service: &str) -> bool {
    board.service(service).hedge.take()
}

/// Notes an answer of `service`. [`call::finish`](crate::call::finish) calls
/// it for each answered attempt.
pub fn earn(board: &mut Board, service: &str) {
    board.service(service).hedge.earn(EARNED_PER_ANSWER_MILLI);
}
