//! A peer that answers every request with given bytes.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{Mutex, OnceLock},
    thread,
    time::Duration,
};

static RESPONSE: Mutex<Vec<u8>> = Mutex::new(Vec::new());
static ADDRESS: OnceLock<SocketAddr> = OnceLock::new();
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets the bytes that the peer answers with, and returns its address.
pub fn answer(bytes: Vec<u8>) -> SocketAddr {
    *RESPONSE.lock().expect("the lock should not be poisoned") = bytes;
    *ADDRESS.get_or_init(start)
}

fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port should be free");
    let address = listener
        .local_addr()
        .expect("the listener should have an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("the connection should be accepted");
            stream
                .set_read_timeout(Some(READ_TIMEOUT))
                .expect("the timeout should be set");
            let mut head = [0; 4096];
            // Errors are ignored: the client may have closed the connection.
            let _ = stream.read(&mut head);
            let bytes = RESPONSE
                .lock()
                .expect("the lock should not be poisoned")
                .clone();
            let _ = stream.write_all(&bytes);
        }
    });
    address
}
