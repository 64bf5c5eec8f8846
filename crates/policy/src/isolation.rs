//! What a VM does while it is cut off.
//!
//! | what the VM sees | what it does |
//! |---|---|
//! | its keys were complete a short time ago | serves everyone |
//! | they were not, yet it hears every failure domain and all agree | serves everyone: the platform is out, and no withdrawal can have been accepted |
//! | they were not, and a failure domain is silent or disagrees | refuses requests with a key, unless their account says otherwise |
//!
//! Public routes need no key and go on in each case.

use std::time::Duration;

use board::{Board, Time, config::Isolated, hash::Set, member::State};

/// How long keys count as up to date after they were last known to be
/// complete.
pub const KEYS_AGE_MAX: Duration = Duration::from_secs(6);

/// How long a failure domain counts as heard.
pub const CONTACT_AGE_MAX: Duration = Duration::from_secs(6);

/// What a VM concludes from what it hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// The keys known are complete.
    UpToDate,
    /// The platform is out for everyone.
    Outage,
    /// Others may know more.
    Isolated,
}

/// Returns what this VM concludes now.
pub fn view(board: &Board, now: Time) -> View {
    let complete_at = board.members.fresh;
    if complete_at.is_some_and(|time| now - time <= KEYS_AGE_MAX) {
        return View::UpToDate;
    }
    if has_contact_with_all(board, now) {
        return View::Outage;
    }
    View::Isolated
}

/// Returns whether a request of an account that declares `isolated` may run.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use board::{Board, Time, config::Isolated};
/// use tarragonseam_policy::isolation;
///
/// let mut board = Board::new("vm-1", "a", 1);
/// let now = Time::from_millis(60_000);
/// board.members.fresh = Some(now);
/// assert!(isolation::may_run(&board, now, Isolated::Refuse));
/// let later = now + Duration::from_secs(60);
/// assert!(!isolation::may_run(&board, later, Isolated::Refuse));
/// assert!(isolation::may_run(&board, later, Isolated::Serve));
/// ```
pub fn may_run(board: &Board, now: Time, isolated: Isolated) -> bool {
    isolated == Isolated::Serve || view(board, now) != View::Isolated
}

/// Every other failure domain must be heard; where there is none, another VM
/// of this one.
fn has_contact_with_all(board: &Board, now: Time) -> bool {
    let mut domains = other_domains(board);
    if domains.is_empty() {
        domains.insert(board.failure_domain.as_str());
    }
    domains.into_iter().all(|domain| {
        let last_seen = board.members.heard.get(domain);
        last_seen.is_some_and(|time| now - *time <= CONTACT_AGE_MAX)
    })
}

/// Failure domains count as long as a VM or an endpoint of theirs is known: a
/// dead VM may only be out of reach.
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
