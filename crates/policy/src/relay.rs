//! Which VMs do a job for their failure domain, by rendezvous hash over the
//! live members and without any agreement: two that both think so only cost a
//! call more.

use board::{Board, hash::mix, member::Member};

/// How many VMs of a failure domain watch the platform.
pub const RELAYS: usize = 2;

const FALLBACKS: usize = 2;

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

/// Returns whether this VM tries the platform when the relays of its failure
/// domain bring no news. Only a few do, so that calls in an outage do not grow
/// with the VMs; beyond those, other failure domains bring news.
pub fn is_fallback(board: &Board) -> bool {
    rank(board, "relay") < RELAYS + FALLBACKS
}

/// Returns whether this VM reads the load of an endpoint of its failure
/// domain.
pub fn is_owner(board: &Board, endpoint: &str) -> bool {
    higher_ranked(board, endpoint).next().is_none()
}

/// Returns how many live members of this failure domain come before this VM
/// for `job`.
pub fn rank(board: &Board, role: &str) -> usize {
    higher_ranked(board, role).count()
}

/// Returns the live members of this failure domain that come before this VM.
fn higher_ranked<'a>(board: &'a Board, role: &'a str) -> impl Iterator<Item = &'a Member> {
    let score = move |vm: &'a str| (mix(role.as_bytes(), mix(vm.as_bytes(), 0)), vm);
    let own = score(&board.vm);
    board
        .members
        .live_in(&board.failure_domain)
        .filter(move |member| score(&member.record.vm) > own)
}
