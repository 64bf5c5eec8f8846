//! Gossip membership and failure detection in the manner of SWIM: direct and
//! indirect probes within a failure domain, and membership updates carried by
//! every packet.
//!
//! A VM is suspected only by VMs of its own failure domain, so a failure domain
//! that is cut off remains known. [`board::member::Table::synced_at`] shows how
//! long it has been silent.

mod probe;
mod update;

use std::{net::SocketAddr, time::Duration};

use board::{
    Board, Time,
    member::{Packet, Purpose, State, SyncAge, Update},
};
use rand::{
    Rng,
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};

use probe::{
    handle_purpose, ping_dead_member, send_indirect_probes, start_probe, suspect_unanswered,
};
pub use update::{all_updates, apply_listing, apply_update, sync_from};
use update::{enqueue_update, expire, reply_with_state};

use crate::{dissemination, relay};

/// The timing of failure detection.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tarragonseam_policy::membership::Config;
///
/// let config = Config::new().suspicion_timeout(Duration::from_secs(8));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Config {
    probe_period: Duration,
    probe_timeout: Duration,
    suspicion_timeout: Duration,
    heartbeat_period: Duration,
    dead_retention: Duration,
}

impl Config {
    /// Returns the timing used by the daemons.
    pub fn new() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspicion_timeout: Duration::from_secs(4),
            heartbeat_period: Duration::from_millis(250),
            dead_retention: Duration::from_secs(60),
        }
    }

    /// Sets how often a member is probed.
    pub fn probe_period(mut self, period: Duration) -> Self {
        self.probe_period = period;
        self
    }

    /// Sets how long a suspected member has to refute the suspicion.
    pub fn suspicion_timeout(mut self, time: Duration) -> Self {
        self.suspicion_timeout = time;
        self
    }

    /// Sets how often a heartbeat is sent to another member.
    pub fn heartbeat_period(mut self, period: Duration) -> Self {
        self.heartbeat_period = period;
        self
    }
}

impl Default for Config {
    fn default() -> Self {
        Self::new()
    }
}

/// A packet to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The packet.
    pub packet: Packet,
}

/// How many rounds of heartbeats announce that this VM leaves.
const LEAVE_HEARTBEATS: usize = 3;
/// How many members of this failure domain each heartbeat is sent to.
const HEARTBEAT_FANOUT: usize = 1;
/// The maximum number of updates in one packet, which keeps the packet below
/// 1400 bytes.
const PACKET_UPDATES_MAX: usize = 10;
/// A VM that is not a relay sends a heartbeat to another failure domain in one
/// of this many rounds, on average.
const ROUNDS_PER_REMOTE_HEARTBEAT: u32 = 10;

/// Performs the periodic work due at `now` and returns the datagrams to send.
pub fn step(board: &mut Board, now: Time, config: &Config) -> Vec<Datagram> {
    let mut datagrams = Vec::new();
    expire(board, now, config);
    send_indirect_probes(board, now, config, &mut datagrams);
    if board.members.next_probe <= now {
        board.members.next_probe = now + config.probe_period;
        suspect_unanswered(board, now);
        start_probe(board, now, &mut datagrams);
        ping_dead_member(board, &mut datagrams, now);
    }
    if board.members.next_heartbeat <= now {
        board.members.next_heartbeat = now + config.heartbeat_period;
        send_heartbeats(board, now, &mut datagrams);
    }
    datagrams
}

/// Processes a packet. Returns the datagrams to send, and whether the sender's
/// facts or members differ from this VM's.
pub fn receive(
    board: &mut Board,
    now: Time,
    from: SocketAddr,
    packet: &Packet,
) -> (Vec<Datagram>, bool) {
    if packet.from.vm == board.vm {
        return (Vec::new(), false);
    }
    let mut datagrams = Vec::new();
    board.members.last_contact = Some(now);
    let update = Update {
        record: packet.from.clone(),
        state: State::Live,
    };
    apply_update(board, now, update);
    for update in &packet.updates {
        apply_update(board, now, update.clone());
    }
    reply_with_state(board, now, packet, &mut datagrams);
    handle_purpose(board, now, from, &packet.purpose, &mut datagrams);
    let facts_differ = dissemination::compare_digests(board, now, packet);
    let members_differ = board.members.digest() != packet.members_digest;
    (datagrams, facts_differ || members_differ)
}

/// Returns a ping to `address` with which this VM announces itself to a
/// possible member.
pub fn join(board: &mut Board, now: Time, address: SocketAddr) -> Datagram {
    let number = next_number(board);
    let packet = compose_packet(board, now, Purpose::Ping(number));
    Datagram {
        to: address,
        packet,
    }
}

/// Announces to other members that this VM leaves.
pub fn leave(board: &mut Board, now: Time) -> Vec<Datagram> {
    board.members.is_leaving = true;
    let update = Update {
        record: board.members.local.clone(),
        state: State::Left,
    };
    enqueue_update(board, update);
    let mut datagrams = Vec::new();
    for _ in 0..LEAVE_HEARTBEATS {
        send_heartbeats(board, now, &mut datagrams);
    }
    datagrams
}

pub(super) fn send(
    board: &mut Board,
    now: Time,
    to: SocketAddr,
    purpose: Purpose,
    datagrams: &mut Vec<Datagram>,
) {
    let packet = compose_packet(board, now, purpose);
    datagrams.push(Datagram { to, packet });
}

pub(super) fn compose_packet(board: &mut Board, now: Time, purpose: Purpose) -> Packet {
    let table = &mut board.members;
    table
        .pending_updates
        .sort_by_key(|(_, copies)| std::cmp::Reverse(*copies));
    let mut updates = Vec::new();
    for (update, copies) in table.pending_updates.iter_mut().take(PACKET_UPDATES_MAX) {
        updates.push(update.clone());
        *copies -= 1;
    }
    table.pending_updates.retain(|(_, copies)| *copies > 0);
    let age = |time: Time| (now - time).as_millis().min(u128::from(u32::MAX)) as u32;
    let sync_ages = table.synced_at.iter().map(|(domain, time)| SyncAge {
        failure_domain: domain.clone(),
        age_ms: age(*time),
    });
    let digest = table.digest();
    Packet {
        members_digest: digest,
        from: table.local.clone(),
        purpose,
        updates,
        digests: board.shared.digests(),
        keys_age_ms: table.keys_complete_at.map(age),
        sync_ages: sync_ages.collect(),
    }
}

pub(super) fn next_number(board: &mut Board) -> u32 {
    board.members.last_ping_number = board.members.last_ping_number.wrapping_add(1);
    board.members.last_ping_number
}

/// Returns `count` random elements of `all`, or all if there are fewer.
pub(super) fn sample<T>(mut all: Vec<T>, count: usize, rng: &mut SmallRng) -> Vec<T> {
    all.shuffle(rng);
    all.truncate(count);
    all
}

/// Sends heartbeats to random live members of this failure domain. One more
/// goes to another failure domain: always from a relay, occasionally from other
/// VMs.
fn send_heartbeats(board: &mut Board, now: Time, datagrams: &mut Vec<Datagram>) {
    let domain = board.failure_domain.clone();
    let (local, remote): (Vec<_>, Vec<_>) = board
        .members
        .live()
        .map(|member| {
            (
                member.record.failure_domain == domain,
                member.record.address,
            )
        })
        .partition(|(is_local, _)| *is_local);
    let is_remote_due =
        relay::is_relay(board) || board.rng.random_range(0..ROUNDS_PER_REMOTE_HEARTBEAT) == 0;
    let mut chosen = sample(local, HEARTBEAT_FANOUT, &mut board.rng);
    if is_remote_due {
        chosen.extend(remote.choose(&mut board.rng).copied());
    }
    for (_, to) in chosen {
        send(board, now, to, Purpose::Heartbeat, datagrams);
    }
}
