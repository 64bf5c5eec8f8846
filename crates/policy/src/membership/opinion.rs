//! Opinions about members: which of two stands, and how a VM refutes one about
//! itself.

use std::time::Duration;

use board::{
    Board, Time,
    member::{Member, Packet, Purpose, Record, State, Update},
};

use super::{Config, Order, compose};

/// Takes the platform's list of VMs in. It names members that are not known
/// yet, and buries those that it no longer names; it never overrules what a
/// VM says of itself.
pub fn list(board: &mut Board, now: Time, listed: &[Record]) {
    for record in listed {
        if record.vm != board.vm && !board.members.others.contains_key(&record.vm) {
            let opinion = Update {
                record: record.clone(),
                state: State::Live,
            };
            note(board, now, opinion);
        }
    }
    let mut buried = Vec::new();
    for (vm, member) in &mut board.members.others {
        let is_listed = listed.iter().any(|record| record.vm == *vm);
        let was_listed = std::mem::replace(&mut member.is_listed, is_listed);
        let is_elsewhere = member.record.failure_domain != board.failure_domain;
        if was_listed && !is_listed && is_elsewhere && member.state < State::Dead {
            buried.push(member.record.clone());
        }
    }
    for record in buried {
        let state = State::Dead;
        note(board, now, Update { record, state });
    }
}

const ERRAND_TIME: Duration = Duration::from_secs(2);

/// Returns every opinion held here, for a VM that joins.
pub fn opinions(board: &Board) -> Vec<Update> {
    let opinion = |member: &Member| Update {
        record: member.record.clone(),
        state: member.state,
    };
    let me = Update {
        record: board.members.local.clone(),
        state: own_state(board),
    };
    let others = board.members.others.values().map(opinion);
    others.chain([me]).collect()
}

/// Takes every opinion of another process of this VM in, and forgets members
/// of which it has none: it has forgotten them.
pub fn follow(board: &mut Board, now: Time, opinions: Vec<Update>) {
    let is_known = |vm: &String| opinions.iter().any(|opinion| opinion.record.vm == *vm);
    board.members.others.retain(|vm, _| is_known(vm));
    for opinion in opinions {
        note(board, now, opinion);
    }
}

/// Takes an opinion in: that on a higher incarnation stands, and of one
/// incarnation the graver one.
pub fn note(board: &mut Board, now: Time, update: Update) {
    if update.record.vm == board.vm {
        return refute(board, &update);
    }
    let known = board.members.others.get(&update.record.vm);
    // A VM that was forgotten, or was never known, need not be known as dead.
    if known.is_none() && update.state >= State::Dead {
        return;
    }
    let rank = |incarnation: u64, state: State| (incarnation, state);
    let is_news = known.is_none_or(|known| {
        rank(update.record.incarnation, update.state) > rank(known.record.incarnation, known.state)
    });
    if !is_news {
        return;
    }
    if update.state == State::Live {
        replace_at_address(board, now, &update.record);
    }
    let is_listed = known_listed(board, &update.record.vm);
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
    spread(board, update);
}

fn known_listed(board: &Board, vm: &str) -> bool {
    let known = board.members.others.get(vm);
    known.is_some_and(|member| member.is_listed)
}

/// A VM that starts at the address of another one ends that one.
fn replace_at_address(board: &mut Board, now: Time, record: &Record) {
    let ended = board.members.others.values_mut().filter(|member| {
        member.record.address == record.address
            && member.record.vm != record.vm
            && member.record.incarnation < record.incarnation
    });
    for member in ended.filter(|member| member.state < State::Dead) {
        member.state = State::Dead;
        member.since = now;
    }
}

/// Answers an opinion about this VM that is not true with a new incarnation.
fn refute(board: &mut Board, update: &Update) {
    let state = own_state(board);
    let me = &mut board.members.local;
    let is_other = update.state != state || update.record.address != me.address;
    if update.record.incarnation < me.incarnation || !is_other || update.state == State::Live {
        return;
    }
    me.incarnation = update.record.incarnation + 1;
    let record = me.clone();
    spread(board, Update { record, state });
}

pub(super) fn own_state(board: &Board) -> State {
    if board.members.is_leaving {
        State::Left
    } else {
        State::Live
    }
}

/// Puts an opinion on the next packets, in place of an older one on that VM.
pub(super) fn spread(board: &mut Board, update: Update) {
    let table = &mut board.members;
    let copies = 4 * (table.others.len() as u32 + 2).ilog2() + 4;
    let vm = update.record.vm.clone();
    table
        .pending_updates
        .retain(|(other, _)| other.record.vm != vm);
    table.pending_updates.push((update, copies));
}

/// Tells a sender that it is thought to be anything but live.
pub(super) fn contradict(board: &mut Board, now: Time, packet: &Packet, orders: &mut Vec<Order>) {
    let Some(known) = board.members.others.get(&packet.from.vm) else {
        return;
    };
    let is_same_life = known.record.incarnation == packet.from.incarnation;
    let is_news = known.state != State::Live && !(known.state == State::Left && is_same_life);
    if !is_news || known.record.incarnation < packet.from.incarnation {
        return;
    }
    let update = Update {
        record: known.record.clone(),
        state: known.state,
    };
    let mut packet_back = compose(board, now, Purpose::Heartbeat);
    packet_back.updates = vec![update];
    orders.push(Order {
        to: packet.from.address,
        packet: packet_back,
    });
}

/// Ends suspicions that were not refuted, and forgets the dead that the
/// platform no longer lists.
pub(super) fn expire(board: &mut Board, now: Time, config: &Config) {
    let domain = board.failure_domain.clone();
    let is_due = |member: &&Member| {
        let is_ours = member.record.failure_domain == domain;
        is_ours && member.state == State::Suspect && now - member.since >= config.suspect_time
    };
    let others = board.members.others.values();
    let due: Vec<_> = others.filter(is_due).map(|m| m.record.clone()).collect();
    for record in due {
        let state = State::Dead;
        note(board, now, Update { record, state });
    }
    let table = &mut board.members;
    table
        .indirect_probes
        .retain(|errand| now - errand.sent < ERRAND_TIME);
    table.others.retain(|_, member| {
        let is_over = member.state >= State::Dead && !member.is_listed;
        !(is_over && now - member.since >= config.forget_time)
    });
}
