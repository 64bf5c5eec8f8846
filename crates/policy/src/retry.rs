//! Whether a failed request may be tried once more.
//!
//! Each service has a budget of tokens: an attempt after a failed one spends
//! a token, and an answer earns a fraction of one. A count of retries for each
//! request would multiply the load of a service that fails for all; a budget
//! bounds the extra load to a fixed share of what succeeds.

use board::Board;

/// Thousandths of a token that an answer earns: one retry for ten answers.
const EARNED_PER_ANSWER_MILLI: u32 = 100;

/// Spends a token on another attempt at `service`, and returns whether there
/// was one. Whether the request may be repeated at all is the caller's to
/// check.
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
    board.service(service).retry.take()
}

/// Notes an answer of `service`. [`call::finish`](crate::call::finish) calls
/// it for each answered attempt.
pub fn earn(board: &mut Board, service: &str) {
    board.service(service).retry.earn(EARNED_PER_ANSWER_MILLI);
}
