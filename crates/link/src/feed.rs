//! What the platform holds, brought to this failure domain.
//!
//! Only the relays of a failure domain watch the platform; the other VMs learn
//! from them. While the keys are not known to be complete, two more VMs of the
//! failure domain try for themselves, at a slower pace.

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

/// How long a watch waits. Keys are known to be complete only as of the end of
/// a watch, so those of keys and configuration are short.
const SHORT_WATCH: Duration = Duration::from_secs(1);
const LONG_WATCH: Duration = Duration::from_secs(20);
const RETRY_TIME: Duration = Duration::from_millis(500);
/// Pace of a VM that is no relay, and as long it may be without news.
const FALLBACK_TIME: Duration = Duration::from_secs(4);
const IDLE_TIME: Duration = Duration::from_millis(200);
const LIST_TIME: Duration = Duration::from_millis(500);
const VMS_TIME: Duration = Duration::from_secs(10);
const ALONE_TIME: Duration = Duration::from_secs(1);
/// How long a VM hears no other before it asks the platform which there are.
const SILENT_TIME: Duration = Duration::from_secs(10);
/// How long a VM that starts listens for others before it watches.
const JOIN_TIME: Duration = Duration::from_millis(500);

const KINDS: [&str; 3] = [manifest::KIND, key::KIND, weights::KIND];

/// Until when each kind is known to be complete.
#[derive(Default)]
struct Complete {
    kinds: [Cell<Option<Time>>; KINDS.len()],
    endpoints: Cell<bool>,
    vms: Cell<bool>,
}

impl Complete {
    fn is_whole(&self) -> bool {
        let is_known = |kind: &Cell<Option<Time>>| kind.get().is_some();
        self.kinds.iter().all(is_known) && self.endpoints.get() && self.vms.get()
    }
}

/// Brings what the platform holds to the VMs of a failure domain.
#[derive(Clone)]
pub struct Feed {
    gossip: Gossip,
    platform: Client,
    complete: Rc<Complete>,
}

impl Feed {
    /// Returns a feed from `platform` into `gossip`.
    pub fn new(gossip: Gossip, platform: Client) -> Self {
        Self {
            gossip,
            platform,
            complete: Rc::default(),
        }
    }

    /// Starts the tasks that keep the board up to date for ever.
    pub fn start(&self) {
        for place in 0..KINDS.len() {
            let feed = self.clone();
            monoio::spawn(async move { follow(feed, place).await });
        }
        monoio::spawn(list_endpoints(self.clone()));
        monoio::spawn(list_vms(self.clone()));
    }

    fn source(&self) -> Source {
        Source::Platform(self.platform.clone())
    }

    fn is_relay(&self) -> bool {
        relay::is_relay(&self.gossip.board.borrow())
    }

    fn is_substitute(&self) -> bool {
        relay::is_fallback(&self.gossip.board.borrow())
    }

    /// Waits until this VM has to ask the platform itself.
    async fn turn(&self) {
        loop {
            if self.is_relay() || self.is_behind() && self.is_substitute() {
                return;
            }
            monoio::time::sleep(IDLE_TIME).await;
        }
    }

    /// Returns whether no other VM is heard.
    fn is_alone(&self) -> bool {
        let met = self.gossip.board.borrow().members.last_contact;
        let now = self.gossip.clock.now();
        met.is_none_or(|met| now - met > SILENT_TIME)
    }

    fn is_behind(&self) -> bool {
        let fresh = self.gossip.board.borrow().members.keys_complete_at;
        let now = self.gossip.clock.now();
        now - fresh.unwrap_or_default() > FALLBACK_TIME
    }

    async fn pause(&self) {
        let time = if self.is_relay() {
            RETRY_TIME
        } else {
            FALLBACK_TIME
        };
        monoio::time::sleep(time).await;
    }

    fn note_complete(&self, place: usize, since: Time) {
        self.complete.kinds[place].set(Some(since));
        if self.complete.is_whole() {
            self.gossip.note_primed();
        }
        let kinds = &self.complete.kinds;
        // Weights may lag behind: they open no door to a caller.
        let doors = [kinds[0].get(), kinds[1].get()];
        if let [Some(config), Some(keys)] = doors {
            let mut board = self.gossip.board.borrow_mut();
            dissemination::record_complete(&mut board, config.min(keys));
        }
    }
}

async fn follow(feed: Feed, place: usize) {
    monoio::time::sleep(JOIN_TIME).await;
    let kind = KINDS[place];
    let wait = if kind == weights::KIND {
        LONG_WATCH
    } else {
        SHORT_WATCH
    };
    let mut after = None;
    loop {
        feed.turn().await;
        let asked = feed.gossip.clock.now();
        let step = match after {
            None => feed.platform.list(kind, "").await,
            Some(version) => feed.platform.watch(kind, version, wait).await,
        };
        let applied = match step {
            Ok(changes) => {
                let applied = bring(&feed, kind, &changes.changes).await;
                applied.map(|()| changes.version)
            }
            Err(e) => Err(e),
        };
        match applied {
            Ok(version) => {
                after = Some(version);
                // The answer may have been long on its way.
                feed.note_complete(place, asked);
            }
            // The version is too old to watch from: list again.
            Err(Error::Refused { status: 410, .. }) => after = None,
            Err(_) => feed.pause().await,
        }
    }
}

/// Brings the objects that are news here.
async fn bring(feed: &Feed, kind: &str, changes: &[Change]) -> Result<(), Error> {
    for change in changes.iter().filter(|change| !change.deleted) {
        if is_known(feed, kind, change) {
            continue;
        }
        let item = match read(feed, kind, &change.name).await {
            Ok(Some(item)) => item,
            // An object that went away or cannot be read holds nothing back.
            Ok(None) | Err(Error::Absent | Error::Refused { status: 0, .. }) => continue,
            Err(e) => return Err(e),
        };
        if !feed.gossip.take(vec![item], &feed.source()).await {
            return Err(Error::Unavailable("a part is missing".to_string()));
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

async fn read(feed: &Feed, kind: &str, name: &str) -> Result<Option<Item>, Error> {
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

/// Lists the endpoints of this failure domain, and of those that no live VM
/// stands for.
async fn list_endpoints(feed: Feed) {
    monoio::time::sleep(JOIN_TIME).await;
    loop {
        feed.turn().await;
        if list_endpoints_once(&feed).await.is_err() {
            feed.pause().await;
        }
        monoio::time::sleep(LIST_TIME).await;
    }
}

async fn list_endpoints_once(feed: &Feed) -> Result<(), Error> {
    if !feed.complete.endpoints.get() {
        let records = feed.platform.endpoints(None).await?;
        relist(feed, records).await;
        feed.complete.endpoints.set(true);
        return Ok(());
    }
    for domain in domains_to_list(feed) {
        let records = feed.platform.endpoints(Some(&domain)).await?;
        relist(feed, records).await;
    }
    Ok(())
}

fn domains_to_list(feed: &Feed) -> Set<String> {
    let board = feed.gossip.board.borrow();
    let now = feed.gossip.clock.now();
    let is_silent = |domain: &&str| {
        let heard = board.members.synced_at.get(*domain);
        heard.is_none_or(|time| now - *time > FALLBACK_TIME)
    };
    let mut domains: Set<String> = board
        .endpoints
        .iter()
        .map(|(_, endpoint)| endpoint.record.failure_domain.as_str())
        .filter(|domain| *domain != board.failure_domain)
        .filter(is_silent)
        .map(str::to_string)
        .collect();
    domains.insert(board.failure_domain.clone());
    domains
}

async fn relist(feed: &Feed, records: Vec<endpoint::Record>) {
    let wall = clock::wall_millis();
    let mut items = Vec::new();
    for record in records {
        let fact = Fact::Endpoint(record);
        let version = dissemination::next_version(&feed.gossip.board.borrow(), &fact, wall);
        items.extend(version.map(|version| Item { version, fact }));
    }
    if !items.is_empty() {
        feed.gossip.take(items, &feed.source()).await;
    }
}

/// Lists the VMs: often while none is known or heard, then as a grave list,
/// which relays alone do. The others learn of VMs from each other.
async fn list_vms(feed: Feed) {
    loop {
        let is_alone = feed.is_alone();
        let asks = is_alone || feed.is_relay();
        if asks && list_vms_once(&feed).await.is_ok() {
            feed.complete.vms.set(true);
        }
        let is_missing = asks && !feed.complete.vms.get();
        let time = if is_alone || is_missing {
            ALONE_TIME
        } else {
            VMS_TIME
        };
        monoio::time::sleep(time).await;
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
