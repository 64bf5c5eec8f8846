//! The client of the platform: objects, VMs, endpoint orders, usage reports.

use std::{net::SocketAddr, time::Duration};

use ::http::StatusCode;
use board::endpoint;
use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::http::{
    Limits, Pool,
    client::{Call, Fetched},
};

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
    Refused {
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
    /// [`Error::Refused`] with status 0 when it is not JSON of that type.
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
    /// A VM as the platform lists it.
    pub struct Vm {
        /// Its name.
        pub id: String,
        /// Where its peers reach it.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: String,
        /// `live` or `leaving`.
        pub state: String,
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

#[derive(Deserialize)]
struct Written {
    version: u64,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
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
}

const CALL_TIME: Duration = Duration::from_secs(3);
const WATCH_SLACK: Duration = Duration::from_secs(3);

impl Client {
    /// Returns a client of the platform at `address` that names itself `vm`.
    pub fn new(address: SocketAddr, vm: &str) -> Self {
        Self {
            address,
            vm: vm.to_string(),
            pool: Pool::new(Limits::new().body_bytes(4 * 1024 * 1024)),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`], or an error for which nothing is known.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Object, Error> {
        let call = Call::get(format!("/v1/objects/{kind}/{name}"));
        let answer = self.call(call, CALL_TIME).await?;
        let version = answer
            .headers
            .get("etag")
            .and_then(|tag| tag.to_str().ok())
            .and_then(|tag| tag.trim_matches('"').parse().ok())
            .ok_or_else(|| unreadable("object without a version"))?;
        Ok(Object {
            version,
            value: answer.body,
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
        when: When,
        value: impl Into<Bytes>,
    ) -> Result<u64, Error> {
        let call = Call::new(::http::Method::PUT, format!("/v1/objects/{kind}/{name}")).body(value);
        let call = match when {
            When::Absent => call.header("if-none-match", "*"),
            When::At(version) => call.header("if-match", format!("\"{version}\"")),
        };
        let answer = self.call(call, CALL_TIME).await?;
        parse::<Written>(&answer.body).map(|written| written.version)
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
        when: When,
        value: &T,
    ) -> Result<u64, Error> {
        let value = serde_json::to_vec(value).map_err(|e| unreadable(&e.to_string()))?;
        self.put(kind, name, when, value).await
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
        match self.put(kind, name, When::Absent, value.clone()).await {
            Ok(version) => Ok(Object { version, value }),
            Err(Error::Conflict(_) | Error::Unknown(_)) => self.get(kind, name).await,
            Err(e) => Err(e),
        }
    }

    /// Lists the objects of a kind whose names start with `prefix`.
    ///
    /// # Errors
    ///
    /// An [`Error`] when nothing is known.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<Changes, Error> {
        let call = Call::get(format!("/v1/objects/{kind}?prefix={prefix}"));
        parse(&self.call(call, CALL_TIME).await?.body)
    }

    /// Waits for changes of a kind after a version.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with status 410 when the version is too old to
    /// answer, so that the kind must be listed again.
    pub async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<Changes, Error> {
        let wait_ms = wait.as_millis();
        let call = Call::get(format!("/v1/watch/{kind}?after={after}&wait_ms={wait_ms}"));
        parse(&self.call(call, wait + WATCH_SLACK).await?.body)
    }

    /// Returns the VMs that the platform lists.
    ///
    /// # Errors
    ///
    /// An [`Error`] when nothing is known.
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        let answer = self.call(Call::get("/v1/vms"), CALL_TIME).await?;
        parse::<Vms>(&answer.body).map(|list| list.vms)
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
        let call = Call::get(match failure_domain {
            Some(domain) => format!("/v1/endpoints?failure_domain={domain}"),
            None => "/v1/endpoints".to_string(),
        });
        let answer = self.call(call, CALL_TIME).await?;
        parse::<Endpoints>(&answer.body).map(|list| list.endpoints)
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
        parse(&self.call(Call::post(path, body), CALL_TIME).await?.body)
    }

    /// Reads JSON from a path of the platform.
    ///
    /// # Errors
    ///
    /// An [`Error`] when nothing is known.
    pub async fn fetch<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        parse(&self.call(Call::get(path), CALL_TIME).await?.body)
    }

    async fn call(&self, call: Call, limit: Duration) -> Result<Fetched, Error> {
        let call = call.deadline(limit).header("x-vm", &self.vm);
        match self.pool.fetch(self.address, call).await {
            Ok(answer) => judge(answer),
            Err(e) if e.is_unsent() => Err(Error::Unavailable(e.to_string())),
            Err(e) => {
                self.pool.forget(self.address);
                Err(Error::Unknown(e.to_string()))
            }
        }
    }
}

fn judge(answer: Fetched) -> Result<Fetched, Error> {
    let detail = || String::from_utf8_lossy(&answer.body).into_owned();
    match answer.status {
        status if status.is_success() => Ok(answer),
        StatusCode::NOT_FOUND => Err(Error::Absent),
        StatusCode::PRECONDITION_FAILED => {
            let version = parse::<Written>(&answer.body).map_or(0, |written| written.version);
            Err(Error::Conflict(version))
        }
        status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
            Err(Error::Unavailable(detail()))
        }
        status => Err(Error::Refused {
            status: status.as_u16(),
            detail: detail(),
        }),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| unreadable(&e.to_string()))
}

fn unreadable(detail: &str) -> Error {
    Error::Refused {
        status: 0,
        detail: detail.to_string(),
    }
}
