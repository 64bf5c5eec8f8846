//! Reading of a request's body, after its head.

use std::{
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::pin,
    task::Poll,
};

use bytes::{Bytes, BytesMut};
use http::{StatusCode, header};
use monoio::io::AsyncWriteRentExt;
use monoio_http::{
    common::body::Body,
    h1::{codec::decoder::FillPayload, payload::Payload},
};

use super::{
    channel::Writer,
    drain::BodyReservation,
    framing::{self, Framing},
    guard::{Budget, Limit},
    limits::Limits,
    reply::Reply,
    server::Request,
    session::{Decoder, Head},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// How much the framing of a chunked body may add to its length.
const CHUNKED_OVERHEAD_BYTES_MAX: usize = 64 * 1024;

/// Reads the rest of the request that starts with `head`, and adds the memory
/// for its body to `reservation`.
///
/// # Errors
///
/// The [`Reply`] to send. The connection must be closed after it, since the
/// position of the next request is not known.
pub(crate) async fn read_request(
    decoder: &mut Decoder,
    head: Head,
    peer: SocketAddr,
    budget: &Budget,
    limits: &Limits,
    reservation: &mut BodyReservation<'_>,
    writer: &mut Writer,
) -> Result<Request, Reply> {
    let (parts, payload) = head.into_parts();
    let framing = framing::from_headers(&parts.headers)
        .map_err(|e| Reply::error(StatusCode::BAD_REQUEST, "ambiguous-length", e.0))?;
    if let Framing::Length(length) = framing {
        if length > limits.body_bytes {
            return Err(too_large());
        }
        if !reservation.try_reserve(length) {
            return Err(out_of_body_memory());
        }
    }
    let has_body = matches!(framing, Framing::Length(_) | Framing::Chunked);
    if has_body && parts.headers.contains_key(header::EXPECT) {
        let (result, _) = writer.write_all(CONTINUE).await;
        if result.is_err() {
            return Err(bad_body());
        }
    }
    budget.allow(
        limits.body_bytes + CHUNKED_OVERHEAD_BYTES_MAX,
        limits.body_time,
    );
    let has_reservation = matches!(framing, Framing::Length(_));
    let reservation = (!has_reservation).then_some(reservation);
    let body = read_body(decoder, payload, budget, limits, reservation).await?;
    Ok(Request {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        peer,
    })
}

/// Reads a body. Memory is reserved part by part if `reservation` is given; it
/// is `None` if the memory for the complete body is reserved already.
async fn read_body(
    decoder: &mut Decoder,
    mut payload: Payload,
    budget: &Budget,
    limits: &Limits,
    mut reservation: Option<&mut BodyReservation<'_>>,
) -> Result<Bytes, Reply> {
    let mut body = BytesMut::new();
    let mut filling = pin!(decoder.fill_payload());
    let mut is_filled = false;
    loop {
        // A part that is ready is handled before more is read, so that the
        // memory in use does not exceed the reservation.
        let part = poll_fn(|cx| {
            let part = pin!(payload.next_data()).poll(cx);
            if part.is_ready() || is_filled {
                return part.map(Ok);
            }
            match filling.as_mut().poll(cx) {
                Poll::Ready(Ok(())) => {
                    is_filled = true;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                Poll::Ready(Err(_)) => Poll::Ready(Err(incomplete_body(budget))),
                Poll::Pending => Poll::Pending,
            }
        });
        let Some(part) = part.await? else {
            return Ok(body.freeze());
        };
        let part = part.map_err(|_| bad_body())?;
        if body.len() + part.len() > limits.body_bytes {
            return Err(too_large());
        }
        if reservation
            .as_mut()
            .is_some_and(|reservation| !reservation.try_reserve(part.len()))
        {
            return Err(out_of_body_memory());
        }
        body.extend_from_slice(&part);
    }
}

/// Returns the reply to a request whose body did not arrive completely.
fn incomplete_body(budget: &Budget) -> Reply {
    match budget.exceeded() {
        Some(Limit::Bytes) => too_large(),
        Some(Limit::Time) => Reply::error(
            StatusCode::REQUEST_TIMEOUT,
            "body-too-slow",
            "the request body did not arrive within the time limit",
        ),
        None => bad_body(),
    }
}

/// The retry delay for a caller whose body exceeds the memory for bodies. One
/// second suffices, since most bodies are read in less.
const BODY_MEMORY_RETRY_S: &str = "1";

fn out_of_body_memory() -> Reply {
    Reply::error(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-room",
        "the server's memory for request bodies is in use",
    )
    .header(header::RETRY_AFTER, BODY_MEMORY_RETRY_S)
}

fn too_large() -> Reply {
    Reply::error(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-too-large",
        "the request body exceeds the size limit",
    )
}

fn bad_body() -> Reply {
    Reply::error(
        StatusCode::BAD_REQUEST,
        "bad-body",
        "the request body is incomplete or malformed",
    )
}
