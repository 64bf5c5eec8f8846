//! Cuts of the links between VMs, and fenced requests held back, for tests only.
//!
//! A daemon takes them at `POST /fault` on its admin address when its settings
//! say `test_faults = true`. A cut drops datagrams; a question over TCP needs
//! both ways, so a cut in either way fails it. The switches belong to the
//! thread, as a daemon's sockets do.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

board::record! {
    /// Which links are cut.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Cuts {
        /// Peers that nothing is sent to.
        pub to: Vec<SocketAddr>,
        /// Peers that nothing is taken from.
        pub from: Vec<SocketAddr>,
        /// Paths whose fenced requests wait until they are named here no more,
        /// as if the process stood still before their bytes leave.
        pub hold: Vec<String>,
    }
}

thread_local! {
    static CUTS: RefCell<Cuts> = RefCell::default();
    static HELD_PATHS: RefCell<Vec<String>> = RefCell::default();
}

const HOLD_POLL_PERIOD: Duration = Duration::from_millis(20);

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

/// Returns the paths of the fenced requests that are held back now.
pub fn held_paths() -> Vec<String> {
    HELD_PATHS.with(|held_paths| held_paths.borrow().clone())
}

/// Waits while fenced requests to `path` are held back.
pub(crate) async fn wait_while_held(path: &str) {
    let is_held = || CUTS.with(|cuts| cuts.borrow().hold.iter().any(|held| held == path));
    if !is_held() {
        return;
    }
    HELD_PATHS.with(|held_paths| held_paths.borrow_mut().push(path.to_string()));
    while is_held() {
        monoio::time::sleep(HOLD_POLL_PERIOD).await;
    }
    HELD_PATHS.with(|held_paths| {
        let mut held_paths = held_paths.borrow_mut();
        if let Some(index) = held_paths.iter().position(|other| other == path) {
            held_paths.remove(index);
        }
    });
}
