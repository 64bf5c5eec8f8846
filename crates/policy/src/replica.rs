//! The choice of the VMs that get the copies of a record.

use std::cmp::Reverse;

use board::hash::{self, Map};

/// Returns the indices into `vms`, given as (name, failure domain), in the order
/// in which they get copies of the record `subject`. As many failure domains as
/// possible come first. Within that, rendezvous hashing decides, so a VM that is
/// added or removed changes the place of few records.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::replica;
///
/// let vms = [("vm-a1", "a"), ("vm-a2", "a"), ("vm-b1", "b")];
/// let order = replica::rank("stream-1", &vms);
/// let domains: Vec<&str> = order.iter().map(|index| vms[*index].1).collect();
/// assert!(domains[..2].contains(&"a") && domains[..2].contains(&"b"));
/// ```
pub fn rank(subject: &str, vms: &[(&str, &str)]) -> Vec<usize> {
    let seed = hash::hash_bytes(subject.as_bytes(), 0);
    let mut order: Vec<usize> = (0..vms.len()).collect();
    order.sort_by_key(|index| Reverse(hash::rendezvous(seed, vms[*index].0)));
    let mut counts: Map<&str, usize> = Map::default();
    let mut turns: Vec<(usize, usize)> = Vec::new();
    for index in order {
        let count = counts.entry(vms[index].1).or_default();
        turns.push((*count, index));
        *count += 1;
    }
    // The sort is stable, so the ranks decide among VMs of the same turn.
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, index)| index).collect()
}
