//! Slots of an endpoint, granted by its owner to the VMs that want them.
//!
//! VMs ask again before a grant ends, and name how many requests they have
//! there or would send. The owner divides the slots evenly among those that
//! want more than an even part, and lets others have what they want. What a
//! VM stops wanting is free for others at its next question, or when it has
//! not asked for the length of a grant. A VM without a fresh grant falls back
//! to its own limit, so an owner that is gone costs efficiency only.

use std::{sync::Arc, time::Duration};

use board::{Time, hash::Map, limit::Credit};

/// How long a grant lasts.
pub const GRANT_TTL: Duration = Duration::from_millis(300);

/// How often a VM asks.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(100);

/// What the owner of one endpoint knows of the VMs that use it.
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

/// Notes that `vm` wants `wanted` of the endpoint's `slots`, and returns what
/// it gets: a fair part, with a fraction.
pub fn grant(pool: &mut Pool, now: Time, vm: &str, wanted: u32, slots: u32) -> Credit {
    pool.demands
        .retain(|_, (requested_at, _)| now - *requested_at < GRANT_TTL);
    pool.demands.insert(vm.into(), (now, wanted));
    Credit {
        slots: max_min_share(pool, vm, slots),
        until: now + GRANT_TTL,
    }
}

/// Returns the max-min fair part of `vm`.
fn max_min_share(pool: &Pool, vm: &str, slots: u32) -> f64 {
    let demands = pool.demands.iter();
    let mut sorted: Vec<_> = demands
        .map(|(name, (_, wanted))| (*wanted, &**name))
        .collect();
    sorted.sort_unstable();
    let mut remaining = f64::from(slots);
    for (index, (wanted, name)) in sorted.iter().enumerate() {
        let even_share = remaining / (sorted.len() - index) as f64;
        let wanted = f64::from(*wanted);
        if wanted > even_share {
            return even_share;
        }
        if *name == vm {
            return wanted;
        }
        remaining -= wanted;
    }
    0.0
}
