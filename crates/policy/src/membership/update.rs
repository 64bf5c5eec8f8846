//! Membership updates: which of two updates takes precedence, and how a VM
//! refutes an update about itself.

use std::time::Duration;

use board::{
    Board, Time,
    member::{Member, Packet, Purpose, Record, State, Update},
};

use super::{Config, Datagram, compose_packet};

/// Applies the platform's list of VMs. Adds listed members that are not known
/// yet, and marks members of other failure domains dead when they are no longer
/// listed. Never overrides what a VM reports about itself.
pub fn apply_listing(board: &mut Board, now: Time, listed: &[Record]) {
    for record in listed {
        if record.vm != board.vm && !board.members.others.contains_key(&record.vm) {
            let update = Update {
                record: record.clone(),
                state: State::Live,
            };
            apply_update(board, now, update);
        }
    }
    let mut delisted = Vec::new();
    for (vm, member) in &mut board.members.others {
        let is_listed = listed.iter().any(|record| record.vm == *vm);
        let was_listed = std::mem::replace(&mut member.is_listed, is_listed);
        let is_remote = member.record.failure_domain != board.failure_domain;
        if was_listed && !is_listed && is_remote && member.state < State::Dead {
            delisted.push(member.record.clone());
        }
    }
    for record in delisted {
        let state = State::Dead;
        apply_update(board, now, Update { record, state });
    }
}

/// How long an indirect probe made for another member waits for its answer.
const INDIRECT_PROBE_TTL: Duration = Duration::from_secs(2);

/// Returns an update for every known member and for this VM.
pub fn all_updates(board: &Board) -> Vec<Update> {
    let update = |member: &Member| Update {
        record: member.record.clone(),
        state: member.state,
    };
    let local = Update {
        record: board.members.local.clone(),
        state: own_state(board),
    };
    let others = board.members.others.values().map(update);
    others.chain([local]).collect()
}

/// Applies all updates of another process on this VM, and removes members that
/// the other process does not know.
pub fn sync_from(board: &mut Board, now: Time, updates: Vec<Update>) {
    let is_known = |vm: &String| updates.iter().any(|update| update.record.vm == *vm);
    board.members.others.retain(|vm, _| is_known(vm));
    for update in updates {
        apply_update(board, now, update);
    }
}

/// Applies an update. A higher incarnation takes precedence; within one
/// incarnation, the later state in the order of [`State`] does.
pub fn apply_update(board: &mut Board, now: Time, update: Update) {
    if update.record.vm == board.vm {
        return refute(board, &update);
    }
    let known = board.members.others.get(&update.record.vm);
    // An unknown member is not added as dead or left.
    if known.is_none() && update.state >= State::Dead {
        return;
    }
    let rank = |incarnation: u64, state: State| (incarnation, state);
    let is_newer = known.is_none_or(|known| {
        rank(update.record.incarnation, update.state) > rank(known.record.incarnation, known.state)
    });
    if !is_newer {
        return;
    }
    if update.state == State::Live {
        mark_dead_at_address(board, now, &update.record);
    }
    let is_listed = is_member_listed(board, &update.record.vm);
    let member = Member {
        record: update.record.clone(),
        state: update.state,
        since: now,
        is_listed,
    };
    board
        .members
        .others
        .insert(update.record.vm.clone(), member);
    enqueue_update(board, update);
}

/// Returns whether `vm` was in the platform's last list of VMs.
fn is_member_listed(board: &Board, vm: &str) -> bool {
    let known = board.members.others.get(vm);
    known.is_some_and(|member| member.is_listed)
}

/// Marks earlier VMs at the address of `record` dead: a new VM has replaced
/// them.
fn mark_dead_at_address(board: &mut Board, now: Time, record: &Record) {
    let replaced = board.members.others.values_mut().filter(|member| {
        member.record.address == record.address
            && member.record.vm != record.vm
            && member.record.incarnation < record.incarnation
    });
    for member in replaced.filter(|member| member.state < State::Dead) {
        member.state = State::Dead;
        member.since = now;
    }
}

/// Refutes a wrong update about this VM with a higher incarnation.
fn refute(board: &mut Board, update: &Update) {
    let state = own_state(board);
    let local = &mut board.members.local;
    let is_different = update.state != state || update.record.address != local.address;
    if update.record.incarnation < local.incarnation || !is_different || update.state == State::Live
    {
        return;
    }
    local.incarnation = update.record.incarnation + 1;
    let record = local.clone();
    enqueue_update(board, Update { record, state });
}

pub(super) fn own_state(board: &Board) -> State {
    if board.members.is_leaving {
        State::Left
    } else {
        State::Live
    }
}

/// Queues an update for the next packets, and drops older updates on the same
/// VM. The number of packets that carry the update grows with the logarithm of
/// the number of members, as does the number of rounds in which gossip reaches
/// all of them.
pub(super) fn enqueue_update(board: &mut Board, update: Update) {
    let table = &mut board.members;
    let copies = 4 * (table.others.len() as u32 + 2).ilog2() + 4;
    let vm = update.record.vm.clone();
    table
        .pending_updates
        .retain(|(other, _)| other.record.vm != vm);
    table.pending_updates.push((update, copies));
}

/// Informs the sender of a packet if it is not considered live, so that it can
/// refute this.
pub(super) fn reply_with_state(
    board: &mut Board,
    now: Time,
    packet: &Packet,
    datagrams: &mut Vec<Datagram>,
) {
    let Some(known) = board.members.others.get(&packet.from.vm) else {
        return;
    };
    let is_same_incarnation = known.record.incarnation == packet.from.incarnation;
    let should_refute =
        known.state != State::Live && !(known.state == State::Left && is_same_incarnation);
    if !should_refute || known.record.incarnation < packet.from.incarnation {
        return;
    }
    let update = Update {
        record: known.record.clone(),
        state: known.state,
    };
    let mut reply = compose_packet(board, now, Purpose::Heartbeat);
    reply.updates = vec![update];
    datagrams.push(Datagram {
        to: packet.from.address,
        packet: reply,
    });
}

/// Marks members dead whose suspicion was not refuted in time, and removes dead
/// members that the platform no longer lists.
pub(super) fn expire(board: &mut Board, now: Time, config: &Config) {
    let domain = board.failure_domain.clone();
    let is_due = |member: &&Member| {
        let is_local = member.record.failure_domain == domain;
        is_local && member.state == State::Suspect && now - member.since >= config.suspicion_timeout
    };
    let others = board.members.others.values();
    let due: Vec<_> = others.filter(is_due).map(|m| m.record.clone()).collect();
    for record in due {
        let state = State::Dead;
        apply_update(board, now, Update { record, state });
    }
    let table = &mut board.members;
    table
        .indirect_probes
        .retain(|probe| now - probe.sent < INDIRECT_PROBE_TTL);
    table.others.retain(|_, member| {
        let is_expired = member.state >= State::Dead && !member.is_listed;
        !(is_expired && now - member.since >= config.dead_retention)
    });
}
