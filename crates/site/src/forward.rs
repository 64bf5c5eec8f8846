//! Requests of callers: sent to an endpoint, and to another one where the
//! first cannot have run it or it may run twice.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    Bytes, HeaderMap, Method, StatusCode,
    http::{
        self, Pool, Request,
        client::{Call, Fetched},
        server::Reply,
    },
};
use platform::{
    config::{Kind, Route},
    header,
};

use crate::{
    facts::{Facts, Key},
    metrics::Metrics,
    place::{self, Need},
    relay::Opened,
    usage::Usage,
};

/// How long an endpoint may take to accept a connection. Those that live do
/// within a few milliseconds.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// How many endpoints may turn one request away without running it.
const TURNED_AWAY_MAX: usize = 6;
/// When a caller whose request has not run should come back: most endpoints
/// are free again within the work of one request.
const RETRY_AFTER_S: &str = "0.1";
/// The pause before endpoints are asked again that were all full.
const FULL_PAUSE: Duration = Duration::from_millis(20);
/// What is kept of a caller's time for the way back.
const RETURN_TIME: Duration = Duration::from_millis(5);

/// What requests are forwarded with.
#[derive(Clone)]
pub struct Forwarder {
    facts: Rc<RefCell<Facts>>,
    pool: Pool,
    usage: Usage,
    metrics: Metrics,
    domain: String,
}

/// One request at one endpoint, given back on drop.
pub struct Place {
    facts: Rc<RefCell<Facts>>,
    key: Key,
}

impl Place {
    /// Takes a place at the endpoint `key`.
    pub fn take(facts: &Rc<RefCell<Facts>>, key: Key) -> Option<Self> {
        facts.borrow_mut().endpoints.get_mut(key)?.in_flight += 1;
        let facts = facts.clone();
        Some(Self { facts, key })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(endpoint) = self.facts.borrow_mut().endpoints.get_mut(self.key) {
            endpoint.in_flight -= 1;
        }
    }
}

/// A request as it is sent to endpoints.
#[derive(Clone, Debug)]
pub struct Order {
    /// Its id, which the endpoint must echo.
    pub id: String,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The host of its route.
    pub host: String,
    /// The headers, without those that the system sets.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The client account that asks.
    pub account: Option<String>,
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

impl Order {
    /// Returns the call for the endpoint `endpoint` that has `limit` left.
    pub fn call(&self, endpoint: &str, limit: Duration) -> Call {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut call = Call::new(self.method.clone(), &self.path)
            .headers(self.headers.clone())
            .body(self.body.clone())
            .host(&self.host)
            .identified_as(header::REQUEST_ID, &self.id)
            .header(header::EXPECT_ENDPOINT, endpoint)
            .header(header::DEADLINE, left.as_millis().to_string())
            .idempotent(self.may_repeat)
            .connect_time(CONNECT_TIME)
            .deadline(limit);
        if let Some(account) = &self.account {
            call = call.header(header::ACCOUNT, account);
        }
        call
    }
}

/// What one endpoint made of a request.
enum Attempt {
    /// It ran the request, and this is its answer.
    Answered(Fetched),
    /// It did not run the request and never will.
    NotRun(&'static str),
    /// No connection to it could be opened.
    Unreached(http::Error),
    /// It may have run the request.
    Unknown(http::Error),
}

impl Attempt {
    /// Returns the name under which it is counted.
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unreached(_) => "unreached",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// What became of a request.
#[derive(Debug, Default)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// How many endpoints ran it or may have.
    pub runs: u32,
    /// How many endpoints ran it and said that they failed.
    pub failures: u32,
    /// How many endpoints turned it away without running it.
    pub turned_away: usize,
    /// The endpoint that ran it last or may have.
    pub endpoint: String,
}

/// How a request ended.
#[derive(Debug, Default)]
pub enum End {
    /// With this answer.
    Answered(Fetched),
    /// Without an answer of the endpoints that may have run it.
    Lost,
    /// No endpoint ran it, and none will.
    #[default]
    NotRun,
}

impl Forwarder {
    /// Returns a forwarder for the VM in `domain`.
    pub fn new(
        facts: Rc<RefCell<Facts>>,
        pool: Pool,
        usage: Usage,
        metrics: Metrics,
        domain: &str,
    ) -> Self {
        Self {
            facts,
            pool,
            usage,
            metrics,
            domain: domain.to_string(),
        }
    }

    /// Answers a request on `route`.
    pub async fn answer(&self, route: &Route, account: Option<String>, request: Request) -> Reply {
        let told =
            header::parse_number(&request.headers, header::DEADLINE).map(Duration::from_millis);
        let limits = [told, route.timeout_ms];
        let limit = limits.into_iter().flatten().min().unwrap_or(DEFAULT_TIME);
        let id = request.header("request-id").unwrap_or_default().to_string();
        let order = Order {
            id,
            method: request.method.clone(),
            path: request.target().to_string(),
            host: request.header("host").unwrap_or_default().to_string(),
            headers: header::forwarded_headers(&request.headers),
            body: request.body.clone(),
            account,
            may_repeat: route.kind == Kind::Safe,
            deadline: Instant::now() + limit.saturating_sub(RETURN_TIME),
        };
        if route.streaming {
            return self.stream(route.clone(), order).await;
        }
        answer_of(self.run(route, &order).await)
    }

    /// Opens a series of events at the next endpoint that was not tried:
    /// `Some(None)` if that one did not run it, `None` if no other may be
    /// asked.
    pub(crate) async fn open_next(
        &self,
        route: &Route,
        order: &Order,
        tried: &mut Vec<Key>,
        outcome: &mut Outcome,
    ) -> Option<Option<Opened>> {
        let left = order.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || outcome.turned_away >= TURNED_AWAY_MAX {
            return None;
        }
        let key = self.choose(share(route, &order.id)?, tried)?;
        tried.push(key);
        let endpoint = self.facts.borrow().endpoints.get(key).cloned()?;
        let place = Place::take(&self.facts, key)?;
        let window = self.usage.window();
        let call = order.call(&endpoint.id, left);
        let sent = self.pool.send(endpoint.record.address, call).await;
        let is_run = match &sent {
            Ok(response) => !is_turned_away(response.status, &response.headers),
            Err(e) => !e.is_unsent(),
        };
        if let (true, Some(account)) = (is_run, &order.account) {
            self.usage.count(window, account);
        }
        let now = Instant::now();
        match sent {
            Ok(response) if is_run => {
                let load = header::parse_load(&response.headers);
                self.facts.borrow_mut().answered(key, load, now);
                Some(Some(Opened {
                    key,
                    place,
                    response,
                }))
            }
            Ok(_) => {
                self.facts.borrow_mut().turned_away(key, now);
                outcome.turned_away += 1;
                Some(None)
            }
            Err(e) => {
                self.facts.borrow_mut().failed(key, now);
                let (request, endpoint, problem) = (&*order.id, &*endpoint.id, e.to_string());
                spdlog::warn!("endpoint failed", kv: { request, endpoint, problem });
                if !is_run {
                    outcome.turned_away += 1;
                    return Some(None);
                }
                outcome.runs += 1;
                outcome.end = End::Lost;
                // It may have run, so only a series that may be gone on with
                // is asked for again.
                route.resumable.then_some(None)
            }
        }
    }

    /// Sends `order` until an endpoint answers, its time is up or nothing
    /// more may be tried.
    pub async fn run(&self, route: &Route, order: &Order) -> Outcome {
        let start = Instant::now();
        let outcome = self.attempts(route, order).await;
        let status = match &outcome.end {
            End::Answered(found) => found.status.as_u16(),
            End::Lost => StatusCode::GATEWAY_TIMEOUT.as_u16(),
            End::NotRun => StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        };
        let (request, name) = (order.id.as_str(), route.name.as_str());
        let (runs, turned_away) = (outcome.runs, outcome.turned_away);
        let endpoint = outcome.endpoint.as_str();
        let is_answered = matches!(outcome.end, End::Answered(_));
        let ms = start.elapsed().as_millis() as u64;
        self.metrics.request(name, status, start.elapsed());
        spdlog::info!("request ended", kv: { request, route = name, status, endpoint, is_answered, runs, turned_away, ms });
        outcome
    }

    async fn attempts(&self, route: &Route, order: &Order) -> Outcome {
        let mut tried = Vec::new();
        let mut outcome = Outcome::default();
        loop {
            let left = order.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || outcome.turned_away >= TURNED_AWAY_MAX {
                return outcome;
            }
            let Some(service) = share(route, &order.id) else {
                return outcome;
            };
            let Some(key) = self.choose(service, &tried) else {
                if tried.is_empty() || outcome.runs > 0 {
                    return outcome;
                }
                // All were asked and none ran it: a place may be free soon.
                tried.clear();
                monoio::time::sleep(FULL_PAUSE.min(left)).await;
                continue;
            };
            tried.push(key);
            let tries_left = route.max_attempts.saturating_sub(outcome.runs);
            let limit = attempt_limit(left, route, order.may_repeat, tries_left);
            let is_last = tries_left <= 1 || !order.may_repeat;
            let attempt = self.attempt(key, order, limit).await;
            if let Attempt::Answered(_) | Attempt::Unknown(_) = &attempt {
                outcome.endpoint = self.endpoint_id(key);
            }
            match attempt {
                Attempt::NotRun(_) | Attempt::Unreached(_) => outcome.turned_away += 1,
                Attempt::Answered(found) => {
                    outcome.runs += 1;
                    let is_failure = found.status.is_server_error();
                    let is_own = found.status == StatusCode::INTERNAL_SERVER_ERROR;
                    outcome.failures += u32::from(is_own);
                    outcome.end = End::Answered(found);
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

    fn choose(&self, service: &str, tried: &[Key]) -> Option<Key> {
        let need = Need {
            service,
            domain: &self.domain,
            tried,
            ..Need::default()
        };
        place::choose(&self.facts.borrow(), need, Instant::now())
    }

    /// Returns the id of the endpoint `key`; nothing if it is gone by now.
    fn endpoint_id(&self, key: Key) -> String {
        let facts = self.facts.borrow();
        let endpoint = facts.endpoints.get(key);
        endpoint
            .map(|endpoint| endpoint.id.clone())
            .unwrap_or_default()
    }

    async fn attempt(&self, key: Key, order: &Order, limit: Duration) -> Attempt {
        let known = self.facts.borrow().endpoints.get(key).cloned();
        let Some(endpoint) = known else {
            return Attempt::NotRun("endpoint gone");
        };
        let Some(_place) = Place::take(&self.facts, key) else {
            return Attempt::NotRun("endpoint gone");
        };
        let window = self.usage.window();
        let call = order.call(&endpoint.id, limit);
        let found = self.pool.fetch(endpoint.record.address, call).await;
        let attempt = judge(found);
        self.metrics
            .attempt(&endpoint.record.service, attempt.name());
        let now = Instant::now();
        if let (Attempt::Answered(_) | Attempt::Unknown(_), Some(account)) =
            (&attempt, &order.account)
        {
            self.usage.count(window, account);
        }
        let (request, id) = (order.id.as_str(), endpoint.id.as_str());
        match &attempt {
            Attempt::Answered(found) => {
                let load = header::parse_load(&found.headers);
                self.facts.borrow_mut().answered(key, load, now);
            }
            Attempt::NotRun(reason) => {
                let reason = *reason;
                let rest = self.facts.borrow_mut().turned_away(key, now).as_millis() as u64;
                spdlog::info!("request turned away", kv: { request, endpoint = id, reason, rest_ms = rest });
            }
            Attempt::Unreached(e) | Attempt::Unknown(e) => {
                let rest = self.facts.borrow_mut().failed(key, now).as_millis() as u64;
                let problem = e.to_string();
                spdlog::warn!("endpoint failed", kv: { request, endpoint = id, problem, rest_ms = rest });
            }
        }
        attempt
    }
}

/// The time of a request whose caller and route set none.
const DEFAULT_TIME: Duration = Duration::from_secs(10);

/// Returns how long one attempt may take. A request that may be repeated
/// leaves time for another endpoint, should the first be silent.
fn attempt_limit(left: Duration, route: &Route, may_repeat: bool, tries_left: u32) -> Duration {
    if !may_repeat || tries_left <= 1 {
        return left;
    }
    let aim = route.aim_ms.unwrap_or(left);
    left.min((left / 2).max(aim * 2))
}

/// Returns the service that the request `id` goes to, by the shares of its
/// route.
pub fn share<'a>(route: &'a Route, id: &str) -> Option<&'a str> {
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

/// Returns the answer for a request that ended so.
pub(crate) fn answer_of(outcome: Outcome) -> Reply {
    match outcome.end {
        End::Answered(found) => pass_back(found),
        End::Lost => Reply::error(
            StatusCode::GATEWAY_TIMEOUT,
            "no-answer",
            "no endpoint answered",
        ),
        End::NotRun => refusal("no-place", "no endpoint has a place"),
    }
}

/// Returns whether an endpoint that answers so did not run the request.
pub(crate) fn is_turned_away(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(header::NOT_RUN)
}

fn judge(found: Result<Fetched, http::Error>) -> Attempt {
    match found {
        Ok(found) if is_turned_away(found.status, &found.headers) => {
            Attempt::NotRun(match found.status {
                StatusCode::MISDIRECTED_REQUEST => "another endpoint has the address",
                _ => "turned away",
            })
        }
        Ok(found) => Attempt::Answered(found),
        Err(e) if e.is_unsent() => Attempt::Unreached(e),
        Err(e) => Attempt::Unknown(e),
    }
}

/// Returns an endpoint's answer as the caller gets it.
fn pass_back(found: Fetched) -> Reply {
    let mut reply = Reply::new(found.status, found.body);
    *reply.headers_mut() = header::forwarded_headers(&found.headers);
    reply
}

/// Returns a refusal of a request that has not run.
pub fn refusal(code: &str, detail: &str) -> Reply {
    Reply::error(StatusCode::SERVICE_UNAVAILABLE, code, detail).header("retry-after", RETRY_AFTER_S)
}
