//! Hash maps with a fast hasher.

/// A map for keys that callers cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A set for keys that callers cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// The hasher behind them, the same on every VM.
pub type Hasher = rustc_hash::FxHasher;

/// Returns the rank of `name` for `key` in rendezvous hashing: for each key,
/// the name with the highest rank is chosen, so names that come and go move
/// only the keys that they win.
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
    use std::hash::Hasher as _;
    let mut hasher = Hasher::default();
    hasher.write(name.as_bytes());
    mix(mix(hasher.finish()) ^ key)
}

/// Spreads every bit of the input over the output: the fast hasher alone keeps
/// the order of similar names.
const fn mix(mut bits: u64) -> u64 {
    bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
