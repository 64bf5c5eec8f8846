//! The builder of a request to a peer.

use std::{fmt, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header::IntoHeaderName};

use super::fence::Fence;

pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// A request to a peer.
///
/// # Examples
///
/// ```
/// use tarragonseam_link::http::client::Call;
///
/// let call = Call::post("/v1/orders", "{}").header("x-request-id", "7");
/// assert_eq!(call.path(), "/v1/orders");
/// ```
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) needs_new_connection: bool,
    pub(crate) is_idempotent: bool,
    pub(crate) expected_echo: Option<(HeaderName, HeaderValue)>,
    pub(crate) may_omit_echo: bool,
    pub(crate) kept_connection: KeptUse,
    pub(crate) host: Option<HeaderValue>,
    pub(crate) connect_timeout: Duration,
    pub(crate) deadline: Duration,
    pub(crate) fence: Option<Fence>,
    pub(crate) condition: Option<Hook<dyn Fn() -> bool>>,
    pub(crate) on_connect: Option<Hook<dyn Fn(bool)>>,
    pub(crate) on_send: Option<Hook<dyn Fn()>>,
    pub(crate) on_head: Option<Hook<OnHead>>,
}

/// How a request uses the connection that a [`Pool`](super::client::Pool) keeps for
/// each peer apart from the idle ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeptUse {
    /// It does not use that connection.
    Never,
    /// It uses that connection if there is one.
    IfAvailable,
    /// It uses that connection if there is one, and is sent on a new connection
    /// otherwise. The new connection is kept if the response repeats the id of the
    /// request.
    Own,
}

type OnHead = dyn Fn(StatusCode, &HeaderMap);

/// A function that is called at some point of an exchange.
pub(crate) struct Hook<F: ?Sized>(pub(crate) Rc<F>);

impl<F: ?Sized> Clone for Hook<F> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<F: ?Sized> fmt::Debug for Hook<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hook")
    }
}

const DEADLINE_DEFAULT: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT_DEFAULT: Duration = Duration::from_secs(1);

impl Call {
    /// Starts a request without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            needs_new_connection: false,
            is_idempotent: method.is_safe(),
            expected_echo: None,
            may_omit_echo: false,
            kept_connection: KeptUse::Never,
            host: None,
            connect_timeout: CONNECT_TIMEOUT_DEFAULT,
            deadline: DEADLINE_DEFAULT,
            fence: None,
            condition: None,
            on_connect: None,
            on_send: None,
            on_head: None,
            method,
        }
    }

    /// Starts a GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// Starts a POST request with `body`.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, path).body(body)
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets one header. A value that is not valid in a header is left out.
    pub fn header(mut self, name: impl IntoHeaderName, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Replaces all headers.
    pub fn headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }

    /// Adds the trace context of `span`.
    pub fn traced(mut self, span: &crate::telemetry::Span) -> Self {
        span.inject(&mut self.headers);
        self
    }

    /// Sends the request on a new connection instead of an idle one.
    pub fn new_connection(mut self) -> Self {
        self.needs_new_connection = true;
        self
    }

    /// Sets a fence that must be open right before the request is written. The
    /// request is then sent on a new connection, or on one that is kept for such
    /// requests ([`kept_connection`](Self::kept_connection)).
    pub fn fence(mut self, fence: Fence) -> Self {
        self.fence = Some(fence);
        self.needs_new_connection = true;
        self
    }

    /// Sets a condition that must hold right before the request is written, each time
    /// that it is. If it does not, the call fails with
    /// [`Kind::Fenced`](super::error::Kind::Fenced).
    pub fn condition(mut self, condition: impl Fn() -> bool + 'static) -> Self {
        self.condition = Some(Hook(Rc::new(condition)));
        self
    }

    /// Sets a function that is called each time that a connection to the peer is
    /// opened or cannot be opened in its full time, with whether it was opened.
    pub fn on_connect(mut self, hook: impl Fn(bool) + 'static) -> Self {
        self.on_connect = Some(Hook(Rc::new(hook)));
        self
    }

    /// Sets a function that is called right before the request is written, each
    /// time that it is. From then on the peer may run the request, also if its
    /// sender is dropped.
    pub fn on_send(mut self, hook: impl Fn() + 'static) -> Self {
        self.on_send = Some(Hook(Rc::new(hook)));
        self
    }

    /// Sets a function that is called with the status and the headers of each
    /// response to this request, also if its body is never completed. It is not
    /// called for a response to another request. Functions that were set before are
    /// called first.
    pub fn on_head(mut self, hook: impl Fn(StatusCode, &HeaderMap) + 'static) -> Self {
        let earlier = self.on_head.take();
        self.on_head = Some(Hook(Rc::new(move |status, headers: &HeaderMap| {
            if let Some(earlier) = &earlier {
                (earlier.0)(status, headers);
            }
            hook(status, headers);
        })));
        self
    }

    /// Sets whether the request may be sent twice. If so, it is repeated when
    /// the peer turns out to have closed an idle connection. By default only
    /// requests with a safe method are idempotent.
    pub fn idempotent(mut self, is_idempotent: bool) -> Self {
        self.is_idempotent = is_idempotent;
        self
    }

    /// Sends `id` as `x-request-id` and accepts only a response that repeats
    /// it.
    pub fn request_id(self, id: &str) -> Self {
        self.echoed_header(REQUEST_ID, id)
    }

    /// Sends `id` as the header `name` and accepts only a response that repeats
    /// it. A request that is sent again with the same `id` uses another
    /// connection, since the id does not distinguish the two responses.
    pub fn echoed_header(mut self, name: HeaderName, id: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(id) {
            self.headers.insert(name.clone(), value.clone());
            self.expected_echo = Some((name, value));
        }
        self
    }

    /// Sends `id` as the header `name`, and rejects a response that has another id
    /// there. A response without an id is accepted, but not on a kept connection
    /// ([`kept_connection`](Self::kept_connection)) whose last response had one. No two
    /// requests may have the same `id`.
    pub fn unique_id(mut self, name: HeaderName, id: &str) -> Self {
        self.may_omit_echo = true;
        self.echoed_header(name, id)
    }

    /// Sends the request on a connection to the peer that carries no other requests
    /// but those of [`prefer_kept_connection`](Self::prefer_kept_connection).
    ///
    /// If the last response there repeated the [id](Self::unique_id) of its request, so
    /// must this one: a late or a second response to an earlier request is never taken
    /// for it. Otherwise the connection is used only if another request was answered
    /// there in between ([`prefer_kept_connection`](Self::prefer_kept_connection)),
    /// which would have got the late response in its place.
    pub fn kept_connection(mut self) -> Self {
        self.kept_connection = KeptUse::Own;
        self
    }

    /// Sends the request on the connection that is kept for the requests with
    /// [`kept_connection`](Self::kept_connection), or on an idle one if none is kept.
    pub fn prefer_kept_connection(mut self) -> Self {
        self.kept_connection = KeptUse::IfAvailable;
        self
    }

    /// Sets the `host` header, which is the address of the peer by default.
    pub fn host(mut self, name: &str) -> Self {
        self.host = HeaderValue::from_str(name).ok();
        self
    }

    /// Sets how long opening a connection may take.
    pub fn connect_timeout(mut self, time: Duration) -> Self {
        self.connect_timeout = time;
        self
    }

    /// Sets how long the call may take, up to the head of the response, or up
    /// to the end of its body with [`Pool::fetch`](super::client::Pool::fetch).
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Returns whether the request may be sent twice.
    pub fn may_repeat(&self) -> bool {
        self.is_idempotent
    }

    /// Sets the start of the path, before the present one.
    pub fn path_prefix(mut self, prefix: &str) -> Self {
        self.path.insert_str(0, prefix);
        self
    }

    /// Removes the `host` header that was set, and returns it.
    pub fn take_host(&mut self) -> Option<HeaderValue> {
        self.host.take()
    }

    /// Returns whether the request may not share a connection with others of all
    /// kinds.
    pub(crate) fn needs_own_connection(&self) -> bool {
        self.needs_new_connection || self.kept_connection == KeptUse::Own
    }

    /// Returns how long the call may take.
    pub fn time_limit(&self) -> Duration {
        self.deadline
    }

    /// Returns the headers that were set, without `host`.
    pub fn header_map(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the path and query.
    pub fn path(&self) -> &str {
        &self.path
    }
}
