//! Which VMs live: probes inside a failure domain, made through others before
//! a VM is suspected, and opinions that ride on every packet.
//!
//! Only VMs of its own failure domain suspect a VM. A failure domain that is
//! cut off as a whole therefore stays known; that it is silent shows in
//! [`board::member::Table::synced_at`].

mod opinion;
mod probe;

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

use opinion::{contradict, expire, spread};
pub use opinion::{follow, list, note, opinions};
use probe::{answer, conclude_probe, relay_probe, revisit, start_probe};

use crate::{dissemination, relay};

/// The pace of failure detection.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tarragonseam_policy::membership::Config;
///
/// let config = Config::new().suspect_time(Duration::from_secs(8));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Config {
    probe_period: Duration,
    probe_timeout: Duration,
    suspect_time: Duration,
    beat_period: Duration,
    forget_time: Duration,
}

impl Config {
    /// Returns the pace of the daemons.
    pub fn new() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspect_time: Duration::from_secs(4),
            beat_period: Duration::from_millis(250),
            forget_time: Duration::from_secs(60),
        }
    }

    /// Sets how often a member is probed.
    pub fn probe_period(mut self, period: Duration) -> Self {
        self.probe_period = period;
        self
    }

    /// Sets how long a suspected member has to refute.
    pub fn suspect_time(mut self, time: Duration) -> Self {
        self.suspect_time = time;
        self
    }

    /// Sets how often what is known here is told to another member.
    pub fn beat_period(mut self, period: Duration) -> Self {
        self.beat_period = period;
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
pub struct Order {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub packet: Packet,
}

/// Packets that carry a farewell.
const FAREWELLS: usize = 3;
const BEATS: usize = 1;
/// Opinions in one packet, so that it stays below 1400 bytes.
const UPDATES_MAX: usize = 10;
/// One in so many beats of a VM that is no relay crosses failure domains.
const CROSSING: u32 = 10;

/// Does what is due at `now`.
pub fn step(board: &mut Board, now: Time, config: &Config) -> Vec<Order> {
    let mut orders = Vec::new();
    expire(board, now, config);
    relay_probe(board, now, config, &mut orders);
    if board.members.next_probe <= now {
        board.members.next_probe = now + config.probe_period;
        conclude_probe(board, now);
        start_probe(board, now, &mut orders);
        revisit(board, &mut orders, now);
    }
    if board.members.next_heartbeat <= now {
        board.members.next_heartbeat = now + config.beat_period;
        beat(board, now, &mut orders);
    }
    orders
}

/// Takes a packet in. The flag says whether the sender knows other facts or
/// members.
pub fn receive(
    board: &mut Board,
    now: Time,
    from: SocketAddr,
    packet: &Packet,
) -> (Vec<Order>, bool) {
    if packet.from.vm == board.vm {
        return (Vec::new(), false);
    }
    let mut orders = Vec::new();
    board.members.last_contact = Some(now);
    let opinion = Update {
        record: packet.from.clone(),
        state: State::Live,
    };
    note(board, now, opinion);
    for update in &packet.updates {
        note(board, now, update.clone());
    }
    contradict(board, now, packet, &mut orders);
    answer(board, now, from, &packet.purpose, &mut orders);
    let facts_differ = dissemination::compare(board, now, packet);
    let members_differ = board.members.digest() != packet.members_digest;
    (orders, facts_differ || members_differ)
}

/// Greets a VM that may live at `address`.
pub fn greet(board: &mut Board, now: Time, address: SocketAddr) -> Order {
    let number = next_number(board);
    let packet = compose(board, now, Purpose::Ping(number));
    Order {
        to: address,
        packet,
    }
}

/// Announces that this VM leaves.
pub fn leave(board: &mut Board, now: Time) -> Vec<Order> {
    board.members.is_leaving = true;
    let update = Update {
        record: board.members.local.clone(),
        state: State::Left,
    };
    spread(board, update);
    let mut orders = Vec::new();
    for _ in 0..FAREWELLS {
        beat(board, now, &mut orders);
    }
    orders
}

pub(super) fn send(
    board: &mut Board,
    now: Time,
    to: SocketAddr,
    purpose: Purpose,
    orders: &mut Vec<Order>,
) {
    let packet = compose(board, now, purpose);
    orders.push(Order { to, packet });
}

pub(super) fn compose(board: &mut Board, now: Time, purpose: Purpose) -> Packet {
    let table = &mut board.members;
    table
        .pending_updates
        .sort_by_key(|(_, left)| std::cmp::Reverse(*left));
    let mut updates = Vec::new();
    for (update, left) in table.pending_updates.iter_mut().take(UPDATES_MAX) {
        updates.push(update.clone());
        *left -= 1;
    }
    table.pending_updates.retain(|(_, left)| *left > 0);
    let age = |time: Time| (now - time).as_millis().min(u128::from(u32::MAX)) as u32;
    let heard = table.synced_at.iter().map(|(domain, time)| SyncAge {
        failure_domain: domain.clone(),
        age_ms: age(*time),
    });
    let members = table.digest();
    Packet {
        members_digest: members,
        from: table.local.clone(),
        purpose,
        updates,
        digests: board.shared.digests(),
        keys_age_ms: table.keys_complete_at.map(age),
        sync_ages: heard.collect(),
    }
}

pub(super) fn next_number(board: &mut Board) -> u32 {
    board.members.last_ping_number = board.members.last_ping_number.wrapping_add(1);
    board.members.last_ping_number
}

/// Returns `count` of `all`, or all when there are fewer.
pub(super) fn choose<T>(mut all: Vec<T>, count: usize, rng: &mut SmallRng) -> Vec<T> {
    all.shuffle(rng);
    all.truncate(count);
    all
}

/// Tells a few members what is known here. Relays tell other failure domains
/// each time, the others now and then.
fn beat(board: &mut Board, now: Time, orders: &mut Vec<Order>) {
    let domain = board.failure_domain.clone();
    let (near, far): (Vec<_>, Vec<_>) = board
        .members
        .live()
        .map(|member| {
            (
                member.record.failure_domain == domain,
                member.record.address,
            )
        })
        .partition(|(is_near, _)| *is_near);
    let crosses = relay::is_relay(board) || board.rng.random_range(0..CROSSING) == 0;
    let mut chosen = choose(near, BEATS, &mut board.rng);
    if crosses {
        chosen.extend(far.choose(&mut board.rng).copied());
    }
    for (_, to) in chosen {
        send(board, now, to, Purpose::Heartbeat, orders);
    }
}
