//! A counter of changes that tasks can wait on.

pub use link::notify::Notifier;
