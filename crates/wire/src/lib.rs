//! Messages between the project's own processes, in postcard.

pub mod frame;
pub mod message;

pub use frame::{Error, decode, encode};
pub use message::{Answer, Ask};
