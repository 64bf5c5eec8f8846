//! Replies to calls that a VM could not carry out.

use link::{StatusCode, http::server::Reply};
use platform::store::Error;
use policy::execution::Execution;

use crate::forward::rejection;

/// Returns whether a write may have taken effect that failed with `error`.
pub(super) fn execution_of_write(error: &Error) -> Execution {
    match error {
        Error::Rejected(_) => Execution::NotRun,
        Error::Unknown | Error::HistoryExpired | Error::Malformed => Execution::Unknown,
    }
}

/// Returns the reply to a call that this VM could not carry out: a rejection,
/// unless another attempt at it may have succeeded.
pub(super) fn not_done(execution: Execution, code: &str, detail: &str) -> Reply {
    match execution {
        Execution::NotRun => rejection(code, detail),
        Execution::Unknown => Reply::error(
            StatusCode::GATEWAY_TIMEOUT,
            "unclear",
            &format!("{detail}; the call may have been carried out"),
        ),
    }
}
