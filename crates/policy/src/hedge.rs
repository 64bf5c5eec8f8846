//! Request hedging: when to send a second attempt while the first is still
//! running.
//!
//! Only idempotent requests may be hedged. The second attempt goes to another
//! endpoint once the first has taken longer than most answers of the service. A
//! budget bounds the extra load: when the whole service slows down, every
//! request exceeds the quantile, and hedging all of them would make it slower.
//!
//! The caller waits for [`delay`], starts the second attempt with
//! [`call::try_start`](crate::call::try_start), which uses a free slot and
//! never queues, and spends a token with [`try_spend`].

use std::time::Duration;

use board::Board;

/// The quantile of the latency after which a second attempt starts.
const DELAY_QUANTILE: f64 = 0.95;
const DELAY_MIN: Duration = Duration::from_millis(2);

/// The fewest answers from which the quantile is estimated.
const ANSWERS_MIN: u32 = 50;

/// Thousandths of a token that an answer earns: one hedge per fifty answers.
const EARNED_PER_ANSWER_MILLI: u32 = 20;

/// Returns how long after the first attempt of a request of `cost` units a
/// second one should start, or `None` if `service` has too few answers or its
/// budget is spent.
pub fn delay(board: &Board, service: &str, cost: u32) -> Option<Duration> {
    let service = board.services.get(service)?;
    if !service.hedge.has_token() || service.latency.count() < ANSWERS_MIN {
        return None;
    }
    let slow = service.latency.quantile(cost, DELAY_QUANTILE)?;
    Some(slow.max(DELAY_MIN))
}

/// Spends a token on a second attempt at `service`. Returns whether one was
/// available.
pub fn try_spend(board: &mut Board, service: &str) -> bool {
    board.service(service).hedge.try_spend()
}

/// Records an answer of `service`. [`call::finish`](crate::call::finish) calls
/// this for each answered attempt.
pub fn earn(board: &mut Board, service: &str) {
    board.service(service).hedge.earn(EARNED_PER_ANSWER_MILLI);
}
