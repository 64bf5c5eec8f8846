//! The client of the platform: objects, VMs, endpoint orders, usage reports.

pub mod error;
pub(crate) mod response;

use std::{net::SocketAddr, time::Duration};

use board::{
    capacity::{Accepted, Order},
    endpoint,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    http::{
        Limits, Pool,
        client::{Call, Fence, Fetched},
        error::Kind,
    },
    rate::Limiter,
};

pub use self::error::Error;
use self::error::unreadable;
use self::response::{Written, check, parse, retry_after};

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
    /// One change seen by a watch or a list.
    pub struct Change {
        /// The name of the object.
        pub name: String,
        /// Its version.
        pub version: u64,
        /// Whether it was deleted.
        #[serde(default)]
        pub deleted: bool,
    }
}

board::record! {
    /// The answer of a watch or a list.
    pub struct Changes {
        /// The version up to which the answer is complete.
        pub version: u64,
        /// What changed, or every object for a list.
        #[serde(alias = "objects")]
        pub changes: Vec<Change>,
    }
}

board::record! {
    /// The state of a VM as the platform lists it.
    #[derive(Default)]
    #[serde(rename_all = "lowercase")]
    copy pub enum State {
        /// It runs.
        #[default]
        Live,
        /// It is about to go.
        Leaving,
    }
}

board::record! {
    /// A VM as the platform lists it.
    pub struct Vm {
        /// Its name.
        pub id: String,
        /// Where its peers reach it.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: String,
        /// Whether it runs or is about to go.
        pub state: State,
    }
}

#[derive(Deserialize)]
struct Vms {
    vms: Vec<Vm>,
}

#[derive(Deserialize)]
struct Endpoints {
    endpoints: Vec<endpoint::Record>,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    At(u64),
}

/// The client.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    vm: String,
    pool: Pool,
    limiter: Limiter,
}

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a read on a pooled connection waits before it is tried on a new
/// one: the old one may have gone silent.
const POOLED_READ_TIMEOUT: Duration = Duration::from_millis(1500);
const CALLS_PER_S_DEFAULT: u32 = 100;
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);

impl Client {
    /// Returns a client of the platform at `address` that names itself `vm`.
    pub fn new(address: SocketAddr, vm: &str) -> Self {
        Self {
            address,
            vm: vm.to_string(),
            pool: Pool::new(Limits::new().body_bytes(4 * 1024 * 1024)),
            limiter: Limiter::new(CALLS_PER_S_DEFAULT),
        }
    }

    /// Sets how many calls a second this client makes at most.
    pub fn calls_per_s(mut self, rate: u32) -> Self {
        self.limiter = Limiter::new(rate);
        self
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`], or an error for which nothing is known.
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
        parse::<Written>(&response.body).map(|written| written.version)
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

    /// Writes an object once: settles a lost reply by reading, and returns the
    /// value that stands, whoever wrote it.
    ///
    /// # Errors
    ///
    /// An [`Error`] when the value that stands cannot be learned.
    pub async fn create(
        &self,
        kind: &str,
        name: &str,
        value: impl Into<Bytes>,
    ) -> Result<Object, Error> {
        let value = value.into();
        match self.put(kind, name, Condition::Absent, value.clone()).await {
            Ok(version) => Ok(Object { version, value }),
            Err(Error::Conflict(_) | Error::Unknown(_)) => self.get(kind, name).await,
            Err(e) => Err(e),
        }
    }

    /// Deletes an object that is at `version`.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] when it is gone, [`Error::Conflict`] when it has
    /// another version, [`Error::Unknown`] when it may be deleted or not.
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
    /// An [`Error`] when nothing is known.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<Changes, Error> {
        let path = format!("/v1/objects/{kind}?prefix={prefix}");
        parse(&self.read_path(&path).await?.body)
    }

    /// Waits for changes of a kind after a version.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] with status 410 when the version is too old to
    /// answer, so that the kind must be listed again.
    pub async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<Changes, Error> {
        let wait_ms = wait.as_millis();
        let call = Call::get(format!("/v1/watch/{kind}?after={after}&wait_ms={wait_ms}"));
        parse(&self.call(call, wait + WATCH_TIMEOUT_MARGIN).await?.body)
    }

    /// Returns the VMs that the platform lists.
    ///
    /// # Errors
    ///
    /// An [`Error`] when nothing is known.
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        let response = self.read_path("/v1/vms").await?;
        parse::<Vms>(&response.body).map(|list| list.vms)
    }

    /// Returns the endpoints of a failure domain, or all for `None`.
    ///
    /// # Errors
    ///
    /// An [`Error`] when nothing is known.
    pub async fn endpoints(
        &self,
        failure_domain: Option<&str>,
    ) -> Result<Vec<endpoint::Record>, Error> {
        let path = match failure_domain {
            Some(domain) => format!("/v1/endpoints?failure_domain={domain}"),
            None => "/v1/endpoints".to_string(),
        };
        let response = self.read_path(&path).await?;
        parse::<Endpoints>(&response.body).map(|list| list.endpoints)
    }

    /// Posts JSON to a path of the platform and reads JSON back.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the post may have taken effect.
    pub async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, Error> {
        let body = serde_json::to_vec(body).map_err(|e| unreadable(&e.to_string()))?;
        parse(&self.call(Call::post(path, body), CALL_TIMEOUT).await?.body)
    }

    /// Reads JSON from a path of the platform.
    ///
    /// # Errors
    ///
    /// An [`Error`] when nothing is known.
    pub async fn fetch<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        parse(&self.read_path(path).await?.body)
    }

    /// Sends an order for endpoints, if `fence` is open when its bytes leave.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the order may have been taken: ask
    /// [`Client::find_order`], or send the same key again.
    pub async fn order(&self, order: &Order, fence: Fence) -> Result<Accepted, Error> {
        let body = serde_json::to_vec(order).map_err(|e| unreadable(&e.to_string()))?;
        let call = Call::post("/v1/orders", body).fence(fence);
        parse(&self.call(call, CALL_TIMEOUT).await?.body)
    }

    /// Returns the platform's answer to the order `key`.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] when no such order was taken.
    pub async fn find_order(&self, key: &str) -> Result<Accepted, Error> {
        self.fetch(&format!("/v1/orders/{key}")).await
    }

    /// Reports the usage of `window`, if `fence` is open when its bytes leave.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the report may have been taken: it may be sent
    /// again as it is.
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

    /// Reads `path`, a second time on a new connection when the first one
    /// broke or is silent.
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
            let detail = "the platform asked for fewer calls".to_string();
            return Err(Error::Unavailable(detail));
        }
        let call = call.deadline(limit).header("x-vm", &self.vm);
        match self.pool.fetch(self.address, call).await {
            Ok(response) => self.check_response(response),
            Err(e) if e.is_unsent() => Err(Error::Unavailable(e.to_string())),
            Err(e) => {
                // What broke or hangs on one connection may do so on the
                // others to this peer, which are as old.
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
