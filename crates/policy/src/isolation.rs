//! How a VM treats requests while it is cut off from the platform.
//!
//! | state of the VM | behavior |
//! |---|---|
//! | its keys were recently complete | serves all requests |
//! | its keys were not recently complete, but every failure domain is in contact and has the same keys | serves all requests: the platform is unreachable for every VM, so no key can have been withdrawn |
//! | its keys were not recently complete, and a failure domain is not in contact or has other keys | rejects requests with a key, unless their account allows serving them |
//!
//! Public routes need no key and are served in each case.

use std::time::Duration;

use board::{Board, Time, config::IsolationMode, hash::Set, member::State};

/// How long keys count as up to date after they were last known to be complete.
pub const KEYS_AGE_MAX: Duration = Duration::from_secs(6);

/// How long after the last contact a failure domain counts as reachable.
pub const CONTACT_AGE_MAX: Duration = Duration::from_secs(6);

/// A VM's view of the platform and of the other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// The known keys are complete.
    UpToDate,
    /// The platform is unreachable for every VM.
    Outage,
    /// Other VMs may know of changes that this one does not.
    Isolated,
}

/// Returns the current view of this VM.
pub fn view(board: &Board, now: Time) -> View {
    let complete_at = board.members.keys_complete_at;
    if complete_at.is_some_and(|time| now - time <= KEYS_AGE_MAX) {
        return View::UpToDate;
    }
    if has_contact_with_all(board, now) {
        return View::Outage;
    }
    View::Isolated
}

/// Returns whether a request may run if its account declares `mode` for VMs
/// that are isolated.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use board::{Board, Time, config::IsolationMode};
/// use tarragonseam_policy::isolation;
///
/// let mut board = Board::new("vm-1", "a", 1);
/// let now = Time::from_millis(60_000);
/// board.members.keys_complete_at = Some(now);
/// assert!(isolation::may_run(&board, now, IsolationMode::Refuse));
/// let later = now + Duration::from_secs(60);
/// assert!(!isolation::may_run(&board, later, IsolationMode::Refuse));
/// assert!(isolation::may_run(&board, later, IsolationMode::Serve));
/// ```
pub fn may_run(board: &Board, now: Time, mode: IsolationMode) -> bool {
    mode == IsolationMode::Serve || view(board, now) != View::Isolated
}

/// Returns whether every other failure domain was in contact recently or, if
/// there is none, another VM of this one.
fn has_contact_with_all(board: &Board, now: Time) -> bool {
    let mut domains = other_domains(board);
    if domains.is_empty() {
        domains.insert(board.failure_domain.as_str());
    }
    domains.into_iter().all(|domain| {
        let last_seen = board.members.synced_at.get(domain);
        last_seen.is_some_and(|time| now - *time <= CONTACT_AGE_MAX)
    })
}

/// Returns the failure domains of which a VM or an endpoint is known. A dead VM
/// counts, since it may only be unreachable.
fn other_domains(board: &Board) -> Set<&str> {
    let members = board.members.others.values();
    let of_members = members
        .filter(|member| member.state != State::Left)
        .map(|member| member.record.failure_domain.as_str());
    let of_endpoints = board
        .endpoints
        .iter()
        .map(|(_, endpoint)| endpoint.record.failure_domain.as_str());
    of_members
        .chain(of_endpoints)
        .filter(|domain| *domain != board.failure_domain)
        .collect()
}
