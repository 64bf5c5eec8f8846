//! Hash maps with a fast hasher.

/// A map for keys that callers cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A set for keys that callers cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// The hasher behind them, the same on every VM.
pub type Hasher = rustc_hash::FxHasher;
