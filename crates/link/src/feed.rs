//! What the platform holds, brought onto the board.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use board::{
    Board,
    config::{self, Manifest, Part, manifest},
    endpoint::State,
    key::{Digest, Grant},
};
use serde::Deserialize;

use crate::platform::{Change, Client, Error};

const WATCH_TIME: Duration = Duration::from_secs(20);
const RETRY_TIME: Duration = Duration::from_millis(500);
const LIST_TIME: Duration = Duration::from_millis(500);

#[derive(Debug, Deserialize)]
struct Weights {
    version: u64,
}

/// Brings what the platform holds onto a board.
#[derive(Clone)]
pub struct Feed {
    board: Rc<RefCell<Board>>,
    platform: Client,
    keys_known: Rc<Cell<bool>>,
    endpoints_known: Rc<Cell<bool>>,
    on_change: Rc<dyn Fn()>,
}

impl Feed {
    /// Returns a feed of `board` that calls `on_change` after each change.
    pub fn new(
        board: Rc<RefCell<Board>>,
        platform: Client,
        on_change: impl Fn() + 'static,
    ) -> Self {
        Self {
            board,
            platform,
            keys_known: Rc::default(),
            endpoints_known: Rc::default(),
            on_change: Rc::new(on_change),
        }
    }

    /// Returns whether all keys and endpoints have been read once.
    pub fn is_primed(&self) -> bool {
        self.keys_known.get() && self.endpoints_known.get()
    }

    /// Starts the tasks that keep the board up to date for ever.
    pub fn start(&self) {
        for kind in [manifest::KIND, "key", "weights"] {
            let feed = self.clone();
            monoio::spawn(async move { follow(feed, kind).await });
        }
        let feed = self.clone();
        monoio::spawn(async move { list_endpoints(feed).await });
    }
}

async fn follow(feed: Feed, kind: &'static str) {
    let mut after = None;
    loop {
        let step = match after {
            None => feed.platform.list(kind, "").await,
            Some(version) => feed.platform.watch(kind, version, WATCH_TIME).await,
        };
        let applied = match step {
            Ok(changes) => {
                let result = apply_all(&feed, kind, &changes.changes).await;
                result.map(|()| changes.version)
            }
            Err(e) => Err(e),
        };
        match applied {
            Ok(version) => {
                after = Some(version);
                note_primed(&feed, kind);
                (feed.on_change)();
            }
            // The version is too old to watch from: list again.
            Err(Error::Refused { status: 410, .. }) => after = None,
            Err(_) => monoio::time::sleep(RETRY_TIME).await,
        }
    }
}

fn note_primed(feed: &Feed, kind: &str) {
    if kind == "key" && !feed.keys_known.get() {
        feed.keys_known.set(true);
        spdlog::info!("keys known");
    }
}

async fn apply_all(feed: &Feed, kind: &str, changes: &[Change]) -> Result<(), Error> {
    for change in changes.iter().filter(|change| !change.deleted) {
        let applied = match kind {
            manifest::KIND => apply_config(feed, &change.name).await,
            "key" => apply_key(feed, &change.name).await,
            _ => apply_weights(feed, &change.name).await,
        };
        match applied {
            // An object that went away or cannot be read holds nothing back.
            Err(Error::Absent | Error::Refused { status: 0, .. }) => {}
            other => other?,
        }
    }
    Ok(())
}

async fn apply_config(feed: &Feed, name: &str) -> Result<(), Error> {
    if name != manifest::CURRENT {
        return Ok(());
    }
    let (_, manifest) = feed.platform.read::<Manifest>(manifest::KIND, name).await?;
    if manifest.revision <= feed.board.borrow().revision {
        return Ok(());
    }
    let mut parts = Vec::with_capacity(manifest.parts.len());
    for reference in &manifest.parts {
        let digest = reference.digest.to_string();
        let object = feed.platform.get(manifest::PART_KIND, &digest).await?;
        parts.push(Part {
            file: reference.file.clone(),
            text: String::from_utf8_lossy(&object.value).into_owned(),
        });
    }
    let Ok(config) = config::merge(&parts) else {
        spdlog::error!("configuration not applied", kv: { revision = manifest.revision });
        return Ok(());
    };
    if feed.board.borrow_mut().apply(manifest.revision, config) {
        spdlog::info!("configuration in force", kv: { revision = manifest.revision });
    }
    Ok(())
}

async fn apply_key(feed: &Feed, name: &str) -> Result<(), Error> {
    let Ok(digest) = name.parse::<Digest>() else {
        return Ok(());
    };
    let (_, grant) = feed.platform.read::<Grant>("key", name).await?;
    feed.board.borrow_mut().note_key(digest, grant);
    Ok(())
}

async fn apply_weights(feed: &Feed, model: &str) -> Result<(), Error> {
    let (_, weights) = feed.platform.read::<Weights>("weights", model).await?;
    feed.board.borrow_mut().note_weights(model, weights.version);
    Ok(())
}

async fn list_endpoints(feed: Feed) {
    loop {
        if let Ok(records) = feed.platform.endpoints(None).await {
            let mut board = feed.board.borrow_mut();
            for record in records {
                let id = record.id.clone();
                let is_gone = record.state == State::Gone;
                let key = board.endpoints.put(record);
                if is_gone {
                    board.endpoints.remove(key);
                    spdlog::info!("endpoint gone", kv: { endpoint = id.as_str() });
                }
            }
            drop(board);
            feed.endpoints_known.set(true);
            (feed.on_change)();
        }
        monoio::time::sleep(LIST_TIME).await;
    }
}
