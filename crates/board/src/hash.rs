//! Hash maps with a fast hasher.

/// A map for keys that callers cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A set for keys that callers cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// Returns a hash of `bytes` that is the same in every process and release.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::hash::mix;
///
/// assert_eq!(mix(b"vm-1", 7), mix(b"vm-1", 7));
/// assert_ne!(mix(b"vm-1", 7), mix(b"vm-2", 7));
/// ```
pub fn mix(bytes: &[u8], seed: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    let mut hash = bytes.iter().fold(BASIS ^ seed.rotate_left(17), step);
    // The low bits of FNV are weak on short input, so they are stirred.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
