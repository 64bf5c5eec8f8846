//! Decoding of parts of a request's target.

use percent_encoding::percent_decode_str;

/// Decodes a part of a target. Returns `None` if it has
/// a percent sign without two hexadecimal digits, or is not UTF-8.
pub(crate) fn decode(text: &str) -> Option<String> {
    let is_octet = |rest: &str| {
        let digits = rest.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    };
    if !text.split('%').skip(1).all(is_octet) {
        return None;
    }
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}

/// As [`decode`], for a value in a query, where a plus sign stands for a blank.
pub(crate) fn decode_query(text: &str) -> Option<String> {
    decode(&text.replace('+', " "))
}
