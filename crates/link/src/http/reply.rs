//! Replies of a server: complete, streamed, or a disconnect.

use std::{future::Future, pin::Pin};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header::IntoHeaderName};
use serde::Serialize;

use super::pipe;

/// The sending end of a streamed reply.
pub type Sender = pipe::Sender<Part>;

/// One part of a streamed reply.
#[derive(Debug)]
pub enum Part {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the body, which is complete.
    End,
}

const STREAM_PARTS_MAX: usize = 16;

/// The reply to a request.
#[derive(Debug)]
pub struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: Box<HeaderMap>,
    pub(crate) body: Content,
}

/// The future that produces the parts of a stream while the connection writes
/// them.
pub(crate) type Producer = Pin<Box<dyn Future<Output = ()>>>;

pub(crate) enum Content {
    Complete(Bytes),
    Stream(pipe::Receiver<Part>, Option<Producer>),
    Cut,
}

impl std::fmt::Debug for Content {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Complete(body) => write!(f, "Complete({} bytes)", body.len()),
            Self::Stream(..) => f.write_str("Stream"),
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
    /// Returns a reply with `body`.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Box::default(),
            body: Content::Complete(body.into()),
        }
    }

    /// Returns a reply with `value` as JSON.
    pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, body).header("content-type", "application/json"),
            Err(_) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        }
    }

    /// Returns an error as JSON: the stable code `error` and the description
    /// `detail`.
    pub fn error(status: StatusCode, error: &str, detail: &str) -> Self {
        Self::json(status, &Failure { error, detail })
    }

    /// Returns a streamed reply and the sender for its parts.
    ///
    /// If the sender is dropped before [`Part::End`] was sent, the connection
    /// is closed, so that the caller sees an incomplete body.
    pub fn stream(status: StatusCode) -> (Self, Sender) {
        let (sender, receiver) = pipe::pair(STREAM_PARTS_MAX);
        let reply = Self {
            status,
            headers: Box::default(),
            body: Content::Stream(receiver, None),
        };
        (reply, sender)
    }

    /// Returns a streamed reply whose parts are sent by the future that
    /// `produce` returns.
    ///
    /// The connection polls this future itself, and drops it as soon as the
    /// caller disconnects.
    pub fn produced<F>(status: StatusCode, produce: impl FnOnce(Sender) -> F) -> Self
    where
        F: Future<Output = ()> + 'static,
    {
        let (mut reply, sender) = Self::stream(status);
        if let Content::Stream(_, producer) = &mut reply.body {
            *producer = Some(Box::pin(produce(sender)));
        }
        reply
    }

    /// Returns a reply that closes the connection without sending a response.
    pub fn cut() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            headers: Box::default(),
            body: Content::Cut,
        }
    }

    /// Sets one header. A value that is not valid in a header is left out.
    pub fn header(mut self, name: impl IntoHeaderName, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Returns the headers for modification.
    pub fn headers_mut(&mut self) -> &mut HeaderMap {
        &mut self.headers
    }

    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.status
    }
}
