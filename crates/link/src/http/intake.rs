//! Reading of a request after its head.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http::{StatusCode, header};
use monoio::io::AsyncWriteRentExt;
use monoio_http::{
    common::body::Body,
    h1::{codec::decoder::FillPayload, payload::Payload},
};

use super::{
    channel::Writer,
    framing::{self, Framing},
    guard::{Budget, Trip},
    limits::Limits,
    reply::Reply,
    server::Request,
    session::{Decoder, Head},
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// What the framing of a chunked body may add to it.
const BODY_SLACK: usize = 64 * 1024;

/// Reads the request that `head` starts.
///
/// # Errors
///
/// The [`Reply`] after which the connection must close, since the end of the
/// request is not known.
pub(crate) async fn read(
    decoder: &mut Decoder,
    head: Head,
    peer: SocketAddr,
    budget: &Budget,
    limits: &Limits,
    writer: &mut Writer,
) -> Result<Request, Reply> {
    let (parts, payload) = head.into_parts();
    let framing = framing::of_headers(&parts.headers)
        .map_err(|e| Reply::error(StatusCode::BAD_REQUEST, "ambiguous-length", e.0))?;
    if matches!(framing, Framing::Length(length) if length > limits.body_bytes) {
        return Err(too_large());
    }
    let has_body = matches!(framing, Framing::Length(_) | Framing::Chunked);
    if has_body && parts.headers.contains_key(header::EXPECT) {
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
        let part = part.map_err(|_| bad_body())?;
        if body.len() + part.len() > limits.body_bytes {
            return Err(too_large());
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

fn too_large() -> Reply {
    Reply::error(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-too-large",
        "the request body is over the limit",
    )
}

fn bad_body() -> Reply {
    Reply::error(
        StatusCode::BAD_REQUEST,
        "bad-body",
        "the request body is incomplete or malformed",
    )
}
