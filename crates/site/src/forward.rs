//! Forwards callers' requests to endpoints.
//!
//! A request that failed at one endpoint is sent to another one if the first
//! cannot have run it, or if the request may run more than once.

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use board::key::Digest;
use link::{
    Bytes, HeaderMap, Method, StatusCode,
    http::{
        self, Request,
        client::{Call, Fetched},
        error,
        server::Reply,
    },
};
use platform::{config::Route, header};
use policy::stop;

use crate::{
    crash::{Admission, Crashes, Probe},
    facts::{Endpoint, Facts, Key},
    metrics::Metrics,
    origin::{Origins, Producer},
    path::Paths,
    permit::Permits,
    placement::{self, Choice, Connections, Criteria},
    prompt::Needs,
    stream::{Attempts, Source, is_event_stream},
    usage::{Entry, Usage},
};

/// How long an endpoint may take to accept a connection. A live endpoint takes
/// a few milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The number of rejections after which a request fails.
const REJECTIONS_MAX: usize = 6;
/// The number of endpoints without a permit after which a request goes only to
/// endpoints without a rate limit. All coordinators are asked for each permit.
const DENIALS_MAX: usize = 3;
/// The `retry-after` of a request that no endpoint has run. Most endpoints have
/// a free slot again within the time of one request.
const RETRY_AFTER_S: &str = "0.1";
/// The `retry-after` of a stream that no endpoint can continue. An endpoint that
/// crashed restarts within seconds.
const SOFTWARE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The `retry-after` of a request while all failure domains are evacuated. An operator
/// ends an evacuation by hand, and callers should come back soon after.
const EVACUATION_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The pause before endpoints are tried again after all of them rejected the
/// request.
pub(crate) const ALL_FULL_PAUSE: Duration = Duration::from_millis(20);
/// The time before a caller's deadline that is reserved for sending the reply.
const REPLY_RESERVE: Duration = Duration::from_millis(5);

/// Forwards requests to endpoints.
#[derive(Clone)]
pub struct Forwarder {
    /// The facts that this VM knows.
    pub facts: Rc<RefCell<Facts>>,
    /// The paths to endpoints.
    pub paths: Paths,
    /// Permits to send to endpoints with a rate limit.
    pub permits: Permits,
    /// What began the streams of callers.
    pub origins: Origins,
    /// The requests under which endpoints ended.
    pub crashes: Crashes,
    /// The counts of requests by account.
    pub usage: Usage,
    /// Counters of requests.
    pub metrics: Metrics,
    /// The failure domain of this VM.
    pub domain: String,
    /// The name of this VM.
    pub vm: String,
    /// The planned stop of this VM, once it has begun.
    pub stop: Rc<Cell<Option<Stop>>>,
}

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// When the signal was seen.
    pub start: Instant,
    /// The times after that.
    pub terms: stop::Terms,
}

/// A slot that one request occupies at an endpoint. Dropping it frees the slot.
pub struct Slot {
    facts: Rc<RefCell<Facts>>,
    key: Key,
}

impl Slot {
    /// Occupies a slot at the endpoint `key`, or returns `None` if the endpoint
    /// was removed. The number of slots is not checked.
    pub fn acquire(facts: &Rc<RefCell<Facts>>, key: Key) -> Option<Self> {
        facts.borrow_mut().endpoints.get_mut(key)?.in_flight += 1;
        let facts = facts.clone();
        Some(Self { facts, key })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(endpoint) = self.facts.borrow_mut().endpoints.get_mut(self.key) {
            endpoint.in_flight -= 1;
        }
    }
}

/// A request to send to endpoints.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The id, which the endpoint must echo.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
    /// The host of its route.
    pub host: String,
    /// The headers, without those that the forwarder sets.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The client account that is billed, if there is one.
    pub account: Option<String>,
    /// Who sent the request.
    pub origin: Origin,
    /// Whether the request may run more than once, from [`Route::is_idempotent`] for those
    /// of callers. Whatever sends the request again asks this and nothing else.
    pub may_repeat: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The result of [`Dispatch::content`].
    pub digest: OnceCell<String>,
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, who waits for the answer.
    Caller,
    /// This system, for a job that it has accepted.
    Job,
}

impl Origin {
    /// Returns the name in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Job => "job",
        }
    }
}

impl Dispatch {
    /// Returns a digest of all that makes two requests equal for an endpoint,
    /// whatever their ids. It is computed once, since bodies may be large.
    pub fn content(&self) -> &str {
        self.digest.get_or_init(|| self.compute_content())
    }

    /// Returns the attempt that received the first event of the stream that this
    /// request resumes, if it resumes one and names it.
    pub fn origin(&self) -> Option<&str> {
        self.headers.get(header::LAST_EVENT)?;
        self.headers.get(header::RESUMES)?.to_str().ok()
    }

    /// Returns the time until the caller stops waiting.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn compute_content(&self) -> String {
        let account = self.account.as_deref().unwrap_or_default();
        let parts = [self.method.as_str(), &self.host, &self.path, account];
        // No part can contain the separator.
        let head = parts.join("\n");
        let body = Digest::of_bytes(&self.body);
        let mut digest = Digest::of(&format!("{head}\n{body}")).to_string();
        digest.truncate(CONTENT_DIGITS);
        digest
    }

    /// Returns the call to `endpoint`, which may take `limit`.
    pub fn call(&self, endpoint: &str, limit: Duration) -> Call {
        let remaining = self.time_left();
        let mut call = Call::new(self.method.clone(), &self.path)
            .headers(self.headers.clone())
            .body(self.body.clone())
            .host(&self.host)
            .echoed_header(header::REQUEST_ID, &self.id)
            .header(header::EXPECT_ENDPOINT, endpoint)
            .header(header::DEADLINE, remaining.as_millis().to_string())
            .idempotent(self.may_repeat)
            .connect_timeout(CONNECT_TIMEOUT)
            .deadline(limit);
        if let Some(account) = &self.account {
            call = call.header(header::ACCOUNT, account);
        }
        call
    }
}

/// The number of hexadecimal digits of a digest that identify a content.
const CONTENT_DIGITS: usize = 32;

/// The outcome of sending a request to one endpoint.
enum Attempt {
    /// The endpoint ran the request and answered.
    Answered(Fetched),
    /// The endpoint did not run the request and will not run it, for this
    /// reason.
    NotRun(&'static str),
    /// The request was not sent, since no permit was granted for the endpoint.
    Denied,
    /// The request was not sent, since the failure domain of the endpoint is evacuated,
    /// or a cold endpoint bears no more for now.
    Withheld,
    /// The request was not sent, since no connection could be opened.
    Unreached(http::Error),
    /// The endpoint may have run the request, but no answer arrived.
    Unknown(http::Error),
}

impl Attempt {
    /// Returns the label of the result in the metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Denied => "denied",
            Self::Withheld => "withheld",
            Self::Unreached(_) => "unreached",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// The outcome of a request over all its attempts.
#[derive(Debug, Default)]
pub struct Outcome {
    /// How the request ended.
    pub end: End,
    /// The number of endpoints that ran the request or may have run it.
    pub runs: u32,
    /// The number of endpoints that ran the request and answered with status
    /// 500.
    pub failures: u32,
    /// The number of endpoints that did not run the request.
    pub rejections: usize,
    /// The number of endpoints for which no permit was granted.
    pub denials: usize,
    /// Why the request was not sent, if this is known.
    pub hold: Option<Hold>,
    /// The last endpoint that ran the request or may have run it.
    pub endpoint: String,
}

/// Why a request is not sent for some time.
#[derive(Clone, Copy, Debug)]
pub enum Hold {
    /// The endpoints accept no more requests per second. A permit is expected
    /// after this time.
    RateLimit(Duration),
    /// Endpoints ended under it. The quarantine ends after this time.
    Quarantine(Duration),
    /// The failure domains of all endpoints are evacuated.
    Evacuation,
    /// No endpoint has the software that began the stream.
    Software,
    /// This VM stops, and may end before the answer arrives.
    Stopping,
}

/// How a request ended.
#[derive(Debug, Default)]
pub enum End {
    /// An endpoint gave this answer.
    Answered(Fetched),
    /// An endpoint may have run it, but no answer arrived.
    Lost,
    /// No endpoint ran it, and none will.
    #[default]
    NotRun,
}

impl Forwarder {
    /// Forwards a caller's request on `route`, and returns the reply.
    pub async fn answer(&self, route: &Route, account: Option<String>, request: Request) -> Reply {
        let requested =
            header::parse_number(&request.headers, header::DEADLINE).map(Duration::from_millis);
        let limits = [requested, route.timeout_ms];
        let limit = limits
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(DEFAULT_TIMEOUT);
        let id = request.header("request-id").unwrap_or_default().to_string();
        let dispatch = Dispatch {
            id,
            method: request.method.clone(),
            path: request.target().to_string(),
            host: request.header("host").unwrap_or_default().to_string(),
            headers: header::forwarded_headers(&request.headers),
            body: request.body.clone(),
            account,
            origin: Origin::Caller,
            may_repeat: route.is_idempotent(),
            deadline: Instant::now() + limit.saturating_sub(REPLY_RESERVE),
            digest: OnceCell::new(),
        };
        if route.streaming {
            return self.stream(route.clone(), dispatch).await;
        }
        reply_for(self.run(route, &dispatch).await)
    }

    /// Opens an event stream at the next endpoint that was not tried and can
    /// continue what its producer began.
    ///
    /// Returns `Some(None)` if the stream was not opened and another endpoint
    /// may be tried, and `None` if no other endpoint may be tried.
    pub(crate) async fn open_next(
        &self,
        route: &Route,
        dispatch: &Dispatch,
        attempts: &mut Attempts,
        outcome: &mut Outcome,
    ) -> Option<Option<Source>> {
        let remaining = dispatch.time_left();
        if self.is_exhausted(dispatch, outcome) {
            return None;
        }
        let has_run = attempts.runs > 0;
        if !self.may_send(dispatch, has_run, !dispatch.may_repeat) {
            outcome.hold = Some(Hold::Stopping);
            return None;
        }
        let admission = self.crashes.admit(dispatch);
        if let Admission::Held(rest) = admission {
            outcome.hold = Some(Hold::Quarantine(rest));
            return None;
        }
        let (service, software) = match &attempts.producer {
            Some(producer) => (&*producer.service, Some(&*producer.software)),
            None => (select_service(route, &dispatch.id)?, None),
        };
        outcome.hold = self.hold(service);
        let needs = Needs::of_headers(&dispatch.headers);
        let has_idle = |address| self.paths.has_idle(address);
        let criteria = Criteria {
            software,
            work: needs.work(),
            connections: Connections(Some(&has_idle)),
            request: &dispatch.id,
            ..self.criteria(service, &attempts.tried, outcome.denials)
        };
        let chosen = placement::decide(&self.facts.borrow(), criteria, Instant::now());
        let Some(choice) = chosen else {
            let has_endpoint = placement::has_suitable(&self.facts.borrow(), criteria);
            let is_held = matches!(outcome.hold, Some(Hold::Evacuation));
            if software.is_some() && !has_endpoint && !is_held {
                outcome.hold = Some(Hold::Software);
            }
            return None;
        };
        let key = choice.key;
        let endpoint = self.endpoint(key)?;
        let slot = Slot::acquire(&self.facts, key)?;
        if !self.permits.acquire(key, &dispatch.id).await {
            outcome.denials += 1;
            return Some(None);
        }
        let probe = match self.claim_probe(dispatch, &admission).await {
            Ok(probe) => probe,
            Err(hold) => {
                outcome.hold = Some(hold);
                return None;
            }
        };
        attempts.tried.push(key);
        needs.record(&mut self.facts.borrow_mut(), key);
        self.metrics.record_placement(choice.benefit());
        let entry = self.usage.entry(dispatch.account.as_deref());
        let call = observed(dispatch.call(&endpoint.id, remaining), &self.facts, key);
        let call = counted(probing(call, probe.as_ref()), &entry);
        let sent_at = Instant::now();
        let sent = self.paths.send(key, &endpoint, call).await;
        let judged = sent.and_then(|response| {
            let is_rejected =
                is_rejected(response.status, &response.headers, response.is_repeated)?;
            Ok((response, is_rejected))
        });
        let may_have_run = match &judged {
            Ok((_, is_rejected)) => !is_rejected,
            Err(e) => !e.is_unsent(),
        };
        if !may_have_run {
            entry.cancel();
            if let Some(probe) = &probe {
                probe.set_sent(false);
            }
        }
        let now = Instant::now();
        match judged {
            Ok((response, false)) => {
                attempts.runs += 1;
                self.facts.borrow_mut().record_success(key);
                if attempts.is_answered && !is_event_stream(response.status, &response.headers) {
                    let status = response.status.as_u16();
                    let (request, endpoint) = (dispatch.id.as_str(), endpoint.id.as_str());
                    spdlog::warn!("stream not continued, the endpoint answered otherwise", kv: { request, endpoint, status });
                    outcome.runs += 1;
                    return attempts.may_continue(route, dispatch).then_some(None);
                }
                log_opened(dispatch, &endpoint, &choice);
                Some(Some(Source {
                    key,
                    slot,
                    response,
                    producer: Producer::new(&endpoint.record),
                    sent_at,
                }))
            }
            Ok((response, true)) => {
                response.discard();
                self.facts.borrow_mut().record_rejection(key, now);
                outcome.rejections += 1;
                Some(None)
            }
            Err(e) if e.kind() == error::Kind::Fenced => {
                self.facts.borrow_mut().record_withheld(key, now);
                outcome.rejections += 1;
                Some(None)
            }
            Err(e) => {
                self.facts.borrow_mut().record_failure(key, now);
                let (request, known, problem) = (&*dispatch.id, &endpoint, e.to_string());
                let endpoint = known.id.as_str();
                let content = dispatch.content();
                spdlog::warn!("opening an event stream at an endpoint failed", kv: { request, endpoint, problem, content });
                if !may_have_run {
                    outcome.rejections += 1;
                    return Some(None);
                }
                self.crashes.record_failure(dispatch, known, sent_at, &e);
                attempts.runs += 1;
                outcome.runs += 1;
                outcome.end = End::Lost;
                attempts.may_continue(route, dispatch).then_some(None)
            }
        }
    }

    /// Sends `dispatch` to one endpoint after the other, until one answers, the
    /// deadline has passed or no other endpoint may be tried.
    pub async fn run(&self, route: &Route, dispatch: &Dispatch) -> Outcome {
        let start = Instant::now();
        let outcome = self.try_endpoints(route, dispatch).await;
        let status = match &outcome.end {
            End::Answered(response) => response.status.as_u16(),
            End::Lost => StatusCode::GATEWAY_TIMEOUT.as_u16(),
            End::NotRun => StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        };
        let (request, name) = (dispatch.id.as_str(), route.name.as_str());
        let (runs, rejections, denials) = (outcome.runs, outcome.rejections, outcome.denials);
        let endpoint = outcome.endpoint.as_str();
        let is_answered = matches!(outcome.end, End::Answered(_));
        let ms = start.elapsed().as_millis() as u64;
        self.metrics.record_request(name, status, start.elapsed());
        spdlog::info!("request finished", kv: { request, route = name, status, endpoint, is_answered, runs, turned_away = rejections, denials, ms });
        outcome
    }

    async fn try_endpoints(&self, route: &Route, dispatch: &Dispatch) -> Outcome {
        let mut tried = Vec::new();
        let mut outcome = Outcome::default();
        let needs = Needs::of_headers(&dispatch.headers);
        let has_idle = |address| self.paths.has_idle(address);
        loop {
            let remaining = dispatch.time_left();
            if self.is_exhausted(dispatch, &outcome) {
                return outcome;
            }
            if !self.may_send(dispatch, outcome.runs > 0, false) {
                outcome.hold = Some(Hold::Stopping);
                return outcome;
            }
            let admission = self.crashes.admit(dispatch);
            if let Admission::Held(rest) = admission {
                outcome.hold = Some(Hold::Quarantine(rest));
                return outcome;
            }
            let Some(service) = select_service(route, &dispatch.id) else {
                return outcome;
            };
            let criteria = Criteria {
                work: needs.work(),
                connections: Connections(Some(&has_idle)),
                request: &dispatch.id,
                ..self.criteria(service, &tried, outcome.denials)
            };
            let chosen = {
                let facts = self.facts.borrow();
                placement::decide_with_last_resort(&facts, criteria, Instant::now())
            };
            let Some(choice) = chosen else {
                outcome.hold = self.hold(service);
                if tried.is_empty() || outcome.runs > 0 {
                    return outcome;
                }
                // All endpoints rejected the request, but a slot may become
                // free soon.
                tried.clear();
                monoio::time::sleep(ALL_FULL_PAUSE.min(remaining)).await;
                continue;
            };
            let key = choice.key;
            let attempts_left = route.max_attempts.saturating_sub(outcome.runs);
            let limit = attempt_timeout(remaining, route, dispatch.may_repeat, attempts_left);
            let is_last = attempts_left <= 1 || !dispatch.may_repeat;
            let probe = match self.claim_probe(dispatch, &admission).await {
                Ok(probe) => probe,
                Err(hold) => {
                    outcome.hold = Some(hold);
                    return outcome;
                }
            };
            let attempt = self
                .try_endpoint(&choice, dispatch, &needs, limit, probe)
                .await;
            if !matches!(attempt, Attempt::Denied) {
                tried.push(key);
            }
            if let Attempt::Answered(_) | Attempt::Unknown(_) = &attempt {
                outcome.endpoint = self.endpoint_id(key);
            }
            match attempt {
                Attempt::NotRun(_) | Attempt::Withheld | Attempt::Unreached(_) => {
                    outcome.rejections += 1;
                }
                Attempt::Denied => outcome.denials += 1,
                Attempt::Answered(response) => {
                    outcome.runs += 1;
                    let is_failure = response.status.is_server_error();
                    let is_internal = response.status == StatusCode::INTERNAL_SERVER_ERROR;
                    outcome.failures += u32::from(is_internal);
                    outcome.end = End::Answered(response);
                    if !is_failure || is_last {
                        return outcome;
                    }
                }
                Attempt::Unknown(_) => {
                    outcome.runs += 1;
                    if !matches!(outcome.end, End::Answered(_)) {
                        outcome.end = End::Lost;
                    }
                    if is_last {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Returns whether `dispatch` is sent to no other endpoint, since its deadline
    /// has passed, too many rejected it, or this VM stops.
    pub(crate) fn is_exhausted(&self, dispatch: &Dispatch, outcome: &Outcome) -> bool {
        let is_stopping = matches!(outcome.hold, Some(Hold::Stopping));
        let is_late = dispatch.time_left().is_zero();
        is_late || is_stopping || outcome.rejections >= REJECTIONS_MAX
    }

    /// Returns whether `dispatch` may still be sent, although this VM may be stopping.
    fn may_send(&self, dispatch: &Dispatch, has_run: bool, is_unresumable_stream: bool) -> bool {
        let Some(stop) = self.stop.get() else {
            return true;
        };
        let request = stop::Request {
            time_left: dispatch.time_left(),
            // This system repeats its own requests at another VM.
            has_run: has_run || dispatch.origin == Origin::Job,
            is_unresumable_stream,
        };
        let elapsed = stop.start.elapsed();
        let may_send = stop.terms.may_send(request, elapsed);
        if !may_send {
            let (request, elapsed_ms) = (dispatch.id.as_str(), elapsed.as_millis() as u64);
            let left_ms = dispatch.time_left().as_millis() as u64;
            spdlog::info!("request not sent, this VM stops", kv: { request, elapsed_ms, left_ms });
        }
        may_send
    }

    fn criteria<'a>(&'a self, service: &'a str, tried: &'a [Key], denials: usize) -> Criteria<'a> {
        Criteria {
            service,
            domain: &self.domain,
            avoids_limits: denials >= DENIALS_MAX,
            tried,
            vm: &self.vm,
            ..Criteria::default()
        }
    }

    /// Returns why no request is sent to `service` now: all of its endpoints are
    /// evacuated, or no permit was granted for one of them.
    fn hold(&self, service: &str) -> Option<Hold> {
        let now = Instant::now();
        let facts = self.facts.borrow();
        if facts.is_service_evacuated(service) {
            return Some(Hold::Evacuation);
        }
        let next = facts.next_permit(service, now);
        next.map(|at| Hold::RateLimit(at.saturating_duration_since(now)))
    }

    /// Returns the endpoint `key`, or `None` if it has been removed.
    pub(crate) fn endpoint(&self, key: Key) -> Option<Endpoint> {
        self.facts.borrow().endpoints.get(key).cloned()
    }

    /// Returns the id of the endpoint `key`, or an empty string if the endpoint
    /// has been removed.
    fn endpoint_id(&self, key: Key) -> String {
        let endpoint = self.endpoint(key);
        endpoint.map(|endpoint| endpoint.id).unwrap_or_default()
    }

    /// Claims the probe that `admission` asks for, if it does.
    async fn claim_probe(
        &self,
        dispatch: &Dispatch,
        admission: &Admission,
    ) -> Result<Option<Probe>, Hold> {
        match admission {
            Admission::Probe(number) => self.crashes.claim(dispatch, *number).await.map(Some),
            _ => Ok(None),
        }
    }

    async fn try_endpoint(
        &self,
        choice: &Choice,
        dispatch: &Dispatch,
        needs: &Needs,
        limit: Duration,
        probe: Option<Probe>,
    ) -> Attempt {
        let key = choice.key;
        let Some(endpoint) = self.endpoint(key) else {
            return Attempt::NotRun("endpoint was removed");
        };
        let Some(_slot) = Slot::acquire(&self.facts, key) else {
            return Attempt::NotRun("endpoint was removed");
        };
        if !self.permits.acquire(key, &dispatch.id).await {
            return Attempt::Denied;
        }
        needs.record(&mut self.facts.borrow_mut(), key);
        self.metrics.record_placement(choice.benefit());
        let entry = self.usage.entry(dispatch.account.as_deref());
        let call = observed(dispatch.call(&endpoint.id, limit), &self.facts, key);
        let call = counted(probing(call, probe.as_ref()), &entry);
        let sent_at = Instant::now();
        let response = self.paths.fetch(key, &endpoint, call).await;
        let attempt = classify(response);
        self.metrics
            .record_attempt(&endpoint.record.service, attempt.name());
        let now = Instant::now();
        if let Attempt::NotRun(_) | Attempt::Withheld | Attempt::Unreached(_) = &attempt {
            entry.cancel();
            if let Some(probe) = &probe {
                probe.set_sent(false);
            }
        }
        let (request, id) = (dispatch.id.as_str(), endpoint.id.as_str());
        match &attempt {
            Attempt::Answered(response) => {
                let mut facts = self.facts.borrow_mut();
                facts.record_success(key);
                if response.status.is_success() {
                    facts.observe_request(key, now - sent_at, now);
                }
                drop(facts);
                // A 504 may come from the endpoint's queue.
                if !response.status.is_server_error() {
                    self.crashes.record_answer(dispatch);
                }
            }
            // The permits log it.
            Attempt::Denied => {}
            // The paths log it.
            Attempt::Withheld => self.facts.borrow_mut().record_withheld(key, now),
            Attempt::NotRun(reason) => {
                let reason = *reason;
                let backoff = self
                    .facts
                    .borrow_mut()
                    .record_rejection(key, now)
                    .as_millis() as u64;
                spdlog::info!("endpoint rejected a request", kv: { request, endpoint = id, reason, rest_ms = backoff });
            }
            Attempt::Unreached(e) | Attempt::Unknown(e) => {
                let backoff = self.facts.borrow_mut().record_failure(key, now).as_millis() as u64;
                let problem = e.to_string();
                let (content, origin) = (dispatch.content(), dispatch.origin.name());
                spdlog::warn!("request to an endpoint failed", kv: { request, endpoint = id, problem, rest_ms = backoff, content, origin });
            }
        }
        if let Attempt::Unknown(e) = &attempt {
            self.crashes.record_failure(dispatch, &endpoint, sent_at, e);
        }
        attempt
    }
}

fn log_opened(dispatch: &Dispatch, endpoint: &Endpoint, choice: &Choice) {
    let request = dispatch.id.as_str();
    let (id, software) = (endpoint.id.as_str(), endpoint.record.software.as_str());
    let origin = dispatch.origin().unwrap_or(request);
    let after = dispatch.headers.get(header::LAST_EVENT);
    let after = after
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let (held_tokens, expected_ms) = (choice.held_tokens, choice.expected_ms());
    spdlog::info!("event stream opened", kv: { request, origin, endpoint = id, software, after, held_tokens, expected_ms });
}

/// Returns `call` as the probe of a quarantine, if it is one. It goes over a new
/// connection, since a call whose idle connection was closed is sent again.
fn probing(call: Call, probe: Option<&Probe>) -> Call {
    let Some(probe) = probe else {
        return call;
    };
    probe.set_sent(true);
    call.new_connection()
}

/// Returns `call` with `entry`, which is counted once the call is sent.
fn counted(call: Call, entry: &Entry) -> Call {
    let entry = entry.clone();
    call.on_send(move || entry.record_sent())
}

/// Returns `call` to the endpoint `key` with a hook that records what the
/// endpoint states about itself in any response.
pub(crate) fn observed(call: Call, facts: &Rc<RefCell<Facts>>, key: Key) -> Call {
    let facts = facts.clone();
    call.on_head(move |status, headers| {
        // Such a response comes from another endpoint at the same address.
        if status != StatusCode::MISDIRECTED_REQUEST {
            let now = Instant::now();
            facts.borrow_mut().record_headers(key, headers, now);
        }
    })
}

/// The timeout of a request for which neither the caller nor the route sets
/// one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns how long one attempt may take. If the request may be repeated, time
/// is left for another endpoint in case the first one does not answer.
fn attempt_timeout(
    remaining: Duration,
    route: &Route,
    may_repeat: bool,
    attempts_left: u32,
) -> Duration {
    if !may_repeat || attempts_left <= 1 {
        return remaining;
    }
    let aim = route.aim_ms.unwrap_or(remaining);
    remaining.min((remaining / 2).max(aim * 2))
}

/// Returns the service that the request `id` goes to. A hash of the id selects
/// among the services of the route in proportion to their weights.
pub fn select_service<'a>(route: &'a Route, id: &str) -> Option<&'a str> {
    let total: u64 = route.shares().map(|(_, weight)| u64::from(weight)).sum();
    let mut point = board::hash::hash_bytes(id.as_bytes(), 0) % total.max(1);
    for (service, weight) in route.shares() {
        match point.checked_sub(u64::from(weight)) {
            None => return Some(service),
            Some(rest) => point = rest,
        }
    }
    None
}

/// Returns the reply to a caller whose request had this outcome.
pub(crate) fn reply_for(outcome: Outcome) -> Reply {
    match outcome.end {
        End::Answered(response) => to_reply(response),
        End::Lost => Reply::error(
            StatusCode::GATEWAY_TIMEOUT,
            "no-answer",
            "no endpoint answered",
        ),
        End::NotRun => match outcome.hold {
            Some(Hold::RateLimit(time)) => {
                let detail = "the endpoints accept no more requests per second";
                rejection("rate-limited", detail).header("retry-after", seconds(time))
            }
            Some(Hold::Quarantine(time)) => {
                let detail = "endpoints ended under this request";
                rejection("quarantined", detail).header("retry-after", seconds(time))
            }
            Some(Hold::Evacuation) => {
                let detail = "all failure domains with endpoints of the service are evacuated";
                let time = seconds(EVACUATION_RETRY_AFTER);
                rejection("evacuated", detail).header("retry-after", time)
            }
            Some(Hold::Software) => {
                let detail = "no endpoint has the software that began the stream";
                let time = seconds(SOFTWARE_RETRY_AFTER);
                rejection("no-software", detail).header("retry-after", time)
            }
            Some(Hold::Stopping) => {
                rejection("stopping", "this VM stops, others serve the request")
            }
            None => rejection("no-place", "no endpoint has a free slot"),
        },
    }
}

/// Returns `time` as the value of `retry-after`.
fn seconds(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64())
}

/// Returns whether a response with this status and these headers means that the
/// endpoint did not run the request.
///
/// # Errors
///
/// If the request was sent again and the endpoint rejected it: the endpoint may
/// have run the first one.
pub(crate) fn is_rejected(
    status: StatusCode,
    headers: &HeaderMap,
    is_repeated: bool,
) -> Result<bool, http::Error> {
    let is_rejected =
        status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(header::NOT_RUN);
    if is_rejected && is_repeated {
        let detail = "the connection closed, and the endpoint rejected the repeated request";
        return Err(http::Error::new(error::Kind::Incomplete, detail));
    }
    Ok(is_rejected)
}

fn classify(response: Result<Fetched, http::Error>) -> Attempt {
    let response = match response {
        Ok(response) => response,
        Err(e) if e.kind() == error::Kind::Fenced => return Attempt::Withheld,
        Err(e) if e.is_unsent() => return Attempt::Unreached(e),
        Err(e) => return Attempt::Unknown(e),
    };
    match is_rejected(response.status, &response.headers, response.is_repeated) {
        Ok(false) => Attempt::Answered(response),
        Ok(true) => Attempt::NotRun(match response.status {
            StatusCode::MISDIRECTED_REQUEST => "another endpoint has this address",
            _ => "rejected by the endpoint",
        }),
        Err(e) => Attempt::Unknown(e),
    }
}

/// Returns the reply that passes an endpoint's response on to the caller.
fn to_reply(response: Fetched) -> Reply {
    let mut reply = Reply::new(response.status, response.body);
    *reply.headers_mut() = header::forwarded_headers(&response.headers);
    reply
}

/// Returns the reply to a request that has not run and may be sent again.
pub fn rejection(code: &str, detail: &str) -> Reply {
    Reply::error(StatusCode::SERVICE_UNAVAILABLE, code, detail).header("retry-after", RETRY_AFTER_S)
}
