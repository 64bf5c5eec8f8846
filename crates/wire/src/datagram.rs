//! Datagrams between VMs.

use board::{member::Packet, shared::Item};

/// The largest datagram, in bytes, so that none is split on its way.
pub const DATAGRAM_BYTES_MAX: usize = 1400;

board::record! {
    /// One datagram.
    pub enum Datagram {
        /// Failure detection and digests.
        Member(Packet),
        /// Facts that are news to the sender.
        Facts(Vec<Item>),
        /// Loads of endpoints that the sender reads.
        Loads(Vec<Report>),
    }
}

/// The unit of the age of a report, in milliseconds.
pub const AGE_UNIT_MS: u64 = 100;

board::record! {
    /// The load of one endpoint, a few bytes long.
    copy pub struct Report {
        /// Hash of the endpoint's name, which as a number would take a byte
        /// more.
        pub endpoint: [u8; 4],
        /// Requests that run.
        pub in_flight: u16,
        /// Requests that wait.
        pub queued: u16,
        /// Requests that can run at once.
        pub slots: u16,
        /// The version of the weights of its own model, 0 for none.
        pub version: u64,
        /// Age of the report when it was sent, in units of [`AGE_UNIT_MS`].
        pub age_units: u8,
    }
}
