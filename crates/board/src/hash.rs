//! Hash maps with a fast hasher.

use std::hash::{BuildHasher, Hash};

/// A map for keys that callers cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A set for keys that callers cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// The hasher behind them, the same on every VM.
pub type Hasher = rustc_hash::FxHasher;

/// Returns a hash that is the same in every process of one build.
///
/// The bits are mixed once more than maps need, because rendezvous hashing
/// compares whole hashes: the hasher alone ranks similar names unevenly.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::hash;
///
/// assert_eq!(hash::of(&("vm-1", 7)), hash::of(&("vm-1", 7)));
/// ```
pub fn of<T: Hash>(value: &T) -> u64 {
    mix(rustc_hash::FxBuildHasher.hash_one(value))
}

/// The finalizer of MurmurHash3.
const fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
