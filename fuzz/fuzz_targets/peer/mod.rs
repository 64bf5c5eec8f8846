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

/// Sets what the peer answers and returns its address.
pub fn answer(bytes: Vec<u8>) -> SocketAddr {
    *RESPONSE.lock().expect("a lock that no one poisons") = bytes;
    *ADDRESS.get_or_init(start)
}

fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            stream
                .set_read_timeout(Some(READ_TIMEOUT))
                .expect("a limit");
            let mut head = [0; 4096];
            // A client that is gone needs no answer.
            let _ = stream.read(&mut head);
            let bytes = RESPONSE.lock().expect("a lock that no one poisons").clone();
            let _ = stream.write_all(&bytes);
        }
    });
    address
}
