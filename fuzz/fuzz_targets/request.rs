//! Bytes that a caller sends to the HTTP server, and the accessors of a request
//! that handlers use.

#![no_main]

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::OnceLock,
    time::Duration,
};

use libfuzzer_sys::fuzz_target;
use link::http::{
    Limits, Reply, Request,
    server::{self, Drain},
};
use serde_json::Value;

/// The timeout of an answer, far above the timeouts of the server.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

async fn answer(request: Request) -> Reply {
    let _ = (request.query("wait_ms"), request.header("authorization"));
    let count = request.segments().len();
    match request.json::<Value>() {
        Ok(value) => Reply::json(link::StatusCode::OK, &value),
        Err(reply) if count == 0 => reply,
        Err(_) => Reply::new(link::StatusCode::OK, request.body),
    }
}

fn start() -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        link::runtime::run(async move {
            let any = "127.0.0.1:0".parse().expect("the address should parse");
            let listener = link::net::listen(any).expect("a port should be free");
            let address = listener
                .local_addr()
                .expect("the listener should have an address");
            sender.send(address).expect("the receiver should wait");
            let read_timeout = Duration::from_millis(200);
            let limits = Limits::new()
                .head_time(read_timeout)
                .body_time(read_timeout);
            server::serve(listener, limits, Drain::default(), answer).await;
        })
    });
    receiver.recv().expect("the server should start")
}

fuzz_target!(|bytes: &[u8]| {
    static SERVER: OnceLock<SocketAddr> = OnceLock::new();
    let address = SERVER.get_or_init(start);
    let mut stream = TcpStream::connect(address).expect("the server should accept connections");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("the timeout should be set");
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut response = Vec::new();
    if let Err(e) = stream.read_to_end(&mut response) {
        assert_ne!(
            e.kind(),
            std::io::ErrorKind::WouldBlock,
            "the answer did not end in time"
        );
    }
    assert!(
        response.is_empty() || response.starts_with(b"HTTP/1."),
        "the answer is not HTTP"
    );
});
