//! Which VMs do a job for their failure domain, by rendezvous hash over the
//! live members and without any agreement: two that both think so only cost a
//! call more.

use board::{Board, hash::mix};

/// How many VMs of a failure domain watch the platform.
pub const RELAYS: usize = 2;

/// Returns whether this VM watches the platform for its failure domain.
///
/// # Examples
///
/// ```
/// use board::Board;
/// use tarragonseam_policy::relay;
///
/// // A VM that knows no other has to watch itself.
/// assert!(relay::is_relay(&Board::new("vm-1", "a", 1)));
/// ```
pub fn is_relay(board: &Board) -> bool {
    rank(board, "relay") < RELAYS
}

/// Returns whether this VM reads the load of an endpoint of its failure
/// domain.
pub fn is_owner(board: &Board, endpoint: &str) -> bool {
    rank(board, endpoint) == 0
}

/// Returns how many live members of this failure domain come before this VM
/// for `job`.
pub fn rank(board: &Board, job: &str) -> usize {
    let table = &board.members;
    let score = |vm: &str| (mix(job.as_bytes(), mix(vm.as_bytes(), 0)), vm.to_string());
    let own = score(&board.vm);
    table
        .live_in(&board.failure_domain)
        .filter(|member| score(&member.record.vm) > own)
        .count()
}
