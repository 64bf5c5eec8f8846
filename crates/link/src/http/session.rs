//! One caller's connection: reads requests and writes replies, one at a time.
//!
//! The next head is read while a request is being answered, so that the close
//! of the connection is detected at once and the handler's future is dropped.

use std::{
    cell::RefCell,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::Poll,
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
use monoio::{
    buf::IoBuf,
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, stream::Stream},
    net::TcpStream,
};
use monoio_codec::FramedRead;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;

use super::{
    body::{self, Refusal},
    channel::{Channel, Reader, Writer},
    chunk::{self, Extent},
    drain::{CountGuard, Drain},
    guard::{Budget, Guard, Limit},
    head::Strict,
    limits::Limits,
    pipe,
    refusal::Registration,
    reply::{Content, Part, Producer, Reply},
    server::Request,
};

pub(crate) type Decoder = FramedRead<Guard<Reader>, Strict<RequestHeadDecoder>>;
pub(crate) type Head = http::request::Parts;

/// The result of decoding a head, `None` at the end of the connection. Errors
/// carry no detail, since the [`Budget`] records whether a limit was exceeded.
type HeadRead = Option<Result<Head, ()>>;

/// The outcome of reading a head.
enum Next {
    Head(Box<Head>),
    /// The head exceeds a limit or violates the protocol.
    Invalid,
    /// The caller closed the connection, or the server shuts down.
    Closed,
}

/// How a connection ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// The connection closes at once: no reply is pending.
    Close,
    /// A reply was sent that a reset could destroy, so unread bytes are
    /// discarded before the close.
    Linger,
}

/// The read half of a closing connection, if its unread bytes must be
/// discarded.
pub(crate) struct Tail(Option<OwnedReadHalf<TcpStream>>);

struct Session<'a> {
    peer: SocketAddr,
    limits: Limits,
    drain: &'a Drain,
    budget: Budget,
}

/// Serves the requests on `channel`, which waits for its first one as `waiting`, until
/// the connection ends.
pub(crate) async fn run<H, F>(
    channel: Channel,
    peer: SocketAddr,
    limits: Limits,
    drain: &Drain,
    waiting: Registration,
    handler: Rc<H>,
) -> Tail
where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let Channel {
        reader,
        mut writer,
        raw: tail,
    } = channel;
    let session = Session {
        peer,
        limits,
        drain,
        budget: Budget::charging_heads(drain.0.memory.charge_head()),
    };
    let reader = Guard::new(reader, session.budget.clone());
    let mut decoder = Decoder::new(reader, Strict::default());
    let end = session
        .serve(&mut decoder, &mut writer, waiting, &*handler)
        .await;
    // An error means that the caller has disconnected already.
    let _ = writer.shutdown().await;
    Tail((end == End::Linger).then_some(tail))
}

/// Limits on the bytes that a caller sends after its last reply and that are
/// discarded. Closing a connection with unread bytes resets it, and a reset can
/// destroy the reply before the caller reads it. A caller that reads only after
/// it has written a body of the largest size needs 6 s on a link of 45 Mbit/s.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);
/// The time without a byte after which the caller has stopped sending.
const DISCARD_SILENCE_MAX: Duration = Duration::from_secs(2);
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;
/// How many bytes beyond the largest body are discarded.
const DISCARD_EXTRA_BYTES: usize = 64 * 1024;
/// The least number of bytes that are discarded, since the bodies that are refused for
/// their size exceed the largest one.
const DISCARD_BYTES_MIN: usize = 8 * 1024 * 1024;

/// Reads and discards the bytes that still arrive, within the limits.
pub(crate) async fn discard(tail: Tail, limits: &Limits) {
    let Some(mut read) = tail.0 else {
        return;
    };
    let discarding = async {
        let mut buffer = Vec::with_capacity(DISCARD_BUFFER_BYTES);
        let largest = limits.body_bytes.saturating_add(DISCARD_EXTRA_BYTES);
        let mut remaining_bytes = largest.max(DISCARD_BYTES_MIN);
        while remaining_bytes > 0 {
            let reading = read.read(buffer);
            let Ok(read) = monoio::time::timeout(DISCARD_SILENCE_MAX, reading).await else {
                return;
            };
            match read.0 {
                Ok(0) | Err(_) => return,
                Ok(count) => remaining_bytes = remaining_bytes.saturating_sub(count),
            }
            buffer = read.1;
        }
    };
    // After the timeout, the close may reset the connection.
    let _ = monoio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}

async fn read_head(decoder: &mut Decoder) -> HeadRead {
    let read = decoder.next().await?;
    Some(read.map_err(drop))
}

impl Session<'_> {
    async fn serve<H, F>(
        &self,
        decoder: &mut Decoder,
        writer: &mut Writer,
        waiting: Registration,
        handler: &H,
    ) -> End
    where
        H: Fn(Request) -> F,
        F: Future<Output = Reply>,
    {
        self.expect_head();
        let mut next_head = self
            .next_head(pin!(read_head(decoder)), true, waiting)
            .await;
        loop {
            let head = match next_head {
                Next::Head(head) => *head,
                Next::Invalid => return self.refuse(writer, bad_head(&self.budget), false).await,
                Next::Closed => return End::Close,
            };
            let busy = CountGuard::increment(&self.drain.0.busy_requests);
            let mut head_charge = self.drain.0.memory.charge_head();
            head_charge.force_grow_to(self.budget.received_bytes());
            let is_head = head.method == Method::HEAD;
            let is_kept_alive = is_keep_alive(head.version, &head.headers);
            let (budget, limits) = (&self.budget, &self.limits);
            let request = body::read_request(
                decoder,
                head,
                self.peer,
                budget,
                limits,
                &self.drain.0.memory,
                writer,
            );
            let request = match request.await {
                Ok(request) => request,
                Err(refusal) => return self.refuse(writer, refusal, is_head).await,
            };
            // The body counts until its request is answered, whatever the handler
            // does with it.
            let body = request.body.clone();
            self.expect_head();
            let mut reading = pin!(read_head(decoder));
            let read_ahead = ReadAhead::new(reading.as_mut(), &self.budget);
            // Boxed, so that an idle connection does not reserve memory for the
            // handler's future.
            let Some(reply) = read_ahead
                .run_while_reading(Box::pin(handler(request)))
                .await
            else {
                return End::Close;
            };
            let should_close = !is_kept_alive || self.drain.is_draining();
            let written =
                read_ahead.run_while_reading(self.write(writer, reply, should_close, is_head));
            match written.await {
                Some(true) if should_close => return End::Linger,
                Some(true) => {}
                _ => return End::Close,
            }
            drop(busy);
            drop((body, head_charge));
            next_head = match read_ahead.into_parts() {
                (_, Some(outcome)) => outcome,
                (reading, None) => {
                    let waiting = self.drain.0.idle.register(true);
                    self.next_head(reading, false, waiting).await
                }
            };
        }
    }

    /// Sets the limits for the next head. Its time limit starts with its first
    /// byte.
    fn expect_head(&self) {
        self.budget
            .allow_head(self.limits.head_bytes, self.limits.head_time);
    }

    /// Waits for a head while the connection is idle.
    ///
    /// A closing server still answers the first request of a connection, and a
    /// request whose first byte has arrived.
    async fn next_head<R>(
        &self,
        reading: Pin<&mut R>,
        is_first: bool,
        waiting: Registration,
    ) -> Next
    where
        R: Future<Output = HeadRead>,
    {
        monoio::select! {
            next = self.next_head_unless_draining(reading, is_first) => next,
            () = waiting.wait_for_close() => {
                self.drain.record_refusal("idle-connection");
                Next::Closed
            }
        }
    }

    async fn next_head_unless_draining<R>(&self, mut reading: Pin<&mut R>, is_first: bool) -> Next
    where
        R: Future<Output = HeadRead>,
    {
        if !self.drain.is_closing() {
            let idle = monoio::time::timeout(self.limits.idle_time, async {
                monoio::select! {
                    read = reading.as_mut() => Some(read),
                    () = self.drain.wait_for_close() => None,
                }
            });
            match idle.await {
                Ok(Some(read)) => return classify(read, &self.budget),
                Err(_) if self.budget.received_bytes() == 0 => return Next::Closed,
                Ok(None) | Err(_) => {}
            }
        }
        if self.drain.is_closing() && self.budget.received_bytes() == 0 {
            let grace = if is_first {
                NEW_CONNECTION_GRACE
            } else {
                IDLE_CONNECTION_GRACE
            };
            match monoio::time::timeout(grace, reading.as_mut()).await {
                Ok(read) => return classify(read, &self.budget),
                Err(_) if self.budget.received_bytes() == 0 => return Next::Closed,
                Err(_) => {}
            }
        }
        classify(reading.await, &self.budget)
    }

    /// Counts the refusal and writes the last reply of the connection.
    async fn refuse(&self, writer: &mut Writer, refusal: Refusal, is_head: bool) -> End {
        self.drain.record_refusal(refusal.reason);
        // The connection closes whether or not the write succeeds.
        let _ = self.write(writer, refusal.reply, true, is_head).await;
        End::Linger
    }

    /// Writes `reply` and returns whether it was written completely.
    async fn write(
        &self,
        writer: &mut Writer,
        mut reply: Reply,
        should_close: bool,
        is_head: bool,
    ) -> bool {
        if should_close {
            reply
                .headers
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        match reply.body {
            Content::Complete(body) => {
                let has_no_body = matches!(
                    reply.status,
                    StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
                );
                let has_length = reply.headers.contains_key(header::CONTENT_LENGTH);
                let extent = match has_no_body || (is_head && has_length) {
                    true => Extent::Implied,
                    false => Extent::Length(body.len()),
                };
                let mut out = chunk::encode_head(reply.status, &reply.headers, extent);
                let is_sent = !is_head && !has_no_body;
                if is_sent && body.len() <= COPIED_BODY_BYTES_MAX {
                    out.extend_from_slice(&body);
                    return self.write_all(writer, out).await;
                }
                self.write_all(writer, out).await
                    && (!is_sent || self.write_all(writer, body).await)
            }
            Content::Stream(receiver, producer) => {
                let out = chunk::encode_head(reply.status, &reply.headers, Extent::Chunked);
                self.write_all(writer, out).await
                    && (is_head
                        || run_with_producer(producer, self.write_stream(writer, receiver)).await)
            }
            Content::Cut => false,
        }
    }

    async fn write_stream(&self, writer: &mut Writer, mut receiver: pipe::Receiver<Part>) -> bool {
        loop {
            match receiver.recv().await {
                Some(Part::Data(data)) if data.is_empty() => {}
                Some(Part::Data(data)) => {
                    if !self.write_all(writer, chunk::encode_chunk(&data)).await {
                        return false;
                    }
                }
                Some(Part::End) => return self.write_all(writer, chunk::LAST_CHUNK.to_vec()).await,
                None => return false,
            }
        }
    }

    async fn write_all(&self, writer: &mut Writer, out: impl IoBuf) -> bool {
        let written = monoio::time::timeout(self.limits.write_time, writer.write_all(out));
        matches!(written.await, Ok((Ok(_), _)))
    }
}

/// Bodies up to this size are copied, so that they are written along with the
/// head.
const COPIED_BODY_BYTES_MAX: usize = 8 * 1024;

/// How long a closing server waits for the first byte of a request, on a new
/// connection and on an idle one.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(250);
const IDLE_CONNECTION_GRACE: Duration = Duration::from_millis(5);

/// A read of the next head that is polled while other work runs.
struct ReadAhead<'a, R> {
    reading: RefCell<Pin<&'a mut R>>,
    outcome: RefCell<Option<Next>>,
    budget: &'a Budget,
}

impl<'a, R: Future<Output = HeadRead>> ReadAhead<'a, R> {
    fn new(reading: Pin<&'a mut R>, budget: &'a Budget) -> Self {
        Self {
            reading: RefCell::new(reading),
            outcome: RefCell::default(),
            budget,
        }
    }

    /// Runs `work` to completion. Returns `None` if the caller closes the
    /// connection before.
    async fn run_while_reading<W: Future>(&self, work: W) -> Option<W::Output> {
        let mut work = pin!(work);
        poll_fn(|cx| {
            if let Poll::Ready(done) = work.as_mut().poll(cx) {
                return Poll::Ready(Some(done));
            }
            let mut outcome = self.outcome.borrow_mut();
            if outcome.is_some() {
                return Poll::Pending;
            }
            match self.reading.borrow_mut().as_mut().poll(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(read) => match classify(read, self.budget) {
                    Next::Closed => Poll::Ready(None),
                    next => {
                        *outcome = Some(next);
                        Poll::Pending
                    }
                },
            }
        })
        .await
    }

    /// Returns the read, and its outcome if it is complete.
    fn into_parts(self) -> (Pin<&'a mut R>, Option<Next>) {
        (self.reading.into_inner(), self.outcome.into_inner())
    }
}

/// Runs `consumer` to completion, and polls `producer` along with it.
async fn run_with_producer<C: Future>(mut producer: Option<Producer>, consumer: C) -> C::Output {
    let mut consumer = pin!(consumer);
    poll_fn(|cx| {
        if let Some(running) = &mut producer
            && running.as_mut().poll(cx).is_ready()
        {
            producer = None;
        }
        consumer.as_mut().poll(cx)
    })
    .await
}

fn classify(read: HeadRead, budget: &Budget) -> Next {
    match read {
        None => Next::Closed,
        Some(Ok(head)) => Next::Head(Box::new(head)),
        Some(Err(())) if budget.exceeded().is_none() && budget.received_bytes() == 0 => {
            Next::Closed
        }
        Some(Err(())) => Next::Invalid,
    }
}

fn bad_head(budget: &Budget) -> Refusal {
    let (status, reason, detail) = match budget.exceeded() {
        Some(Limit::Bytes) => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head-too-large",
            "the request head exceeds the size limit",
        ),
        Some(Limit::Time) => (
            StatusCode::REQUEST_TIMEOUT,
            "head-too-slow",
            "the request head did not arrive within the time limit",
        ),
        Some(Limit::Memory) => return body::out_of_body_memory(),
        None => (
            StatusCode::BAD_REQUEST,
            "bad-head",
            "the request head is malformed",
        ),
    };
    Refusal {
        reason,
        reply: Reply::error(status, reason, detail),
    }
}

fn is_keep_alive(version: Version, headers: &HeaderMap) -> bool {
    let has_option = |word: &str| {
        let values = headers.get_all(header::CONNECTION).iter();
        let mut options = values
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','));
        options.any(|option| option.trim().eq_ignore_ascii_case(word))
    };
    match version {
        Version::HTTP_10 => has_option("keep-alive"),
        _ => !has_option("close"),
    }
}
