//! Chunked bodies that a caller sends to the HTTP server, whole and in parts.

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

/// The timeout of an answer, far above the timeouts of the server.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const HEAD: &[u8] = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
/// The largest body, which most inputs do not reach.
const BODY_BYTES_MAX: usize = 4096;

async fn answer(request: Request) -> Reply {
    Reply::new(link::StatusCode::OK, request.body)
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
            let limits = Limits::new().body_bytes(BODY_BYTES_MAX);
            server::serve(listener, limits, Drain::default(), answer).await;
        })
    });
    receiver.recv().expect("the server should start")
}

/// Sends `parts` one after the other, and returns all that the server sends.
fn exchange(address: SocketAddr, parts: &[&[u8]]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the server should accept connections");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("the timeout should be set");
    stream
        .set_nodelay(true)
        .expect("the option should be set");
    for part in parts {
        // The server may close the connection before it has read everything.
        let _ = stream.write_all(part);
        std::thread::yield_now();
    }
    let _ = stream.shutdown(Shutdown::Write);
    let mut response = Vec::new();
    if let Err(e) = stream.read_to_end(&mut response) {
        assert_ne!(
            e.kind(),
            std::io::ErrorKind::WouldBlock,
            "the answer did not end in time"
        );
    }
    response
}

fuzz_target!(|input: (u16, &[u8])| {
    static SERVER: OnceLock<SocketAddr> = OnceLock::new();
    let address = *SERVER.get_or_init(start);
    let (position, bytes) = input;
    let (start, end) = bytes.split_at(usize::from(position).min(bytes.len()));
    let whole = exchange(address, &[HEAD, bytes]);
    let split = exchange(address, &[HEAD, start, end]);
    assert_eq!(whole, split, "the answer depends on how the bytes are split");
});
