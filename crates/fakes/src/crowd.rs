//! Callers that nobody controls: they send large or odd requests, stop short of
//! the end and keep their connections open. Also what a process used meanwhile.

use std::{
    fs,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// How long a caller waits for the server to read more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Open connections, which close on drop.
#[derive(Debug)]
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Opens `count` connections to `address` at once and sends `bytes` on each,
    /// until all is sent or the server reads no more. Nothing is read.
    pub fn send(address: SocketAddr, count: usize, bytes: Vec<u8>) -> Self {
        Self::send_in_steps(address, count, bytes, usize::MAX)
    }

    /// As [`Crowd::send`], with `step_bytes` in each write.
    pub fn send_in_steps(
        address: SocketAddr,
        count: usize,
        bytes: Vec<u8>,
        step_bytes: usize,
    ) -> Self {
        let bytes = Arc::new(bytes);
        let callers: Vec<_> = (0..count)
            .map(|_| {
                let bytes = bytes.clone();
                thread::spawn(move || send_one(address, &bytes, step_bytes).ok())
            })
            .collect();
        let streams = callers.into_iter().filter_map(|caller| caller.join().ok()?);
        Self(streams.collect())
    }

    /// Opens `count` connections, one after the other, and sends nothing.
    pub fn connect(address: SocketAddr, count: usize) -> Self {
        let connect = |_| TcpStream::connect_timeout(&address, WRITE_TIMEOUT).ok();
        Self((0..count).filter_map(connect).collect())
    }

    /// Returns the number of connections that were opened.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

fn send_one(address: SocketAddr, bytes: &[u8], step_bytes: usize) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    for step in bytes.chunks(step_bytes) {
        // The server may refuse the request and close the connection.
        if stream.write_all(step).is_err() {
            break;
        }
    }
    Ok(stream)
}

/// Returns a request: `head` (without the empty line) and a chunked body of
/// `body_bytes` in chunks of `chunk_bytes`, without its last byte and its end.
pub fn unfinished_chunks(head: &str, body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut bytes = chunks(head, body_bytes, chunk_bytes);
    bytes.truncate(bytes.len() - 3);
    bytes
}

/// Returns a request as [`unfinished_chunks`], with the complete body.
pub fn finished_chunks(head: &str, body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut bytes = chunks(head, body_bytes, chunk_bytes);
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn chunks(head: &str, body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let mut remaining = body_bytes;
    while remaining > 0 {
        let length = remaining.min(chunk_bytes);
        bytes.extend_from_slice(format!("{length:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + length, b'x');
        bytes.extend_from_slice(b"\r\n");
        remaining -= length;
    }
    bytes
}

/// Returns the peak of the resident memory of the process `id`, in bytes.
///
/// # Errors
///
/// When the process does not exist.
pub fn peak_memory(id: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes
        .map(|kilobytes| kilobytes * 1024)
        .ok_or_else(|| io::Error::other("no peak memory, the process has ended"))
}

/// Returns the number of open descriptors of the process `id`.
///
/// # Errors
///
/// When the process does not exist.
pub fn descriptors(id: u32) -> io::Result<usize> {
    Ok(fs::read_dir(format!("/proc/{id}/fd"))?.count())
}
