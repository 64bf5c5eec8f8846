//! What processes ask of each other.

use board::{
    endpoint::Load,
    key::Digest,
    lot::Manifest,
    member::Update,
    shared::Item,
    usage::{ClosedWindow, Origin, Record, Window},
};

board::record! {
    /// A question to another process.
    pub enum Request {
        /// Close a window of usage, and tell what it holds.
        Close(Close),
        /// The copies of records of a window, held for another process.
        Copies(Origin, Window),
        /// Hold copies of records that the process named has measured.
        AddCopies(Origin, Vec<Record>),
        /// Hold copies whose process is lost, as their holder does.
        InheritCopies(Origin, Vec<Record>),
        /// What the process is and knows.
        Status,
        /// The facts in buckets whose digests differ from these, and the members
        /// if their digest does.
        Sync {
            /// The digests of the asker's buckets.
            buckets: Vec<u64>,
            /// The digest of the asker's members.
            members_digest: u64,
        },
        /// Texts of the configuration.
        ConfigParts(Vec<Digest>),
        /// Facts that the platform has accepted.
        Offer(Vec<Item>),
        /// The loads known, by endpoint.
        EndpointLoads,
        /// Why a request with this key, or on this route, would be refused.
        Explain(Subject),
        /// Where the named lot stands.
        Lot(String),
        /// Whether the VM has a disk for bulk data.
        HasDisk,
        /// A piece of a file to keep on the VM's disk.
        WriteChunk(Chunk),
        /// A piece of a file that the VM's disk holds.
        ReadRange(Range),
        /// Which files the VM's disk holds of the lot of this trainer and
        /// number.
        FindFiles(String, u64),
    }
}

board::record! {
    /// A piece of a file on its way to a disk. Pieces come in order; the one
    /// that ends the file is answered once the whole file is durable.
    pub struct Chunk {
        /// The file.
        pub file: File,
        /// Tells writers of one file apart.
        pub writer: String,
        /// Where the piece starts in the file, in bytes.
        pub offset: u64,
        /// The length of the whole file in bytes.
        pub total: u64,
        /// The piece.
        pub bytes: Vec<u8>,
    }
}

board::record! {
    /// A file of bulk data: the content of one lot.
    pub struct File {
        /// The trainer.
        pub trainer: String,
        /// The number of the lot.
        pub lot: u64,
        /// The SHA-256 of the content.
        pub digest: Digest,
    }
}

board::record! {
    /// A piece of a file that is asked for.
    pub struct Range {
        /// The file.
        pub file: File,
        /// Where the piece starts, in bytes.
        pub offset: u64,
        /// The largest length wanted, in bytes.
        pub length: u32,
    }
}

board::record! {
    /// Where a lot stands on one VM.
    pub enum Progress {
        /// The VM does not work on it and does not know it as sealed.
        Idle,
        /// The VM produces it.
        Producing,
        /// It is sealed.
        Sealed(Manifest),
    }
}

board::record! {
    /// A window to close.
    pub struct Close {
        /// The window: no more records go into it, nor into earlier ones.
        pub window: Window,
        /// The last window whose figures are frozen.
        pub frozen: Window,
        /// The processes that answered for themselves in that window.
        pub counted: Vec<Origin>,
    }
}

board::record! {
    /// What a holder of copies says.
    pub struct Holder {
        /// The holder.
        pub origin: Origin,
        /// The last window that is closed there.
        pub closed: Window,
    }
}

board::record! {
    /// The answer to an [`Request`].
    pub enum Response {
        /// What a closed window holds.
        Closed(ClosedWindow),
        /// Copies of records.
        Copies(Vec<Record>),
        /// The copies are held, but for those of closed windows.
        CopiesAdded(Holder),
        /// What the process is and knows.
        Status(Status),
        /// Facts.
        Facts(Facts),
        /// Texts of the configuration, those that are known.
        ConfigParts(Vec<String>),
        /// Loads by endpoint.
        EndpointLoads(Vec<(String, Load)>),
        /// An explanation, one line for each finding.
        Explanation(Vec<String>),
        /// It is done.
        Done,
        /// Where a lot stands.
        Lot(Progress),
        /// Whether the VM has a disk for bulk data.
        HasDisk(bool),
        /// The piece is kept; after the last one, the file is durable.
        Stored,
        /// A piece of a file.
        Range(Vec<u8>),
        /// Files of a lot, with their lengths in bytes.
        Found(Vec<(File, u64)>),
        /// The question was not understood or cannot be answered now.
        Rejected(String),
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
        #[serde(rename = "live")]
        pub live_vms: u64,
        /// Whether it watches the platform for its failure domain.
        pub is_relay: bool,
        /// How long ago its keys were known to be complete, in milliseconds.
        #[serde(rename = "fresh_ms")]
        pub keys_age_ms: Option<u32>,
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
        pub keys_age_ms: Option<u32>,
        /// Whether the process knows every kind of fact.
        pub is_primed: bool,
        /// The digest of its members.
        pub members_digest: u64,
        /// What it thinks of the VMs, if that differs.
        pub members: Vec<Update>,
    }
}
