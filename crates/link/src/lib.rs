//! Sockets and clocks for the daemons: HTTP, peer links, the platform client
//! and telemetry, all on monoio's epoll driver.

pub mod http;
pub mod net;
pub mod runtime;

pub use ::http::{HeaderMap, Method, StatusCode};
pub use bytes::Bytes;
