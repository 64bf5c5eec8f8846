//! Hash maps with a fast hasher.

/// A map for keys that callers cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A set for keys that callers cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;
