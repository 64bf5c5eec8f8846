//! Headers that concern one connection only.

use http::HeaderMap;

/// Their names, and those that a client or server sets itself.
const HOP: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers that may be passed on: neither those of this connection,
/// which it may name itself, nor those in `own`.
///
/// # Examples
///
/// ```
/// use tarragonseam_link::{HeaderMap, http::passed_on};
///
/// let mut headers = HeaderMap::new();
/// for name in ["x-key", "x-trace", "x-hop", "te"] {
///     headers.insert(name, "1".parse().unwrap());
/// }
/// headers.insert("connection", "close, X-Hop".parse().unwrap());
/// let passed = passed_on(&headers, &["x-key"]);
/// assert_eq!(passed.keys().map(|name| name.as_str()).collect::<Vec<_>>(), ["x-trace"]);
/// ```
pub fn passed_on(headers: &HeaderMap, own: &[&str]) -> HeaderMap {
    let connection = headers.get_all("connection").iter();
    let named: Vec<String> = connection
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut out = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_dropped =
            HOP.contains(&text) || own.contains(&text) || named.iter().any(|n| n == text);
        if !is_dropped {
            out.append(name.clone(), value.clone());
        }
    }
    out
}
