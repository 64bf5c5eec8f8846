//! An HTTP client that keeps a pool of idle connections for each peer.

use std::{
    cell::RefCell,
    collections::VecDeque,
    io,
    mem::MaybeUninit,
    net::SocketAddr,
    os::fd::{AsRawFd, BorrowedFd, RawFd},
    rc::Rc,
    time::{Duration, Instant},
};

use board::hash::{self, Map};
use http::{HeaderMap, HeaderValue, Method, Version, header};
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable, sink::SinkExt, stream::Stream},
    net::TcpStream,
};
use monoio_http::h1::{
    BorrowFramedRead,
    codec::{
        decoder::{DirectWrapper, GenericHeadDecoder, IoOwnedDecoder, ResponseHeadDecoder},
        encoder::GenericEncoder,
    },
    payload::{FixedPayload, Payload},
};

use super::call::KeptUse;
pub use super::{
    call::Call,
    fence::Fence,
    response::{Fetched, Response},
};
use super::{
    coding::BodyDecoder,
    error::{Error, Kind},
    fence,
    framing::{self, Framing},
    guard::{Budget, Guard, Limit, READ_BYTES_MAX},
    head::Strict,
    limits::Limits,
    memory::{Holding, Memory},
    opening::{Cause, Life, Loss, Losses},
    response::BodyReader,
};
use crate::{fault, net};

type HeadDecoder = GenericHeadDecoder<(), Strict<ResponseHeadDecoder>, DirectWrapper>;
type Reader = IoOwnedDecoder<Guard<OwnedReadHalf<TcpStream>>, HeadDecoder>;
type Writer = GenericEncoder<OwnedWriteHalf<TcpStream>>;

/// An open connection to a peer.
pub(crate) struct Connection {
    pub(crate) reader: Reader,
    writer: Writer,
    pub(crate) budget: Budget,
    descriptor: RawFd,
    pub(crate) peer: SocketAddr,
    idle_since: Instant,
    /// How long the connection may stay idle and be used again.
    idle_time_max: Duration,
    /// Whether the connection is kept apart from the other idle ones.
    is_kept: bool,
    /// Whether the last response to a request with [`KeptUse::Own`] had its id.
    repeats_ids: bool,
    /// Whether another request was answered since the last one with
    /// [`KeptUse::Own`]. A response to that one which came late was taken for the
    /// answer to the other request then.
    is_checked: bool,
    /// Hashes of the ids of the last requests on the connection.
    recent_ids: VecDeque<u64>,
    life: Life,
}

impl Connection {
    fn new(stream: TcpStream, peer: SocketAddr, life: Life) -> Self {
        let descriptor = stream.as_raw_fd();
        let budget = Budget::default();
        let (read, write) = stream.into_split();
        Self {
            reader: Reader::new(Guard::new(read, budget.clone())),
            writer: GenericEncoder::new(write),
            budget,
            descriptor,
            peer,
            idle_since: Instant::now(),
            idle_time_max: IDLE_TIME_MAX,
            is_kept: false,
            repeats_ids: false,
            is_checked: false,
            recent_ids: VecDeque::new(),
            life,
        }
    }

    /// Returns whether a request with the id `id` was sent on the connection
    /// recently. A late response to that one would pass for a response to the
    /// next.
    fn had_id(&self, id: u64) -> bool {
        self.recent_ids.contains(&id)
    }

    fn record_id(&mut self, id: u64) {
        if self.recent_ids.len() == RECENT_IDS_MAX {
            self.recent_ids.pop_front();
        }
        self.recent_ids.push_back(id);
    }

    /// Returns whether nothing arrived since the last response: neither the end
    /// of the connection nor unexpected bytes.
    fn has_no_input(&mut self) -> bool {
        if !self.reader.framed_mut().read_buffer().is_empty() {
            return false;
        }
        self.is_silent()
    }

    /// Returns whether the connection ended with an error.
    fn has_failed(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() != io::ErrorKind::WouldBlock)
    }

    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        socket2::SockRef::from(&self.descriptor()).peek(&mut byte)
    }

    fn descriptor(&self) -> BorrowedFd<'_> {
        // SAFETY: `self` owns both halves, so the descriptor stays open.
        unsafe { BorrowedFd::borrow_raw(self.descriptor) }
    }

    /// Returns the connection if it may carry another request, and closes it
    /// otherwise.
    fn if_usable(mut self) -> Option<Self> {
        if self.is_expired() {
            return self.close(Loss::Expired);
        }
        match self.has_no_input() {
            true => Some(self),
            false => self.close(Loss::Closed),
        }
    }

    fn close(mut self, loss: Loss) -> Option<Self> {
        self.life.loss = loss;
        None
    }

    /// Returns whether the peer may close the connection soon, or has.
    fn is_expired(&self) -> bool {
        self.idle_since.elapsed() >= self.idle_time_max
    }

    /// Returns whether nothing has arrived, as far as is known without changing the
    /// connection.
    fn is_silent(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A client with idle connections by peer, and the limits for responses.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<Map<SocketAddr, VecDeque<Connection>>>>,
    /// The connections that are kept apart from the idle ones, one for each peer.
    kept: Rc<RefCell<Map<SocketAddr, Connection>>>,
    limits: Limits,
    memory: Memory,
    unfinished: Memory,
    silence_timeout: Option<Duration>,
    reset_on_close: bool,
    losses: Losses,
    on_open: Option<Rc<dyn Fn(Cause)>>,
}

const IDLE_CONNECTIONS_MAX: usize = 64;
const IDLE_TIME_MAX: Duration = Duration::from_secs(20);
const RECENT_IDS_MAX: usize = 16;
/// How long before the end of the idle time that a peer states a connection is used
/// for the last time. The peer counts from when it sent its last response, and a
/// request that arrives after its limit is lost.
const STATED_IDLE_MARGIN: Duration = Duration::from_millis(200);
/// The largest status code of HTTP.
const STATUS_MAX: u16 = 599;
/// The largest idle time that is read from a header.
const STATED_IDLE_SECONDS_MAX: u64 = 3600;

impl Pool {
    /// Returns an empty pool.
    pub fn new(limits: Limits) -> Self {
        Self {
            idle: Rc::default(),
            kept: Rc::default(),
            limits,
            memory: Memory::default(),
            unfinished: Memory::default(),
            silence_timeout: None,
            reset_on_close: false,
            losses: Losses::default(),
            on_open: None,
        }
    }

    /// Sets a function that is called with the cause of each connection that was
    /// opened.
    pub fn on_open(mut self, hook: impl Fn(Cause) + 'static) -> Self {
        self.on_open = Some(Rc::new(hook));
        self
    }

    fn record_open(&self, cause: Cause) {
        if let Some(hook) = &self.on_open {
            hook(cause);
        }
    }

    /// Charges the bodies of responses to `memory`.
    pub fn memory(mut self, memory: Memory) -> Self {
        self.memory = memory;
        self
    }

    /// Sets the budget of the parts of responses that are not complete
    /// ([`Holding`](super::memory::Holding)).
    pub fn unfinished_memory(mut self, memory: Memory) -> Self {
        self.unfinished = memory;
        self
    }

    /// Returns the budget of the parts of responses that are not complete.
    pub fn unfinished_budget(&self) -> Memory {
        self.unfinished.clone()
    }

    /// Returns the budget that the bodies of responses are charged to.
    pub fn budget(&self) -> Memory {
        self.memory.clone()
    }

    /// Makes connections end with a reset when they are dropped, so that an
    /// abandoned request that is still in the kernel's send buffer never
    /// reaches its peer.
    pub fn reset_on_close(mut self) -> Self {
        self.reset_on_close = true;
        self
    }

    /// Sets how long a peer may acknowledge nothing before its connections are
    /// reset, so that calls with a long deadline detect a lost peer earlier.
    pub fn silence_timeout(mut self, limit: Duration) -> Self {
        self.silence_timeout = Some(limit);
        self
    }

    /// Sends `call` to `peer` and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// An [`Error`]. The call may be repeated safely if [`Error::is_unsent`]
    /// returns true.
    pub async fn send(&self, peer: SocketAddr, call: Call) -> Result<Response, Error> {
        let deadline = Instant::now() + call.deadline;
        if let Some(connection) = self.take(peer, &call) {
            let budget = connection.budget.clone();
            let result = self.exchange(connection, peer, &call, deadline).await;
            let is_disconnect = |e: &Error| matches!(e.kind(), Kind::Incomplete | Kind::Send);
            match result {
                Err(e)
                    if is_disconnect(&e) && budget.received_bytes() == 0 && call.is_idempotent => {}
                other => return other,
            }
            // The peer may have received the first attempt, whatever the
            // outcome of the second.
            let retried = self.send_on_new_connection(peer, &call, deadline).await;
            let mark = |response| Response {
                is_repeated: true,
                ..response
            };
            return retried.map(mark).map_err(Error::into_sent);
        }
        self.send_on_new_connection(peer, &call, deadline).await
    }

    /// Connects to `peer` and sets the options of this pool.
    async fn connect(&self, peer: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
        let stream = net::connect(peer, limit).await?;
        if let Some(limit) = self.silence_timeout {
            net::set_silence_timeout(&stream, limit)?;
        }
        if self.reset_on_close {
            net::reset_on_close(&stream)?;
        }
        Ok(stream)
    }

    async fn send_on_new_connection(
        &self,
        peer: SocketAddr,
        call: &Call,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let limit = remaining(deadline).min(call.connect_timeout);
        let stream = self.connect(peer, limit).await;
        if let Some(hook) = &call.on_connect {
            let is_timeout = matches!(&stream, Err(e) if e.kind() == io::ErrorKind::TimedOut);
            // With less time, a peer that is reached may not have answered yet.
            if !is_timeout || limit == call.connect_timeout {
                (hook.0)(stream.is_ok());
            }
        }
        let stream = stream.map_err(|e| Error::new(Kind::Connect, e))?;
        self.record_open(match call.needs_own_connection() {
            true => Cause::Required,
            false => self.losses.next_cause(peer),
        });
        let connection = Connection::new(stream, peer, self.losses.watch(peer));
        self.exchange(connection, peer, call, deadline).await
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        peer: SocketAddr,
        call: &Call,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let request = build_request(peer, call)?;
        if let Some(id) = id_hash(call) {
            connection.record_id(id);
        }
        connection
            .budget
            .allow(self.limits.head_bytes + READ_BYTES_MAX, remaining(deadline));
        let mut write_time = remaining(deadline);
        if let Some(fence) = &call.fence {
            write_time = write_time.min(fence::WRITE_TIMEOUT);
            net::set_user_timeout(connection.descriptor(), fence::ACK_TIMEOUT)
                .map_err(|e| Error::new(Kind::Connect, e))?;
            if !fence.is_open() {
                return Err(Error::new(
                    Kind::Fenced,
                    "the fence of the request is closed",
                ));
            }
        }
        if let Some(condition) = &call.condition
            && !(condition.0)()
        {
            let detail = "the condition of the request does not hold";
            return Err(Error::new(Kind::Fenced, detail));
        }
        if let Some(hook) = &call.on_send {
            (hook.0)();
        }
        let sending = async {
            fault::wait_while_hanging(peer).await;
            connection.writer.send_and_flush(request).await
        };
        let sent = monoio::time::timeout(write_time, sending);
        match sent.await {
            Err(_) => return Err(Error::new(Kind::Timeout, "request not fully written")),
            Ok(Err(e)) => return Err(Error::new(Kind::Send, e)),
            Ok(Ok(())) => {}
        }
        let holding = Holding::of_head(&self.unfinished);
        connection.budget.set_head_holding(Some(holding));
        let (status, headers, framing) = loop {
            let head = match connection.reader.next().await {
                None => return Err(Error::new(Kind::Incomplete, "the head is missing")),
                Some(Err(e)) => return Err(read_error(&connection.budget, e)),
                Some(Ok(head)) => head,
            };
            let (parts, _) = head.into_parts();
            // The library also accepts numbers that are no status codes.
            if parts.status.as_u16() > STATUS_MAX {
                let detail = format!("invalid status code {}", parts.status.as_str());
                return Err(Error::new(Kind::Malformed, detail));
            }
            let framing = framing::from_response(&call.method, parts.status, &parts.headers)
                .map_err(|e| Error::new(Kind::Malformed, e.0))?;
            if !parts.status.is_informational() {
                break (parts.status, parts.headers, framing);
            }
        };
        connection.budget.set_head_holding(None);
        let is_echoed = call
            .expected_echo
            .as_ref()
            .and_then(|(name, id)| Some(headers.get(name)? == id));
        // On a kept connection, the response to an earlier request may arrive late.
        let is_own = call.kept_connection == KeptUse::Own;
        let must_echo = connection.is_kept && is_own && connection.repeats_ids;
        let may_omit_echo = call.may_omit_echo && !must_echo;
        if let Some((name, _)) = &call.expected_echo
            && !is_echoed.unwrap_or(may_omit_echo)
        {
            // Other idle connections to this peer may also return responses to
            // earlier requests.
            self.close_idle(peer);
            return Err(Error::new(
                Kind::Mismatched,
                format!("the header {name} differs"),
            ));
        }
        if let Some(hook) = &call.on_head {
            (hook.0)(status, &headers);
        }
        if framing == Framing::UntilClose {
            return Err(Error::new(Kind::Incomplete, "the response has no length"));
        }
        if let Framing::Length(length) = framing
            && length > self.limits.body_bytes
        {
            return Err(Error::new(
                Kind::Malformed,
                "the body exceeds the size limit",
            ));
        }
        if is_own {
            connection.is_kept = true;
            connection.repeats_ids = is_echoed == Some(true);
        }
        connection.is_checked = !is_own;
        if let Some(stated) = stated_idle_time(&headers) {
            connection.idle_time_max = IDLE_TIME_MAX.min(stated.saturating_sub(STATED_IDLE_MARGIN));
        }
        let may_reuse = !has_connection_close(&headers);
        if !may_reuse {
            connection.life.loss = Loss::Closed;
        }
        Ok(Response {
            status,
            headers,
            is_repeated: false,
            body: BodyReader {
                connection: Some(connection),
                decoder: BodyDecoder::new(framing),
                framing,
                limits: self.limits,
                memory: self.memory.clone(),
                unfinished: self.unfinished.clone(),
                is_done: framing == Framing::Empty,
                pool: may_reuse.then(|| (self.clone(), peer)),
            },
        })
    }

    /// Sends `call` to `peer` and returns the response with its complete body.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`], and [`Kind::Incomplete`] if the body ends early.
    pub async fn fetch(&self, peer: SocketAddr, call: Call) -> Result<Fetched, Error> {
        if call.fence.is_some() {
            fault::wait_while_held(&call.path).await;
        }
        let limit = call.deadline;
        let exchange = async {
            let mut response = self.send(peer, call).await?;
            let body = response.collect().await?;
            Ok(Fetched {
                status: response.status,
                headers: response.headers,
                body,
                is_repeated: response.is_repeated,
            })
        };
        match monoio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(Kind::Timeout, "the response was not complete")),
        }
    }

    /// Opens a connection to `peer` within `limit` and adds it to the idle ones.
    ///
    /// # Errors
    ///
    /// [`Kind::Connect`].
    pub async fn open(&self, peer: SocketAddr, limit: Duration) -> Result<(), Error> {
        let stream = self.connect(peer, limit).await;
        let stream = stream.map_err(|e| Error::new(Kind::Connect, e))?;
        self.record_open(Cause::Probe);
        let life = self.losses.watch(peer);
        self.release(peer, Connection::new(stream, peer, life));
        Ok(())
    }

    /// Removes the idle connections that have failed, as after the silence timeout
    /// or a reset, and returns their peers. A connection that its peer closed has
    /// not failed.
    pub fn take_failed(&self) -> Vec<SocketAddr> {
        let mut failed = Vec::new();
        for (peer, queue) in self.idle.borrow_mut().iter_mut() {
            let before = queue.len();
            queue.retain(|connection| !connection.has_failed());
            if queue.len() < before {
                failed.push(*peer);
            }
        }
        self.kept.borrow_mut().retain(|peer, connection| {
            let has_failed = connection.has_failed();
            if has_failed && !failed.contains(peer) {
                failed.push(*peer);
            }
            !has_failed
        });
        failed
    }

    /// Returns whether an idle connection to `peer` is open that a request can use
    /// now, apart from a kept one.
    pub fn has_idle(&self, peer: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let mut connections = idle.get(&peer).into_iter().flatten().rev();
        connections.any(|connection| !connection.is_expired() && connection.is_silent())
    }

    /// Closes all idle connections to `peer`.
    pub fn close_idle(&self, peer: SocketAddr) {
        let idle = self.idle.borrow_mut().remove(&peer).into_iter().flatten();
        let kept = self.kept.borrow_mut().remove(&peer);
        idle.chain(kept)
            .for_each(|connection| drop(connection.close(Loss::Expired)));
    }

    /// Returns an open connection for `call`, if there is one that may be used.
    fn take(&self, peer: SocketAddr, call: &Call) -> Option<Connection> {
        if call.kept_connection != KeptUse::Never {
            let kept = self.kept.borrow_mut().remove(&peer);
            let is_own = call.kept_connection == KeptUse::Own;
            let kept = kept.filter(|kept| !is_own || kept.repeats_ids || kept.is_checked);
            let kept = kept.and_then(Connection::if_usable);
            if kept.is_some() || is_own {
                return kept;
            }
        }
        match call.needs_new_connection {
            true => None,
            false => self.take_idle(peer, call),
        }
    }

    fn take_idle(&self, peer: SocketAddr, call: &Call) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(&peer)?;
        let id = id_hash(call);
        for index in (0..queue.len()).rev() {
            if id.is_some_and(|id| queue[index].had_id(id)) {
                continue;
            }
            let usable = queue.remove(index)?.if_usable();
            if usable.is_some() {
                return usable;
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn release(&self, peer: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        if connection.is_kept {
            self.kept.borrow_mut().insert(peer, connection);
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let queue = idle.entry(peer).or_default();
        if queue.len() < IDLE_CONNECTIONS_MAX {
            queue.push_back(connection);
        } else {
            connection.close(Loss::Expired);
        }
    }
}

/// Returns a hash of the id that the response must echo, if there is one.
fn id_hash(call: &Call) -> Option<u64> {
    let (_, id) = call.expected_echo.as_ref()?;
    Some(hash::hash_bytes(id.as_bytes(), 0))
}

fn build_request(peer: SocketAddr, call: &Call) -> Result<http::Request<Payload>, Error> {
    let mut builder = http::Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .version(Version::HTTP_11);
    if let Some(headers) = builder.headers_mut() {
        *headers = call.headers.clone();
        let peer_address = || HeaderValue::from_str(&peer.to_string()).ok();
        if let Some(host) = call.host.clone().or_else(peer_address) {
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

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Returns how long the peer keeps an idle connection open, if it states that.
fn stated_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all("keep-alive").iter();
    let mut parameters = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|parameter| parameter.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.min(STATED_IDLE_SECONDS_MAX)))
}

pub(crate) fn read_error(budget: &Budget, e: impl std::fmt::Display) -> Error {
    match budget.exceeded() {
        Some(Limit::Time) => Error::new(Kind::Timeout, "the peer sent nothing"),
        Some(Limit::Bytes | Limit::Memory) => {
            Error::new(Kind::Malformed, "the response exceeds the size limit")
        }
        None => Error::new(Kind::Incomplete, e),
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
