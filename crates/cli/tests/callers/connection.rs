//! A caller that writes raw bytes, so that it can violate any rule of HTTP.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use serde_json::Value;

/// Longer than any time limit of the daemon, so that a hang fails the test.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// One answer to a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {}", self.text()))
    }

    /// Returns the events of a streamed body.
    pub(crate) fn events(&self) -> Vec<Value> {
        let text = self.text();
        let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
        lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }
}

/// One connection to an entry daemon.
pub(crate) struct Connection {
    stream: TcpStream,
    pending: Vec<u8>,
}

impl Connection {
    pub(crate) fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            pending: Vec::new(),
        }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends `bytes` from another thread, and returns how many were sent before
    /// the connection failed.
    pub(crate) fn send_in_background(&self, bytes: Vec<u8>) -> thread::JoinHandle<usize> {
        let mut stream = self.stream.try_clone().unwrap();
        thread::spawn(move || {
            let mut sent = 0;
            for part in bytes.chunks(64 * 1024) {
                if stream.write_all(part).is_err() {
                    break;
                }
                sent += part.len();
            }
            sent
        })
    }

    /// Sends one byte at a time from another thread, with a pause after each,
    /// until the connection fails.
    pub(crate) fn send_slowly(&self, pause: Duration) -> thread::JoinHandle<()> {
        let mut stream = self.stream.try_clone().unwrap();
        thread::spawn(move || {
            while stream.write_all(b"x").is_ok() {
                thread::sleep(pause);
            }
        })
    }

    /// Reads one answer; `None` if the connection ends before the answer does.
    pub(crate) fn read_answer(&mut self) -> Option<Answer> {
        let end = loop {
            if let Some(position) = find_bytes(&self.pending, b"\r\n\r\n") {
                break position + 4;
            }
            if !self.read_once() {
                return None;
            }
        };
        let head: Vec<u8> = self.pending.drain(..end).collect();
        let head = String::from_utf8(head).unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let mut answer = Answer {
            status,
            head,
            body: Vec::new(),
        };
        answer.body = match answer.header("content-length") {
            Some(length) => self.read_exact(length.parse().unwrap())?,
            None => self.read_chunked_body()?,
        };
        Some(answer)
    }

    /// Reads the head of a streamed answer and leaves its body.
    pub(crate) fn read_head(&mut self) -> String {
        loop {
            if let Some(position) = find_bytes(&self.pending, b"\r\n\r\n") {
                let head: Vec<u8> = self.pending.drain(..position + 4).collect();
                return String::from_utf8(head).unwrap();
            }
            assert!(self.read_once(), "closed before the head");
        }
    }

    /// Waits for the first bytes of an answer.
    pub(crate) fn wait_first_bytes(&mut self) {
        assert!(self.read_once(), "closed before the head");
    }

    /// Reads until `needle` has arrived.
    pub(crate) fn read_until(&mut self, needle: &str) {
        while find_bytes(&self.pending, needle.as_bytes()).is_none() {
            assert!(self.read_once(), "closed before {needle:?}");
        }
    }

    /// Reads a chunked body; `None` if the connection ends before the last
    /// chunk.
    pub(crate) fn read_chunked_body(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                match find_bytes(&self.pending, b"\r\n") {
                    Some(position) => break self.read_exact(position + 2)?,
                    None if self.read_once() => {}
                    None => return None,
                }
            };
            let text = std::str::from_utf8(&line).unwrap().trim();
            let size = usize::from_str_radix(text, 16).unwrap();
            let data = self.read_exact(size + 2)?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&data[..size]);
        }
    }

    /// Reads until the connection ends, then returns true. Panics if it does not
    /// end within [`READ_TIMEOUT`].
    pub(crate) fn is_closed(&mut self) -> bool {
        while self.read_once() {}
        true
    }

    fn read_exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.pending.len() < count {
            if !self.read_once() {
                return None;
            }
        }
        Some(self.pending.drain(..count).collect())
    }

    /// Reads once; false at the end of the connection.
    fn read_once(&mut self) -> bool {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer) {
            Ok(0) => false,
            Ok(count) => {
                self.pending.extend_from_slice(&buffer[..count]);
                true
            }
            Err(e) if e.kind() == ErrorKind::ConnectionReset => false,
            Err(e) if e.kind() == ErrorKind::Interrupted => self.read_once(),
            Err(e) => panic!("{e}"),
        }
    }
}

fn find_bytes(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|part| part == needle)
}

/// Sends one request on a new connection and reads the answer.
pub(crate) fn fetch(address: SocketAddr, request: &[u8]) -> Option<Answer> {
    let mut connection = Connection::open(address);
    connection.send(request);
    connection.read_answer()
}
