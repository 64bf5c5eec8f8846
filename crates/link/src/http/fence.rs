//! A check made right before the bytes of a request leave.

use std::{fmt, rc::Rc, time::Duration};

/// How long the write of a fenced request may take.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the peer may leave the bytes of a fenced request unacknowledged.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// A check that must hold when a request leaves.
///
/// A process can be paused between any two of its steps. A fenced request is
/// checked after its connection stands, then is written or given up within a
/// second, and its connection is dropped once the peer has not acknowledged
/// the bytes for two.
#[derive(Clone)]
pub struct Fence(Rc<dyn Fn() -> bool>);

impl Fence {
    /// Returns a fence that lets a request go while `is_open` holds.
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
