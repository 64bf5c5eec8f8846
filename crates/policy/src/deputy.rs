//! The choice of the VMs that stand in for the coordinators when all of these
//! are lost.
//!
//! Without deputies each VM would help itself: it would follow all jobs and read
//! the whole store, and the load on the platform would grow with the number of
//! VMs.

use crate::replica;

/// The share of the power of the strongest VM that a deputy has at least.
const POWER_SHARE_MIN: f64 = 0.5;

/// A VM that may be a deputy.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// What it can do, see [`power`].
    pub power: f64,
}

/// Returns how much work a machine with these resources can do, compared with
/// other machines: the resource that it has least of decides.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::deputy::power;
///
/// assert!(power(512, 200.0, 0.5) > power(512, 60.0, 0.5));
/// assert_eq!(power(160, 60.0, 0.12), power(160, 1000.0, 0.12));
/// ```
pub fn power(memory_mb: u64, link_mbps: f64, cpu_share: f64) -> f64 {
    let memory = memory_mb as f64 / MEMORY_MB_UNIT;
    memory
        .min(link_mbps / LINK_MBPS_UNIT)
        .min(cpu_share / CPU_SHARE_UNIT)
}

/// The resources of the smallest machine, each of which counts as a power of 1.
const MEMORY_MB_UNIT: f64 = 160.0;
const LINK_MBPS_UNIT: f64 = 60.0;
const CPU_SHARE_UNIT: f64 = 0.12;

/// Returns the indices of at most `count` deputies among `candidates`, the first
/// one to be asked first. They are strong VMs, in as many failure domains as
/// possible. VMs that are added or removed change few of them.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::deputy::{self, Candidate};
///
/// let vm = |name, domain, power| Candidate { name, domain, power };
/// let vms = [vm("a1", "a", 1.0), vm("a2", "a", 4.0), vm("b1", "b", 3.0)];
/// let mut deputies = deputy::choose(&vms, 2);
/// deputies.sort();
/// assert_eq!(deputies, [1, 2]);
/// ```
pub fn choose(candidates: &[Candidate<'_>], count: usize) -> Vec<usize> {
    let powers = candidates.iter().map(|vm| vm.power);
    let least = powers.fold(0.0, f64::max) * POWER_SHARE_MIN;
    let strong: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].power >= least)
        .collect();
    let vms: Vec<(&str, &str)> = strong
        .iter()
        .map(|index| (candidates[*index].name, candidates[*index].domain))
        .collect();
    let order = replica::rank(SUBJECT, &vms).into_iter();
    order.take(count).map(|index| strong[index]).collect()
}

/// The key by which candidates are ranked.
const SUBJECT: &str = "deputies";
