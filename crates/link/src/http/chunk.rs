//! Encoding of responses, complete or in chunks.
//!
//! The encoder of `monoio-http` buffers chunks until its buffer is full, which
//! would delay each token of a stream. Here each chunk is encoded on its own,
//! so that it can be written at once.

use std::io::Write;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// The last chunk, which ends a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How a response indicates the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Extent {
    /// By its length in bytes.
    Length(usize),
    /// By an empty last chunk.
    Chunked,
    /// Not at all: there is no body. A `content-length` header, as in the
    /// response to a HEAD request, gives the length of the body that a GET
    /// request would return.
    Implied,
}

/// Returns the head of a response.
pub(crate) fn encode_head(status: StatusCode, headers: &HeaderMap, extent: Extent) -> Vec<u8> {
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
    let _ = match extent {
        Extent::Length(length) => write!(out, "content-length: {length}\r\n\r\n"),
        Extent::Chunked => write!(out, "transfer-encoding: chunked\r\n\r\n"),
        Extent::Implied => write!(out, "\r\n"),
    };
    out
}

/// Encodes `data` as one chunk.
pub(crate) fn encode_chunk(data: &Bytes) -> Vec<u8> {
    let mut out = Vec::with_capacity(data.len() + 16);
    // Writing to a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}
