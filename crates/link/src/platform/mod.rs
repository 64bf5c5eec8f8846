//! The client of the platform's API: objects, VMs, endpoint orders and usage
//! reports.

pub mod error;
pub(crate) mod response;

use std::{net::SocketAddr, time::Duration};

use board::{
    capacity::{Accepted, Order},
    endpoint,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::{
    http::{
        Limits, Pool,
        client::{Call, Fence, Fetched},
        encode_component,
        error::Kind,
    },
    rate::Limiter,
};

pub use self::error::Error;
use self::error::unreadable;
use self::response::{Written, check, parse, parse_confirmation, parse_each, retry_after};

/// A value with the version of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version of the object.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

impl Object {
    /// Reads the value as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] with status 0 when it is not JSON of that type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.value).map_err(|e| unreadable(&e.to_string()))
    }
}

board::record! {
    /// A change reported by a watch, or an object reported by a list.
    pub struct Change {
        /// The name of the object.
        pub name: String,
        /// The version of the object after the change.
        pub version: u64,
        /// Whether the object was deleted.
        #[serde(default)]
        pub deleted: bool,
    }
}

board::record! {
    /// The response to a watch or a list.
    pub struct Changes {
        /// The version up to which the response is complete.
        pub version: u64,
        /// The changes, or all objects for a list.
        #[serde(alias = "objects")]
        pub changes: Vec<Change>,
    }
}

board::record! {
    /// The state of a VM as the platform lists it.
    #[derive(Default)]
    #[serde(rename_all = "lowercase")]
    copy pub enum State {
        /// The VM runs.
        #[default]
        Live,
        /// The VM will be removed soon.
        Leaving,
    }
}

board::record! {
    /// A VM as the platform lists it.
    pub struct Vm {
        /// The name of the VM.
        pub id: String,
        /// The address at which its peers reach it.
        pub address: SocketAddr,
        /// The failure domain of the VM.
        pub failure_domain: String,
        /// Whether the VM runs or will be removed soon.
        pub state: State,
    }
}

#[derive(Deserialize)]
struct Vms {
    vms: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Endpoints {
    endpoints: Vec<Box<RawValue>>,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    At(u64),
}

/// A client of the platform.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    vm: String,
    pool: Pool,
    limiter: Limiter,
}

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a read waits for its response before it is retried on a new
/// connection, because a pooled connection may have failed undetected.
const POOLED_READ_TIMEOUT: Duration = Duration::from_millis(1500);
const CALLS_PER_S_DEFAULT: u32 = 100;
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);

impl Client {
    /// Returns a client of the platform at `address` that identifies itself as
    /// `vm`.
    pub fn new(address: SocketAddr, vm: &str) -> Self {
        Self {
            address,
            vm: vm.to_string(),
            pool: Pool::new(Limits::new().body_bytes(4 * 1024 * 1024)),
            limiter: Limiter::new(CALLS_PER_S_DEFAULT),
        }
    }

    /// Sets the maximum number of calls per second.
    pub fn calls_per_s(mut self, rate: u32) -> Self {
        self.limiter = Limiter::new(rate);
        self
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] if the object does not exist, or another [`Error`] if
    /// it cannot be read.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Object, Error> {
        let response = self
            .read_path(&format!("/v1/objects/{kind}/{name}"))
            .await?;
        let version = response
            .headers
            .get("etag")
            .and_then(|tag| tag.to_str().ok())
            .and_then(|tag| tag.trim_matches('"').parse().ok())
            .ok_or_else(|| unreadable("object without a version"))?;
        Ok(Object {
            version,
            value: response.body,
        })
    }

    /// Reads an object as JSON, with its version.
    ///
    /// # Errors
    ///
    /// As [`Client::get`] and [`Object::json`].
    pub async fn read<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<(u64, T), Error> {
        let object = self.get(kind, name).await?;
        Ok((object.version, object.json()?))
    }

    /// Writes an object under a condition and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the write may have taken effect.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: impl Into<Bytes>,
    ) -> Result<u64, Error> {
        let call = Call::new(::http::Method::PUT, format!("/v1/objects/{kind}/{name}")).body(value);
        let call = match condition {
            Condition::Absent => call.header("if-none-match", "*"),
            Condition::At(version) => call.header("if-match", format!("\"{version}\"")),
        };
        let response = self.call(call, CALL_TIMEOUT).await?;
        parse_confirmation::<Written>(&response.body).map(|written| written.version)
    }

    /// Writes `value` as JSON under a condition.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub async fn write<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: &T,
    ) -> Result<u64, Error> {
        let value = serde_json::to_vec(value).map_err(|e| unreadable(&e.to_string()))?;
        self.put(kind, name, condition, value).await
    }

    /// Creates an object unless it exists, and returns the stored object, which
    /// may be another writer's. If the outcome of the write is unknown, the
    /// object is read to resolve it.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the write may have taken effect and the read does
    /// not return an object, or another [`Error`] if the write had no effect and
    /// the stored object cannot be determined.
    pub async fn create(
        &self,
        kind: &str,
        name: &str,
        value: impl Into<Bytes>,
    ) -> Result<Object, Error> {
        let value = value.into();
        match self.put(kind, name, Condition::Absent, value.clone()).await {
            Ok(version) => Ok(Object { version, value }),
            Err(Error::Conflict(_)) => self.get(kind, name).await,
            // An object that is absent now may still be created by the write.
            Err(Error::Unknown(lost)) => self
                .get(kind, name)
                .await
                .map_err(|e| Error::Unknown(format!("{lost}; reading the object: {e}"))),
            Err(e) => Err(e),
        }
    }

    /// Deletes an object if it has this version.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] if the object does not exist, [`Error::Conflict`] if
    /// it has another version, [`Error::Unknown`] if it may have been deleted.
    pub async fn delete(&self, kind: &str, name: &str, version: u64) -> Result<(), Error> {
        let path = format!("/v1/objects/{kind}/{name}");
        let call =
            Call::new(::http::Method::DELETE, path).header("if-match", format!("\"{version}\""));
        self.call(call, CALL_TIMEOUT).await.map(drop)
    }

    /// Lists the objects of a kind whose names start with `prefix`.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the list cannot be read.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<Changes, Error> {
        let prefix = encode_component(prefix);
        let path = format!("/v1/objects/{kind}?prefix={prefix}");
        parse(&self.read_path(&path).await?.body)
    }

    /// Waits up to `wait` for changes of a kind after the version `after`.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] with status 410 if the platform no longer has the
    /// changes since that version, so that the kind must be listed again.
    pub async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<Changes, Error> {
        let wait_ms = wait.as_millis();
        let call = Call::get(format!("/v1/watch/{kind}?after={after}&wait_ms={wait_ms}"));
        parse(&self.call(call, wait + WATCH_TIMEOUT_MARGIN).await?.body)
    }

    /// Returns the VMs that the platform lists.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the list cannot be read.
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        let response = self.read_path("/v1/vms").await?;
        parse::<Vms>(&response.body).map(|list| parse_each("VM", &list.vms))
    }

    /// Returns the endpoints of a failure domain, or all endpoints for `None`.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the list cannot be read.
    pub async fn endpoints(
        &self,
        failure_domain: Option<&str>,
    ) -> Result<Vec<endpoint::Record>, Error> {
        let path = match failure_domain {
            Some(domain) => format!("/v1/endpoints?failure_domain={}", encode_component(domain)),
            None => "/v1/endpoints".to_string(),
        };
        let response = self.read_path(&path).await?;
        parse::<Endpoints>(&response.body).map(|list| parse_each("endpoint", &list.endpoints))
    }

    /// Posts `body` as JSON to a path of the platform and returns the response,
    /// read as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the call may have taken effect.
    pub async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, Error> {
        let body = serde_json::to_vec(body).map_err(|e| unreadable(&e.to_string()))?;
        let response = self.call(Call::post(path, body), CALL_TIMEOUT).await?;
        parse_confirmation(&response.body)
    }

    /// Reads JSON from a path of the platform.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the path cannot be read.
    pub async fn fetch<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        parse(&self.read_path(path).await?.body)
    }

    /// Sends an order for endpoints, provided that `fence` is open right before
    /// the order is written to the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the platform may have accepted the order.
    /// [`Client::find_order`] resolves the outcome, and an order with the same
    /// key may be sent again.
    pub async fn order(&self, order: &Order, fence: Fence) -> Result<Accepted, Error> {
        let body = serde_json::to_vec(order).map_err(|e| unreadable(&e.to_string()))?;
        let call = Call::post("/v1/orders", body).fence(fence);
        parse_confirmation(&self.call(call, CALL_TIMEOUT).await?.body)
    }

    /// Returns the platform's response to the order `key`.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] if the platform accepted no such order.
    pub async fn find_order(&self, key: &str) -> Result<Accepted, Error> {
        self.fetch(&format!("/v1/orders/{key}")).await
    }

    /// Reports the usage of `window`, provided that `fence` is open right
    /// before the report is written to the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the platform may have accepted the report. The
    /// same report may be sent again.
    pub async fn report<T: Serialize>(
        &self,
        window: &str,
        report: &T,
        fence: Fence,
    ) -> Result<(), Error> {
        let body = serde_json::to_vec(report).map_err(|e| unreadable(&e.to_string()))?;
        let call = Call::post(format!("/v1/usage/{window}"), body).fence(fence);
        self.call(call, CALL_TIMEOUT).await.map(|_| ())
    }

    /// Reads `path`, and retries once on a new connection if the outcome of the
    /// first attempt is unknown.
    async fn read_path(&self, path: &str) -> Result<Fetched, Error> {
        match self.call(Call::get(path), POOLED_READ_TIMEOUT).await {
            Err(Error::Unknown(_)) => {
                self.call(Call::get(path).new_connection(), CALL_TIMEOUT)
                    .await
            }
            other => other,
        }
    }

    async fn call(&self, call: Call, limit: Duration) -> Result<Fetched, Error> {
        if !self.limiter.acquire(limit).await {
            let detail = "the rate limit for calls to the platform was reached".to_string();
            return Err(Error::Unavailable(detail));
        }
        let call = call.deadline(limit).header("x-vm", &self.vm);
        match self.pool.fetch(self.address, call).await {
            Ok(response) => self.check_response(response),
            Err(e) if e.is_unsent() => Err(Error::Unavailable(e.to_string())),
            Err(e) => {
                // The other idle connections to the platform are likely broken
                // for the same reason.
                if matches!(e.kind(), Kind::Timeout | Kind::Incomplete | Kind::Send) {
                    self.pool.close_idle(self.address);
                }
                Err(Error::Unknown(e.to_string()))
            }
        }
    }

    fn check_response(&self, response: Fetched) -> Result<Fetched, Error> {
        if let Some(span) = retry_after(&response) {
            self.limiter.pause(span);
        }
        check(response)
    }
}
