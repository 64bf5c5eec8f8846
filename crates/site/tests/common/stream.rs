//! A caller of an event stream that sees the events of an incomplete answer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use fakes::site;

use super::{HOST, KEY};

/// How long the caller waits for the next bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The end of an answer in chunks.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// An event: its id and its data.
pub(crate) type Event = (u64, String);

/// A caller's attempt at a stream.
pub(crate) struct Attempt {
    id: String,
    connection: TcpStream,
    received: String,
}

/// A stream over all attempts of its caller.
pub(crate) struct Stream {
    /// Its name. It differs from that of other streams, as their content does:
    /// else they would seem to be one request that crashes endpoints.
    name: String,
    attempts: u32,
    /// The id of the attempt that brought the first event.
    origin: String,
    /// The events of all attempts.
    pub(crate) events: Vec<Event>,
    /// Whether an answer was complete.
    pub(crate) is_complete: bool,
}

impl Attempt {
    /// Sends a request for `stream`, which has `count` events, to `vm`, and resumes
    /// it if some events have arrived.
    pub(crate) fn open(vm: SocketAddr, stream: &Stream, count: u64) -> Self {
        let mut connection = TcpStream::connect(vm).unwrap();
        connection.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let resumption = stream.events.last().map_or(String::new(), |(last, _)| {
            format!("last-event-id: {last}\r\nresumes: {}\r\n", stream.origin)
        });
        let (name, id) = (&stream.name, format!("{}-{}", stream.name, stream.attempts));
        let head = format!(
            "POST /stream/{name} HTTP/1.1\r\nhost: {HOST}\r\nx-api-key: {KEY}\r\n\
             request-id: {id}\r\ndeadline-ms: 5000\r\nx-events: {count}\r\n{resumption}\
             content-length: 0\r\n\r\n"
        );
        connection.write_all(head.as_bytes()).unwrap();
        let received = String::new();
        Self {
            id,
            connection,
            received,
        }
    }

    /// Reads until `count` events have arrived or the answer ends.
    pub(crate) fn read(&mut self, count: usize) {
        let mut buffer = [0; 4096];
        while self.events().len() < count && !self.is_ended() {
            match self.connection.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(length) => {
                    let text = String::from_utf8_lossy(&buffer[..length]);
                    self.received.push_str(&text);
                }
            }
        }
    }

    fn is_ended(&self) -> bool {
        let is_rejected = !self.received.is_empty() && !self.received.contains(" 200 ");
        is_rejected || self.received.ends_with(LAST_CHUNK)
    }

    fn events(&self) -> Vec<Event> {
        let blocks = self.received.split("\n\n");
        let complete = blocks.clone().count() - 1;
        let events = blocks.take(complete).filter_map(|block| {
            let (_, event) = block.rsplit_once("id: ")?;
            let (id, data) = event.split_once("\ndata: ")?;
            Some((id.parse().ok()?, data.to_string()))
        });
        events.collect()
    }

    /// Reads the rest of the answer and adds its events to `stream`.
    pub(crate) fn finish(mut self, stream: &mut Stream) {
        self.read(usize::MAX);
        if stream.events.is_empty() {
            stream.origin = self.id.clone();
        }
        stream.attempts += 1;
        stream.events.extend(self.events());
        stream.is_complete = self.received.ends_with(LAST_CHUNK);
    }
}

impl Stream {
    /// Returns a stream that was not requested yet.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_string(),
            attempts: 0,
            origin: String::new(),
            events: Vec::new(),
            is_complete: false,
        }
    }

    /// Returns whether the events come from several versions of the software.
    pub(crate) fn is_mixed(&self) -> bool {
        let mut versions = self
            .events
            .iter()
            .map(|(_, data)| site::event_software(data));
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// Returns whether the stream has the events 0 to `count` - 1 and its end.
    pub(crate) fn is_whole(&self, count: u64) -> bool {
        self.is_complete && self.events.iter().map(|(id, _)| *id).eq(0..count)
    }
}
