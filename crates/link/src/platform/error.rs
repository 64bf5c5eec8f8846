//! Why a call to the platform failed, and whether it can have had an effect.

/// Why a call to the platform did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object has another version, given here (0 when it is absent).
    #[error("conflict: the object is at version {0}")]
    Conflict(u64),
    /// There is no such object.
    #[error("no such object")]
    Absent,
    /// The call was refused and had no effect.
    #[error("refused with {status}: {detail}")]
    Rejected {
        /// The status code.
        status: u16,
        /// What the platform said.
        detail: String,
    },
    /// The call had no effect: the platform cannot be reached or is down.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

/// Returns the error for an answer that cannot be read.
pub(crate) fn unreadable(detail: &str) -> Error {
    Error::Rejected {
        status: 0,
        detail: detail.to_string(),
    }
}
