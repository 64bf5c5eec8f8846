//! Ownership of endpoints.
//!
//! Each VM computes the owner from its own view of the live VMs, so two VMs may
//! name different owners for a while. Ownership is only a hint that improves
//! the use of endpoints; safety never depends on it.

use std::hash::{Hash, Hasher};

use board::hash;

/// Returns the owner of `endpoint` among the live `members` of its failure
/// domain, or `None` without members.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::owner;
///
/// let before = owner::select(["vm-1", "vm-2", "vm-3"], "engine-7");
/// let after = owner::select(["vm-3", "vm-1", "vm-2"], "engine-7");
/// assert_eq!(before, after);
/// ```
pub fn select<'a>(members: impl IntoIterator<Item = &'a str>, endpoint: &str) -> Option<&'a str> {
    let mut hasher = hash::Hasher::default();
    endpoint.hash(&mut hasher);
    let key = hasher.finish();
    members
        .into_iter()
        .max_by_key(|member| (hash::rendezvous(key, member), *member))
}
