//! How facts come into force on a VM: upwards only, and whole.

use std::{net::SocketAddr, time::Duration};

use board::{
    Board, Time,
    config::{self, Manifest, Part},
    endpoint::State,
    hash::Map,
    key::Digest,
    member::Packet,
    shared::{Fact, Item, Kind},
};

use rand::seq::SliceRandom;

use crate::relay;

const FANOUT: usize = 3;

/// Facts that are passed on as news. More of them at once are a whole store,
/// which the others find by the comparison of digests.
pub const PUSH_ITEMS_MAX: usize = 50;

/// What became of facts that were offered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// Facts that were news and are known now.
    pub updates: Vec<Item>,
    /// Texts of the configuration that are needed first.
    pub missing: Vec<Digest>,
    /// The revision of a configuration that came into force.
    pub revision: Option<u64>,
    /// The revision of a configuration that cannot be read.
    pub unreadable: Option<u64>,
}

/// Takes facts in. A fact of a version that is known, or older, changes
/// nothing. A manifest waits until all its texts are known, so that no part of
/// a configuration is ever in force without the others.
pub fn merge(board: &mut Board, items: Vec<Item>) -> Merged {
    let mut merged = Merged::default();
    for item in items {
        if board.shared.version(item.fact.kind(), &item.fact.name()) >= item.version {
            continue;
        }
        let missing = missing_parts(board, &item.fact);
        if !missing.is_empty() {
            merged.missing.extend(missing);
            continue;
        }
        apply(board, &item.fact, &mut merged);
        board.shared.put(item.clone());
        merged.updates.push(item);
    }
    merged
}

/// Takes a text of a configuration in; it is kept only if it is what its
/// digest says.
pub fn store_part(board: &mut Board, text: String) {
    board.shared.parts.insert(Digest::of(&text), text);
}

fn missing_parts(board: &Board, fact: &Fact) -> Vec<Digest> {
    let Fact::Config(manifest) = fact else {
        return Vec::new();
    };
    let digests = manifest.parts.iter().map(|part| part.digest);
    digests
        .filter(|digest| !board.shared.parts.contains_key(digest))
        .collect()
}

fn apply(board: &mut Board, fact: &Fact, merged: &mut Merged) {
    match fact {
        Fact::Config(manifest) => apply_config(board, manifest, merged),
        Fact::Key(digest, grant) => board.note_key(*digest, grant.clone()),
        Fact::Weights(model, version) => board.note_weights(model, *version),
        Fact::Endpoint(record) => {
            let is_gone = record.state == State::Gone;
            let key = board.endpoints.put(record.clone());
            if is_gone {
                board.endpoints.remove(key);
            }
        }
    }
}

fn apply_config(board: &mut Board, manifest: &Manifest, merged: &mut Merged) {
    let texts = &board.shared.parts;
    let part = |reference: &config::manifest::Reference| Part {
        file: reference.file.clone(),
        text: texts.get(&reference.digest).cloned().unwrap_or_default(),
    };
    let parts: Vec<_> = manifest.parts.iter().map(part).collect();
    // What cannot be read is passed on all the same, and the next revision
    // takes its place.
    let Ok(config) = config::merge(&parts) else {
        merged.unreadable = Some(manifest.revision);
        return;
    };
    if board.apply(manifest.revision, config) {
        merged.revision = Some(manifest.revision);
    }
    let is_referenced = |digest: &Digest| manifest.parts.iter().any(|part| part.digest == *digest);
    board.shared.parts.retain(|digest, _| is_referenced(digest));
}

/// Returns the version of a fact that the platform lists without one: higher
/// than that of the fact known, `None` when nothing changed.
///
/// `wall_ms` keeps the versions of two relays close to each other.
pub fn next_version(board: &Board, fact: &Fact, wall_ms: u64) -> Option<u64> {
    match board.shared.get(fact.kind(), &fact.name()) {
        Some(known) if known.fact == *fact => None,
        Some(known) => Some(wall_ms.max(known.version + 1)),
        None => Some(wall_ms),
    }
}

/// Returns where news go at once: a few members of this failure domain, and
/// from a relay one of each other failure domain. The others learn from the
/// comparison of digests.
pub fn push_targets(board: &mut Board) -> Vec<SocketAddr> {
    let is_relay = relay::is_relay(board);
    let mut live: Vec<_> = board
        .members
        .live()
        .map(|member| (member.record.failure_domain.clone(), member.record.address))
        .collect();
    live.shuffle(&mut board.rng);
    let mut sent_counts: Map<String, usize> = Map::default();
    let mut targets = Vec::new();
    for (domain, address) in live {
        let limit = match domain == board.failure_domain {
            true => FANOUT,
            false => usize::from(is_relay),
        };
        let sent = sent_counts.entry(domain).or_default();
        if *sent < limit {
            *sent += 1;
            targets.push(address);
        }
    }
    targets
}

/// Notes that the keys and the configuration were complete at `time`.
pub fn record_complete(board: &mut Board, time: Time) {
    let fresh = &mut board.members.fresh;
    *fresh = (*fresh).max(Some(time));
}

/// Notes what a packet says of the sender's facts, and returns whether the
/// sender should be asked for those that differ.
///
/// The sender's age counts here only if both hold the same keys and
/// configuration; so does having heard it.
pub fn compare_digests(board: &mut Board, now: Time, packet: &Packet) -> bool {
    let ours = board.shared.digests();
    let same = |kind: Kind| ours[kind as usize] == packet.digests[kind as usize];
    if same(Kind::Key) && same(Kind::Config) {
        if let Some(age) = packet.fresh_ms {
            record_complete(board, now - millis(age));
        }
        record_last_seen(board, now, packet);
    }
    ours != packet.digests
}

fn record_last_seen(board: &mut Board, now: Time, packet: &Packet) {
    let direct = (packet.from.failure_domain.clone(), now);
    let reported = packet
        .heard
        .iter()
        .map(|heard| (heard.failure_domain.clone(), now - millis(heard.age_ms)));
    // What others heard of this failure domain says nothing about this VM.
    let reported = reported.filter(|(domain, _)| *domain != board.failure_domain);
    for (domain, time) in reported.chain([direct]).collect::<Vec<_>>() {
        let known = board.members.heard.entry(domain).or_default();
        *known = time.max(*known);
    }
}

fn millis(age: u32) -> Duration {
    Duration::from_millis(u64::from(age))
}
