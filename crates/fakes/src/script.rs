//! A server that answers by a script for each connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// The answer to one request.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// An empty response with this status.
    Status(u16),
    /// As [`Status`](Self::Status), without the id of the request.
    StatusWithoutId(u16),
    /// As [`Status`](Self::Status), with this header.
    StatusWithHeader(u16, &'static str, &'static str),
    /// As [`Status`](Self::Status), after an extra response that accepts an earlier
    /// request with another id.
    StatusAfterLateAcceptance(u16),
    /// A success with this body.
    Body(&'static str),
    /// A failure with this body.
    Failure(&'static str),
    /// A failure whose body ends after this text, before its declared length.
    CutFailure(&'static str),
    /// An event stream that is complete after this body.
    Events(&'static str),
    /// The response of an endpoint that does not run the request.
    NotRun,
    /// As [`Body`](Self::Body), after an extra [`NotRun`](Self::NotRun) that
    /// belongs to an earlier request with the same id.
    BodyAfterLateNotRun(&'static str),
    /// The connection closes without a response.
    Close,
    /// The connection stays open without a response until the peer closes it.
    Silence,
    /// The status line of a success and the id, and then this text, after which the
    /// connection closes.
    Cut(&'static str),
    /// This text without the id, after which the connection closes.
    CutWithoutId(&'static str),
    /// This text with the line of the id in place of `{id}`, after which the connection
    /// closes.
    Text(&'static str),
    /// A status line and then this text again and again until the peer closes
    /// the connection.
    EndlessHead(&'static str),
    /// The status line of a success, the id and the first text, and then the second
    /// one again and again until the peer closes the connection.
    EndlessAfter(&'static str, &'static str),
    /// This text again and again from the start, until the peer closes the connection.
    EndlessText(&'static str),
    /// The head of an event stream and then this text again and again, as chunks
    /// of its body, until the peer closes the connection.
    EndlessBody(&'static str),
    /// The status line of a success and then this many bytes of other headers. The
    /// connection stays open until the peer closes it.
    StalledHead(usize),
    /// The head of an event stream and then this many bytes that are no event. The
    /// connection stays open until the peer closes it.
    StalledBody(usize),
    /// The head of an event stream and then events with rising ids, until the peer
    /// closes the connection.
    EndlessEvents,
    /// As [`EndlessBody`](Self::EndlessBody), slowly.
    TrickledBody(&'static str),
}

/// A running server, which ends with the process.
#[derive(Clone, Debug)]
pub struct Script {
    /// The address that it listens on.
    pub address: SocketAddr,
    counters: Arc<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    requests: AtomicUsize,
    runs: AtomicUsize,
}

impl Script {
    /// Returns the number of requests that have been read.
    pub fn requests(&self) -> usize {
        self.counters.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that have run: all but those whose answer
    /// is [`Answer::NotRun`].
    pub fn runs(&self) -> usize {
        self.counters.runs.load(Ordering::SeqCst)
    }
}

/// Starts a server on loopback. Each element of `connections` has the answers
/// of one connection, in the order in which they are accepted. A connection
/// closes after its last answer.
///
/// # Errors
///
/// When the socket cannot be opened.
///
/// # Examples
///
/// ```
/// use link::http::client::Call;
/// use tarragonseam_fakes::{blocking, script::{self, Answer}};
///
/// let script = script::spawn(vec![vec![Answer::Status(503)]])?;
/// assert_eq!(blocking::fetch(script.address, Call::get("/"))?.status, 503);
/// assert_eq!(script.requests(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn spawn(connections: Vec<Vec<Answer>>) -> io::Result<Script> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let script = Script {
        address: listener.local_addr()?,
        counters: Arc::default(),
    };
    let counters = script.counters.clone();
    thread::spawn(move || {
        for answers in connections {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let counters = counters.clone();
            // A peer may close a connection early.
            thread::spawn(move || serve(stream, &answers, &counters));
        }
    });
    Ok(script)
}

fn serve(mut stream: TcpStream, answers: &[Answer], counters: &Counters) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    for (number, answer) in answers.iter().enumerate() {
        let id = read_request(&mut reader)?;
        counters.requests.fetch_add(1, Ordering::SeqCst);
        if !matches!(answer, Answer::NotRun) {
            counters.runs.fetch_add(1, Ordering::SeqCst);
        }
        let not_run = format!("{id}not-run: 1\r\n");
        if let Answer::BodyAfterLateNotRun(_) = answer {
            respond(&mut stream, 503, &not_run, "")?;
        }
        // Without this a client may reuse the connection before it is closed.
        let close = match number + 1 == answers.len() {
            true => "connection: close\r\n",
            false => "",
        };
        match *answer {
            Answer::Status(status) => respond(&mut stream, status, &format!("{id}{close}"), "")?,
            Answer::StatusWithHeader(status, name, value) => {
                let headers = format!("{id}{close}{name}: {value}\r\n");
                respond(&mut stream, status, &headers, "")?;
            }
            Answer::StatusWithoutId(status) => respond(&mut stream, status, close, "")?,
            Answer::StatusAfterLateAcceptance(status) => {
                respond(&mut stream, 202, "request-id: earlier\r\n", "")?;
                respond(&mut stream, status, &format!("{id}{close}"), "")?;
            }
            Answer::Body(body) | Answer::BodyAfterLateNotRun(body) => {
                respond(&mut stream, 200, &format!("{id}{close}"), body)?;
            }
            Answer::Failure(body) => respond(&mut stream, 500, &format!("{id}{close}"), body)?,
            Answer::CutFailure(text) => {
                let length = text.len() + 1;
                let head = format!("HTTP/1.1 500 Scripted\r\n{id}content-length: {length}");
                return write!(stream, "{head}\r\n\r\n{text}");
            }
            Answer::Events(body) => {
                let headers = format!("{id}{close}content-type: text/event-stream\r\n");
                respond(&mut stream, 200, &headers, body)?;
            }
            Answer::NotRun => respond(&mut stream, 503, &format!("{not_run}{close}"), "")?,
            Answer::Close => return Ok(()),
            Answer::Cut(text) => return write!(stream, "{SUCCESS}{id}{text}"),
            Answer::CutWithoutId(text) => return write!(stream, "{text}"),
            Answer::Text(text) => return stream.write_all(text.replace("{id}", &id).as_bytes()),
            Answer::EndlessHead(text) => {
                write!(stream, "{SUCCESS}{id}")?;
                return repeat_endlessly(&mut stream, text);
            }
            Answer::EndlessAfter(start, text) => {
                write!(stream, "{SUCCESS}{id}{start}")?;
                return repeat_endlessly(&mut stream, text);
            }
            Answer::EndlessText(text) => return repeat_endlessly(&mut stream, text),
            Answer::EndlessBody(text) | Answer::TrickledBody(text) => {
                write!(stream, "{SUCCESS}{id}{STREAM_HEADERS}")?;
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                let (block, pause) = match answer {
                    Answer::TrickledBody(_) => (chunk, TRICKLE_PAUSE),
                    _ => (
                        chunk.repeat(ENDLESS_BLOCK_BYTES / chunk.len()),
                        ENDLESS_PAUSE,
                    ),
                };
                return write_endlessly(&mut stream, block.as_bytes(), pause);
            }
            Answer::EndlessEvents => {
                write!(stream, "{SUCCESS}{id}{STREAM_HEADERS}")?;
                let data = "x".repeat(ENDLESS_EVENT_BYTES);
                for number in 0.. {
                    let event = format!("id: {number}\ndata: {data}\n\n");
                    write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
                    thread::sleep(ENDLESS_PAUSE);
                }
            }
            Answer::StalledHead(bytes) => {
                let line = "name: value\r\n";
                let lines = line.repeat(bytes / line.len());
                write!(stream, "{SUCCESS}{id}{lines}")?;
                return io::copy(&mut reader, &mut io::sink()).map(drop);
            }
            Answer::StalledBody(bytes) => {
                let body = "x".repeat(bytes);
                write!(stream, "{SUCCESS}{id}{STREAM_HEADERS}{bytes:x}\r\n{body}")?;
                return io::copy(&mut reader, &mut io::sink()).map(drop);
            }
            Answer::Silence => return io::copy(&mut reader, &mut io::sink()).map(drop),
        }
    }
    Ok(())
}

/// The status line of a success.
const SUCCESS: &str = "HTTP/1.1 200 Scripted\r\n";

/// The headers of an event stream whose length is not known.
const STREAM_HEADERS: &str =
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Writes `text` again and again until the peer closes the connection.
fn repeat_endlessly(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let block = text.repeat(ENDLESS_BLOCK_BYTES / text.len());
    write_endlessly(stream, block.as_bytes(), ENDLESS_PAUSE)
}

/// Writes `block` again and again with pauses, until the peer closes the
/// connection.
fn write_endlessly(stream: &mut TcpStream, block: &[u8], pause: Duration) -> io::Result<()> {
    loop {
        stream.write_all(block)?;
        thread::sleep(pause);
    }
}

/// Endless answers have about 16 MB per second.
const ENDLESS_BLOCK_BYTES: usize = 16 * 1024;
const ENDLESS_PAUSE: Duration = Duration::from_millis(1);
const ENDLESS_EVENT_BYTES: usize = 32 * 1024;
/// The pause between the chunks of a trickled body.
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status} Scripted\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

/// Reads a request, and returns the line of its head with the id, which
/// responses repeat.
fn read_request(reader: &mut impl BufRead) -> io::Result<String> {
    let (mut body_bytes, mut id) = (0, String::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if line.starts_with("request-id:") {
            id = format!("{line}\r\n");
        }
        if let Some(length) = line.strip_prefix("content-length:") {
            body_bytes = length.trim().parse().map_err(io::Error::other)?;
        }
    }
    io::copy(&mut reader.take(body_bytes), &mut io::sink())?;
    Ok(id)
}
