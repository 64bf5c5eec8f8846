//! Encoding of text in the target of a request.

use std::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// The characters that are encoded: all but the unreserved ones of RFC 3986.
const ENCODED_CHARACTERS: AsciiSet = NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes text that may contain any character as a segment of a path, or as a value in
/// a query.
///
/// # Examples
///
/// ```
/// use tarragonseam_link::http::encode_component;
///
/// assert_eq!(encode_component("i-7f3a91c2").to_string(), "i-7f3a91c2");
/// assert_eq!(encode_component("a/b&c d").to_string(), "a%2Fb%26c%20d");
/// ```
pub fn encode_component(text: &str) -> impl fmt::Display {
    utf8_percent_encode(text, &ENCODED_CHARACTERS)
}
