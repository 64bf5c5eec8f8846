//! Cuts of the links between VMs, for tests only.
//!
//! A daemon takes them at `POST /fault` on its admin address when its settings
//! say `test_faults = true`. A cut drops datagrams; a question over TCP needs
//! both ways, so a cut in either way fails it. The switches belong to the
//! thread, as a daemon's sockets do.

use std::{cell::RefCell, net::SocketAddr};

board::record! {
    /// Which links are cut.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Cuts {
        /// Peers that nothing is sent to.
        pub to: Vec<SocketAddr>,
        /// Peers that nothing is taken from.
        pub from: Vec<SocketAddr>,
    }
}

thread_local! {
    static CUTS: RefCell<Cuts> = RefCell::default();
}

/// Sets the cuts of this thread's links.
///
/// # Examples
///
/// ```
/// use tarragonseam_link::fault::{self, Cuts};
///
/// let peer = "127.0.0.1:7000".parse().unwrap();
/// fault::set(Cuts { to: vec![peer], ..Cuts::default() });
/// assert!(fault::is_cut_to(peer) && !fault::is_cut_from(peer));
/// ```
pub fn set(cuts: Cuts) {
    CUTS.with(|current| *current.borrow_mut() = cuts);
}

/// Returns whether nothing is sent to `peer`.
pub fn is_cut_to(peer: SocketAddr) -> bool {
    CUTS.with(|cuts| cuts.borrow().to.contains(&peer))
}

/// Returns whether nothing is taken from `peer`.
pub fn is_cut_from(peer: SocketAddr) -> bool {
    CUTS.with(|cuts| cuts.borrow().from.contains(&peer))
}
