//! Probes of members in turn, and indirect probes made for other members.

use std::net::SocketAddr;

use board::{
    Board, Time,
    member::{IndirectProbe, Member, Probe, Purpose, State, Update},
};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{Config, Datagram, apply_update, next_number, sample, send};

/// How many members are asked to probe a member that does not answer.
const INDIRECT_PROBES: usize = 3;

pub(super) fn handle_purpose(
    board: &mut Board,
    now: Time,
    from: SocketAddr,
    purpose: &Purpose,
    datagrams: &mut Vec<Datagram>,
) {
    match purpose {
        Purpose::Ping(number) => send(board, now, from, Purpose::Ack(*number), datagrams),
        Purpose::PingRequest(number, target) => {
            let own_number = next_number(board);
            board.members.indirect_probes.push(IndirectProbe {
                number: own_number,
                requester: (from, *number),
                sent: now,
            });
            send(board, now, *target, Purpose::Ping(own_number), datagrams);
        }
        Purpose::Ack(number) => handle_ack(board, now, *number, datagrams),
        Purpose::Heartbeat => {}
    }
}

pub(super) fn handle_ack(board: &mut Board, now: Time, number: u32, datagrams: &mut Vec<Datagram>) {
    let probe = &mut board.members.probe;
    if probe.as_ref().is_some_and(|probe| probe.number == number) {
        *probe = None;
    }
    let indirect_probes = &mut board.members.indirect_probes;
    if let Some(index) = indirect_probes
        .iter()
        .position(|probe| probe.number == number)
    {
        let (requester, requested_number) = indirect_probes.swap_remove(index).requester;
        send(
            board,
            now,
            requester,
            Purpose::Ack(requested_number),
            datagrams,
        );
    }
}

/// Asks other members to probe a member that has not answered in time.
pub(super) fn send_indirect_probes(
    board: &mut Board,
    now: Time,
    config: &Config,
    datagrams: &mut Vec<Datagram>,
) {
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
    let proxies = board
        .members
        .live_in(&board.failure_domain)
        .filter(|member| member.record.vm != probe.vm)
        .map(|member| member.record.address)
        .collect();
    let chosen = sample(proxies, INDIRECT_PROBES, &mut board.rng);
    for proxy in chosen {
        send(
            board,
            now,
            proxy,
            Purpose::PingRequest(probe.number, target),
            datagrams,
        );
    }
}

/// Suspects the member if neither its direct nor its indirect probes were
/// answered.
pub(super) fn suspect_unanswered(board: &mut Board, now: Time) {
    let Some(probe) = board.members.probe.take() else {
        return;
    };
    let Some(member) = board.members.others.get(&probe.vm) else {
        return;
    };
    let record = member.record.clone();
    let state = State::Suspect;
    apply_update(board, now, Update { record, state });
}

pub(super) fn start_probe(board: &mut Board, now: Time, datagrams: &mut Vec<Datagram>) {
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
    send(board, now, to, Purpose::Ping(number), datagrams);
}

/// Pings a random dead member, which may have been cut off or restarted.
pub(super) fn ping_dead_member(board: &mut Board, datagrams: &mut Vec<Datagram>, now: Time) {
    let dead = |member: &&Member| member.state == State::Dead;
    let others = board.members.others.values();
    let dead: Vec<_> = others.filter(dead).map(|m| m.record.address).collect();
    if let Some(to) = dead.choose(&mut board.rng).copied() {
        let number = next_number(board);
        send(board, now, to, Purpose::Ping(number), datagrams);
    }
}
