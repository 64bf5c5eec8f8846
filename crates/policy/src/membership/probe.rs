//! Probes of one member after another, and those made for others.

use std::net::SocketAddr;

use board::{
    Board, Time,
    member::{IndirectProbe, Member, Probe, Purpose, State, Update},
};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{Config, Order, choose, next_number, note, send};

/// How many members are asked to try one that does not answer.
const INDIRECT: usize = 3;

pub(super) fn answer(
    board: &mut Board,
    now: Time,
    from: SocketAddr,
    purpose: &Purpose,
    orders: &mut Vec<Order>,
) {
    match purpose {
        Purpose::Ping(number) => send(board, now, from, Purpose::Ack(*number), orders),
        Purpose::PingRequest(number, target) => {
            let own = next_number(board);
            board.members.indirect_probes.push(IndirectProbe {
                number: own,
                requester: (from, *number),
                sent: now,
            });
            send(board, now, *target, Purpose::Ping(own), orders);
        }
        Purpose::Ack(number) => acknowledge(board, now, *number, orders),
        Purpose::Heartbeat => {}
    }
}

pub(super) fn acknowledge(board: &mut Board, now: Time, number: u32, orders: &mut Vec<Order>) {
    let probe = &mut board.members.probe;
    if probe.as_ref().is_some_and(|probe| probe.number == number) {
        *probe = None;
    }
    let errands = &mut board.members.indirect_probes;
    if let Some(place) = errands.iter().position(|errand| errand.number == number) {
        let (asker, asked) = errands.swap_remove(place).requester;
        send(board, now, asker, Purpose::Ack(asked), orders);
    }
}

/// Asks others to try a member that does not answer in time.
pub(super) fn relay_probe(board: &mut Board, now: Time, config: &Config, orders: &mut Vec<Order>) {
    let Some(probe) = board.members.probe.clone() else {
        return;
    };
    if probe.is_indirect || now - probe.sent < config.probe_timeout {
        return;
    }
    if let Some(probe) = &mut board.members.probe {
        probe.is_indirect = true;
    }
    let Some(target) = board.members.others.get(&probe.vm) else {
        return;
    };
    let target = target.record.address;
    let helpers = board
        .members
        .live_in(&board.failure_domain)
        .filter(|member| member.record.vm != probe.vm)
        .map(|member| member.record.address)
        .collect();
    let chosen = choose(helpers, INDIRECT, &mut board.rng);
    for helper in chosen {
        send(
            board,
            now,
            helper,
            Purpose::PingRequest(probe.number, target),
            orders,
        );
    }
}

/// Suspects the member whose probe was not answered at all.
pub(super) fn conclude_probe(board: &mut Board, now: Time) {
    let Some(probe) = board.members.probe.take() else {
        return;
    };
    let Some(member) = board.members.others.get(&probe.vm) else {
        return;
    };
    let record = member.record.clone();
    let state = State::Suspect;
    note(board, now, Update { record, state });
}

pub(super) fn start_probe(board: &mut Board, now: Time, orders: &mut Vec<Order>) {
    if board.members.unprobed.is_empty() {
        let domain = board.failure_domain.clone();
        let live = board.members.live_in(&domain);
        let mut round: Vec<_> = live.map(|member| member.record.vm.clone()).collect();
        round.shuffle(&mut board.rng);
        board.members.unprobed = round;
    }
    let Some(vm) = board.members.unprobed.pop() else {
        return;
    };
    let Some(member) = board.members.others.get(&vm) else {
        return;
    };
    let to = member.record.address;
    let number = next_number(board);
    board.members.probe = Some(Probe {
        vm,
        number,
        sent: now,
        is_indirect: false,
    });
    send(board, now, to, Purpose::Ping(number), orders);
}

/// Pings one dead member: it may have been cut off, or started anew.
pub(super) fn revisit(board: &mut Board, orders: &mut Vec<Order>, now: Time) {
    let dead = |member: &&Member| member.state == State::Dead;
    let others = board.members.others.values();
    let dead: Vec<_> = others.filter(dead).map(|m| m.record.address).collect();
    if let Some(to) = dead.choose(&mut board.rng).copied() {
        let number = next_number(board);
        send(board, now, to, Purpose::Ping(number), orders);
    }
}
