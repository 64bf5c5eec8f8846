//! Reading of a request's body, after its head.

use std::{
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::pin,
    task::Poll,
};

use board::hash;
use bytes::Bytes;
use http::{StatusCode, header};
use monoio::io::AsyncWriteRentExt;

use super::{
    channel::Writer,
    coding::{BodyDecoder, BodyError, Collector, Progress},
    framing::{self, Framing},
    guard::{Budget, Limit, READ_BYTES_MAX},
    limits::Limits,
    memory::Memory,
    reply::Reply,
    server::Request,
    session::{Decoder, Head},
    store::{NoRoom, Store},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A reply that refuses a request, and the reason for metrics.
pub(crate) struct Refusal {
    pub(crate) reason: &'static str,
    pub(crate) reply: Reply,
}

/// Reads the rest of the request that starts with `head`. Its body is charged to
/// `memory` until the last reference to it is dropped.
///
/// # Errors
///
/// The [`Refusal`] to send. The connection must be closed after it, since the
/// position of the next request is not known.
pub(crate) async fn read_request(
    decoder: &mut Decoder,
    head: Head,
    peer: SocketAddr,
    budget: &Budget,
    limits: &Limits,
    memory: &Memory,
    writer: &mut Writer,
) -> Result<Request, Refusal> {
    let framing = framing::from_headers(&head.headers).map_err(|e| Refusal {
        reason: "ambiguous-length",
        reply: Reply::error(StatusCode::BAD_REQUEST, "ambiguous-length", e.0),
    })?;
    let body = match framing {
        Framing::Empty | Framing::UntilClose => Bytes::new(),
        Framing::Length(_) | Framing::Chunked => {
            let key = limits
                .account_header
                .and_then(|name| head.headers.get(name));
            // The lowest bit keeps the hash apart from 0, which stands for no key.
            let account = key.map_or(0, |key| hash::hash_bytes(key.as_bytes(), 0) | 1);
            let mut store = Store::new(memory.charge_request(peer.ip(), account));
            if let Framing::Length(length) = framing {
                if length > limits.body_bytes {
                    return Err(too_large());
                }
                store
                    .reserve_exact(length, false)
                    .map_err(|NoRoom| out_of_body_memory())?;
            }
            if head.headers.contains_key(header::EXPECT) {
                let (result, _) = writer.write_all(CONTINUE).await;
                if result.is_err() {
                    return Err(bad_body());
                }
            }
            budget.allow_body(limits.body_time);
            read_body(decoder, framing, store, budget, limits).await?
        }
    };
    Ok(Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        peer,
    })
}

async fn read_body(
    decoder: &mut Decoder,
    framing: Framing,
    mut store: Store,
    budget: &Budget,
    limits: &Limits,
) -> Result<Bytes, Refusal> {
    let mut position = BodyDecoder::new(framing);
    let eviction = store.charge().eviction();
    let is_long = !matches!(framing, Framing::Length(length) if length < READ_BYTES_MAX);
    if is_long {
        decoder.read_buffer_mut().reserve(READ_BYTES_MAX);
    }
    let mut collector = Collector::new(&mut position, &mut store, limits.body_bytes);
    let progress = {
        let mut reading = pin!(decoder.next_with(&mut collector));
        poll_fn(|cx| {
            if eviction.poll(cx).is_ready() {
                return Poll::Ready(Some(Ok(Progress::NoRoom)));
            }
            reading.as_mut().poll(cx)
        })
        .await
    };
    match progress {
        Some(Ok(Progress::Done)) => store.into_bytes().ok_or_else(out_of_body_memory),
        Some(Ok(Progress::NoRoom)) => Err(out_of_body_memory()),
        Some(Err(BodyError::TooLarge | BodyError::TooMuchFraming)) => Err(too_large()),
        Some(Err(BodyError::Malformed | BodyError::Io(_))) | None => Err(incomplete_body(budget)),
    }
}

/// Returns the reply to a request whose body did not arrive completely.
fn incomplete_body(budget: &Budget) -> Refusal {
    match budget.exceeded() {
        Some(Limit::Bytes) => too_large(),
        Some(Limit::Time) => Refusal {
            reason: "body-too-slow",
            reply: Reply::error(
                StatusCode::REQUEST_TIMEOUT,
                "body-too-slow",
                "the request body did not arrive within the time limit",
            ),
        },
        Some(Limit::Memory) => out_of_body_memory(),
        None => bad_body(),
    }
}

/// The retry delay for a caller whose body exceeds the memory for bodies. One
/// second suffices, since most bodies are read in less.
const BODY_MEMORY_RETRY_S: &str = "1";

pub(crate) fn out_of_body_memory() -> Refusal {
    let reply = Reply::error(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-room",
        "the server's memory for request bodies is in use",
    );
    Refusal {
        reason: "no-room",
        reply: reply.header(header::RETRY_AFTER, BODY_MEMORY_RETRY_S),
    }
}

fn too_large() -> Refusal {
    Refusal {
        reason: "body-too-large",
        reply: Reply::error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-large",
            "the request body exceeds the size limit",
        ),
    }
}

fn bad_body() -> Refusal {
    Refusal {
        reason: "bad-body",
        reply: Reply::error(
            StatusCode::BAD_REQUEST,
            "bad-body",
            "the request body is incomplete or malformed",
        ),
    }
}
