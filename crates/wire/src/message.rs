//! What processes ask of each other.

use board::{
    endpoint::Load,
    key::Digest,
    member::Update,
    shared::Item,
    usage::{Sheet, Window},
};

board::record! {
    /// A question to another process.
    pub enum Ask {
        /// The usage that the process measured in a window.
        Usage(Window),
        /// What the process is and knows.
        Status,
        /// The facts in buckets whose digests differ from these, and the members
        /// if their digest does.
        Sync {
            /// The digests of the asker's buckets.
            buckets: Vec<u64>,
            /// The digest of the asker's members.
            members: u64,
        },
        /// Texts of the configuration.
        Parts(Vec<Digest>),
        /// Facts that the platform has accepted.
        Offer(Vec<Item>),
        /// The loads known, by endpoint.
        Loads,
        /// Why a request with this key, or on this route, would be refused.
        Explain(Subject),
    }
}

board::record! {
    /// The answer to an [`Ask`].
    pub enum Answer {
        /// Usage by account.
        Usage(Sheet),
        /// What the process is and knows.
        Status(Status),
        /// Facts.
        Facts(Facts),
        /// Texts of the configuration, those that are known.
        Parts(Vec<String>),
        /// Loads by endpoint.
        Loads(Vec<(String, Load)>),
        /// An explanation, one line for each finding.
        Explanation(Vec<String>),
        /// It is done.
        Done,
        /// The question was not understood or cannot be answered now.
        Refused(String),
    }
}

board::record! {
    /// The state of a process.
    pub struct Status {
        /// The VM.
        pub vm: String,
        /// The failure domain.
        pub failure_domain: String,
        /// The revision of the configuration in force.
        pub revision: u64,
        /// How many keys are known.
        pub keys: u64,
        /// How many endpoints are known.
        pub endpoints: u64,
        /// How many VMs are thought to live, itself included.
        pub live: u64,
        /// Whether it watches the platform for its failure domain.
        pub is_relay: bool,
        /// How long ago its keys were known to be complete, in milliseconds.
        pub fresh_ms: Option<u32>,
        /// Whether it refuses keys because it is cut off.
        pub is_isolated: bool,
    }
}

board::record! {
    /// What an explanation is about.
    pub enum Subject {
        /// A key, by its digest.
        Key(Digest),
        /// The path of a request.
        Path(String),
    }
}

board::record! {
    /// Facts that one process holds and the other may not.
    pub struct Facts {
        /// The facts.
        pub items: Vec<Item>,
        /// Whether there are more.
        pub has_more: bool,
        /// How long ago the process knew its keys to be complete, in
        /// milliseconds.
        pub fresh_ms: Option<u32>,
        /// Whether the process knows every kind of fact.
        pub is_primed: bool,
        /// The digest of its members.
        pub digest: u64,
        /// What it thinks of the VMs, if that differs.
        pub members: Vec<Update>,
    }
}
