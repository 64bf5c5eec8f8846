//! How a VM merges facts: versions only increase, and a configuration is
//! applied as a unit.

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

/// How many members of this failure domain new facts are pushed to.
const FANOUT: usize = 3;

/// The largest number of facts that are pushed at once. A larger batch comes
/// from a full synchronization, which the other members perform themselves when
/// they compare digests.
pub const PUSH_ITEMS_MAX: usize = 50;

/// The result of merging facts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// The facts that were newer than the known ones.
    pub updates: Vec<Item>,
    /// Parts of the configuration that must be fetched before it can be
    /// applied.
    pub missing: Vec<Digest>,
    /// The revision of the configuration that was applied.
    pub revision: Option<u64>,
    /// The revision of a configuration that cannot be parsed.
    pub unreadable: Option<u64>,
}

/// Merges facts into the board. Facts that are not newer than the known version
/// are ignored. A manifest is applied once all its parts are known, so a
/// configuration never takes effect in part.
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

/// Stores a part of a configuration under the digest of its text, so a
/// corrupted text never replaces the part that a manifest refers to.
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
        Fact::Key(digest, grant) => board.record_key(*digest, grant.clone()),
        Fact::Weights(model, version) => board.record_weights(model, *version),
        Fact::Endpoint(record) => {
            let is_removed = record.state == State::Removed;
            let key = board.endpoints.put(record.clone());
            if is_removed {
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
    // A configuration that cannot be parsed is still passed on, so that all VMs
    // reach the same version; the next revision replaces it.
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

/// Returns the version to assign to a fact that the platform lists without one:
/// higher than the known version, or `None` if the fact is unchanged.
///
/// The wall-clock time `wall_ms` keeps the versions assigned by two relays
/// close to each other.
pub fn next_version(board: &Board, fact: &Fact, wall_ms: u64) -> Option<u64> {
    match board.shared.get(fact.kind(), &fact.name()) {
        Some(known) if known.fact == *fact => None,
        Some(known) => Some(wall_ms.max(known.version + 1)),
        None => Some(wall_ms),
    }
}

/// Returns the members to push new facts to: a few of this failure domain and,
/// from a relay, one of each other failure domain. The other members learn of
/// them by comparing digests.
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

/// Records that the keys and the configuration were complete at `time`.
pub fn record_complete(board: &mut Board, time: Time) {
    let complete_at = &mut board.members.keys_complete_at;
    *complete_at = (*complete_at).max(Some(time));
}

/// Compares the digests in a packet with this VM's. Returns whether they
/// differ, so that the sender should be asked for its facts.
///
/// If both VMs have the same keys and configuration, also records when those
/// were last known to be complete and when the sender and the failure domains
/// it knows were last seen.
pub fn compare_digests(board: &mut Board, now: Time, packet: &Packet) -> bool {
    let ours = board.shared.digests();
    let same = |kind: Kind| ours[kind as usize] == packet.digests[kind as usize];
    if same(Kind::Key) && same(Kind::Config) {
        if let Some(age) = packet.keys_age_ms {
            record_complete(board, now - millis(age));
        }
        record_last_seen(board, now, packet);
    }
    ours != packet.digests
}

fn record_last_seen(board: &mut Board, now: Time, packet: &Packet) {
    let direct = (packet.from.failure_domain.clone(), now);
    let reported = packet.sync_ages.iter().map(|sync_age| {
        (
            sync_age.failure_domain.clone(),
            now - millis(sync_age.age_ms),
        )
    });
    // Contact of others with this failure domain says nothing about this VM.
    let reported = reported.filter(|(domain, _)| *domain != board.failure_domain);
    for (domain, time) in reported.chain([direct]).collect::<Vec<_>>() {
        let known = board.members.synced_at.entry(domain).or_default();
        *known = time.max(*known);
    }
}

fn millis(age: u32) -> Duration {
    Duration::from_millis(u64::from(age))
}
