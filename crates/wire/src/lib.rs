//! Messages between the project's own processes, in postcard.

pub mod frame;
pub mod gram;
pub mod message;

pub use frame::{Error, decode, encode};
pub use gram::Gram;
pub use message::{Answer, Ask};
