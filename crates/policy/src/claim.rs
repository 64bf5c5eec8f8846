//! Which VM produces a lot, and when another VM takes over.
//!
//! Every VM ranks the live VMs by rendezvous hash for each lot. The first VM
//! owns the lot and produces it. The next few monitor it by asking the VMs
//! ranked before them whether they still produce the lot. A monitor that finds
//! no producer within its timeout takes over the claim by a conditional write
//! that raises the epoch.
//!
//! Ownership avoids duplicate work but is not needed for safety. A paused owner
//! that resumes after a takeover may finish its samples, but the lot is sealed
//! by a single create-if-absent write. The VM whose write fails adopts the lot
//! that exists.

use std::{cmp::Reverse, time::Duration};

use board::{Time, hash, lot::Claim};

/// The time without a visible producer after which the first monitor takes
/// over.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(4);

/// How many VMs are responsible for one lot: its owner and its monitors.
pub const CANDIDATES: usize = 3;

/// Returns the VMs that are responsible for `lot`, the preferred producer
/// first.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::claim;
///
/// let order = claim::candidates(["vm-1", "vm-2", "vm-3", "vm-4"], "notes.7");
/// assert_eq!(order.len(), claim::CANDIDATES);
/// let again = claim::candidates(["vm-4", "vm-3", "vm-2", "vm-1"], "notes.7");
/// assert_eq!(order, again);
/// ```
pub fn candidates<'a>(vms: impl IntoIterator<Item = &'a str>, lot: &str) -> Vec<&'a str> {
    let key = hash::hash_value(&lot);
    let mut order: Vec<_> = vms.into_iter().collect();
    order.sort_by_key(|vm| (Reverse(hash::rendezvous(key, vm)), *vm));
    order.truncate(CANDIDATES);
    order
}

/// The state of one VM that monitors a lot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Monitor {
    /// When another producer was last seen, or else when monitoring started.
    last_seen: Time,
    /// Whether another VM has been seen to produce the lot.
    has_producer: bool,
}

/// What a VM does about a lot that is not sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim and produce the lot.
    Produce,
    /// Ask the VMs ranked before this one whether they produce it.
    Ask,
    /// Do nothing: the VM is not responsible for the lot.
    Nothing,
}

impl Monitor {
    /// Returns a monitor whose timeout starts at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            last_seen: now,
            has_producer: false,
        }
    }

    /// Records that another VM produces the lot.
    pub fn record_producer(&mut self, now: Time) {
        self.last_seen = now;
        self.has_producer = true;
    }

    /// Returns whether less than [`OWNER_TIMEOUT`] has passed since the start
    /// or since another producer was last seen.
    pub fn is_within_timeout(&self, now: Time) -> bool {
        now - self.last_seen < OWNER_TIMEOUT
    }

    /// Returns the action of the VM with this `rank` among the candidates. The
    /// timeout grows with the rank, so two monitors rarely take over at the
    /// same time.
    pub fn action(&self, rank: Option<usize>, now: Time) -> Action {
        let rank = match rank {
            // The ranking has changed, and this VM is now first. It keeps
            // monitoring the VM that already produces the lot.
            Some(0) if self.has_producer => Some(1),
            rank => rank,
        };
        match rank {
            None => Action::Nothing,
            Some(0) => Action::Produce,
            Some(rank) if now - self.last_seen >= OWNER_TIMEOUT * rank as u32 => Action::Produce,
            Some(_) => Action::Ask,
        }
    }
}

/// How long the platform must be unreachable before lots are produced without a
/// claim.
pub const OUTAGE_MIN: Duration = Duration::from_secs(2);

/// How many lots one VM produces without a claim at once. Their samples stay in
/// its memory until the platform is reachable again.
pub const UNCLAIMED_LOTS_MAX: usize = 4;

/// The state of a VM that can neither read nor write claims.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// How long all reads of claims have failed on this VM.
    pub duration: Duration,
    /// Whether another candidate reports that it produces the lot or knows it
    /// to be sealed.
    pub has_producer: bool,
    /// How many lots this VM produces without a claim.
    pub unclaimed: usize,
}

/// Returns whether a VM whose action is [`Action::Produce`] may produce the lot
/// without a claim. Two VMs that cannot reach each other may both do so;
/// sealing decides which result becomes the lot.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::claim::{OUTAGE_MIN, Outage, may_produce_unclaimed};
///
/// let outage = Outage { duration: OUTAGE_MIN, has_producer: false, unclaimed: 0 };
/// assert!(may_produce_unclaimed(outage));
/// assert!(!may_produce_unclaimed(Outage { has_producer: true, ..outage }));
/// ```
pub fn may_produce_unclaimed(outage: Outage) -> bool {
    let is_outage = outage.duration >= OUTAGE_MIN;
    is_outage && !outage.has_producer && outage.unclaimed < UNCLAIMED_LOTS_MAX
}

/// Returns the claim of `owner` that replaces `found`.
pub fn next_claim(found: Option<&Claim>, owner: &str) -> Claim {
    Claim {
        owner: owner.to_string(),
        epoch: found.map_or(0, |claim| claim.epoch) + 1,
    }
}
