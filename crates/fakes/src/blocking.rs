//! Blocking HTTP calls for tests.

use std::{net::SocketAddr, time::Duration};

use link::http::{
    Limits, Pool,
    client::{Call, Fetched},
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::Error;

/// Sends `call` on a new connection and waits for the complete answer.
///
/// # Errors
///
/// When there is no complete answer.
pub fn fetch(address: SocketAddr, call: Call) -> Result<Fetched, Error> {
    let pool = Pool::new(Limits::new());
    let fetched = link::runtime::run(pool.fetch(address, call))?;
    Ok(fetched?)
}

/// Gets `path` and decodes the answer as JSON, whatever its status.
///
/// # Errors
///
/// When there is no complete answer, or it is not JSON of the type `T`.
pub fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let fetched = fetch(address, Call::get(path))?;
    Ok(serde_json::from_slice(&fetched.body)?)
}

/// Posts `body` as JSON and returns the status and the JSON of the answer.
///
/// # Errors
///
/// When there is no complete answer, or it is not JSON.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Result<(u16, Value), Error> {
    let fetched = fetch(address, Call::post(path, body.to_string()))?;
    let answer = serde_json::from_slice(&fetched.body)?;
    Ok((fetched.status.as_u16(), answer))
}

/// Sets the fault switches of a fake.
///
/// # Errors
///
/// When there is no complete answer; a call that sets `crash` gets none.
pub fn set_faults(address: SocketAddr, switches: &Value) -> Result<(), Error> {
    post(address, "/fault", switches).map(|_| ())
}

/// The events of one stream, and the failure of its body, if any.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The status code.
    pub status: u16,
    /// The header `x-request-id`.
    pub request_id: Option<String>,
    /// The JSON of each `data:` line.
    pub events: Vec<Value>,
    /// The failure that ended the body early, if any.
    pub failure: Option<link::http::error::Kind>,
}

impl Stream {
    /// Returns the tokens among the events.
    pub fn tokens(&self) -> Vec<String> {
        let tokens = self
            .events
            .iter()
            .filter_map(|event| event["token"].as_str());
        tokens.map(str::to_owned).collect()
    }

    /// Returns the event that ends a complete stream.
    pub fn done(&self) -> Option<&Value> {
        self.events.iter().find(|event| event["done"] == true)
    }
}

/// Posts `body` to `/v1/generate` and reads the stream until it ends, fails or
/// sends nothing for `silence_timeout`.
///
/// # Errors
///
/// When the head of the answer does not arrive.
pub fn generate(
    address: SocketAddr,
    body: &Value,
    silence_timeout: Duration,
) -> Result<Stream, Error> {
    let id = body["request_id"].as_str().unwrap_or_default().to_owned();
    let call = Call::post("/v1/generate", body.to_string()).header("x-request-id", id);
    link::runtime::run(read(address, call, silence_timeout))?
}

async fn read(address: SocketAddr, call: Call, silence_timeout: Duration) -> Result<Stream, Error> {
    let pool = Pool::new(Limits::new());
    let mut response = pool.send(address, call).await?;
    let mut text = Vec::new();
    let mut failure = None;
    while let Some(part) = response.next(silence_timeout).await {
        match part {
            Ok(data) => text.extend_from_slice(&data),
            Err(e) => failure = Some(e.kind()),
        }
    }
    let id = response.headers.get("x-request-id");
    let text = String::from_utf8_lossy(&text);
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    Ok(Stream {
        status: response.status.as_u16(),
        request_id: id.and_then(|id| id.to_str().ok()).map(str::to_owned),
        events: lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect(),
        failure,
    })
}
