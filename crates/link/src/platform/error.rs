//! Why a call to the platform failed, and whether it may have taken effect.

use policy::execution::Execution;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object has another version than expected: the one given here, or 0
    /// if the object does not exist.
    #[error("conflict: the object is at version {0}")]
    Conflict(u64),
    /// The object does not exist.
    #[error("the object does not exist")]
    Absent,
    /// The platform rejected the call, which had no effect, or what it returned
    /// to a read cannot be decoded.
    #[error("the platform rejected the call with status {status}: {detail}")]
    Rejected {
        /// The status code, or 0 if the response to a read cannot be decoded.
        status: u16,
        /// The body of the response, or the problem in reading it.
        detail: String,
    },
    /// The call had no effect: the platform is down, cannot be reached, or
    /// accepts no more calls now.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("outcome of the call unknown: {0}")]
    Unknown(String),
}

impl Error {
    /// Returns whether a write that failed with this error may have taken
    /// effect, or may yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::execution::Execution;
    /// use tarragonseam_link::platform::Error;
    ///
    /// let lost = Error::Unknown("no reply".to_string());
    /// assert_eq!(lost.execution(), Execution::Unknown);
    /// assert_eq!(Error::Conflict(3).execution(), Execution::NotRun);
    /// ```
    pub fn execution(&self) -> Execution {
        match self {
            Self::Unknown(_) => Execution::Unknown,
            Self::Conflict(_) | Self::Absent | Self::Rejected { .. } | Self::Unavailable(_) => {
                Execution::NotRun
            }
        }
    }
}

/// Returns the error for a value, or a response to a read, that cannot be
/// decoded.
pub(crate) fn unreadable(detail: &str) -> Error {
    Error::Rejected {
        status: 0,
        detail: detail.to_string(),
    }
}
