//! Facts that are replicated to every VM: configuration, keys, endpoints and
//! weights. The version of a fact never decreases.

use std::collections::BTreeMap;

use crate::{
    config::Manifest,
    endpoint,
    hash::{Map, hash_bytes},
    key::{self, Grant},
};

crate::record! {
    /// The kind of a fact.
    copy pub enum Kind {
        /// The manifest of the configuration.
        Config,
        /// A caller's key.
        Key,
        /// An endpoint.
        Endpoint,
        /// The weights of a model.
        Weights,
    }
}

/// The number of kinds.
pub const KINDS: usize = 4;

/// The number of buckets whose digests anti-entropy compares.
pub const BUCKETS: usize = 64;

/// One digest for each kind, in the order of [`Kind`].
pub type Digests = [u64; KINDS];

crate::record! {
    /// A replicated fact.
    pub enum Fact {
        /// The manifest of the current configuration.
        Config(Manifest),
        /// The grant of a key.
        Key(key::Digest, Grant),
        /// An endpoint as the platform describes it.
        Endpoint(endpoint::Record),
        /// A model, and the version of the weights that it should serve.
        Weights(String, u64),
    }
}

impl Fact {
    /// Returns the kind of the fact.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Config(_) => Kind::Config,
            Self::Key(..) => Kind::Key,
            Self::Endpoint(_) => Kind::Endpoint,
            Self::Weights(..) => Kind::Weights,
        }
    }

    /// Returns the name of the fact, which is unique among the facts of its
    /// kind.
    pub fn name(&self) -> String {
        match self {
            Self::Config(_) => String::new(),
            Self::Key(digest, _) => digest.to_string(),
            Self::Endpoint(record) => record.id.clone(),
            Self::Weights(model, _) => model.clone(),
        }
    }
}

crate::record! {
    /// A fact and its version.
    pub struct Item {
        /// The version, which increases with each change of the fact.
        pub version: u64,
        /// The fact.
        pub fact: Fact,
    }
}

/// The known facts by kind and name, and the texts of the configuration.
///
/// # Examples
///
/// ```
/// use tarragonseam_board::shared::{Fact, Item, Store};
///
/// let mut store = Store::default();
/// let item = |version| Item { version, fact: Fact::Weights("m".into(), version) };
/// assert!(store.put(item(2)));
/// assert!(!store.put(item(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Store {
    items: BTreeMap<(Kind, String), Item>,
    digests: Digests,
    buckets: Vec<u64>,
    /// The texts of the configuration's parts by digest.
    pub parts: Map<key::Digest, String>,
}

impl Store {
    /// Stores `item` if its version is higher than the known one, and returns
    /// whether it was stored.
    pub fn put(&mut self, item: Item) -> bool {
        let key = (item.fact.kind(), item.fact.name());
        if self.version(key.0, &key.1) >= item.version {
            return false;
        }
        if let Some(old) = self.items.get(&key) {
            let old = old.version;
            self.toggle_digest(&key, old);
        }
        self.toggle_digest(&key, item.version);
        self.items.insert(key, item);
        true
    }

    fn toggle_digest(&mut self, key: &(Kind, String), version: u64) {
        self.buckets.resize(BUCKETS, 0);
        let hash = hash_bytes(key.1.as_bytes(), key.0 as u64);
        let digest = hash_bytes(&version.to_be_bytes(), hash);
        self.digests[key.0 as usize] ^= digest;
        self.buckets[hash as usize % BUCKETS] ^= digest;
    }

    /// Returns the version of a fact, or 0 if the fact is unknown.
    pub fn version(&self, kind: Kind, name: &str) -> u64 {
        let item = self.items.get(&(kind, name.to_string()));
        item.map_or(0, |item| item.version)
    }

    /// Returns a fact with its version.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Item> {
        self.items.get(&(kind, name.to_string()))
    }

    /// Returns the facts of a kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items
            .range((kind, String::new())..)
            .take_while(move |((other, _), _)| *other == kind)
            .map(|(_, item)| item)
    }

    /// Returns the digest of each kind.
    pub fn digests(&self) -> Digests {
        self.digests
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> Vec<u64> {
        let mut buckets = self.buckets.clone();
        buckets.resize(BUCKETS, 0);
        buckets
    }

    /// Returns the facts in the buckets whose digests differ from `theirs`,
    /// starting with bucket `start`, and whether buckets were left out.
    ///
    /// Only complete buckets are returned, so that each call makes some buckets
    /// agree. No further bucket is added once there are `limit` facts.
    pub fn differing_items(&self, theirs: &[u64], limit: usize, start: usize) -> (Vec<Item>, bool) {
        let ours = self.buckets();
        let mut groups: Vec<Vec<&Item>> = vec![Vec::new(); BUCKETS];
        for (key, item) in &self.items {
            let bucket = hash_bytes(key.1.as_bytes(), key.0 as u64) as usize % BUCKETS;
            if theirs.get(bucket) != Some(&ours[bucket]) {
                groups[bucket].push(item);
            }
        }
        let mut items = Vec::new();
        for offset in 0..BUCKETS {
            if items.len() >= limit {
                return (items, true);
            }
            let group = &groups[(start + offset) % BUCKETS];
            items.extend(group.iter().map(|item| (*item).clone()));
        }
        (items, false)
    }
}
