//! A caller of an event stream that sees the events of an incomplete answer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use fakes::site::{self, Plan};

use super::{Deployment, HOST, KEY, wait};

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

    /// Returns the bytes that have arrived.
    pub(crate) fn text(&self) -> &str {
        &self.received
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

/// The number of engines, every other one of which has the newer version.
pub(crate) const ENGINES: usize = 4;
/// The number of streams of a test: as many as the platform needs to judge how
/// many of them go on.
pub(crate) const STREAMS: usize = 12;
/// The number of events of a stream.
pub(crate) const EVENTS: u64 = 8;
/// The number of events after which streams break.
pub(crate) const EVENTS_BEFORE: usize = 3;

/// Starts `vms` VMs, of which the first three are coordinators, and engines of
/// two software versions.
pub(crate) fn start(vms: usize, event_time: Duration) -> Deployment {
    let plan = Plan {
        engines: ENGINES,
        plain: 1,
        event_time,
    };
    let deployment = Deployment::start_with_coordinators(vms, vms.min(3), plan);
    let mut state = deployment.site.state();
    for number in (1..ENGINES).step_by(2) {
        set_software(&mut state, &format!("engine-{number}"), "v2");
    }
    drop(state);
    for vm in &deployment.vms {
        wait("the newer endpoints", || {
            let log = vm.log();
            log.lines()
                .filter(|line| line.contains("\"software\":\"v2\""))
                .count()
                >= ENGINES / 2
        });
    }
    deployment
}

/// Replaces the process of the endpoint `id` by one of another version.
pub(crate) fn set_software(state: &mut site::State, id: &str, software: &'static str) {
    let endpoint = state.endpoints.get_mut(id).unwrap();
    endpoint.software = software;
    endpoint.born += 1;
    state.announce(id, "ready");
}

/// Makes the next stream of each engine break after an event.
pub(crate) fn cut_streams(deployment: &Deployment, after: u64) {
    for endpoint in deployment.site.state().endpoints.values_mut() {
        endpoint.faults.cut_after = Some(after);
    }
}

/// Opens a stream at each of `vms` and calls `break_streams` once all of them have
/// [`EVENTS_BEFORE`] events. Returns the streams once their answers have ended.
pub(crate) fn open_streams(
    round: usize,
    vms: &[SocketAddr],
    break_streams: impl FnOnce(),
) -> Vec<Stream> {
    open_streams_until(round, vms, EVENTS_BEFORE, break_streams)
}

/// As [`open_streams`], with `events` events before the streams break.
pub(crate) fn open_streams_until(
    round: usize,
    vms: &[SocketAddr],
    events: usize,
    break_streams: impl FnOnce(),
) -> Vec<Stream> {
    let names = (0..vms.len()).map(|number| format!("s{round}-{number}"));
    let mut streams: Vec<Stream> = names.map(|name| Stream::new(&name)).collect();
    let opened = streams.iter().zip(vms);
    let mut attempts: Vec<Attempt> = opened
        .map(|(stream, vm)| Attempt::open(*vm, stream, EVENTS))
        .collect();
    for attempt in &mut attempts {
        attempt.read(events);
    }
    break_streams();
    for (attempt, stream) in attempts.into_iter().zip(&mut streams) {
        attempt.finish(stream);
    }
    streams
}

/// Resumes the streams that are not complete, each at one of `vms`.
pub(crate) fn resume_streams(streams: &mut [Stream], vms: &[SocketAddr]) {
    thread::scope(|scope| {
        let broken = streams.iter_mut().filter(|stream| !stream.is_complete);
        for (stream, vm) in broken.zip(vms.iter().cycle()) {
            scope.spawn(move || Attempt::open(*vm, stream, EVENTS).finish(stream));
        }
    });
}

/// Asserts that all streams have their events, each from one version.
pub(crate) fn assert_whole(streams: &[Stream]) {
    let is_good = |stream: &&Stream| stream.is_whole(EVENTS) && !stream.is_mixed();
    let bad = streams.iter().filter(|stream| !is_good(stream));
    let bad: Vec<_> = bad.map(|stream| &stream.events).collect();
    assert!(
        bad.is_empty(),
        "{} of {}: {bad:?}",
        bad.len(),
        streams.len()
    );
}

pub(crate) fn callers(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.vms.iter().map(|vm| vm.callers).collect()
}

/// Returns [`STREAMS`] times one of `vms`, in turn.
pub(crate) fn in_turn(vms: &[SocketAddr]) -> Vec<SocketAddr> {
    vms.iter().copied().cycle().take(STREAMS).collect()
}
