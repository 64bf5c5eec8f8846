//! One attempt to run an item at an endpoint, and the scoring of its text.

use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode,
    http::{Response, error},
};
use platform::{
    batch::{Item, Scorer},
    header,
    stream::Events,
};
use policy::item::Run;

use super::text::{Mismatch, Text};
use crate::{
    facts::{Facts, Key},
    forward::{Dispatch, End, Forwarder, Origin, is_rejected, observed},
    latency::Meter,
    metrics::Metrics,
    path::Paths,
    permit::Permits,
    placement::{self, Choice, Criteria},
    prompt::Needs,
    stream::{EventTimer, is_event_stream},
};

/// How long the first event may take. An endpoint processes a full queue in
/// less time.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(4000);
/// The maximum time between two events. Engines usually produce several events
/// within this time.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause before a scoring request is sent again.
const SCORE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Runs items at endpoints and scores their texts.
#[derive(Clone)]
pub struct Runner {
    /// The configuration and the endpoints known to this VM.
    pub facts: Rc<RefCell<Facts>>,
    /// The paths to endpoints.
    pub paths: Paths,
    /// Permits to send to endpoints with a rate limit.
    pub permits: Permits,
    /// Forwards scoring requests to endpoints.
    pub forwarder: Forwarder,
    /// Counters of items.
    pub metrics: Metrics,
}

/// The outcome of an attempt to run an item.
#[derive(Debug)]
pub enum Attempt {
    /// The text is complete.
    Complete,
    /// The response did not begin or ended early; another endpoint may resume
    /// the item.
    Interrupted(String),
    /// This VM stopped the attempt because another endpoint would finish the
    /// item sooner.
    Moved,
    /// The endpoint rejected the item without running it, or was removed.
    Rejected,
    /// No permit was granted for the endpoint.
    Denied,
    /// The item was not sent, since the failure domain of the endpoint is evacuated, or a
    /// cold endpoint bears no more for now.
    Withheld,
    /// No connection to the endpoint could be opened.
    Unreachable(String),
    /// The endpoint responded with status 500.
    Failed,
    /// The endpoint responded with status 422: no endpoint can run the item.
    Unprocessable,
}

impl Attempt {
    /// Returns what the attempt means for the life of its item.
    pub fn run(&self) -> Run {
        match self {
            Self::Complete => Run::Complete,
            Self::Interrupted(_) => Run::Interrupted,
            Self::Moved => Run::Moved,
            Self::Rejected | Self::Denied | Self::Withheld => Run::Rejected,
            Self::Unreachable(_) => Run::Unreached,
            Self::Failed => Run::Failed,
            Self::Unprocessable => Run::Unprocessable,
        }
    }

    /// Returns the value of the metric label for this outcome.
    fn label(&self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Interrupted(_) => "broken",
            Self::Moved => "moved",
            Self::Rejected => "not-run",
            Self::Denied => "denied",
            Self::Withheld => "withheld",
            Self::Unreachable(_) => "unreached",
            Self::Failed => "failed",
            Self::Unprocessable => "never",
        }
    }
}

/// The outcome of scoring.
#[derive(Debug)]
pub enum Score {
    /// The scorer returned this signature.
    Signed(String),
    /// No score was obtained within the deadline and the allowed failures.
    Abandoned,
    /// The item has no scorer.
    None,
}

/// The properties of a job that apply to the runs of its items.
#[derive(Clone, Debug)]
pub struct Context {
    /// The id of the job.
    pub job: String,
    /// The host of the route.
    pub host: String,
    /// The client account that submitted the job.
    pub account: Option<String>,
    /// The model, if the job names one.
    pub model: Option<String>,
    /// The oldest version of the weights that may produce an event.
    pub oldest_version: u64,
    /// Whether all events of an item must come from one version.
    pub is_single_version: bool,
    /// When unfinished items are abandoned.
    pub deadline: Instant,
}

/// A run of an item at one endpoint.
struct Session<'a> {
    key: Key,
    software: &'a str,
    item: &'a Item,
    needs: Needs,
    context: &'a Context,
    text: &'a RefCell<Text>,
    is_pinned: bool,
}

impl Runner {
    /// Runs `item` at the endpoint of `choice`, resuming after the last event of
    /// `text`. Unless `is_pinned`, the attempt stops with [`Attempt::Moved`]
    /// when a much faster endpoint has free capacity.
    pub async fn run(
        &self,
        choice: Choice,
        item: &Item,
        context: &Context,
        text: &RefCell<Text>,
        is_pinned: bool,
    ) -> Attempt {
        let key = choice.key;
        let known = self.facts.borrow().endpoints.get(key).cloned();
        let Some(endpoint) = known else {
            return Attempt::Rejected;
        };
        if !self.permits.acquire(key, &item.id).await {
            return Attempt::Denied;
        }
        self.metrics.record_placement(choice.benefit());
        let start = Instant::now();
        // This VM's other requests at the endpoint.
        let other_requests = endpoint.in_flight.saturating_sub(1);
        let is_new = text.borrow().last_event().is_none();
        let dispatch = build_dispatch(item, context, &text.borrow());
        let call = dispatch.call(&endpoint.id, FIRST_EVENT_TIMEOUT);
        let call = observed(call, &self.facts, key);
        let result = self.paths.send(key, &endpoint, call).await;
        let waited_ms = start.elapsed().as_millis() as u64;
        let attempt = match result {
            Err(e) if e.kind() == error::Kind::Fenced => Attempt::Withheld,
            Err(e) if e.is_unsent() => Attempt::Unreachable(e.to_string()),
            Err(e) => Attempt::Interrupted(e.to_string()),
            Ok(response) => {
                let software = endpoint.record.software.as_str();
                let session = Session {
                    key,
                    software,
                    item,
                    needs: Needs::of_item(item, context.model.as_deref()),
                    context,
                    text,
                    is_pinned,
                };
                self.read_events(&session, response).await
            }
        };
        let now = Instant::now();
        self.metrics.record_item(attempt.label(), now - start);
        if let (Attempt::Complete, true, Some(model)) = (&attempt, is_new, &context.model) {
            let events = text.borrow().last_event().unwrap_or_default();
            let mut facts = self.facts.borrow_mut();
            facts.record_length(model, item.expected_tokens(), events);
        }
        let (item, id) = (item.id.as_str(), endpoint.id.as_str());
        let software = endpoint.record.software.as_str();
        let job = context.job.as_str();
        let last = text.borrow().last_event().unwrap_or_default();
        match &attempt {
            Attempt::Complete => {
                let ms = (now - start).as_millis() as u64;
                let (held_tokens, expected_ms) = (choice.held_tokens, choice.expected_ms());
                spdlog::info!("item completed", kv: { item, job, endpoint = id, software, last, ms, waited_ms, beside = other_requests, held_tokens, expected_ms });
            }
            Attempt::Unprocessable | Attempt::Failed => {
                spdlog::warn!("endpoint reported an error for item", kv: { item, job, endpoint = id, last });
            }
            Attempt::Moved => {
                spdlog::info!("item moves to a faster endpoint", kv: { item, job, endpoint = id, software, last });
            }
            // The permits log it.
            Attempt::Denied => {}
            // The paths log it.
            Attempt::Withheld => self.facts.borrow_mut().record_withheld(key, now),
            Attempt::Rejected => {
                self.facts.borrow_mut().record_rejection(key, now);
                spdlog::info!("item rejected by endpoint without running it", kv: { item, job, endpoint = id, last });
            }
            Attempt::Interrupted(problem) | Attempt::Unreachable(problem) => {
                self.facts.borrow_mut().record_failure(key, now);
                let problem = problem.as_str();
                spdlog::warn!("item interrupted or endpoint unreachable", kv: { item, job, endpoint = id, software, last, problem });
            }
        }
        attempt
    }

    async fn read_events(&self, run: &Session<'_>, mut response: Response) -> Attempt {
        let (context, text) = (run.context, run.text);
        let headers = &response.headers;
        match is_rejected(response.status, headers, response.is_repeated) {
            Ok(false) => {}
            Ok(true) => {
                response.discard();
                return Attempt::Rejected;
            }
            Err(e) => return Attempt::Interrupted(e.to_string()),
        }
        if response.status == StatusCode::UNPROCESSABLE_ENTITY {
            response.discard();
            return Attempt::Unprocessable;
        }
        if response.status == StatusCode::INTERNAL_SERVER_ERROR {
            response.discard();
            return Attempt::Failed;
        }
        if !is_event_stream(response.status, headers) {
            return Attempt::Interrupted(format!(
                "endpoint responded without events, with status {}",
                response.status
            ));
        }
        self.facts.borrow_mut().record_success(run.key);
        let mut version = header::parse_number(headers, header::VERSION);
        let mut events = Events::default();
        let mut holding = response.event_holding();
        let mut meter = Meter::default();
        let mut timer = EventTimer::new(EVENT_TIMEOUT);
        loop {
            let part = match response.next(timer.remaining()).await {
                None if events.is_within_event() => {
                    return Attempt::Interrupted("the body ended within an event".to_string());
                }
                None => {
                    text.borrow_mut().mark_complete();
                    return Attempt::Complete;
                }
                Some(Err(e)) => return Attempt::Interrupted(e.to_string()),
                Some(Ok(part)) => part,
            };
            if let Err(e) = events.push(&part) {
                return Attempt::Interrupted(e.to_string());
            }
            let mut has_event = false;
            while let Some(event) = events.next() {
                let last_event = text.borrow().last_event();
                version = event.version.or(version);
                if let Some(problem) = version_problem(version, context, &text.borrow()) {
                    return Attempt::Interrupted(problem);
                }
                let added = text.borrow_mut().push(&event, version, run.software);
                if let Err(e) = added {
                    if e == Mismatch::TooLong {
                        text.replace(Text::default());
                    }
                    return Attempt::Interrupted(e.to_string());
                }
                if text.borrow().last_event() == last_event {
                    continue;
                }
                has_event = true;
                let measured = meter.count(Instant::now());
                if let Some(time) = measured
                    && self.record_event_time(run, time)
                    && !run.is_pinned
                {
                    return Attempt::Moved;
                }
            }
            if !holding.try_hold(events.unfinished_bytes()) {
                let detail = "no memory for bytes without an event";
                return Attempt::Interrupted(detail.to_string());
            }
            if let Err(e) = timer.record(has_event) {
                return Attempt::Interrupted(e.to_string());
            }
        }
    }

    /// Records the time that the endpoint of `run` takes for an event, and returns
    /// whether the item should move to a faster endpoint.
    fn record_event_time(&self, run: &Session<'_>, event_time: Duration) -> bool {
        let (key, context) = (run.key, run.context);
        let Some(model) = &context.model else {
            return false;
        };
        let now = Instant::now();
        let mut facts = self.facts.borrow_mut();
        facts.observe_latency(key, model, event_time, now);
        let Some(endpoint) = facts.endpoints.get(key) else {
            return false;
        };
        let text = run.text.borrow();
        let criteria = Criteria {
            service: &endpoint.record.service,
            software: Some(&endpoint.record.software),
            model: Some((model, context.oldest_version)),
            version: text
                .source(context.is_single_version)
                .and_then(|source| source.version),
            may_wait: true,
            avoids_limits: true,
            work: run.needs.work_of_item(&facts, run.item, &text),
            ..Criteria::default()
        };
        placement::should_move(&facts, key, criteria, event_time, now)
    }

    /// Requests the score of an item's text and retries until the deadline of
    /// the job. Abandons the score earlier after as many failure responses as
    /// the larger of `failures_max` and the attempts of the scorer's route.
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
            let dispatch = Dispatch {
                id: scorer.id.clone(),
                method: Method::POST,
                path: scorer.path.clone(),
                host: scorer.host.clone(),
                headers: HeaderMap::new(),
                body: scorer.body.0.clone(),
                account: None,
                origin: Origin::Job,
                may_repeat: true,
                deadline: deadline.min(Instant::now() + limit),
                digest: OnceCell::new(),
            };
            let outcome = self.forwarder.run(route, &dispatch).await;
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
                spdlog::warn!("scoring abandoned after too many failures", kv: { item, job, request, failures });
                return Score::Abandoned;
            }
            monoio::time::sleep(SCORE_RETRY_DELAY).await;
        }
        Score::Abandoned
    }
}

/// Returns why an event of `version` may not be added to `text`; `None` if it
/// may be added.
fn version_problem(version: Option<u64>, context: &Context, text: &Text) -> Option<String> {
    let version = version?;
    if version < context.oldest_version {
        return Some(format!(
            "weights of version {version} are older than the job allows"
        ));
    }
    let has_other_version = text.versions().iter().any(|other| *other != version);
    (context.is_single_version && has_other_version)
        .then(|| "the version of the weights changed within the item".to_string())
}

fn build_dispatch(item: &Item, context: &Context, text: &Text) -> Dispatch {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.insert(name, value);
        }
    }
    let mut headers = header::forwarded_headers(&headers);
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
        origin: Origin::Job,
        may_repeat: true,
        deadline: context.deadline,
        digest: OnceCell::new(),
    }
}
