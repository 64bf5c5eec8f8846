//! Checks of message framing that the decoder of `monoio-http` does not make.

use http::{HeaderMap, Method, StatusCode, header};

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// No body follows.
    Empty,
    /// A body of this many bytes follows.
    Length(usize),
    /// A chunked body follows.
    Chunked,
    /// The headers declare no framing, so only the close of the connection
    /// would end a body.
    UntilClose,
}

/// Framing headers that contradict each other or cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ambiguous(pub(crate) &'static str);

/// Returns the framing that `headers` declare.
pub(crate) fn from_headers(headers: &HeaderMap) -> Result<Framing, Ambiguous> {
    let is_chunked = is_chunked(headers)?;
    let length = content_length(headers)?;
    match (is_chunked, length) {
        (true, Some(_)) => Err(Ambiguous("both content-length and transfer-encoding")),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(0)) => Ok(Framing::Empty),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

/// Returns the framing of a response to a request with `method`.
pub(crate) fn from_response(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, Ambiguous> {
    let framing = from_headers(headers)?;
    let has_no_body = *method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    Ok(if has_no_body { Framing::Empty } else { framing })
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, Ambiguous> {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else {
        return Ok(false);
    };
    if values.next().is_some() || !value.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err(Ambiguous(
            "unsupported transfer-encoding: only chunked is accepted",
        ));
    }
    Ok(true)
}

fn content_length(headers: &HeaderMap) -> Result<Option<usize>, Ambiguous> {
    let mut declared = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let length = parse_length(value.as_bytes())?;
        if declared.is_some_and(|other| other != length) {
            return Err(Ambiguous("different content-length values"));
        }
        declared = Some(length);
    }
    Ok(declared)
}

fn parse_length(value: &[u8]) -> Result<usize, Ambiguous> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(Ambiguous("unreadable content-length"));
    }
    std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(Ambiguous("unreadable content-length"))
}
