//! A check of the lines of a head that the decoders of `monoio-http` do not make.
//!
//! Those take a line feed without a carriage return for the end of a line, and an empty
//! line of that form for the end of the head. They discard what then follows up to an
//! empty line with a carriage return, so a header is lost, or the body begins at another
//! byte than its sender meant.

use bytes::BytesMut;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::DecodeError;

/// A decoder of heads that refuses those with a line feed without a carriage return.
#[derive(Debug, Default)]
pub(crate) struct Strict<D>(D);

impl<D: Decoder<Error = DecodeError>> Decoder for Strict<D> {
    type Item = D::Item;
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<D::Item>, DecodeError> {
        if has_bare_line_feed(src) {
            return Err(DecodeError::Header);
        }
        self.0.decode(src)
    }
}

/// Returns whether a line of the head at the start of `input`, which may be incomplete,
/// ends without a carriage return.
fn has_bare_line_feed(input: &[u8]) -> bool {
    let mut is_first = true;
    for line in input.split_inclusive(|byte| *byte == b'\n') {
        let Some(text) = line.strip_suffix(b"\n") else {
            return false;
        };
        match text.strip_suffix(b"\r") {
            None => return true,
            // An empty line ends the head, but for one before the head.
            Some(b"") if !is_first => return false,
            Some(_) => is_first = false,
        }
    }
    false
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bare_line_feed_in_head_only() {
        for (input, expected) in [
            ("", false),
            ("HTTP/1.1 200 OK", false),
            ("HTTP/1.1 200 OK\r", false),
            ("HTTP/1.1 200 OK\r\na: b\r\n\r\nbody\n\n", false),
            ("\r\nHTTP/1.1 200 OK\r\n\r\nbody\n\n", false),
            ("\nHTTP/1.1 200 OK\r\n\r\n", true),
            ("HTTP/1.1 200 OK\n", true),
            ("HTTP/1.1 200 OK\r\na: b\n\r\n", true),
            ("HTTP/1.1 200 OK\r\n\na: b\r\n\r\n", true),
            ("\r\nHTTP/1.1 200 OK\r\na\n: b\r\n\r\n", true),
        ] {
            assert_eq!(has_bare_line_feed(input.as_bytes()), expected, "{input:?}");
        }
    }
}
