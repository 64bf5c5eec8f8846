//! Datagrams and parts of a configuration, applied to the board of one VM.

#![no_main]

use std::{net::SocketAddr, time::Duration};

use board::{Board, Time};
use libfuzzer_sys::fuzz_target;
use policy::{dissemination, membership};
use wire::{Datagram, decode};

/// The unit of the byte that gives the length of a message.
const LENGTH_UNIT_BYTES: usize = 8;

fn receive(board: &mut Board, now: Time, from: SocketAddr, bytes: &[u8]) {
    match decode::<Datagram>(bytes) {
        Ok(Datagram::Member(packet)) => drop(membership::receive(board, now, from, &packet)),
        Ok(Datagram::Facts(items)) => {
            let known: Vec<_> = items
                .iter()
                .map(|item| board.shared.version(item.fact.kind(), &item.fact.name()))
                .collect();
            dissemination::merge(board, items.clone());
            for (item, before) in items.iter().zip(known) {
                let after = board.shared.version(item.fact.kind(), &item.fact.name());
                assert!(after >= before, "a fact reverted to an older version");
            }
        }
        Ok(Datagram::Loads(_)) => {}
        Err(_) => dissemination::store_part(board, String::from_utf8_lossy(bytes).into_owned()),
    }
}

fuzz_target!(|bytes: &[u8]| {
    let from: SocketAddr = "127.0.0.1:9002".parse().expect("the address should parse");
    let config = membership::Config::new();
    let mut board = Board::new("vm-1", "a", 7);
    let mut now = Time::default();
    let mut unread = bytes;
    while let [length, step, tail @ ..] = unread {
        let (message, remaining) =
            tail.split_at(tail.len().min(usize::from(*length) * LENGTH_UNIT_BYTES));
        now = now + Duration::from_millis(u64::from(*step) * 20);
        receive(&mut board, now, from, message);
        let revision = board.revision;
        for datagram in membership::step(&mut board, now, &config) {
            let packet = wire::encode(&Datagram::Member(datagram.packet));
            packet.expect("an outgoing packet should encode");
        }
        assert!(
            board.revision >= revision,
            "the configuration reverted to an older revision"
        );
        unread = remaining;
    }
});
