//! Copies the platform's objects to the VMs of a failure domain.
//!
//! Only the relays of a failure domain watch the platform; the other VMs learn
//! from them. While the keys of a VM are stale, it calls the platform too if it
//! is one of the two fallbacks of its failure domain, and then retries less
//! often than a relay.

use std::{cell::Cell, rc::Rc, time::Duration};

use board::{
    Time,
    config::{Manifest, manifest},
    endpoint,
    hash::Set,
    key::{self, Digest, Grant},
    member::Record,
    shared::{Fact, Item},
    weights::{self, Weights},
};
use policy::{dissemination, membership, relay};

use crate::{
    clock,
    gossip::{Gossip, Source},
    platform::{Change, Client, Error},
};

/// How long a watch of the configuration or the keys waits. They are known to
/// be complete only when a watch returns, so the wait is short.
const KEYS_WATCH_WAIT: Duration = Duration::from_secs(1);
const WEIGHTS_WATCH_WAIT: Duration = Duration::from_secs(20);
const RELAY_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long keys or a failure domain go without updates before a fallback acts,
/// and the pause of a VM that is not a relay before it retries a call.
const FALLBACK_DELAY: Duration = Duration::from_secs(4);
const ROLE_POLL_PERIOD: Duration = Duration::from_millis(200);
const ENDPOINTS_LIST_PERIOD: Duration = Duration::from_millis(500);
const VMS_LIST_PERIOD: Duration = Duration::from_secs(10);
const VMS_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// The maximum time since the last contact with another VM, after which the VM
/// lists the VMs from the platform.
const CONTACT_AGE_MAX: Duration = Duration::from_secs(10);
/// How long a starting VM waits for contact with other VMs before it watches
/// the platform.
const JOIN_DELAY: Duration = Duration::from_millis(500);

const KINDS: [&str; 3] = [manifest::KIND, key::KIND, weights::KIND];

/// Which lists of the platform have been read completely.
#[derive(Default)]
struct Completeness {
    /// When each kind in [`KINDS`] was last known to be complete.
    complete_at: [Cell<Option<Time>>; KINDS.len()],
    endpoints: Cell<bool>,
    vms: Cell<bool>,
}

impl Completeness {
    fn is_complete(&self) -> bool {
        let is_known = |kind: &Cell<Option<Time>>| kind.get().is_some();
        self.complete_at.iter().all(is_known) && self.endpoints.get() && self.vms.get()
    }
}

/// Copies the platform's objects into the gossip of a VM.
#[derive(Clone)]
pub struct Feed {
    gossip: Gossip,
    platform: Client,
    completeness: Rc<Completeness>,
}

impl Feed {
    /// Returns a feed from `platform` into `gossip`.
    pub fn new(gossip: Gossip, platform: Client) -> Self {
        Self {
            gossip,
            platform,
            completeness: Rc::default(),
        }
    }

    /// Starts the tasks that keep the board up to date until the process ends.
    pub fn start(&self) {
        for index in 0..KINDS.len() {
            let feed = self.clone();
            monoio::spawn(async move { watch_kind(feed, index).await });
        }
        monoio::spawn(list_endpoints(self.clone()));
        monoio::spawn(list_vms(self.clone()));
    }

    fn source(&self) -> Source {
        Source::Platform(Box::new(self.platform.clone()))
    }

    fn is_relay(&self) -> bool {
        relay::is_relay(&self.gossip.board.borrow())
    }

    fn is_fallback(&self) -> bool {
        relay::is_fallback(&self.gossip.board.borrow())
    }

    /// Waits until this VM has to call the platform itself.
    async fn wait_until_active(&self) {
        loop {
            if self.is_relay() || self.has_stale_keys() && self.is_fallback() {
                return;
            }
            monoio::time::sleep(ROLE_POLL_PERIOD).await;
        }
    }

    /// Returns whether this VM has had no recent contact with another VM.
    fn has_no_contact(&self) -> bool {
        let last_contact = self.gossip.board.borrow().members.last_contact;
        let now = self.gossip.clock.now();
        last_contact.is_none_or(|last_contact| now - last_contact > CONTACT_AGE_MAX)
    }

    fn has_stale_keys(&self) -> bool {
        let keys_complete_at = self.gossip.board.borrow().members.keys_complete_at;
        let now = self.gossip.clock.now();
        now - keys_complete_at.unwrap_or_default() > FALLBACK_DELAY
    }

    async fn wait_before_retry(&self) {
        let pause = if self.is_relay() {
            RELAY_RETRY_PAUSE
        } else {
            FALLBACK_DELAY
        };
        monoio::time::sleep(pause).await;
    }

    fn record_complete(&self, index: usize, since: Time) {
        self.completeness.complete_at[index].set(Some(since));
        if self.completeness.is_complete() {
            self.gossip.set_bootstrapped();
        }
        let complete_at = &self.completeness.complete_at;
        // Weights are left out, since they do not decide which callers are
        // admitted.
        let config_and_keys = [complete_at[0].get(), complete_at[1].get()];
        if let [Some(config), Some(keys)] = config_and_keys {
            let mut board = self.gossip.board.borrow_mut();
            dissemination::record_complete(&mut board, config.min(keys));
        }
    }
}

async fn watch_kind(feed: Feed, index: usize) {
    monoio::time::sleep(JOIN_DELAY).await;
    let kind = KINDS[index];
    let wait = if kind == weights::KIND {
        WEIGHTS_WATCH_WAIT
    } else {
        KEYS_WATCH_WAIT
    };
    let mut after = None;
    loop {
        feed.wait_until_active().await;
        let requested_at = feed.gossip.clock.now();
        let result = match after {
            None => feed.platform.list(kind, "").await,
            Some(version) => feed.platform.watch(kind, version, wait).await,
        };
        let applied = match result {
            Ok(changes) => {
                let applied = apply_changes(&feed, kind, &changes.changes).await;
                applied.map(|()| changes.version)
            }
            Err(e) => Err(e),
        };
        match applied {
            Ok(version) => {
                after = Some(version);
                // The response may have been delayed, so it proves completeness
                // only as of the time of the call.
                feed.record_complete(index, requested_at);
            }
            // The platform no longer has the changes since this version, so the
            // kind is listed again.
            Err(Error::Rejected { status: 410, .. }) => after = None,
            Err(_) => feed.wait_before_retry().await,
        }
    }
}

/// Reads the changed objects that the board lacks and merges them.
async fn apply_changes(feed: &Feed, kind: &str, changes: &[Change]) -> Result<(), Error> {
    for change in changes.iter().filter(|change| !change.deleted) {
        if is_known(feed, kind, change) {
            continue;
        }
        let item = match read_item(feed, kind, &change.name).await {
            Ok(Some(item)) => item,
            // A deleted or unreadable object does not block the others.
            Ok(None) | Err(Error::Absent | Error::Rejected { status: 0, .. }) => continue,
            Err(e) => return Err(e),
        };
        if !feed.gossip.merge(vec![item], &feed.source()).await {
            return Err(Error::Unavailable(
                "a part of the configuration is missing".to_string(),
            ));
        }
    }
    Ok(())
}

fn is_known(feed: &Feed, kind: &str, change: &Change) -> bool {
    use board::shared::Kind;
    let (kind, name) = match kind {
        manifest::KIND => (Kind::Config, ""),
        key::KIND => (Kind::Key, change.name.as_str()),
        _ => (Kind::Weights, change.name.as_str()),
    };
    let board = feed.gossip.board.borrow();
    board.shared.version(kind, name) >= change.version
}

async fn read_item(feed: &Feed, kind: &str, name: &str) -> Result<Option<Item>, Error> {
    let (version, fact) = match kind {
        manifest::KIND if name == manifest::CURRENT => {
            let (version, manifest) = feed.platform.read::<Manifest>(kind, name).await?;
            (version, Fact::Config(manifest))
        }
        key::KIND => {
            let Ok(digest) = name.parse::<Digest>() else {
                return Ok(None);
            };
            let (version, grant) = feed.platform.read::<Grant>(kind, name).await?;
            (version, Fact::Key(digest, grant))
        }
        weights::KIND => {
            let (version, weights) = feed.platform.read::<Weights>(kind, name).await?;
            (version, Fact::Weights(name.to_string(), weights.version))
        }
        _ => return Ok(None),
    };
    Ok(Some(Item { version, fact }))
}

/// Lists the endpoints of this failure domain, and of failure domains from
/// which this VM has received no recent sync.
async fn list_endpoints(feed: Feed) {
    monoio::time::sleep(JOIN_DELAY).await;
    loop {
        feed.wait_until_active().await;
        if list_endpoints_once(&feed).await.is_err() {
            feed.wait_before_retry().await;
        }
        monoio::time::sleep(ENDPOINTS_LIST_PERIOD).await;
    }
}

async fn list_endpoints_once(feed: &Feed) -> Result<(), Error> {
    if !feed.completeness.endpoints.get() {
        let records = feed.platform.endpoints(None).await?;
        merge_endpoints(feed, records).await;
        feed.completeness.endpoints.set(true);
        return Ok(());
    }
    for domain in failure_domains_to_list(feed) {
        let records = feed.platform.endpoints(Some(&domain)).await?;
        merge_endpoints(feed, records).await;
    }
    Ok(())
}

fn failure_domains_to_list(feed: &Feed) -> Set<String> {
    let board = feed.gossip.board.borrow();
    let now = feed.gossip.clock.now();
    let is_out_of_sync = |domain: &&str| {
        let synced_at = board.members.synced_at.get(*domain);
        synced_at.is_none_or(|time| now - *time > FALLBACK_DELAY)
    };
    let mut domains: Set<String> = board
        .endpoints
        .iter()
        .map(|(_, endpoint)| endpoint.record.failure_domain.as_str())
        .filter(|domain| *domain != board.failure_domain)
        .filter(is_out_of_sync)
        .map(str::to_string)
        .collect();
    domains.insert(board.failure_domain.clone());
    domains
}

async fn merge_endpoints(feed: &Feed, records: Vec<endpoint::Record>) {
    let wall_ms = clock::wall_millis();
    let mut items = Vec::new();
    for record in records {
        let fact = Fact::Endpoint(record);
        let version = dissemination::next_version(&feed.gossip.board.borrow(), &fact, wall_ms);
        items.extend(version.map(|version| Item { version, fact }));
    }
    if !items.is_empty() {
        feed.gossip.merge(items, &feed.source()).await;
    }
}

/// Lists the VMs. A VM without contact to others lists them often. Otherwise
/// only relays list them, at a long interval, to learn which VMs were added to
/// the platform or removed; the other VMs learn of these through gossip.
async fn list_vms(feed: Feed) {
    loop {
        let has_no_contact = feed.has_no_contact();
        let should_list = has_no_contact || feed.is_relay();
        if should_list && list_vms_once(&feed).await.is_ok() {
            feed.completeness.vms.set(true);
        }
        let is_list_missing = should_list && !feed.completeness.vms.get();
        let period = if has_no_contact || is_list_missing {
            VMS_RETRY_PERIOD
        } else {
            VMS_LIST_PERIOD
        };
        monoio::time::sleep(period).await;
    }
}

async fn list_vms_once(feed: &Feed) -> Result<(), Error> {
    let vms = feed.platform.vms().await?;
    let record = |vm: crate::platform::Vm| Record {
        vm: vm.id,
        failure_domain: vm.failure_domain,
        address: vm.address,
        incarnation: 0,
    };
    let listed: Vec<_> = vms.into_iter().map(record).collect();
    let mut board = feed.gossip.board.borrow_mut();
    membership::apply_listing(&mut board, feed.gossip.clock.now(), &listed);
    Ok(())
}
