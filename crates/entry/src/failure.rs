//! Failures of requests, and the replies that report them.

use std::time::Duration;

use link::{StatusCode, http::Reply};
use policy::{
    call::{Reason, Rejection},
    execution::Execution,
};
use serde::Serialize;

/// Why a request failed, as reported to its caller.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) detail: String,
    pub(crate) execution: Execution,
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: &'a str,
    detail: &'a str,
    ran: Execution,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns the failure of a request that fails again if it is repeated
    /// unchanged.
    pub(crate) fn client_error(status: StatusCode, code: &'static str, detail: &str) -> Self {
        Self {
            status,
            code,
            detail: detail.to_string(),
            execution: Execution::NotRun,
            retry_after: None,
        }
    }

    /// Returns the failure of a request that arrived before this VM knew the
    /// configuration and the keys.
    pub(crate) fn not_ready() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code: "not-ready",
            detail: "this VM does not know the configuration or the keys yet".to_string(),
            execution: Execution::NotRun,
            retry_after: Some(policy::admission::RETRY_AFTER),
        }
    }

    /// Returns the failure of a request that was rejected by admission or ran
    /// out of time.
    pub(crate) fn unserved(rejection: Rejection, execution: Execution) -> Self {
        let status = match rejection.reason {
            Reason::Overload => StatusCode::TOO_MANY_REQUESTS,
            Reason::Deadline | Reason::NoEndpoint => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            status,
            code: rejection.reason.code(),
            detail: "no endpoint could serve the request in time".to_string(),
            execution,
            retry_after: Some(rejection.retry_after),
        }
    }

    /// Returns the failure of a request whose attempts on endpoints failed.
    pub(crate) fn endpoint_failed(detail: impl ToString, execution: Execution) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            code: "endpoint-failed",
            detail: detail.to_string(),
            execution,
            retry_after: Some(policy::admission::RETRY_AFTER),
        }
    }

    /// Returns the failure of a request whose key was withdrawn while it ran.
    pub(crate) fn key_withdrawn(execution: Execution) -> Self {
        let detail = "the key was withdrawn";
        Self {
            execution,
            ..Self::client_error(StatusCode::UNAUTHORIZED, "key-withdrawn", detail)
        }
    }

    /// Returns the body of the reply, in JSON.
    pub(crate) fn json(&self) -> Vec<u8> {
        let body = Body {
            error: self.code,
            detail: &self.detail,
            ran: self.execution,
            retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Returns the reply with its headers and body.
    pub(crate) fn reply(&self) -> Reply {
        let reply = Reply::new(self.status, self.json())
            .header("content-type", "application/json")
            .header("x-request-ran", self.execution.code());
        match self.retry_after {
            Some(after) => reply.header("retry-after", whole_seconds(after).to_string()),
            None => reply,
        }
    }
}

/// Rounds up to whole seconds, the unit of the `retry-after` header.
fn whole_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1000).max(1) as u64
}
