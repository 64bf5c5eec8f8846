//! Network access and clocks for the daemons: HTTP, links between peers, the
//! platform client and telemetry, all on monoio's epoll driver.

pub mod clock;
pub mod daemon;
pub mod event;
pub mod fault;
pub mod feed;
pub mod follow;
pub mod gossip;
pub mod http;
pub mod load;
pub mod log;
pub mod net;
pub mod notify;
pub mod peer;
pub mod platform;
pub mod rate;
pub mod runtime;
pub mod settings;
pub mod telemetry;
pub(crate) mod traffic;
pub mod worker;

pub use ::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
pub use bytes::Bytes;

/// Returns `text` as a header value, or an empty value if `text` is not valid
/// in a header.
pub fn header_value(text: &str) -> ::http::HeaderValue {
    ::http::HeaderValue::from_str(text).unwrap_or(::http::HeaderValue::from_static(""))
}
