//! An HTTP server that bounds what each caller can make it hold.

use std::{
    any::Any,
    cell::Cell,
    future::Future,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use local_sync::mpsc::bounded;
use monoio::{
    io::{
        AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable, stream::Stream,
    },
    net::{TcpListener, TcpStream},
};
use monoio_http::{
    common::body::Body,
    h1::{
        codec::decoder::{FillPayload, RequestDecoder},
        payload::Payload,
    },
};
use serde::Serialize;

use super::{
    chunk,
    framing::{self, Framing},
    guard::{Budget, Guard, Trip},
    limits::Limits,
};
use crate::net;

/// A request whose body has been read whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The address that the connection came from.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns the header `name` as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of the query parameter `name`, undecoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the path split at its slashes, without empty parts.
    pub fn segments(&self) -> Vec<&str> {
        let parts = self.uri.path().split('/');
        parts.filter(|part| !part.is_empty()).collect()
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// A ready reply with status 400 that says what is wrong.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Reply::error(StatusCode::BAD_REQUEST, "bad-json", &e.to_string()))
    }
}

/// The sending end of a streamed reply.
pub type Sender = bounded::Tx<Part>;

/// One part of a streamed reply.
#[derive(Debug)]
pub enum Part {
    /// Bytes to pass on.
    Data(Bytes),
    /// The end: the body is whole.
    End,
}

const STREAM_DEPTH: usize = 16;

/// An answer to a request.
#[derive(Debug)]
pub struct Reply {
    status: StatusCode,
    headers: Box<HeaderMap>,
    body: Content,
}

enum Content {
    Whole(Bytes),
    Stream(bounded::Rx<Part>),
    Cut,
}

impl std::fmt::Debug for Content {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Whole(body) => write!(f, "Whole({} bytes)", body.len()),
            Self::Stream(_) => f.write_str("Stream"),
            Self::Cut => f.write_str("Cut"),
        }
    }
}

#[derive(Serialize)]
struct Failure<'a> {
    error: &'a str,
    detail: &'a str,
}

impl Reply {
    /// Returns a reply with `body` as it is.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Box::default(),
            body: Content::Whole(body.into()),
        }
    }

    /// Returns a reply with `value` as JSON.
    pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, body).header("content-type", "application/json"),
            Err(_) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        }
    }

    /// Returns an error as JSON: a stable code and a sentence.
    pub fn error(status: StatusCode, error: &str, detail: &str) -> Self {
        Self::json(status, &Failure { error, detail })
    }

    /// Returns a streamed reply and the end to feed it through.
    ///
    /// A stream whose sender is dropped before [`Part::End`] is cut, so that
    /// the caller sees an incomplete body.
    pub fn stream(status: StatusCode) -> (Self, Sender) {
        let (sender, receiver) = bounded::channel(STREAM_DEPTH);
        let reply = Self {
            status,
            headers: Box::default(),
            body: Content::Stream(receiver),
        };
        (reply, sender)
    }

    /// Returns a reply that closes the connection without an answer.
    pub fn cut() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            headers: Box::default(),
            body: Content::Cut,
        }
    }

    /// Sets one header; a value that HTTP cannot carry is left out.
    pub fn header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Returns the headers, to change them.
    pub fn headers_mut(&mut self) -> &mut HeaderMap {
        &mut self.headers
    }

    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.status
    }
}

/// Tells connections to end, and counts those that are busy.
#[derive(Clone, Debug, Default)]
pub struct Drain(Rc<DrainState>);

#[derive(Debug, Default)]
struct DrainState {
    closing: Cell<bool>,
    refusing: Cell<bool>,
    busy: Cell<usize>,
    open: Cell<usize>,
    panics: Cell<u64>,
}

impl Drain {
    /// Asks each connection to close after the request in hand.
    pub fn close(&self) {
        self.0.closing.set(true);
    }

    /// Sets whether new connections are closed as soon as they are accepted.
    pub fn refuse(&self, refuse: bool) {
        self.0.refusing.set(refuse);
    }

    /// Returns whether [`Drain::close`] was called.
    pub fn is_closing(&self) -> bool {
        self.0.closing.get()
    }

    /// Returns how many requests are being answered.
    pub fn busy(&self) -> usize {
        self.0.busy.get()
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    /// Returns how many connections ended in a panic.
    pub fn panics(&self) -> u64 {
        self.0.panics.get()
    }

    /// Waits until no request is being answered or `limit` has passed, and
    /// returns whether all were answered.
    pub async fn wait(&self, limit: Duration) -> bool {
        let start = std::time::Instant::now();
        while self.busy() > 0 {
            if start.elapsed() > limit {
                return false;
            }
            monoio::time::sleep(DRAIN_POLL).await;
        }
        true
    }
}

const DRAIN_POLL: Duration = Duration::from_millis(10);

struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    fn up(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for ever and answers each request with `handler`.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, drain: Drain, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of descriptors: a pause lets connections end.
            monoio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if drain.0.refusing.get() || net::tune(&stream).is_err() {
            continue;
        }
        let handler = handler.clone();
        let drain = drain.clone();
        monoio::spawn(async move {
            let _open = Count::up(&drain.0.open);
            let run = connection(stream, peer, limits, &drain, handler);
            if CatchUnwind(Box::pin(run)).await.is_err() {
                drain.0.panics.set(drain.0.panics.get() + 1);
            }
        });
    }
}

/// Turns a panic of the inner future into an error.
struct CatchUnwind<F>(Pin<Box<F>>);

impl<F: Future> Future for CatchUnwind<F> {
    type Output = Result<F::Output, Box<dyn Any + Send>>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let inner = self.0.as_mut();
        match std::panic::catch_unwind(AssertUnwindSafe(|| inner.poll(cx))) {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(value)) => Poll::Ready(Ok(value)),
            Err(panic) => Poll::Ready(Err(panic)),
        }
    }
}

type Decoder = RequestDecoder<Guard<OwnedReadHalf<TcpStream>>>;

async fn connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    drain: &Drain,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let budget = Budget::default();
    let (read, mut writer) = stream.into_split();
    let mut decoder = Decoder::new(Guard::new(read, budget.clone()));
    while !drain.is_closing() {
        budget.allow_after_idle(limits.head_bytes, limits.idle_time, limits.head_time);
        let head = match next_head(&mut decoder, drain).await {
            None => break,
            Some(Err(_)) => {
                if let Some(reply) = refuse_head(&budget) {
                    let _ = write(&mut writer, reply, true, false, &limits).await;
                }
                break;
            }
            Some(Ok(head)) => head,
        };
        let _busy = Count::up(&drain.0.busy);
        let is_head = head.method() == Method::HEAD;
        let keep = !wants_close(head.headers());
        let request =
            match read_request(&mut decoder, head, peer, &budget, &limits, &mut writer).await {
                Ok(request) => request,
                Err(reply) => {
                    let _ = write(&mut writer, reply, true, is_head, &limits).await;
                    break;
                }
            };
        let reply = handler(request).await;
        let close = !keep || drain.is_closing();
        if !write(&mut writer, reply, close, is_head, &limits).await || close {
            break;
        }
    }
    let _ = writer.shutdown().await;
}

type Head = http::Request<Payload>;

/// Waits for a head; `None` when the peer closed or the server is draining.
async fn next_head(decoder: &mut Decoder, drain: &Drain) -> Option<Result<Head, ()>> {
    let mut next = std::pin::pin!(decoder.next());
    loop {
        match monoio::time::timeout(DRAIN_CHECK, next.as_mut()).await {
            Ok(None) => return None,
            Ok(Some(head)) => return Some(head.map_err(|_| ())),
            Err(_) if drain.is_closing() => return None,
            Err(_) => {}
        }
    }
}

const DRAIN_CHECK: Duration = Duration::from_millis(500);

fn refuse_head(budget: &Budget) -> Option<Reply> {
    match budget.trip() {
        Some(Trip::Bytes) => Some(Reply::error(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head-too-large",
            "the request head is over the limit",
        )),
        Some(Trip::Time) if budget.seen() == 0 => None,
        Some(Trip::Time) => Some(Reply::error(
            StatusCode::REQUEST_TIMEOUT,
            "head-too-slow",
            "the request head did not arrive in time",
        )),
        None if budget.seen() == 0 => None,
        None => Some(Reply::error(
            StatusCode::BAD_REQUEST,
            "bad-head",
            "the request head cannot be read",
        )),
    }
}

fn wants_close(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn too_large() -> Reply {
    Reply::error(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-too-large",
        "the request body is over the limit",
    )
}

async fn read_request(
    decoder: &mut Decoder,
    head: Head,
    peer: SocketAddr,
    budget: &Budget,
    limits: &Limits,
    writer: &mut OwnedWriteHalf<TcpStream>,
) -> Result<Request, Reply> {
    let (parts, payload) = head.into_parts();
    let framing = framing::of_headers(&parts.headers)
        .map_err(|e| Reply::error(StatusCode::BAD_REQUEST, "ambiguous-length", e.0))?;
    if matches!(framing, Framing::Length(length) if length > limits.body_bytes) {
        return Err(too_large());
    }
    if parts.headers.contains_key(header::EXPECT) {
        let (result, _) = writer.write_all(CONTINUE).await;
        if result.is_err() {
            return Err(bad_body());
        }
    }
    budget.allow(limits.body_bytes + BODY_SLACK, limits.body_time);
    let body = read_body(decoder, payload, budget, limits).await?;
    Ok(Request {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        peer,
    })
}

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const BODY_SLACK: usize = 64 * 1024;

fn bad_body() -> Reply {
    Reply::error(
        StatusCode::BAD_REQUEST,
        "bad-body",
        "the request body is incomplete or malformed",
    )
}

async fn read_body(
    decoder: &mut Decoder,
    mut payload: Payload,
    budget: &Budget,
    limits: &Limits,
) -> Result<Bytes, Reply> {
    if decoder.fill_payload().await.is_err() {
        return Err(match budget.trip() {
            Some(Trip::Bytes) => too_large(),
            Some(Trip::Time) => Reply::error(
                StatusCode::REQUEST_TIMEOUT,
                "body-too-slow",
                "the request body did not arrive in time",
            ),
            None => bad_body(),
        });
    }
    let mut body = BytesMut::new();
    while let Some(part) = payload.next_data().await {
        body.extend_from_slice(&part.map_err(|_| bad_body())?);
        if body.len() > limits.body_bytes {
            return Err(too_large());
        }
    }
    Ok(body.freeze())
}

/// Writes `reply` and returns whether all of it went out.
async fn write(
    writer: &mut OwnedWriteHalf<TcpStream>,
    mut reply: Reply,
    close: bool,
    is_head: bool,
    limits: &Limits,
) -> bool {
    if close {
        reply
            .headers
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    match reply.body {
        Content::Whole(body) => {
            let mut out = chunk::head(reply.status, &reply.headers, Some(body.len()));
            if !is_head {
                out.extend_from_slice(&body);
            }
            put(writer, out, limits).await
        }
        Content::Stream(receiver) => {
            let out = chunk::head(reply.status, &reply.headers, None);
            put(writer, out, limits).await
                && (is_head || write_stream(writer, receiver, limits).await)
        }
        Content::Cut => false,
    }
}

async fn write_stream(
    writer: &mut OwnedWriteHalf<TcpStream>,
    mut receiver: bounded::Rx<Part>,
    limits: &Limits,
) -> bool {
    loop {
        match receiver.recv().await {
            Some(Part::Data(data)) if data.is_empty() => {}
            Some(Part::Data(data)) => {
                if !put(writer, chunk::frame(&data), limits).await {
                    return false;
                }
            }
            Some(Part::End) => return put(writer, chunk::END.to_vec(), limits).await,
            None => return false,
        }
    }
}

async fn put(writer: &mut OwnedWriteHalf<TcpStream>, out: Vec<u8>, limits: &Limits) -> bool {
    let written = monoio::time::timeout(limits.write_time, writer.write_all(out));
    matches!(written.await, Ok((Ok(_), _)))
}
