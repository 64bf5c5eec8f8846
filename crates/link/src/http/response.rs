//! Responses of peers, read completely or in parts.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use monoio_http::h1::{
    BorrowFramedRead,
    codec::decoder::{ChunkedBodyDecoder, FixedBodyDecoder, PayloadDecoder},
};

use super::{
    client::{Connection, Pool, read_error},
    error::{Error, Kind},
    framing::Framing,
    guard::READ_BYTES_MAX,
    limits::Limits,
};
use crate::fault;

/// How long the rest of a body that nobody needs is read. A new connection costs less
/// than reading for longer.
const DISCARD_TIME_MAX: Duration = Duration::from_millis(200);

/// A response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the request was also sent before, on an idle connection that
    /// closed without a response, so that the peer may have received it twice.
    /// A rejection then holds for the second one only.
    pub is_repeated: bool,
}

/// A response whose body is read in parts.
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the request was also sent before, on an idle connection that
    /// closed without a response, so that the peer may have received it twice.
    /// A rejection then holds for the second one only.
    pub is_repeated: bool,
    pub(crate) body: BodyReader,
}

impl Response {
    /// Returns the next part of the body, or `None` once the body is complete.
    ///
    /// # Errors
    ///
    /// [`Kind::Timeout`] after `timeout` without data, [`Kind::Incomplete`] if
    /// the peer closes the connection before the body is complete.
    pub async fn next(&mut self, timeout: Duration) -> Option<Result<Bytes, Error>> {
        self.body.next(timeout).await
    }

    /// Reads and drops the rest of the body in a task of its own, so that the
    /// connection can be used again. The connection is closed unless the body ends
    /// within [`DISCARD_TIME_MAX`].
    pub fn discard(mut self) {
        if self.body.is_done {
            return;
        }
        monoio::spawn(async move {
            // Dropping a response without its end closes the connection.
            let _ = monoio::time::timeout(DISCARD_TIME_MAX, self.collect()).await;
        });
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// As [`Response::next`], and [`Kind::Malformed`] if the body exceeds the
    /// size limit.
    pub async fn collect(&mut self) -> Result<Bytes, Error> {
        let timeout = self.body.limits.body_time;
        let mut all = BytesMut::new();
        while let Some(part) = self.body.next(timeout).await {
            let part = part?;
            if all.is_empty() && self.body.is_done {
                return Ok(part);
            }
            if all.len() + part.len() > self.body.limits.body_bytes {
                self.body.connection = None;
                return Err(Error::new(
                    Kind::Malformed,
                    "the body exceeds the size limit",
                ));
            }
            all.extend_from_slice(&part);
        }
        Ok(all.freeze())
    }
}

/// Reads the body of a response.
pub(crate) struct BodyReader {
    pub(crate) connection: Option<Connection>,
    pub(crate) decoder: PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>,
    pub(crate) framing: Framing,
    pub(crate) limits: Limits,
    pub(crate) is_done: bool,
    pub(crate) pool: Option<(Pool, SocketAddr)>,
}

impl BodyReader {
    async fn next(&mut self, timeout: Duration) -> Option<Result<Bytes, Error>> {
        if self.is_done {
            return None;
        }
        let connection = self.connection.as_mut()?;
        connection
            .budget
            .allow(self.limits.body_bytes + READ_BYTES_MAX, timeout);
        let peer = connection.peer;
        let hanging = fault::wait_while_hanging(peer);
        if fault::is_hanging(peer) && monoio::time::timeout(timeout, hanging).await.is_err() {
            self.connection = None;
            return Some(Err(Error::new(Kind::Timeout, "the peer sent nothing")));
        }
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
                self.is_done = matches!(self.framing, Framing::Length(_));
                return Some(Ok(data));
            }
            Some(Ok(None)) => {
                self.is_done = true;
                return None;
            }
            Some(Err(e)) => read_error(&connection.budget, e),
            None => Error::new(Kind::Incomplete, "the connection closed within the body"),
        };
        self.connection = None;
        Some(Err(failure))
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        if !self.is_done {
            return;
        }
        if let (Some(connection), Some((pool, peer))) = (self.connection.take(), self.pool.take()) {
            pool.release(peer, connection);
        }
    }
}
