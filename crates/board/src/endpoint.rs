//! Endpoints: the back ends that requests are sent to.

use std::{collections::BTreeMap, net::SocketAddr};

use slotmap::SlotMap;

use crate::{
    hash::Map,
    limit::{Credit, Limit, OtherLoad},
    time::Time,
};

slotmap::new_key_type! {
    /// Refers to an endpoint on this board.
    pub struct Key;
}

crate::record! {
    /// How long an endpoint can be counted on.
    #[serde(rename_all = "kebab-case")]
    copy pub enum CapacityClass {
        /// Stays until it is ordered to stop.
        Stable,
        /// May be reclaimed at a few seconds' notice.
        Cheap,
    }
}

crate::record! {
    /// Where an endpoint is in its life.
    #[serde(rename_all = "kebab-case")]
    copy pub enum State {
        /// Ordered, not ready.
        Starting,
        /// Takes work.
        Ready,
        /// Ends soon and takes no new work.
        #[serde(rename = "leaving")]
        Draining,
        /// Ended.
        #[serde(rename = "gone")]
        Removed,
    }
}

impl State {
    /// Returns whether an endpoint starts or takes work.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Starting | Self::Ready)
    }
}

crate::record! {
    /// An endpoint as the platform describes it.
    pub struct Record {
        /// Its name.
        pub id: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: String,
        /// The model or plain service that it runs.
        pub service: String,
        /// How long it can be counted on.
        #[serde(rename = "class")]
        pub capacity_class: CapacityClass,
        /// Where it is in its life.
        pub state: State,
        /// Whether it refuses orders with an old epoch.
        #[serde(default)]
        pub checks_epoch: bool,
        /// Cost of an hour, in the platform's unit.
        #[serde(default)]
        pub price: f64,
    }
}

crate::record! {
    /// What an endpoint last reported of itself.
    #[derive(Default)]
    #[serde(default)]
    pub struct Load {
        /// Requests that run.
        pub in_flight: u32,
        /// Requests that wait.
        pub queued: u32,
        /// Requests that can run at once.
        pub slots: u32,
        /// The version of each model's weights that it holds.
        pub versions: BTreeMap<String, u64>,
        /// Age of the report when it was made, in milliseconds.
        pub age_ms: u64,
    }
}

/// An endpoint and what this VM knows of it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The platform's record.
    pub record: Record,
    /// Its last report, with the time it came in.
    pub load: Option<(Time, Load)>,
    /// Requests that this VM has there now.
    pub in_flight: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it gets no work after failures.
    pub backoff_until: Time,
    /// How many requests this VM may have there.
    pub limit: Limit,
    /// What other VMs have there.
    pub other_load: OtherLoad,
    /// Slots granted by its owner, if any.
    pub credit: Option<Credit>,
}

impl Endpoint {
    /// Returns an endpoint without any history.
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

    /// Returns the version of `model` that it last reported.
    pub fn version(&self, model: &str) -> Option<u64> {
        let (_, load) = self.load.as_ref()?;
        load.versions.get(model).copied()
    }
}

/// All endpoints known, by key, name and service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    arena: SlotMap<Key, Endpoint>,
    by_id: Map<String, Key>,
    by_service: Map<String, Vec<Key>>,
}

impl Table {
    /// Adds `record`, or brings the endpoint of that name up to date.
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

    /// Returns an endpoint, to change it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Endpoint> {
        self.arena.get_mut(key)
    }

    /// Returns the endpoint named `id`.
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
