//! An HTTP client with one pool of idle connections for each peer.

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::Map;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable, sink::SinkExt, stream::Stream},
    net::TcpStream,
};
use monoio_http::h1::{
    BorrowFramedRead,
    codec::{
        decoder::{ChunkedBodyDecoder, ClientResponseDecoder, FixedBodyDecoder, PayloadDecoder},
        encoder::GenericEncoder,
    },
    payload::{FixedPayload, Payload},
};

use super::{
    error::{Error, Kind},
    framing::{self, Framing},
    guard::{Budget, Guard, Trip},
    limits::Limits,
};
use crate::net;

type Reader = ClientResponseDecoder<Guard<OwnedReadHalf<TcpStream>>>;
type Writer = GenericEncoder<OwnedWriteHalf<TcpStream>>;

/// One open connection.
struct Connection {
    reader: Reader,
    writer: Writer,
    budget: Budget,
    idle_since: Instant,
}

/// A request to a peer.
///
/// # Examples
///
/// ```
/// use tarragonseam_link::http::client::Call;
///
/// let call = Call::post("/v1/orders", "{}").header("x-request-id", "7");
/// assert_eq!(call.path(), "/v1/orders");
/// ```
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    fresh: bool,
    deadline: Duration,
    fence: Option<Fence>,
}

/// A check made right before the bytes of a request leave.
///
/// A process can be paused between any two of its steps. A fenced request is
/// checked after its connection stands, then is written or given up within
/// [`FENCED_WRITE`], and its connection is dropped once the peer has not
/// acknowledged the bytes for [`FENCED_UNACKNOWLEDGED`].
#[derive(Clone)]
pub struct Fence(Rc<dyn Fn() -> bool>);

impl Fence {
    /// Returns a fence that lets a request go while `is_open` holds.
    pub fn new(is_open: impl Fn() -> bool + 'static) -> Self {
        Self(Rc::new(is_open))
    }
}

impl std::fmt::Debug for Fence {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Fence")
    }
}

const FENCED_WRITE: Duration = Duration::from_secs(1);
const FENCED_UNACKNOWLEDGED: Duration = Duration::from_secs(2);

const CALL_TIME: Duration = Duration::from_secs(10);

impl Call {
    /// Starts a request without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            fresh: false,
            deadline: CALL_TIME,
            fence: None,
        }
    }

    /// Starts a GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// Starts a POST request with `body`.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, path).body(body)
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets one header; a value that HTTP cannot carry is left out.
    pub fn header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Replaces all headers.
    pub fn headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }

    /// Adds the trace context of `span`.
    pub fn traced(mut self, span: &crate::telemetry::Span) -> Self {
        span.inject(&mut self.headers);
        self
    }

    /// Asks for a connection that no request has used before.
    pub fn fresh(mut self) -> Self {
        self.fresh = true;
        self
    }

    /// Sets a check that must hold when the bytes leave; the request then
    /// goes on a connection of its own.
    pub fn fence(mut self, fence: Fence) -> Self {
        self.fence = Some(fence);
        self.fresh = true;
        self
    }

    /// Sets the time allowed until the head of the answer is in.
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Returns the path and query.
    pub fn path(&self) -> &str {
        &self.path
    }
}

/// Idle connections by peer, and the limits for their answers.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<Map<SocketAddr, VecDeque<Connection>>>>,
    limits: Limits,
}

const IDLE_EACH: usize = 64;
const IDLE_MAX: Duration = Duration::from_secs(20);

impl Pool {
    /// Returns an empty pool.
    pub fn new(limits: Limits) -> Self {
        Self {
            idle: Rc::default(),
            limits,
        }
    }

    /// Sends `call` to `peer` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// An error for which [`Error::is_unsent`] holds is safe to repeat.
    pub async fn send(&self, peer: SocketAddr, call: Call) -> Result<Response, Error> {
        let deadline = Instant::now() + call.deadline;
        let mut connection = self.connect(peer, &call).await?;
        let method = call.method.clone();
        let request = build(peer, &call)?;
        connection
            .budget
            .allow(self.limits.head_bytes + READ_AHEAD, left(deadline));
        let mut write_time = left(deadline);
        if let Some(fence) = &call.fence {
            write_time = write_time.min(FENCED_WRITE);
            if !(fence.0)() {
                return Err(Error::new(Kind::Fenced, "the fence is closed"));
            }
        }
        let sent = monoio::time::timeout(write_time, connection.writer.send_and_flush(request));
        match sent.await {
            Err(_) => return Err(Error::new(Kind::Timeout, "request not taken")),
            Ok(Err(e)) => return Err(Error::new(Kind::Send, e)),
            Ok(Ok(())) => {}
        }
        let (status, headers, framing, decoder) = loop {
            let head = match connection.reader.next().await {
                None => return Err(Error::new(Kind::Incomplete, "closed before the head")),
                Some(Err(e)) => return Err(read_error(&connection.budget, e)),
                Some(Ok(head)) => head,
            };
            let (parts, decoder) = head.into_parts();
            let framing = framing::of_response(&method, parts.status, &parts.headers)
                .map_err(|e| Error::new(Kind::Malformed, e.0))?;
            if !parts.status.is_informational() {
                break (parts.status, parts.headers, framing, decoder);
            }
        };
        if framing == Framing::UntilClose {
            return Err(Error::new(Kind::Incomplete, "answer without a length"));
        }
        if let Framing::Length(length) = framing
            && length > self.limits.body_bytes
        {
            return Err(Error::new(Kind::Malformed, "body over the limit"));
        }
        connection
            .budget
            .allow(self.limits.body_bytes, self.limits.body_time);
        let keep = !closes(&headers) && !matches!(framing, Framing::UntilClose);
        Ok(Response {
            status,
            headers,
            body: BodyReader {
                connection: Some(connection),
                decoder,
                framing,
                limits: self.limits,
                done: framing == Framing::Empty,
                home: keep.then(|| (self.clone(), peer)),
            },
        })
    }

    /// Sends `call` and returns status and whole body.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`]; a body that ends early is [`Kind::Incomplete`].
    pub async fn fetch(&self, peer: SocketAddr, call: Call) -> Result<Fetched, Error> {
        let limit = call.deadline;
        let exchange = async {
            let mut response = self.send(peer, call).await?;
            let body = response.collect().await?;
            Ok(Fetched {
                status: response.status,
                headers: response.headers,
                body,
            })
        };
        match monoio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(Kind::Timeout, "answer not whole in time")),
        }
    }

    /// Drops every idle connection to `peer`.
    pub fn forget(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    async fn connect(&self, peer: SocketAddr, call: &Call) -> Result<Connection, Error> {
        if !call.fresh
            && let Some(connection) = self.take_idle(peer)
        {
            return Ok(connection);
        }
        let stream = net::connect(peer, call.deadline)
            .await
            .map_err(|e| Error::new(Kind::Connect, e))?;
        if call.fence.is_some() {
            net::set_user_timeout(&stream, FENCED_UNACKNOWLEDGED)
                .map_err(|e| Error::new(Kind::Connect, e))?;
        }
        let budget = Budget::default();
        let (read, write) = stream.into_split();
        Ok(Connection {
            reader: ClientResponseDecoder::new(Guard::new(read, budget.clone())),
            writer: GenericEncoder::new(write),
            budget,
            idle_since: Instant::now(),
        })
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(&peer)?;
        while let Some(connection) = queue.pop_back() {
            if connection.idle_since.elapsed() < IDLE_MAX {
                return Some(connection);
            }
        }
        None
    }

    fn give_back(&self, peer: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let queue = idle.entry(peer).or_default();
        if queue.len() < IDLE_EACH {
            queue.push_back(connection);
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// An answer whose body is still being read.
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    body: BodyReader,
}

impl Response {
    /// Returns the next part of the body, or `None` once it is whole.
    ///
    /// # Errors
    ///
    /// [`Kind::Timeout`] after `patience` without data, [`Kind::Incomplete`]
    /// when the peer closes early.
    pub async fn next(&mut self, patience: Duration) -> Option<Result<Bytes, Error>> {
        self.body.next(patience).await
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As [`Response::next`], and [`Kind::Malformed`] over the size limit.
    pub async fn collect(&mut self) -> Result<Bytes, Error> {
        let patience = self.body.limits.body_time;
        let mut all = BytesMut::new();
        while let Some(part) = self.body.next(patience).await {
            let part = part?;
            if all.is_empty() && self.body.done {
                return Ok(part);
            }
            all.extend_from_slice(&part);
        }
        Ok(all.freeze())
    }
}

struct BodyReader {
    connection: Option<Connection>,
    decoder: PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>,
    framing: Framing,
    limits: Limits,
    done: bool,
    home: Option<(Pool, SocketAddr)>,
}

impl BodyReader {
    async fn next(&mut self, patience: Duration) -> Option<Result<Bytes, Error>> {
        if self.done {
            return None;
        }
        let connection = self.connection.as_mut()?;
        connection
            .budget
            .allow(self.limits.body_bytes + READ_AHEAD, patience);
        let framed = connection.reader.framed_mut();
        let part = match &mut self.decoder {
            PayloadDecoder::None => return None,
            PayloadDecoder::Fixed(decoder) => {
                framed.next_with(decoder).await.map(|part| part.map(Some))
            }
            PayloadDecoder::Streamed(decoder) => framed.next_with(decoder).await,
        };
        let failure = match part {
            Some(Ok(Some(data))) => {
                self.done = matches!(self.framing, Framing::Length(_));
                return Some(Ok(data));
            }
            Some(Ok(None)) => {
                self.done = true;
                return None;
            }
            Some(Err(e)) => read_error(&connection.budget, e),
            None => Error::new(Kind::Incomplete, "closed inside the body"),
        };
        self.connection = None;
        Some(Err(failure))
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        if !self.done {
            return;
        }
        if let (Some(connection), Some((pool, peer))) = (self.connection.take(), self.home.take()) {
            pool.give_back(peer, connection);
        }
    }
}

fn build(peer: SocketAddr, call: &Call) -> Result<http::Request<Payload>, Error> {
    let mut builder = http::Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .version(Version::HTTP_11);
    if let Some(headers) = builder.headers_mut() {
        *headers = call.headers.clone();
        if let Ok(host) = HeaderValue::from_str(&peer.to_string()) {
            headers.insert(header::HOST, host);
        }
    }
    let payload = if call.body.is_empty() && call.method != Method::POST {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(call.body.clone()))
    };
    builder
        .body(payload)
        .map_err(|e| Error::new(Kind::Build, e))
}

fn closes(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn read_error(budget: &Budget, e: impl std::fmt::Display) -> Error {
    match budget.trip() {
        Some(Trip::Time) => Error::new(Kind::Timeout, "peer went silent"),
        Some(Trip::Bytes) => Error::new(Kind::Malformed, "answer over the size limit"),
        None => Error::new(Kind::Incomplete, e),
    }
}

fn left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

const READ_AHEAD: usize = 64 * 1024;
