//! One attempt on a model engine: its stream, checked token by token.

use std::time::Duration;

use link::{
    HeaderMap, StatusCode,
    event::Splitter,
    http::{Error, Pool, Response, client::Call, error::Kind},
};
use serde::{Deserialize, Serialize};

use crate::slot::Slot;

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
struct Broken {
    error: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Wire {
    Token(Token),
    Done(Done),
    Broken(Broken),
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
    /// The engine refused and did not run it.
    #[error("engine refused with {0}")]
    Refused(StatusCode),
    /// The engine answered another request.
    #[error("answer to another request")]
    Foreign,
    /// A token is missing, repeated or out of place.
    #[error("token out of place")]
    Order,
    /// The engine reported an error of its own.
    #[error("engine error: {0}")]
    Engine(String),
    /// An event cannot be read.
    #[error("unreadable event")]
    Unreadable,
}

impl Fault {
    /// Returns whether no byte of the request can have reached the engine.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self, Self::Http(e) if e.is_unsent())
    }
}

/// An open stream.
pub(crate) struct Stream {
    response: Response,
    splitter: Splitter,
    request_id: String,
    next_index: u32,
    patience: Duration,
}

const FIRST_BYTE_TIME: Duration = Duration::from_secs(5);
const TOKEN_TIME: Duration = Duration::from_secs(5);
const EVENT_MAX: usize = 64 * 1024;

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
    limit: Duration,
) -> Result<Stream, Fault> {
    let body = serde_json::to_vec(prompt).map_err(|_| Fault::Unreadable)?;
    headers.insert("content-type", link::header_value("application/json"));
    headers.insert("x-request-id", link::header_value(prompt.request_id));
    let call = Call::post("/v1/generate", body)
        .headers(headers)
        .deadline(limit.min(FIRST_BYTE_TIME));
    let response = pool.send(slot.address, call).await?;
    if response.status != StatusCode::OK {
        return Err(Fault::Refused(response.status));
    }
    let echoed = response.headers.get("x-request-id");
    if echoed.is_none_or(|id| id.as_bytes() != prompt.request_id.as_bytes()) {
        return Err(Fault::Foreign);
    }
    Ok(Stream {
        response,
        splitter: Splitter::default(),
        request_id: prompt.request_id.to_string(),
        next_index: prompt.resume.len() as u32,
        patience: TOKEN_TIME,
    })
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
            if self.splitter.pending() > EVENT_MAX {
                return Err(Fault::Unreadable);
            }
            match self.response.next(self.patience).await {
                Some(part) => self.splitter.push(&part?),
                None => return Err(link::http::Error::new(Kind::Incomplete, "no end mark").into()),
            }
        }
    }

    /// Reads the end of the body, so that the connection can be used again.
    pub(crate) async fn close(mut self) {
        while let Some(Ok(_)) = self.response.next(CLOSE_TIME).await {}
    }

    fn check(&mut self, data: &[u8]) -> Result<Event, Fault> {
        match serde_json::from_slice(data).map_err(|_| Fault::Unreadable)? {
            Wire::Token(token) if token.index == self.next_index => {
                self.next_index += 1;
                Ok(Event::Token(token))
            }
            Wire::Token(_) => Err(Fault::Order),
            Wire::Done(done) if done.request_id != self.request_id => Err(Fault::Foreign),
            Wire::Done(done) if done.tokens != self.next_index => Err(Fault::Order),
            Wire::Done(done) => Ok(Event::Done(done)),
            Wire::Broken(broken) => Err(Fault::Engine(broken.error)),
        }
    }
}

const CLOSE_TIME: Duration = Duration::from_millis(200);
