//! The state that decisions read and write.

pub mod hash;
