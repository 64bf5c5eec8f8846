//! Writing of a streamed response.
//!
//! The encoder of `monoio-http` holds chunks back until its buffer is full,
//! which would delay each token of a stream. This writer flushes each chunk.

use std::io::Write;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// The end mark of a chunked body.
pub(crate) const END: &[u8] = b"0\r\n\r\n";

/// Returns the head of a response, chunked where no `length` is given.
pub(crate) fn head(status: StatusCode, headers: &HeaderMap, length: Option<usize>) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    let reason = status.canonical_reason().unwrap_or("Status");
    // Writing to a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {} {reason}\r\n", status.as_str());
    for (name, value) in headers {
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    let _ = match length {
        Some(length) => write!(out, "content-length: {length}\r\n\r\n"),
        None => write!(out, "transfer-encoding: chunked\r\n\r\n"),
    };
    out
}

/// Returns `data` as one chunk.
pub(crate) fn frame(data: &Bytes) -> Vec<u8> {
    let mut out = Vec::with_capacity(data.len() + 16);
    // Writing to a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}
