//! One run of an item at one endpoint, and the scoring of its text.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode,
    http::{Pool, Response},
};
use platform::{
    batch::{Item, Scorer},
    header,
    stream::Events,
};

use super::text::Text;
use crate::{
    facts::{Facts, Key},
    forward::{Dispatch, End, Forwarder, is_rejection},
    latency::Meter,
    metrics::Metrics,
    placement::{self, Criteria},
};

/// How long the first event may take: a full queue is worked off in less.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(4000);
/// The longest pause between two events; engines make several in it.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause before a scoring call that found no place is sent again.
const SCORE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What items are run with.
#[derive(Clone)]
pub struct Runner {
    /// What the VM knows.
    pub facts: Rc<RefCell<Facts>>,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Where scoring calls go.
    pub forwarder: Forwarder,
    /// What is counted.
    pub metrics: Metrics,
}

/// How a run ended.
#[derive(Debug)]
pub enum Attempt {
    /// The text is whole.
    Complete,
    /// It broke off, or did not begin; another endpoint may go on.
    Interrupted(String),
    /// It was broken off here, since another endpoint goes on faster.
    Moved,
    /// The endpoint did not run it.
    Rejected,
    /// No connection to the endpoint could be opened.
    Unreachable(String),
    /// The endpoint failed.
    Failed,
    /// No endpoint can ever do it.
    Unprocessable,
}

impl Attempt {
    /// Returns the name under which it is counted.
    fn label(&self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Interrupted(_) => "broken",
            Self::Moved => "moved",
            Self::Rejected => "not-run",
            Self::Unreachable(_) => "unreached",
            Self::Failed => "failed",
            Self::Unprocessable => "never",
        }
    }
}

/// How scoring ended.
#[derive(Debug)]
pub enum Score {
    /// With this signature.
    Signed(String),
    /// It cannot be had.
    Abandoned,
    /// The text needs none.
    None,
}

/// What an item's run needs to know of its job.
#[derive(Clone, Debug)]
pub struct Context {
    /// The job.
    pub job: String,
    /// The host of the route.
    pub host: String,
    /// The client account.
    pub account: Option<String>,
    /// The model, if the job names one.
    pub model: Option<String>,
    /// The oldest version of the weights that may make an event.
    pub oldest_version: u64,
    /// Whether all events must come from one version.
    pub is_single_version: bool,
    /// When the item is given up.
    pub deadline: Instant,
}

impl Runner {
    /// Runs `item` at the endpoint `key`, on from what `text` holds.
    /// Unless `is_pinned`, it is left for an endpoint that is much faster.
    pub async fn run(
        &self,
        key: Key,
        item: &Item,
        context: &Context,
        text: &RefCell<Text>,
        is_pinned: bool,
    ) -> Attempt {
        let known = self.facts.borrow().endpoints.get(key).cloned();
        let Some(endpoint) = known else {
            return Attempt::Rejected;
        };
        let start = Instant::now();
        // How many others this VM has there.
        let other_requests = endpoint.in_flight.saturating_sub(1);
        let order = build_order(item, context, &text.borrow());
        let call = order.call(&endpoint.id, FIRST_EVENT_TIMEOUT);
        let result = self.pool.send(endpoint.record.address, call).await;
        let waited_ms = start.elapsed().as_millis() as u64;
        let attempt = match result {
            Err(e) if e.is_unsent() => Attempt::Unreachable(e.to_string()),
            Err(e) => Attempt::Interrupted(e.to_string()),
            Ok(response) => self.read(key, response, context, text, is_pinned).await,
        };
        let now = Instant::now();
        self.metrics.record_item(attempt.label(), now - start);
        let (item, id) = (item.id.as_str(), endpoint.id.as_str());
        let job = context.job.as_str();
        let last = text.borrow().last_event().unwrap_or_default();
        match &attempt {
            Attempt::Complete => {
                let ms = (now - start).as_millis() as u64;
                spdlog::info!("item run", kv: { item, job, endpoint = id, last, ms, waited_ms, beside = other_requests });
            }
            Attempt::Unprocessable | Attempt::Failed => {
                spdlog::warn!("item failed", kv: { item, job, endpoint = id, last });
            }
            Attempt::Moved => {
                spdlog::info!("item moves", kv: { item, job, endpoint = id, last });
            }
            Attempt::Rejected => {
                self.facts.borrow_mut().record_rejection(key, now);
                spdlog::info!("item turned away", kv: { item, job, endpoint = id, last });
            }
            Attempt::Interrupted(problem) | Attempt::Unreachable(problem) => {
                self.facts.borrow_mut().record_failure(key, now);
                let problem = problem.as_str();
                spdlog::warn!("item broke off", kv: { item, job, endpoint = id, last, problem });
            }
        }
        attempt
    }

    async fn read(
        &self,
        key: Key,
        mut response: Response,
        context: &Context,
        text: &RefCell<Text>,
        is_pinned: bool,
    ) -> Attempt {
        let headers = &response.headers;
        if is_rejection(response.status, headers) {
            return Attempt::Rejected;
        }
        if response.status == StatusCode::UNPROCESSABLE_ENTITY {
            return Attempt::Unprocessable;
        }
        if response.status == StatusCode::INTERNAL_SERVER_ERROR {
            return Attempt::Failed;
        }
        if !response.status.is_success() {
            return Attempt::Interrupted(format!("status {}", response.status));
        }
        let now = Instant::now();
        let load = header::load(headers);
        self.facts.borrow_mut().record_success(key, load, now);
        let mut version = header::number(headers, header::VERSION);
        let mut events = Events::default();
        let mut meter = Meter::default();
        loop {
            let part = match response.next(EVENT_TIMEOUT).await {
                None => {
                    text.borrow_mut().finish();
                    return Attempt::Complete;
                }
                Some(Err(e)) => return Attempt::Interrupted(e.to_string()),
                Some(Ok(part)) => part,
            };
            events.push(&part);
            while let Some(event) = events.next() {
                version = event.version.or(version);
                if let Some(problem) = version_problem(version, context, &text.borrow()) {
                    return Attempt::Interrupted(problem);
                }
                if text.borrow_mut().push(&event, version).is_err() {
                    return Attempt::Interrupted("an event is missing".to_string());
                }
                let measured = meter.count(Instant::now());
                if let Some(time) = measured
                    && self.record_event_time(key, time, context)
                    && !is_pinned
                {
                    return Attempt::Moved;
                }
            }
        }
    }

    /// Notes the time that the endpoint `key` takes for an event, and returns
    /// whether the run is to go on elsewhere.
    fn record_event_time(&self, key: Key, event: Duration, context: &Context) -> bool {
        let Some(model) = &context.model else {
            return false;
        };
        let now = Instant::now();
        let mut facts = self.facts.borrow_mut();
        facts.observe_latency(key, model, event, now);
        let Some(endpoint) = facts.endpoints.get(key) else {
            return false;
        };
        let need = Criteria {
            service: &endpoint.record.service,
            model: Some((model, context.oldest_version)),
            may_wait: true,
            ..Criteria::default()
        };
        placement::should_move(&facts, key, need, event, now)
    }

    /// Has the text of an item scored, until `failures_max` answers said that the
    /// scoring failed, or its route allows no more.
    pub async fn score(
        &self,
        item: &Item,
        scorer: &Scorer,
        failures_max: u32,
        context: &Context,
    ) -> Score {
        let deadline = context.deadline;
        let mut failures = 0;
        while Instant::now() < deadline {
            let config = self.facts.borrow().config.clone();
            let route = config
                .as_ref()
                .and_then(|c| c.route(&scorer.host, &scorer.path));
            let Some(route) = route else {
                monoio::time::sleep(SCORE_RETRY_DELAY).await;
                continue;
            };
            let limit = route.timeout_ms.unwrap_or(FIRST_EVENT_TIMEOUT);
            let order = Dispatch {
                id: scorer.id.clone(),
                method: Method::POST,
                path: scorer.path.clone(),
                host: scorer.host.clone(),
                headers: HeaderMap::new(),
                body: scorer.body.0.clone(),
                account: None,
                may_repeat: true,
                deadline: deadline.min(Instant::now() + limit),
            };
            let outcome = self.forwarder.run(route, &order).await;
            failures += outcome.failures;
            if let End::Answered(response) = &outcome.end
                && response.status.is_success()
                && let Some(signature) = response.headers.get(header::SIGNATURE)
                && let Ok(signature) = signature.to_str()
            {
                return Score::Signed(signature.to_string());
            }
            if failures >= failures_max.max(route.max_attempts) {
                let (item, job) = (item.id.as_str(), context.job.as_str());
                let request = scorer.id.as_str();
                spdlog::warn!("scoring given up", kv: { item, job, request, failures });
                return Score::Abandoned;
            }
            monoio::time::sleep(SCORE_RETRY_DELAY).await;
        }
        Score::Abandoned
    }
}

/// Returns why an event of `version` may not follow `text`.
fn version_problem(version: Option<u64>, context: &Context, text: &Text) -> Option<String> {
    let version = version?;
    if version < context.oldest_version {
        return Some(format!("weights of version {version} are too old"));
    }
    let has_other_version = text.versions().iter().any(|other| *other != version);
    (context.is_single_version && has_other_version).then(|| "the weights changed".to_string())
}

fn build_order(item: &Item, context: &Context, text: &Text) -> Dispatch {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.insert(name, value);
        }
    }
    let mut headers = header::passed_on(&headers);
    if let Some(last) = text.last_event() {
        headers.insert(header::LAST_EVENT, HeaderValue::from(last));
    }
    Dispatch {
        id: item.id.clone(),
        method: Method::POST,
        path: item.path.clone(),
        host: context.host.clone(),
        headers,
        body: item.body.0.clone(),
        account: context.account.clone(),
        may_repeat: true,
        deadline: context.deadline,
    }
}
