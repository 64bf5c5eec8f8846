//! Retry budgets: whether a failed request may be tried again.
//!
//! Each service has a token budget: a retry spends a token, and an answer earns
//! a fraction of one. Limiting the retries per request would multiply the load
//! of a service on which every request fails; the budget bounds the extra load
//! to a fixed share of the answers.

use board::Board;

/// Thousandths of a token that an answer earns: one retry per ten answers.
const EARNED_PER_ANSWER_MILLI: u32 = 100;

/// Spends a token on a retry at `service`. Returns whether one was available.
/// The caller must check that the request may be repeated at all.
///
/// # Examples
///
/// ```
/// use board::Board;
/// use tarragonseam_policy::retry;
///
/// let mut board = Board::new("vm-1", "a", 7);
/// let retries = (0..100).filter(|_| retry::try_spend(&mut board, "entries")).count();
/// assert_eq!(retries, 10);
/// ```
pub fn try_spend(board: &mut Board, service: &str) -> bool {
    board.service(service).retry.try_spend()
}

/// Records an answer of `service`. [`call::finish`](crate::call::finish) calls
/// this for each answered attempt.
pub fn earn(board: &mut Board, service: &str) {
    board.service(service).retry.earn(EARNED_PER_ANSWER_MILLI);
}
