//! The messages that the project's own processes exchange, encoded in postcard.

pub mod datagram;
pub mod frame;
pub mod message;

pub use datagram::Datagram;
pub use frame::{Error, decode, encode};
pub use message::{Request, Response};
