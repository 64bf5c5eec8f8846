//! Port blocks of deployments that run at the same time.

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
fn acquire_two_blocks() {
    let mut first_block = Block::acquire().unwrap();
    let mut second_block = Block::acquire().unwrap();
    let ports: BTreeSet<_> = (0..20)
        .flat_map(|_| [first_block.next(), second_block.next()])
        .collect();
    assert_eq!(ports.len(), 40);
}

#[test]
fn next_port_in_use() {
    let mut block = Block::acquire().unwrap();
    let first = block.next();
    let mut used_address = first;
    used_address.set_port(first.port() + 1);
    let _listener = TcpListener::bind(used_address).unwrap();
    assert_ne!(block.next(), used_address);
}

#[test]
fn next_port_of_outgoing_connection() {
    let mut block = Block::acquire().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = block.next();
    let outgoing = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let source = SocketAddr::from((Ipv4Addr::LOCALHOST, address.port()));
    outgoing.bind(&source.into()).unwrap();
    let target = listener.local_addr().unwrap();
    outgoing.connect(&target.into()).unwrap();
    TcpListener::bind(address).unwrap();
}

/// Guards against a check for free ports that keeps them in use: a child process
/// holds all descriptors of its parent until its `exec`, including a listener
/// that another thread opened for such a check.
#[test]
fn next_port_while_processes_start() {
    const SPAWNING_THREADS: usize = 4;
    const PORTS: usize = 2000;
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let mut block = Block::acquire().unwrap();
        let failures = (0..PORTS)
            .filter(|_| TcpListener::bind(block.next()).is_err())
            .count();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(failures, 0, "ports in use, of {PORTS}");
    });
}
