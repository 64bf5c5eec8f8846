//! Ports of deployments that run at the same time.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use socket2::{Domain, Socket, Type};
use tarragonseam_fakes::deployment::Block;

#[test]
fn take_two_blocks() {
    let mut one = Block::take().unwrap();
    let mut other = Block::take().unwrap();
    let ports: BTreeSet<_> = (0..20).flat_map(|_| [one.next(), other.next()]).collect();
    assert_eq!(ports.len(), 40);
}

#[test]
fn next_port_in_use() {
    let mut block = Block::take().unwrap();
    let first = block.next();
    let mut held = first;
    held.set_port(first.port() + 1);
    let _listener = TcpListener::bind(held).unwrap();
    assert_ne!(block.next(), held);
}

#[test]
fn next_port_of_outgoing_connection() {
    let mut block = Block::take().unwrap();
    let served = TcpListener::bind("127.0.0.1:0").unwrap();
    let place = block.next();
    let outgoing = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let source = SocketAddr::from((Ipv4Addr::LOCALHOST, place.port()));
    outgoing.bind(&source.into()).unwrap();
    let target = served.local_addr().unwrap();
    outgoing.connect(&target.into()).unwrap();
    TcpListener::bind(place).unwrap();
}

/// A process that is being started holds every descriptor of its parent for a
/// moment: a port must be free then too.
#[test]
fn next_port_while_processes_start() {
    const STARTERS: usize = 4;
    const PORTS: usize = 2000;
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let mut block = Block::take().unwrap();
        let taken = (0..PORTS)
            .filter(|_| TcpListener::bind(block.next()).is_err())
            .count();
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "of {PORTS} ports");
    });
}
