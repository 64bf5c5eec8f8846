//! One attempt on a model engine: its stream, checked token by token.

use std::{net::SocketAddr, pin::pin, time::Duration};

use link::{
    HeaderMap, StatusCode,
    event::Splitter,
    http::{Error, Pool, Response, client::Call, error::Kind},
};
use serde::{Deserialize, Serialize};

use crate::{
    slot::Slot,
    timeouts::{PROBE_DELAY, PROBE_TIMEOUT, Timeouts},
};

/// What an engine is asked for.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Prompt<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) model: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u32,
    pub(crate) seed: u64,
    pub(crate) resume: &'a [String],
}

/// One token.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Token {
    pub(crate) index: u32,
    pub(crate) token: String,
    pub(crate) version: u64,
}

/// The end mark of a stream.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Done {
    request_id: String,
    tokens: u32,
    pub(crate) finish: String,
}

#[derive(Deserialize)]
struct ErrorEvent {
    error: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawEvent {
    Token(Token),
    Done(Done),
    Error(ErrorEvent),
}

/// What a stream yields.
#[derive(Debug)]
pub(crate) enum Event {
    Token(Token),
    Done(Done),
}

/// Why an attempt failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Fault {
    /// The exchange failed.
    #[error("{0}")]
    Http(#[from] Error),
    /// The engine refused it and says that it did not run.
    #[error("engine refused with {0}")]
    Rejected(StatusCode),
    /// The engine answered with an error that says nothing of the sort.
    #[error("engine failed with {0}")]
    Failed(StatusCode),
    /// The stream went silent.
    #[error("engine went silent")]
    Silent,
    /// The time of the whole request is over.
    #[error("out of time")]
    DeadlineExceeded,
    /// The engine answered another request.
    #[error("answer to another request")]
    WrongRequest,
    /// A token is missing, repeated or out of place.
    #[error("token out of place")]
    TokenOrder,
    /// The engine reported an error of its own.
    #[error("engine error: {0}")]
    Engine(String),
    /// An event cannot be read.
    #[error("unreadable event")]
    Malformed,
}

impl Fault {
    /// Returns whether the request cannot have run: no byte of it reached the
    /// engine, or the engine itself says so.
    pub(crate) fn has_not_run(&self) -> bool {
        match self {
            Self::Http(e) => e.is_unsent(),
            Self::Rejected(_) => true,
            _ => false,
        }
    }

    /// Returns whether the engine, or what lies between, stopped to speak.
    pub(crate) fn is_timeout(&self) -> bool {
        match self {
            Self::Http(e) => e.kind() == Kind::Timeout,
            Self::Silent => true,
            _ => false,
        }
    }
}

/// An open stream.
///
/// A stream that is dropped before its end mark is cancelled at the engine, so
/// that the engine's slot is free even when the close of the connection gets
/// lost.
pub(crate) struct Stream {
    response: Response,
    splitter: Splitter,
    next_index: u32,
    timeouts: Timeouts,
    has_first_token: bool,
    is_done: bool,
    pool: Pool,
    address: SocketAddr,
    request_id: String,
}

const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const EVENT_BYTES_MAX: usize = 64 * 1024;

/// Sends `prompt` to the engine of `slot`.
///
/// # Errors
///
/// A [`Fault`] when the engine does not start a stream for this request.
pub(crate) async fn open(
    pool: &Pool,
    slot: &Slot,
    prompt: &Prompt<'_>,
    mut headers: HeaderMap,
    time_left: Duration,
    timeouts: Timeouts,
) -> Result<Stream, Fault> {
    let body = serde_json::to_vec(prompt).map_err(|_| Fault::Malformed)?;
    headers.insert("content-type", link::header_value("application/json"));
    let call = Call::post("/v1/generate", body)
        .headers(headers)
        .identified(prompt.request_id)
        .idempotent(true)
        .connect_time(timeouts.connect)
        .deadline(time_left.min(timeouts.head));
    let mut guard = CancelGuard::new(pool, slot.address, prompt.request_id);
    let response = match pool.send(slot.address, call).await {
        Ok(response) => response,
        Err(e) if e.is_unsent() => return Err(guard.disarm(e.into())),
        Err(e) if e.kind() == Kind::Foreign => return Err(Fault::WrongRequest),
        Err(e) => return Err(e.into()),
    };
    if response.status != StatusCode::OK {
        return Err(guard.disarm(status_fault(&response)));
    }
    guard.is_armed = false;
    Ok(Stream {
        response,
        splitter: Splitter::default(),
        next_index: prompt.resume.len() as u32,
        timeouts,
        has_first_token: false,
        is_done: false,
        pool: pool.clone(),
        address: slot.address,
        request_id: prompt.request_id.to_string(),
    })
}

/// A request that an engine may have begun; cancelled there when dropped.
struct CancelGuard<'a> {
    pool: &'a Pool,
    address: SocketAddr,
    request_id: &'a str,
    is_armed: bool,
}

impl<'a> CancelGuard<'a> {
    fn new(pool: &'a Pool, address: SocketAddr, request_id: &'a str) -> Self {
        Self {
            pool,
            address,
            request_id,
            is_armed: true,
        }
    }

    /// Notes that the engine does not run it.
    fn disarm(&mut self, fault: Fault) -> Fault {
        self.is_armed = false;
        fault
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            cancel(self.pool, self.address, self.request_id);
        }
    }
}

#[derive(Serialize)]
struct Cancel<'a> {
    request_id: &'a str,
}

/// Tells an engine, on a new connection, to end a request.
fn cancel(pool: &Pool, address: SocketAddr, request_id: &str) {
    let body = serde_json::to_vec(&Cancel { request_id }).unwrap_or_default();
    let call = Call::post("/v1/cancel", body)
        .header("content-type", "application/json")
        .fresh()
        .deadline(CANCEL_TIMEOUT);
    let pool = pool.clone();
    monoio::spawn(async move {
        // An engine that cannot be told notices the closed connection.
        let _ = pool.fetch(address, call).await;
    });
}

/// Asks on a new connection whether the engine answers at all.
pub(crate) async fn probe(pool: &Pool, address: SocketAddr) -> bool {
    let call = Call::get("/v1/load").fresh().deadline(PROBE_TIMEOUT);
    pool.fetch(address, call).await.is_ok()
}

/// Tells a refusal, which the interface promises to come before any work,
/// from a failure. A status from something between may carry anything, so the
/// engine's echo of the request id is not asked for: it is checked already.
fn status_fault(response: &Response) -> Fault {
    let is_full = response.status == StatusCode::SERVICE_UNAVAILABLE
        && response.headers.contains_key("retry-after");
    match response.status {
        status if is_full || status == StatusCode::NOT_FOUND => Fault::Rejected(status),
        status => Fault::Failed(status),
    }
}

impl Stream {
    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// A [`Fault`] when the stream ends without its end mark, goes silent or
    /// is not the answer to this request.
    pub(crate) async fn next(&mut self) -> Result<Event, Fault> {
        loop {
            if let Some(data) = self.splitter.next() {
                return self.check(&data);
            }
            if self.splitter.pending() > EVENT_BYTES_MAX {
                return Err(Fault::Malformed);
            }
            match self.next_part().await? {
                Some(part) => self.splitter.push(&part?),
                None => return Err(Error::new(Kind::Incomplete, "no end mark").into()),
            }
        }
    }

    async fn next_part(&mut self) -> Result<Option<Result<link::Bytes, Error>>, Fault> {
        if self.has_first_token {
            return Ok(self.response.next(self.timeouts.between_tokens).await);
        }
        let mut part = pin!(self.response.next(self.timeouts.first_token));
        loop {
            match monoio::time::timeout(PROBE_DELAY, part.as_mut()).await {
                Ok(part) => return Ok(part),
                Err(_) if probe(&self.pool, self.address).await => {}
                Err(_) => return Err(Fault::Silent),
            }
        }
    }

    /// Reads the end of the body, so that the connection can be used again.
    /// Anything else that follows the end mark closes it.
    pub(crate) async fn close(mut self) {
        // Whatever comes, the answer is whole already.
        let _ = self.response.next(CLOSE_TIMEOUT).await;
    }

    fn check(&mut self, data: &[u8]) -> Result<Event, Fault> {
        match serde_json::from_slice(data).map_err(|_| Fault::Malformed)? {
            RawEvent::Token(token) if token.index == self.next_index => {
                self.next_index += 1;
                self.has_first_token = true;
                Ok(Event::Token(token))
            }
            RawEvent::Token(_) => Err(Fault::TokenOrder),
            RawEvent::Done(done) if done.request_id != self.request_id => Err(Fault::WrongRequest),
            RawEvent::Done(done) if done.tokens != self.next_index => Err(Fault::TokenOrder),
            RawEvent::Done(done) => {
                self.is_done = true;
                Ok(Event::Done(done))
            }
            RawEvent::Error(event) => Err(Fault::Engine(event.error)),
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.is_done {
            cancel(&self.pool, self.address, &self.request_id);
        }
    }
}

const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
