//! Maps and sets with a fast hasher, and hashes that are the same on every VM.

use std::hash::{BuildHasher, Hash};

/// A map whose keys callers cannot choose freely: its hasher does not resist
/// collision attacks.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A set whose keys callers cannot choose freely: its hasher does not resist
/// collision attacks.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// Returns a hash of `bytes` that is the same in every process and release.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::hash::hash_bytes;
///
/// assert_eq!(hash_bytes(b"vm-1", 7), hash_bytes(b"vm-1", 7));
/// assert_ne!(hash_bytes(b"vm-1", 7), hash_bytes(b"vm-2", 7));
/// ```
pub fn hash_bytes(bytes: &[u8], seed: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    let mut hash = bytes.iter().fold(BASIS ^ seed.rotate_left(17), step);
    // The low bits of FNV are weak on short input, so a finalizer mixes all
    // bits.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The hasher of [`Map`] and [`Set`]. It has no seed, so it is the same on
/// every VM.
pub type Hasher = rustc_hash::FxHasher;

/// Returns a hash of `value` that is the same in every process of one build.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::hash;
///
/// assert_eq!(hash::hash_value(&("vm-1", 7)), hash::hash_value(&("vm-1", 7)));
/// ```
pub fn hash_value<T: Hash>(value: &T) -> u64 {
    hash_bytes(&rustc_hash::FxBuildHasher.hash_one(value).to_le_bytes(), 0)
}

/// Returns the rank of `name` for `key` in rendezvous hashing. The name with
/// the highest rank is chosen for each key, so adding or removing a name moves
/// only the keys for which that name is chosen.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::hash;
///
/// let names = ["e1", "e2", "e3"];
/// let winner = |key| names.iter().max_by_key(|name| hash::rendezvous(key, name));
/// assert_eq!(winner(7), winner(7));
/// ```
pub fn rendezvous(key: u64, name: &str) -> u64 {
    hash_bytes(name.as_bytes(), key)
}
