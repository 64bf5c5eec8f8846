//! Selection of the VMs that perform a role for their failure domain. Each VM
//! computes it by rendezvous hash over the live members, without coordination:
//! if two VMs perform the same role, the only cost is an extra call.

use board::{Board, hash::hash_bytes, member::Member};

/// How many VMs of a failure domain watch the platform for changes.
pub const RELAYS: usize = 2;

/// How many more VMs of a failure domain may call the platform when its relays
/// deliver no updates.
const FALLBACKS: usize = 2;

/// Returns whether this VM watches the platform for its failure domain.
///
/// # Examples
///
/// ```
/// use board::Board;
/// use tarragonseam_policy::relay;
///
/// // A VM that knows no other VM watches the platform itself.
/// assert!(relay::is_relay(&Board::new("vm-1", "a", 1)));
/// ```
pub fn is_relay(board: &Board) -> bool {
    rank(board, "relay") < RELAYS
}

/// Returns whether this VM may call the platform when the relays of its failure
/// domain deliver no updates. Only a few VMs may, so that calls during an
/// outage do not grow with the number of VMs; the rest receive updates from
/// other failure domains.
pub fn is_fallback(board: &Board) -> bool {
    rank(board, "relay") < RELAYS + FALLBACKS
}

/// Returns whether this VM reads the load of `endpoint` for its failure domain.
pub fn is_owner(board: &Board, endpoint: &str) -> bool {
    higher_ranked(board, endpoint).next().is_none()
}

/// Returns how many live members of this failure domain rank before this VM for
/// `role`.
pub fn rank(board: &Board, role: &str) -> usize {
    higher_ranked(board, role).count()
}

/// Returns the live members of this failure domain that rank before this VM for
/// `role`.
fn higher_ranked<'a>(board: &'a Board, role: &'a str) -> impl Iterator<Item = &'a Member> {
    let score = move |vm: &'a str| {
        (
            hash_bytes(role.as_bytes(), hash_bytes(vm.as_bytes(), 0)),
            vm,
        )
    };
    let own = score(&board.vm);
    board
        .members
        .live_in(&board.failure_domain)
        .filter(move |member| score(&member.record.vm) > own)
}
