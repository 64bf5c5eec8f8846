//! The HTTP client.

use std::{
    cell::Cell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
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
