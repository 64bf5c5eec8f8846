//! Fault injection for tests: cut links and delayed fenced requests.
//!
//! A daemon accepts faults at `POST /fault` on its admin address when its
//! settings contain `test_faults = true`. A cut drops datagrams in one
//! direction. A request over TCP needs both directions, so it fails if either
//! is cut. The faults are thread-local, because a daemon uses its sockets from
//! one thread.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use http::StatusCode;

use crate::http::{Reply, Request};

board::record! {
    /// The faults in force.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Faults {
        /// Peers to which nothing is sent.
        pub to: Vec<SocketAddr>,
        /// Peers from which everything is dropped.
        pub from: Vec<SocketAddr>,
        /// Paths whose fenced requests are held back until the path is removed
        /// from this list, as if the process were paused before sending them.
        pub hold: Vec<String>,
        /// Peers to which TCP connections hang, open ones included.
        pub hang: Vec<SocketAddr>,
        /// Peers to which no TCP connection is opened. Open ones live on.
        pub refuse: Vec<SocketAddr>,
        /// How long the machine seems to have been suspended, in milliseconds.
        pub suspended_ms: u64,
    }
}

thread_local! {
    static FAULTS: RefCell<Faults> = RefCell::default();
    static HELD_PATHS: RefCell<Vec<String>> = RefCell::default();
}

const HOLD_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Replaces the faults of this thread.
///
/// # Examples
///
/// ```
/// use tarragonseam_link::fault::{self, Faults};
///
/// let peer = "127.0.0.1:7000".parse().unwrap();
/// fault::set(Faults { to: vec![peer], ..Faults::default() });
/// assert!(fault::is_cut_to(peer) && !fault::is_cut_from(peer));
/// ```
pub fn set(faults: Faults) {
    FAULTS.with(|current| *current.borrow_mut() = faults);
}

/// Returns whether the link to `peer` is cut.
pub fn is_cut_to(peer: SocketAddr) -> bool {
    FAULTS.with(|faults| faults.borrow().to.contains(&peer))
}

/// Returns whether the link from `peer` is cut.
pub fn is_cut_from(peer: SocketAddr) -> bool {
    FAULTS.with(|faults| faults.borrow().from.contains(&peer))
}

/// Returns the paths of the fenced requests that are currently held back.
pub fn held_paths() -> Vec<String> {
    HELD_PATHS.with(|held_paths| held_paths.borrow().clone())
}

/// Returns whether no TCP connection to `peer` can be opened.
pub(crate) fn is_refused_by(peer: SocketAddr) -> bool {
    FAULTS.with(|faults| faults.borrow().refuse.contains(&peer))
}

/// Returns whether TCP connections to `peer` hang.
pub(crate) fn is_hanging(peer: SocketAddr) -> bool {
    FAULTS.with(|faults| faults.borrow().hang.contains(&peer))
}

/// Returns for how long the machine seems to have been suspended.
pub(crate) fn suspension() -> Duration {
    FAULTS.with(|faults| Duration::from_millis(faults.borrow().suspended_ms))
}

/// Waits while TCP connections to `peer` hang.
pub(crate) async fn wait_while_hanging(peer: SocketAddr) {
    while is_hanging(peer) {
        monoio::time::sleep(HOLD_POLL_PERIOD).await;
    }
}

/// Replaces the faults of this thread by those in the body of `request`.
pub fn answer(request: &Request) -> Reply {
    match serde_json::from_slice(&request.body) {
        Ok(faults) => {
            set(faults);
            Reply::new(StatusCode::OK, "set\n")
        }
        Err(e) => Reply::error(StatusCode::BAD_REQUEST, "bad-faults", &e.to_string()),
    }
}

/// Waits while fenced requests to `path` are held back.
pub(crate) async fn wait_while_held(path: &str) {
    let is_held = || FAULTS.with(|faults| faults.borrow().hold.iter().any(|held| held == path));
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
