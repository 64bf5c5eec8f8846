//! Interpretation of the platform's responses.

use std::time::Duration;

use ::http::StatusCode;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use super::error::{Error, unreadable};
use crate::http::client::Fetched;

/// The response to a write, also to one rejected because of a conflict.
#[derive(Deserialize)]
pub(crate) struct Written {
    pub(crate) version: u64,
}

/// Returns the retry delay of a response with status 429, or `None` for other
/// responses.
pub(crate) fn retry_after(response: &Fetched) -> Option<Duration> {
    if response.status != StatusCode::TOO_MANY_REQUESTS {
        return None;
    }
    let header = response.headers.get("retry-after");
    let text = header.and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| text.parse().ok()).unwrap_or(1);
    Some(Duration::from_secs(seconds))
}

/// The body of an error response.
#[derive(Deserialize)]
struct Problem {
    error: String,
}

/// The code of an error with status 503 which means that the order was
/// rejected, not that the platform is down.
const OUT_OF_STOCK: &str = "out-of-stock";

/// Turns a response without a success status into an error.
///
/// # Errors
///
/// An [`Error`] that shows whether the call may have taken effect.
pub(crate) fn check(response: Fetched) -> Result<Fetched, Error> {
    let detail = || String::from_utf8_lossy(&response.body).into_owned();
    let rejected = || Error::Rejected {
        status: response.status.as_u16(),
        detail: detail(),
    };
    match response.status {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Err(Error::Absent),
        StatusCode::PRECONDITION_FAILED => {
            let version = parse::<Written>(&response.body).map_or(0, |written| written.version);
            Err(Error::Conflict(version))
        }
        StatusCode::SERVICE_UNAVAILABLE
            if parse::<Problem>(&response.body).is_ok_and(|p| p.error == OUT_OF_STOCK) =>
        {
            Err(rejected())
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(Error::Unavailable(detail()))
        }
        // The platform may send any other 5xx status after the call took
        // effect.
        status if status.is_server_error() => Err(Error::Unknown(detail())),
        _ => Err(rejected()),
    }
}

/// Reads the body of a response that does not confirm a write as JSON.
///
/// # Errors
///
/// [`Error::Rejected`] with status 0 if the body is not JSON of that type.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| unreadable(&e.to_string()))
}

/// Reads the entries of a list. One that cannot be decoded does not spoil the others.
pub(crate) fn parse_each<T: DeserializeOwned>(entry: &str, items: &[Box<RawValue>]) -> Vec<T> {
    let parsed = items.iter().filter_map(|item| {
        let parsed = serde_json::from_str(item.get());
        parsed
            .inspect_err(|e| {
                let problem = e.to_string();
                spdlog::warn!("entry of the platform's list cannot be decoded", kv: { entry, problem });
            })
            .ok()
    });
    parsed.collect()
}

/// Reads the body of a successful response to a write as JSON.
///
/// # Errors
///
/// [`Error::Unknown`] if the body is not JSON of that type: the platform may
/// have carried the write out.
pub(crate) fn parse_confirmation<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body)
        .map_err(|e| Error::Unknown(format!("the confirmation cannot be read: {e}")))
}
