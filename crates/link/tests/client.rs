//! The HTTP client.

use std::{
    cell::Cell,
    io::ErrorKind,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::{Duration, Instant},
};

use tarragonseam_link::{
    http::{Limits, Pool, client::Call, error::Kind},
    runtime,
};

/// Sends a request to `peer`. Returns the kind of its error, and how often the
/// hook was called.
fn send(peer: SocketAddr) -> (Kind, u32) {
    let calls = Rc::new(Cell::new(0));
    let seen = calls.clone();
    let run = async move {
        let call = Call::get("/").on_send(move || seen.set(seen.get() + 1));
        let call = call.deadline(Duration::from_millis(300));
        let sent = Pool::new(Limits::new()).fetch(peer, call).await;
        sent.unwrap_err().kind()
    };
    let kind = runtime::run(run).unwrap();
    (kind, calls.get())
}

#[test]
fn on_send_only_if_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    assert_eq!(send(peer), (Kind::Timeout, 1));
    drop(listener);
    assert_eq!(send(peer), (Kind::Connect, 0));
}

/// Guards against a condition that is checked only before a connection is opened: it
/// may cease to hold meanwhile.
#[test]
fn nothing_written_if_condition_ceases_to_hold_while_connecting() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    let is_connected = Rc::new(Cell::new(false));
    let (connected, sent) = (is_connected.clone(), Rc::new(Cell::new(0)));
    let seen = sent.clone();
    let run = async move {
        let call = Call::get("/")
            .on_connect(move |is_open| is_connected.set(is_open))
            .condition(move || !connected.get())
            .on_send(move || seen.set(seen.get() + 1));
        let result = Pool::new(Limits::new()).fetch(peer, call).await;
        let error = result.unwrap_err();
        assert!(error.is_unsent());
        (error.kind(), sent.get())
    };
    assert_eq!(runtime::run(run).unwrap(), (Kind::Fenced, 0));
    let (connection, _) = listener.accept().unwrap();
    connection
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    let start = Instant::now();
    let read = std::io::Read::read(&mut &connection, &mut [0; 16]);
    let is_closed = match read {
        Ok(count) => count == 0,
        Err(e) => e.kind() == ErrorKind::ConnectionReset,
    };
    assert!(is_closed && start.elapsed() < Duration::from_secs(1));
}
