//! A check made right before a request is written.

use std::{fmt, rc::Rc, time::Duration};

/// How long writing a fenced request may take.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a fenced request may stay unacknowledged by the peer's kernel.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// A check that must hold right before a request is written, for instance that
/// a lease is still held.
///
/// A process can be paused between any two instructions, so a check alone does
/// not bound when a request arrives. Therefore a fenced request is checked once
/// its connection is open, its write is abandoned after `WRITE_TIMEOUT`, and
/// its connection is closed if the peer does not acknowledge the bytes within
/// `ACK_TIMEOUT`.
#[derive(Clone)]
pub struct Fence(Rc<dyn Fn() -> bool>);

impl Fence {
    /// Returns a fence that admits requests while `is_open` returns true.
    pub fn new(is_open: impl Fn() -> bool + 'static) -> Self {
        Self(Rc::new(is_open))
    }

    pub(crate) fn is_open(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Fence")
    }
}
