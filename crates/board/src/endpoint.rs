//! Endpoints: the back ends that requests are sent to.

use std::{collections::BTreeMap, net::SocketAddr};

use slotmap::SlotMap;

use crate::{
    hash::Map,
    limit::{Credit, Limit, OtherLoad},
    time::Time,
};

slotmap::new_key_type! {
    /// The key of an endpoint on this board.
    pub struct Key;
}

crate::record! {
    /// The capacity class of an endpoint: whether the platform may reclaim it.
    #[serde(rename_all = "kebab-case")]
    copy pub enum CapacityClass {
        /// Runs until it is ordered to stop.
        Stable,
        /// May be reclaimed at a few seconds' notice.
        Cheap,
    }
}

crate::record! {
    /// The lifecycle state of an endpoint.
    #[serde(rename_all = "kebab-case")]
    copy pub enum State {
        /// Ordered, but not ready yet.
        Starting,
        /// Accepts requests.
        Ready,
        /// Stops soon, and accepts no new requests.
        #[serde(rename = "leaving")]
        Draining,
        /// Stopped.
        #[serde(rename = "gone")]
        Removed,
    }
}

impl State {
    /// Returns whether the endpoint is starting or accepts requests.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Starting | Self::Ready)
    }
}

crate::record! {
    /// An endpoint as the platform describes it.
    pub struct Record {
        /// Its name.
        pub id: String,
        /// The address that it listens on.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: String,
        /// The model or plain service that it serves.
        pub service: String,
        /// Its capacity class.
        #[serde(rename = "class")]
        pub capacity_class: CapacityClass,
        /// Its lifecycle state.
        pub state: State,
        /// Whether it rejects orders with an outdated epoch.
        #[serde(default)]
        pub checks_epoch: bool,
        /// The price of one hour, in the platform's unit.
        #[serde(default)]
        pub price: f64,
    }
}

crate::record! {
    /// The load that an endpoint last reported.
    #[derive(Default)]
    #[serde(default)]
    pub struct Load {
        /// The number of running requests.
        pub in_flight: u32,
        /// The number of queued requests.
        pub queued: u32,
        /// The number of requests that can run concurrently.
        pub slots: u32,
        /// The version of the weights that it has loaded, by model.
        pub versions: BTreeMap<String, u64>,
        /// The age of the figures when the report was made, in milliseconds.
        pub age_ms: u64,
    }
}

/// An endpoint and this VM's observations of it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The platform's record.
    pub record: Record,
    /// Its last report, and when the report was received.
    pub load: Option<(Time, Load)>,
    /// The number of this VM's requests that are in flight at the endpoint.
    pub in_flight: u32,
    /// The number of consecutive failures.
    pub failures: u32,
    /// When the backoff after failures ends. No requests are sent before.
    pub backoff_until: Time,
    /// The limit on this VM's concurrent requests.
    pub limit: Limit,
    /// The number of other VMs' requests.
    pub other_load: OtherLoad,
    /// The slots granted to this VM by the endpoint's owner, if any.
    pub credit: Option<Credit>,
}

impl Endpoint {
    /// Returns an endpoint without any observations.
    pub fn new(record: Record) -> Self {
        Self {
            record,
            load: None,
            in_flight: 0,
            failures: 0,
            backoff_until: Time::ZERO,
            limit: Limit::default(),
            other_load: OtherLoad::default(),
            credit: None,
        }
    }

    /// Returns the version of `model` that the endpoint last reported.
    pub fn version(&self, model: &str) -> Option<u64> {
        let (_, load) = self.load.as_ref()?;
        load.versions.get(model).copied()
    }
}

/// The known endpoints, indexed by key, name and service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    arena: SlotMap<Key, Endpoint>,
    by_id: Map<String, Key>,
    by_service: Map<String, Vec<Key>>,
}

impl Table {
    /// Adds an endpoint, or updates the record of the known one of the same
    /// name. An endpoint whose service or address has changed is replaced, and
    /// its observations are dropped.
    pub fn put(&mut self, record: Record) -> Key {
        if let Some(key) = self.by_id.get(&record.id).copied() {
            let is_unchanged = self.arena[key].record.service == record.service
                && self.arena[key].record.address == record.address;
            if is_unchanged {
                self.arena[key].record = record;
                return key;
            }
            self.remove(key);
        }
        let id = record.id.clone();
        let service = record.service.clone();
        let key = self.arena.insert(Endpoint::new(record));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: Key) {
        let Some(endpoint) = self.arena.remove(key) else {
            return;
        };
        self.by_id.remove(&endpoint.record.id);
        if let Some(keys) = self.by_service.get_mut(&endpoint.record.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Returns an endpoint.
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.arena.get(key)
    }

    /// Returns an endpoint for modification.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Endpoint> {
        self.arena.get_mut(key)
    }

    /// Returns the key of the endpoint named `id`.
    pub fn find(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Returns the endpoints of `service`.
    pub fn of_service(&self, service: &str) -> &[Key] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns every endpoint.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.arena.iter()
    }
}
