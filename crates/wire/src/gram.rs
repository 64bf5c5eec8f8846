//! Datagrams between VMs.

use board::{member::Packet, shared::Item};

/// The largest datagram, in bytes, so that none is split on its way.
pub const GRAM_MAX: usize = 1400;

board::record! {
    /// One datagram.
    pub enum Gram {
        /// Failure detection and digests.
        Member(Packet),
        /// Facts that are news to the sender.
        News(Vec<Item>),
        /// Loads of endpoints that the sender reads.
        Loads(Vec<Report>),
    }
}

board::record! {
    /// The load of one endpoint, a few bytes long.
    copy pub struct Report {
        /// Hash of the endpoint's name.
        pub endpoint: u32,
        /// Requests that run.
        pub in_flight: u16,
        /// Requests that wait.
        pub queued: u16,
        /// Requests that can run at once.
        pub slots: u16,
        /// The version of the weights of its own model, 0 for none.
        pub version: u64,
        /// Age of the report when it was sent, in milliseconds.
        pub age_ms: u16,
    }
}
