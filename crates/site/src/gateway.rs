//! The forwarding of attempts for VMs that have lost their links to endpoints.
//!
//! A gateway sends an attempt to the endpoint that the other VM has chosen, once
//! and over its own link only, and passes the response on as it arrives. It
//! decides nothing else. If the other VM closes its connection, the attempt is
//! cancelled. The gateway is served to VMs only, and forwards to the endpoints
//! that it knows only.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    HeaderMap, HeaderName, StatusCode,
    http::{
        self, Request, Response,
        client::Call,
        error::{Error, Kind},
        server::{Part, Reply},
    },
};
use platform::header;

use crate::{
    facts::{Endpoint, Facts, Key},
    forward::{CONNECT_TIMEOUT, is_rejected, observed},
    job::proxy::Proxy,
    path::Paths,
    permit::Permits,
};

/// The prefix of the path of a forwarded attempt, before the original path.
pub(crate) const PATH: &str = "/gateway";
/// The path at which a VM tells whether it reaches endpoints.
pub(crate) const CHECK_PATH: &str = "/gateway-check";

/// The id of the endpoint.
const ENDPOINT: HeaderName = HeaderName::from_static("x-gateway-endpoint");
/// The host of the route.
const HOST: HeaderName = HeaderName::from_static("x-gateway-host");
/// How long the attempt may take, in milliseconds.
const LIMIT: HeaderName = HeaderName::from_static("x-gateway-limit");
/// Whether the request may run twice.
const IDEMPOTENT: HeaderName = HeaderName::from_static("x-gateway-idempotent");
/// Whether a permit was granted for the attempt.
const PERMITTED: HeaderName = HeaderName::from_static("x-gateway-permitted");
/// Why there is no response of the endpoint.
const ERROR: HeaderName = HeaderName::from_static("x-gateway-error");
/// The value of [`ERROR`] of a VM that forwards nothing, since it has no links
/// itself or is shutting down.
const UNAVAILABLE: &str = "unavailable";
/// The status of a reply with [`ERROR`]. Endpoints use it for requests that are
/// not for them, so what such a response states about its sender is ignored.
const ERROR_STATUS: StatusCode = StatusCode::MISDIRECTED_REQUEST;
/// The time before the end of an attempt that is reserved for the gateway's reply.
const REPLY_RESERVE: Duration = Duration::from_millis(30);
/// How long a gateway waits for the next part of a body. The other VM has a limit
/// of its own, and closes the connection after it.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

board::record! {
    /// The question whether a VM reaches one of these endpoints.
    pub(crate) struct Check {
        /// Ids of endpoints.
        pub(crate) endpoints: Vec<String>,
    }
}

board::record! {
    /// The answer to a [`Check`].
    #[derive(Default)]
    pub(crate) struct Checked {
        /// Whether the VM reaches one of them.
        pub(crate) reaches: bool,
        /// Whether the VM reaches any endpoint.
        pub(crate) is_linked: bool,
    }
}

/// Why a gateway returned no response of the endpoint.
pub(crate) enum Refusal {
    /// It forwards nothing, so the attempt was not sent.
    Unavailable,
    /// The attempt failed with this error.
    Failed(Error),
}

/// Returns the call to a gateway that forwards `call` to `endpoint`.
pub(crate) fn encode(mut call: Call, endpoint: &str, is_permitted: bool) -> Call {
    let limit = call.time_limit().saturating_sub(REPLY_RESERVE);
    let limit = limit.as_millis().to_string();
    let host = call.take_host();
    let host = host.as_ref().and_then(|host| host.to_str().ok());
    let is_idempotent = call.may_repeat();
    // All of them are set, since a caller may have sent headers of these names.
    call.path_prefix(PATH)
        .header(ENDPOINT, endpoint)
        .header(HOST, host.unwrap_or_default())
        .header(LIMIT, limit)
        .header(IDEMPOTENT, encode_flag(is_idempotent))
        .header(PERMITTED, encode_flag(is_permitted))
}

fn encode_flag(is_set: bool) -> &'static str {
    if is_set { "1" } else { "0" }
}

fn decode_flag(request: &Request, name: &HeaderName) -> bool {
    request.header(name.as_str()) == Some(encode_flag(true))
}

/// Returns why `response` of a gateway is not that of the endpoint, if so.
pub(crate) fn refusal(response: &Response) -> Option<Refusal> {
    let name = response.headers.get(ERROR)?.to_str().unwrap_or_default();
    let kind = match name {
        UNAVAILABLE => return Some(Refusal::Unavailable),
        name => KINDS.iter().find(|(_, other)| *other == name),
    };
    let kind = kind.map_or(Kind::Incomplete, |(kind, _)| *kind);
    Some(Refusal::Failed(Error::new(kind, "reported by the gateway")))
}

/// The names of errors in [`ERROR`].
const KINDS: [(Kind, &str); 8] = [
    (Kind::Connect, "connect"),
    (Kind::Build, "build"),
    (Kind::Fenced, "fenced"),
    (Kind::Send, "send"),
    (Kind::Timeout, "timeout"),
    (Kind::Incomplete, "incomplete"),
    (Kind::Malformed, "malformed"),
    (Kind::Mismatched, "mismatched"),
];

/// Forwards attempts of other VMs.
#[derive(Clone)]
pub struct Gateway {
    /// The facts that this VM knows.
    pub facts: Rc<RefCell<Facts>>,
    /// The paths of this VM, of which only its own links are used.
    pub paths: Paths,
    /// Permits to send to endpoints with a rate limit.
    pub permits: Permits,
    /// Knows whether this VM is shutting down.
    pub proxy: Proxy,
}

impl Gateway {
    /// Answers whether this VM reaches endpoints.
    pub(crate) async fn check(&self, request: &Request) -> Reply {
        let check = match request.json::<Check>() {
            Ok(check) => check,
            Err(reply) => return reply,
        };
        let checked = match self.proxy.is_draining() {
            true => Checked::default(),
            false => self.paths.check(&check).await,
        };
        Reply::json(StatusCode::OK, &checked)
    }

    /// Forwards the attempt of another VM, and returns the endpoint's response.
    pub(crate) async fn answer(&self, request: Request) -> Reply {
        let id = request
            .header(header::REQUEST_ID.as_str())
            .unwrap_or_default();
        if self.paths.is_cut_off() || self.proxy.is_draining() {
            return failure(id, UNAVAILABLE);
        }
        let response = match self.forward(&request).await {
            Ok(response) => response,
            Err(e) => {
                let name = KINDS.iter().find(|(kind, _)| *kind == e.kind());
                let (request, problem) = (id, e.to_string());
                spdlog::warn!("attempt of another VM failed", kv: { request, problem });
                return failure(id, name.map_or("incomplete", |(_, name)| name));
            }
        };
        reply_for(response)
    }

    async fn forward(&self, request: &Request) -> Result<Response, Error> {
        let (key, endpoint) = self.endpoint(request)?;
        let is_permitted = decode_flag(request, &PERMITTED);
        let id = request
            .header(header::REQUEST_ID.as_str())
            .unwrap_or_default();
        if is_permitted {
            let mut facts = self.facts.borrow_mut();
            facts.record_permit(key, Instant::now());
        } else if !self.permits.acquire(key, id).await {
            return Err(Error::new(Kind::Connect, "no permit for the endpoint"));
        }
        let call = observed(decode(request, id), &self.facts, key);
        let sent = self.paths.send_directly(key, &endpoint, call).await;
        let response = sent.map_err(|e| {
            let is_evacuated = self.facts.borrow().is_evacuated(key, &endpoint);
            match e.kind() {
                // The other VM leaves the whole failure domain out after a fence.
                Kind::Fenced if !is_evacuated => Error::new(Kind::Connect, e),
                _ => e,
            }
        })?;
        // A rejection of the second sending does not hold for the first.
        is_rejected(response.status, &response.headers, response.is_repeated)?;
        Ok(response)
    }

    /// Returns the endpoint of `request`, if requests may be sent to it.
    fn endpoint(&self, request: &Request) -> Result<(Key, Endpoint), Error> {
        let id = request.header(ENDPOINT.as_str()).unwrap_or_default();
        let facts = self.facts.borrow();
        let known = facts
            .key(id)
            .and_then(|key| Some((key, facts.endpoints.get(key)?)));
        match known {
            Some((_, endpoint)) if endpoint.is_evacuated() => {
                let domain = endpoint.record.failure_domain.as_str();
                spdlog::info!("attempt of another VM refused, the failure domain is evacuated", kv: { endpoint = id, domain });
                let detail = "the failure domain of the endpoint is evacuated";
                Err(Error::new(Kind::Fenced, detail))
            }
            Some((key, endpoint)) if !endpoint.record.is_draining => Ok((key, endpoint.clone())),
            Some(_) => Err(Error::new(Kind::Connect, "the endpoint is draining")),
            None => Err(Error::new(Kind::Connect, "the endpoint is not known")),
        }
    }
}

/// Returns the call that `request` of another VM asks for.
fn decode(request: &Request, id: &str) -> Call {
    let limit = header::parse_number(&request.headers, LIMIT).unwrap_or_default();
    let target = request.target();
    let path = target.strip_prefix(PATH).unwrap_or(target);
    let call = Call::new(request.method.clone(), path)
        .headers(without_own(&request.headers))
        .body(request.body.clone())
        .host(request.header(HOST.as_str()).unwrap_or_default())
        .idempotent(decode_flag(request, &IDEMPOTENT))
        .connect_timeout(CONNECT_TIMEOUT)
        .deadline(Duration::from_millis(limit));
    match id {
        "" => call,
        id => call.echoed_header(header::REQUEST_ID, id),
    }
}

/// Returns the headers of a message without those of its connection and those of
/// gateways.
fn without_own(headers: &HeaderMap) -> HeaderMap {
    let own = [ENDPOINT, HOST, LIMIT, IDEMPOTENT, PERMITTED, ERROR];
    http::forwarded_headers(headers, &own.each_ref().map(HeaderName::as_str))
}

/// Returns the reply to an attempt that got no response.
fn failure(id: &str, error: &str) -> Reply {
    Reply::new(ERROR_STATUS, "")
        .header(header::REQUEST_ID, id)
        .header(ERROR, error)
}

/// Returns the reply that passes `response` on as it arrives. If the endpoint's
/// body ends early, so does that of the reply.
fn reply_for(mut response: Response) -> Reply {
    let (status, headers) = (response.status, without_own(&response.headers));
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let mut reply = if has_no_body {
        Reply::new(status, "")
    } else {
        Reply::produced(status, move |sender| async move {
            loop {
                let part = match response.next(BODY_TIMEOUT).await {
                    Some(Ok(data)) => Part::Data(data),
                    Some(Err(e)) => {
                        let problem = e.to_string();
                        spdlog::warn!("response to another VM ended early", kv: { problem });
                        return;
                    }
                    None => Part::End,
                };
                let is_last = matches!(part, Part::End);
                // The send fails only if the other VM has disconnected.
                if sender.send(part).await.is_err() || is_last {
                    return;
                }
            }
        })
    };
    *reply.headers_mut() = headers;
    reply
}
