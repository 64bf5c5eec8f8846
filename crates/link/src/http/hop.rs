//! Hop-by-hop headers, which concern one connection only.

use http::HeaderMap;

/// The hop-by-hop headers, and those that a client or server sets itself.
const CONNECTION_HEADERS: [&str; 12] = [
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

/// Returns the headers that may be forwarded. Left out are hop-by-hop headers,
/// those that the `connection` header names, and those in `excluded`.
///
/// # Examples
///
/// ```
/// use tarragonseam_link::{HeaderMap, http::forwarded_headers};
///
/// let mut headers = HeaderMap::new();
/// for name in ["x-key", "x-trace", "x-hop", "te"] {
///     headers.insert(name, "1".parse().unwrap());
/// }
/// headers.insert("connection", "close, X-Hop".parse().unwrap());
/// let forwarded = forwarded_headers(&headers, &["x-key"]);
/// assert_eq!(forwarded.keys().map(|name| name.as_str()).collect::<Vec<_>>(), ["x-trace"]);
/// ```
pub fn forwarded_headers(headers: &HeaderMap, excluded: &[&str]) -> HeaderMap {
    let connection = headers.get_all("connection").iter();
    let connection_options: Vec<String> = connection
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut out = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_excluded = CONNECTION_HEADERS.contains(&text)
            || excluded.contains(&text)
            || connection_options.iter().any(|n| n == text);
        if !is_excluded {
            out.append(name.clone(), value.clone());
        }
    }
    out
}
