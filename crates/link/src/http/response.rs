//! Responses of peers, read completely or in parts.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use monoio_http::h1::BorrowFramedRead;

use super::{
    client::{Connection, Pool, read_error},
    coding::{BodyDecoder, BodyError, Collector, Parts, Progress},
    error::{Error, Kind},
    framing::Framing,
    limits::Limits,
    memory::{Holding, Memory},
    store::{NoRoom, Store},
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

    /// Returns what an event of the body holds until it is complete, nothing at first.
    pub fn event_holding(&self) -> Holding {
        Holding::of_event(&self.body.unfinished)
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

    /// Reads the rest of the body. Waits while the memory of the pool is in use by
    /// other answers and requests; the peer keeps what does not fit.
    ///
    /// # Errors
    ///
    /// As [`Response::next`], and [`Kind::Malformed`] if the body exceeds the
    /// size limit.
    pub async fn collect(&mut self) -> Result<Bytes, Error> {
        let collected = self.body.collect().await;
        if collected.is_err() {
            self.body.connection = None;
        }
        collected
    }
}

/// Reads the body of a response.
pub(crate) struct BodyReader {
    pub(crate) connection: Option<Connection>,
    pub(crate) decoder: BodyDecoder,
    pub(crate) framing: Framing,
    pub(crate) limits: Limits,
    pub(crate) memory: Memory,
    pub(crate) unfinished: Memory,
    pub(crate) is_done: bool,
    pub(crate) pool: Option<(Pool, SocketAddr)>,
}

/// Answers up to this size are read even if the budget has no room, so that
/// ordinary callers are answered while it is used up.
const SMALL_ANSWER_BYTES_MAX: usize = 16 * 1024;

impl BodyReader {
    async fn next(&mut self, timeout: Duration) -> Option<Result<Bytes, Error>> {
        if self.is_done {
            return None;
        }
        if let Err(e) = self.expect_data(timeout).await {
            self.connection = None;
            return Some(Err(e));
        }
        let connection = self.connection.as_mut()?;
        let framed = connection.reader.framed_mut();
        let part = framed.next_with(&mut Parts(&mut self.decoder)).await;
        let failure = match part {
            Some(Ok(Some(data))) => {
                self.is_done = self.decoder.is_done();
                return Some(Ok(data));
            }
            Some(Ok(None)) => {
                self.is_done = true;
                return None;
            }
            Some(Err(e)) => read_error(&connection.budget, e),
            None => closed_early(),
        };
        self.connection = None;
        Some(Err(failure))
    }

    /// Sets the limits for the next bytes.
    async fn expect_data(&self, timeout: Duration) -> Result<(), Error> {
        let Some(connection) = &self.connection else {
            return Ok(());
        };
        let peer = connection.peer;
        let hanging = fault::wait_while_hanging(peer);
        if fault::is_hanging(peer) && monoio::time::timeout(timeout, hanging).await.is_err() {
            return Err(Error::new(Kind::Timeout, "the peer sent nothing"));
        }
        match self.framing {
            Framing::Chunked => connection.budget.allow_while_sending(timeout),
            _ => connection.budget.allow(usize::MAX, timeout),
        }
        Ok(())
    }

    async fn collect(&mut self) -> Result<Bytes, Error> {
        if self.is_done {
            return Ok(Bytes::new());
        }
        let timeout = self.limits.body_time;
        let mut store = Store::new(self.memory.charge_answer());
        if let Framing::Length(length) = self.framing {
            self.reserve(&mut store, length).await?;
        }
        loop {
            self.expect_data(timeout).await?;
            let Some(connection) = self.connection.as_mut() else {
                return Err(closed_early());
            };
            let framed = connection.reader.framed_mut();
            let mut collector =
                Collector::new(&mut self.decoder, &mut store, self.limits.body_bytes);
            match framed.next_with(&mut collector).await {
                Some(Ok(Progress::Done)) => break,
                Some(Ok(Progress::NoRoom)) => {
                    let more = framed.read_buffer().len();
                    let length = store.len() + more;
                    self.reserve(&mut store, length).await?;
                }
                Some(Err(BodyError::TooLarge)) => {
                    return Err(Error::new(Kind::Malformed, BodyError::TooLarge));
                }
                Some(Err(e)) => return Err(read_error(&connection.budget, e)),
                None => return Err(closed_early()),
            }
        }
        self.is_done = true;
        store.into_bytes().ok_or_else(closed_early)
    }

    /// Makes room for a body of `bytes`, for which it waits within the time limit.
    async fn reserve(&self, store: &mut Store, bytes: usize) -> Result<(), Error> {
        let reserving = async {
            let is_small = bytes <= SMALL_ANSWER_BYTES_MAX;
            while store.reserve_exact(bytes, is_small) == Err(NoRoom) {
                self.memory.wait_for_release().await;
            }
        };
        let reserved = monoio::time::timeout(self.limits.body_time, reserving).await;
        reserved.map_err(|_| Error::new(Kind::Timeout, "no memory for the answer"))
    }
}

fn closed_early() -> Error {
    Error::new(Kind::Incomplete, "the connection closed within the body")
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
