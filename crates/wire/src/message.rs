//! What processes ask of each other.

use board::usage::{Closed, Origin, Record, Window};

board::record! {
    /// A question to another process.
    pub enum Ask {
        /// Close a window of usage, and tell what it holds.
        Close(Close),
        /// The copies of records of a window, held for another process.
        Copies(Origin, Window),
        /// Hold copies of records that the process named has measured.
        Hold(Origin, Vec<Record>),
        /// Hold copies whose process is lost, as their holder does.
        Inherit(Origin, Vec<Record>),
        /// What the process is and knows.
        Status,
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
    pub struct Held {
        /// The holder.
        pub by: Origin,
        /// The last window that is closed there.
        pub closed: Window,
    }
}

board::record! {
    /// The answer to an [`Ask`].
    pub enum Answer {
        /// What a closed window holds.
        Closed(Closed),
        /// Copies of records.
        Copies(Vec<Record>),
        /// The copies are held, but for those of closed windows.
        Held(Held),
        /// What the process is and knows.
        Status(Status),
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
    }
}
