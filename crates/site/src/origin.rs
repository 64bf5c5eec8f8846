//! What began a stream. Endpoints of other services, or of other versions of the
//! software, cannot continue it: what they write does not fit.

use platform::endpoint;

board::record! {
    /// What wrote the first event of a stream, and has to write the others.
    #[derive(Eq)]
    pub struct Producer {
        /// The service.
        pub service: String,
        /// The version of the software of its endpoint.
        pub software: String,
    }
}

impl Producer {
    /// Returns the producer whose endpoint announced itself with `record`.
    pub fn new(record: &endpoint::Record) -> Self {
        Self {
            service: record.service.clone(),
            software: record.software.clone(),
        }
    }
}
