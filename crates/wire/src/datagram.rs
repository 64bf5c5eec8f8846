//! The datagrams that VMs exchange.

use board::{member::Packet, shared::Item};

/// The largest datagram, in bytes: small enough that the network does not
/// fragment it.
pub const DATAGRAM_BYTES_MAX: usize = 1400;

board::record! {
    /// A datagram between VMs.
    pub enum Datagram {
        /// Failure detection, with the digests that find differences.
        Member(Packet),
        /// Facts that the sender has just learned.
        Facts(Vec<Item>),
        /// Loads of the endpoints that the sender polls.
        Loads(Vec<Report>),
    }
}

/// The unit of [`Report::age_units`], in milliseconds.
pub const AGE_UNIT_MS: u64 = 100;

board::record! {
    /// The load of one endpoint, in a compact form.
    copy pub struct Report {
        /// Hash of the endpoint's id. Postcard would encode a `u32` in up to
        /// five bytes.
        pub endpoint_hash: [u8; 4],
        /// Requests that are running.
        pub in_flight: u16,
        /// Requests that are queued.
        pub queued: u16,
        /// Requests that can run at once.
        pub slots: u16,
        /// The version of the loaded weights of the endpoint's model, 0 for
        /// none.
        pub version: u64,
        /// Age of the load when the report was sent, in units of
        /// [`AGE_UNIT_MS`].
        pub age_units: u8,
    }
}
