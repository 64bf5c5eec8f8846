//! Grants of an endpoint's slots, which its owner issues to the VMs that use
//! it.
//!
//! Each VM renews its grant before it expires and reports its demand: how many
//! requests it has at the endpoint or would send. The owner divides the slots
//! max-min fairly. Slots that a VM no longer needs become available to the
//! others at its next renewal, or when its grant expires. A VM without a valid
//! grant falls back to its own limit, so the loss of an owner costs efficiency
//! only.

use std::{sync::Arc, time::Duration};

use board::{Time, hash::Map, limit::Credit};

/// How long a grant is valid.
pub const GRANT_TTL: Duration = Duration::from_millis(300);

/// How often a VM renews its grant.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(100);

/// The demand of each VM for the slots of one endpoint, as known to the
/// endpoint's owner.
///
/// # Examples
///
/// ```
/// use board::Time;
/// use tarragonseam_policy::credit::{self, Pool};
///
/// let mut pool = Pool::default();
/// credit::grant(&mut pool, Time::ZERO, "vm-1", 2, 8);
/// let credit = credit::grant(&mut pool, Time::ZERO, "vm-2", 100, 8);
/// assert_eq!(credit.slots, 6.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pool {
    demands: Map<Arc<str>, (Time, u32)>,
}

/// Records the `demand` of `vm`, and returns its grant out of the endpoint's
/// `slots`, which may be fractional.
pub fn grant(pool: &mut Pool, now: Time, vm: &str, demand: u32, slots: u32) -> Credit {
    pool.demands
        .retain(|_, (requested_at, _)| now - *requested_at < GRANT_TTL);
    pool.demands.insert(vm.into(), (now, demand));
    Credit {
        slots: max_min_share(pool, vm, slots),
        expires_at: now + GRANT_TTL,
    }
}

/// Returns the max-min fair share of `vm`.
fn max_min_share(pool: &Pool, vm: &str, slots: u32) -> f64 {
    let demands = pool.demands.iter();
    let mut sorted: Vec<_> = demands
        .map(|(name, (_, demand))| (*demand, &**name))
        .collect();
    sorted.sort_unstable();
    let mut remaining = f64::from(slots);
    for (index, (demand, name)) in sorted.iter().enumerate() {
        let even_share = remaining / (sorted.len() - index) as f64;
        let demand = f64::from(*demand);
        if demand > even_share {
            return even_share;
        }
        if *name == vm {
            return demand;
        }
        remaining -= demand;
    }
    0.0
}
