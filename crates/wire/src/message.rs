//! The requests that processes send each other, and the responses.

use board::{
    endpoint::Load,
    key::Digest,
    lot::Manifest,
    member::Update,
    shared::Item,
    usage::{ClosedWindow, Origin, Record, Window},
};

board::record! {
    /// A request to another process.
    pub enum Request {
        /// Close a usage window and return its figures.
        Close(Close),
        /// Return the copies of another process's usage records in a window.
        Copies(Origin, Window),
        /// Store copies of usage records that the named process measured.
        AddCopies(Origin, Vec<Record>),
        /// Store copies of the usage records of a lost process, sent by another
        /// VM that holds them.
        InheritCopies(Origin, Vec<Record>),
        /// Return the status of the process.
        Status,
        /// Return the facts in buckets whose digests differ from these, and the
        /// member list if its digest differs.
        Sync {
            /// The digests of the requester's buckets of facts.
            buckets: Vec<u64>,
            /// The digest of the requester's member list.
            members_digest: u64,
        },
        /// Return the parts of the configuration that have these digests.
        ConfigParts(Vec<Digest>),
        /// Merge these facts, which the platform has already stored.
        Offer(Vec<Item>),
        /// Return the known loads by endpoint.
        EndpointLoads,
        /// Explain why a request with this key, or on this route, would be
        /// rejected.
        Explain(Subject),
        /// Return the progress of the named lot on this VM.
        Lot(String),
        /// Return whether the VM has a disk for bulk data.
        HasDisk,
        /// Write a chunk of a file to the VM's disk.
        WriteChunk(Chunk),
        /// Return a range of a file on the VM's disk.
        ReadRange(Range),
        /// Return the files of a lot on the VM's disk, given the trainer and
        /// the number of the lot.
        FindFiles(String, u64),
    }
}

board::record! {
    /// A chunk of a file to write. Chunks are sent in order. The response to
    /// the last chunk is sent once the complete file is durable.
    pub struct Chunk {
        /// The file.
        pub file: File,
        /// Identifies the writer, since several may write the same file.
        pub writer: String,
        /// The offset of the chunk in the file, in bytes.
        pub offset: u64,
        /// The length of the complete file, in bytes.
        pub total: u64,
        /// The content of the chunk.
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
    /// A range of a file to read.
    pub struct Range {
        /// The file.
        pub file: File,
        /// The offset of the range in the file, in bytes.
        pub offset: u64,
        /// The maximum length to return, in bytes.
        pub length: u32,
    }
}

board::record! {
    /// The progress of a lot on one VM.
    pub enum Progress {
        /// The VM does not produce the lot and does not know that it is sealed.
        Idle,
        /// The VM produces the lot.
        Producing,
        /// The lot is sealed.
        Sealed(Manifest),
    }
}

board::record! {
    /// A request to close a usage window.
    pub struct Close {
        /// The window. Neither it nor any earlier window accepts records
        /// afterwards.
        pub window: Window,
        /// The last window whose figures are frozen.
        pub frozen: Window,
        /// The processes whose own records are counted in the frozen window.
        pub counted: Vec<Origin>,
    }
}

board::record! {
    /// A process that holds copies of usage records.
    pub struct Holder {
        /// The holder's origin.
        pub origin: Origin,
        /// The last window that the holder has closed.
        pub closed: Window,
    }
}

board::record! {
    /// The response to a [`Request`].
    pub enum Response {
        /// The figures of a closed window.
        Closed(ClosedWindow),
        /// Copies of usage records.
        Copies(Vec<Record>),
        /// The copies are stored, except those of windows that the holder has
        /// closed.
        CopiesAdded(Holder),
        /// The status of the process.
        Status(Status),
        /// The facts that differ.
        Facts(Facts),
        /// The texts of the requested parts of the configuration that this
        /// process has.
        ConfigParts(Vec<String>),
        /// Loads by endpoint.
        EndpointLoads(Vec<(String, Load)>),
        /// An explanation, with one line per finding.
        Explanation(Vec<String>),
        /// The request was carried out.
        Done,
        /// The progress of a lot.
        Lot(Progress),
        /// Whether the VM has a disk for bulk data.
        HasDisk(bool),
        /// The chunk is written. After the last chunk, the file is durable.
        ChunkWritten,
        /// The content of a range of a file.
        Range(Vec<u8>),
        /// The files of a lot, with their lengths in bytes.
        FilesFound(Vec<(File, u64)>),
        /// The request is not supported or cannot be answered now, with the
        /// reason.
        Rejected(String),
    }
}

board::record! {
    /// The status of a process.
    pub struct Status {
        /// The VM.
        pub vm: String,
        /// The failure domain.
        pub failure_domain: String,
        /// The revision of the configuration in force.
        pub revision: u64,
        /// The number of known keys.
        pub keys: u64,
        /// The number of known endpoints.
        pub endpoints: u64,
        /// The number of VMs that are considered live, including this one.
        #[serde(rename = "live")]
        pub live_vms: u64,
        /// Whether the VM watches the platform for its failure domain.
        pub is_relay: bool,
        /// Time since the VM's keys were last known to be complete, in
        /// milliseconds.
        #[serde(rename = "fresh_ms")]
        pub keys_age_ms: Option<u32>,
        /// Whether the VM is isolated and therefore rejects keys.
        pub is_isolated: bool,
    }
}

board::record! {
    /// The subject of an explanation.
    pub enum Subject {
        /// A key, by its digest.
        Key(Digest),
        /// The path of a request.
        Path(String),
    }
}

board::record! {
    /// Facts that the requester may not have.
    pub struct Facts {
        /// The facts.
        pub items: Vec<Item>,
        /// Whether more facts differ than `items` contains.
        pub has_more: bool,
        /// Time since the responder's keys were last known to be complete, in
        /// milliseconds.
        pub keys_age_ms: Option<u32>,
        /// Whether the responder has received all facts of each kind at least
        /// once.
        pub is_bootstrapped: bool,
        /// The digest of the responder's member list.
        pub members_digest: u64,
        /// The responder's member list, if the digests differ.
        pub members: Vec<Update>,
    }
}
