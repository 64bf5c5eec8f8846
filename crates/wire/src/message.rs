//! What processes ask of each other.

use board::usage::{Sheet, Window};

board::record! {
    /// A question to another process.
    pub enum Ask {
        /// The usage that the process measured in a window.
        Usage(Window),
        /// What the process is and knows.
        Status,
    }
}

board::record! {
    /// The answer to an [`Ask`].
    pub enum Answer {
        /// Usage by account.
        Usage(Sheet),
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
