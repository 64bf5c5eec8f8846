//! Whose unfinished request body gives way when the memory for bodies is short.

use std::{collections::BTreeMap, net::IpAddr};

/// An unfinished body, or the part of one that asks for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body {
    /// The address of its caller.
    pub address: IpAddr,
    /// A hash of the key of its client account, which need not be valid; 0 without
    /// a key.
    pub account: u64,
    /// The memory that it holds, in bytes.
    pub bytes: usize,
}

/// Returns the index of the body in `unfinished` that has to release its memory
/// for `newcomer`, whose `bytes` include what it asks for. Returns `None` if the
/// newcomer has to wait or be refused.
///
/// Addresses share the memory first, and the accounts behind one address next,
/// because a caller can invent keys but not addresses. A body only gives way if
/// its address or account then still holds at least as much as that of the
/// newcomer did before, so no two callers evict each other in turns. An account
/// behind one address keeps what it holds against its own later requests.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::room::{Body, choose_victim};
///
/// let body = |account, bytes| Body { address: [10, 0, 0, 1].into(), account, bytes };
/// let unfinished = [body(1, 900), body(2, 50), body(1, 700)];
/// assert_eq!(choose_victim(&unfinished, &body(3, 100)), Some(0));
/// assert_eq!(choose_victim(&unfinished, &body(1, 100)), None);
/// ```
pub fn choose_victim(unfinished: &[Body], newcomer: &Body) -> Option<usize> {
    let by_address = sums(unfinished.iter().map(|body| (body.address, body.bytes)));
    let held = by_address.get(&newcomer.address).copied().unwrap_or(0);
    let largest = by_address
        .iter()
        .max_by_key(|(address, sum)| (**sum, **address));
    let (address, _) = largest
        .filter(|(address, sum)| {
            **address != newcomer.address && **sum > held.saturating_add(newcomer.bytes)
        })
        .unwrap_or((&newcomer.address, &held));
    let is_own = *address == newcomer.address;
    let behind = || unfinished.iter().filter(|body| body.address == *address);
    let by_account = sums(behind().map(|body| (body.account, body.bytes)));
    let (account, sum) = by_account
        .iter()
        .max_by_key(|(account, sum)| (**sum, **account))?;
    if is_own {
        let held = by_account.get(&newcomer.account).copied().unwrap_or(0);
        if *account == newcomer.account || *sum <= held.saturating_add(newcomer.bytes) {
            return None;
        }
    }
    let is_candidate = |body: &Body| body.address == *address && body.account == *account;
    let candidates = unfinished
        .iter()
        .enumerate()
        .filter(|(_, body)| is_candidate(body));
    let victim = candidates.max_by_key(|(_, body)| body.bytes)?;
    (victim.1.bytes > 0).then_some(victim.0)
}

fn sums<K: Ord>(holders: impl Iterator<Item = (K, usize)>) -> BTreeMap<K, usize> {
    let mut sums = BTreeMap::new();
    for (key, bytes) in holders {
        *sums.entry(key).or_insert(0) += bytes;
    }
    sums
}
