//! Which VM produces a lot, and when another takes it over.
//!
//! Every VM orders the live VMs by rendezvous hash for each lot. The first one
//! produces; the next few guard it by asking those before them whether they
//! still produce. A guard that hears nothing for its whole patience takes the
//! claim over by a conditional write that raises the epoch.
//!
//! Ownership saves work and is never relied on for safety: a frozen owner that
//! wakes after a takeover may finish its samples, but the lot is sealed by one
//! create-if-absent, and the loser takes what stands.

use std::{cmp::Reverse, time::Duration};

use board::{Time, hash, lot::Claim};

/// How long an owner may be silent before the first guard takes over.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(4);

/// How many VMs care for one lot: its owner and its guards.
pub const CANDIDATES: usize = 3;

/// Returns the VMs that care for `lot`, the one that should produce it first.
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
    let key = hash::of(&lot);
    let mut order: Vec<_> = vms.into_iter().collect();
    order.sort_by_key(|vm| (Reverse(hash::rendezvous(key, vm)), *vm));
    order.truncate(CANDIDATES);
    order
}

/// What one VM knows of a lot that it guards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Monitor {
    last_seen: Time,
    /// Whether another VM was seen to produce the lot.
    has_producer: bool,
}

/// What to do about a lot that is not sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim and produce it.
    Produce,
    /// Ask the VMs before this one whether they produce it.
    Ask,
    /// Nothing.
    Nothing,
}

impl Monitor {
    /// Returns a guard that starts at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            last_seen: now,
            has_producer: false,
        }
    }

    /// Notes that another VM produces the lot.
    pub fn record_producer(&mut self, now: Time) {
        self.last_seen = now;
        self.has_producer = true;
    }

    /// Returns whether the owner was heard too recently to be given up.
    pub fn is_within_timeout(&self, now: Time) -> bool {
        now - self.last_seen < OWNER_TIMEOUT
    }

    /// Returns what the VM with this `rank` among the candidates does now.
    /// Each rank is more patient than the one before, so that guards rarely
    /// take over at once.
    pub fn action(&self, rank: Option<usize>, now: Time) -> Action {
        let rank = match rank {
            // The order changed while another VM produces: it goes on.
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

/// How long the platform has to fail before lots are produced unclaimed.
pub const OUTAGE_MIN: Duration = Duration::from_secs(2);

/// How many lots one VM produces unclaimed at once: their samples stay in its
/// memory until the platform is back.
pub const UNCLAIMED_LOTS_MAX: usize = 4;

/// What a VM knows when a claim can be neither read nor written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// For how long every look at a claim has failed here.
    pub duration: Duration,
    /// Whether another candidate says that it produces the lot or knows it as
    /// sealed.
    pub has_producer: bool,
    /// How many lots this VM produces unclaimed.
    pub unclaimed: usize,
}

/// Returns whether a VM whose duty is [`Duty::Produce`] produces the lot
/// without a claim. Two VMs may do so at once when they do not reach each
/// other; which of the two is the lot is decided when it is sealed.
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

/// Returns the claim to write over `found` for `owner`.
pub fn next_claim(found: Option<&Claim>, owner: &str) -> Claim {
    Claim {
        owner: owner.to_string(),
        epoch: found.map_or(0, |claim| claim.epoch) + 1,
    }
}
