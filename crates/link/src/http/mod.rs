//! HTTP/1.1 for monoio: a server and a pooled client over `monoio-http`.
//!
//! The decoder of `monoio-http` trusts its peer: it buffers a head of any size,
//! waits without a time limit and reports a response without framing as empty.
//! This module adds limits, and reports a body as complete only if its framing
//! proves it.

pub(crate) mod body;
pub(crate) mod call;
pub(crate) mod channel;
pub(crate) mod chunk;
pub mod client;
pub(crate) mod coding;
pub(crate) mod drain;
pub mod error;
pub(crate) mod fence;
pub(crate) mod framing;
pub(crate) mod guard;
pub(crate) mod head;
pub(crate) mod hop;
pub mod limits;
pub mod memory;
pub mod opening;
pub mod pipe;
pub(crate) mod refusal;
pub(crate) mod reply;
pub(crate) mod response;
pub mod server;
pub(crate) mod session;
pub(crate) mod store;
pub(crate) mod target;
pub mod tls;

pub use client::{Pool, Response};
pub use error::Error;
pub use hop::forwarded_headers;
pub use limits::Limits;
pub use memory::Memory;
pub use server::{Reply, Request};
pub use target::encode_component;
pub use tls::Tls;
