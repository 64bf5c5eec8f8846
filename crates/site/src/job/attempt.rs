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

use super::sample::Text;
use crate::{
    facts::{Facts, Key},
    forward::{End, Forwarder, Order, is_turned_away},
    metrics::Metrics,
    pace::Meter,
    place::{self, Need},
};

/// How long the first event may take: a full queue is worked off in less.
const FIRST_TIME: Duration = Duration::from_millis(4000);
/// The longest pause between two events; engines make several in it.
const PAUSE_TIME: Duration = Duration::from_millis(1500);
/// The pause before a scoring call that found no place is sent again.
const SCORE_PAUSE: Duration = Duration::from_millis(100);

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
pub enum Run {
    /// The text is whole.
    Whole,
    /// It broke off, or did not begin; another endpoint may go on.
    Broken(String),
    /// It was broken off here, since another endpoint goes on faster.
    Moved,
    /// The endpoint did not run it.
    NotRun,
    /// No connection to the endpoint could be opened.
    Unreached(String),
    /// The endpoint failed.
    Failed,
    /// No endpoint can ever do it.
    Never,
}

impl Run {
    /// Returns the name under which it is counted.
    fn name(&self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken(_) => "broken",
            Self::Moved => "moved",
            Self::NotRun => "not-run",
            Self::Unreached(_) => "unreached",
            Self::Failed => "failed",
            Self::Never => "never",
        }
    }
}

/// How scoring ended.
#[derive(Debug)]
pub enum Score {
    /// With this signature.
    Signed(String),
    /// It cannot be had.
    GivenUp,
    /// The text needs none.
    None,
}

/// What an item's run needs to know of its job.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The job.
    pub job: String,
    /// The host of the route.
    pub host: String,
    /// The client account.
    pub account: Option<String>,
    /// The model, if the job names one.
    pub model: Option<String>,
    /// The oldest version of the weights that may make an event.
    pub oldest: u64,
    /// Whether all events must come from one version.
    pub is_single_version: bool,
    /// When the item is given up.
    pub deadline: Instant,
}

impl Runner {
    /// Runs `item` at the endpoint `key`, on from what `text` holds.
    /// Unless `is_settled`, it is left for an endpoint that is much faster.
    pub async fn run(
        &self,
        key: Key,
        item: &Item,
        terms: &Terms,
        text: &RefCell<Text>,
        is_settled: bool,
    ) -> Run {
        let known = self.facts.borrow().endpoints.get(key).cloned();
        let Some(endpoint) = known else {
            return Run::NotRun;
        };
        let start = Instant::now();
        // How many others this VM has there.
        let beside = endpoint.in_flight.saturating_sub(1);
        let order = order(item, terms, &text.borrow());
        let call = order.call(&endpoint.id, FIRST_TIME);
        let sent = self.pool.send(endpoint.record.address, call).await;
        let waited_ms = start.elapsed().as_millis() as u64;
        let run = match sent {
            Err(e) if e.is_unsent() => Run::Unreached(e.to_string()),
            Err(e) => Run::Broken(e.to_string()),
            Ok(response) => self.read(key, response, terms, text, is_settled).await,
        };
        let now = Instant::now();
        self.metrics.item(run.name(), now - start);
        let (item, id) = (item.id.as_str(), endpoint.id.as_str());
        let job = terms.job.as_str();
        let last = text.borrow().last().unwrap_or_default();
        match &run {
            Run::Whole => {
                let ms = (now - start).as_millis() as u64;
                spdlog::info!("item run", kv: { item, job, endpoint = id, last, ms, waited_ms, beside });
            }
            Run::Never | Run::Failed => {
                spdlog::warn!("item failed", kv: { item, job, endpoint = id, last });
            }
            Run::Moved => {
                spdlog::info!("item moves", kv: { item, job, endpoint = id, last });
            }
            Run::NotRun => {
                self.facts.borrow_mut().turned_away(key, now);
                spdlog::info!("item turned away", kv: { item, job, endpoint = id, last });
            }
            Run::Broken(problem) | Run::Unreached(problem) => {
                self.facts.borrow_mut().failed(key, now);
                let problem = problem.as_str();
                spdlog::warn!("item broke off", kv: { item, job, endpoint = id, last, problem });
            }
        }
        run
    }

    async fn read(
        &self,
        key: Key,
        mut response: Response,
        terms: &Terms,
        text: &RefCell<Text>,
        is_settled: bool,
    ) -> Run {
        let headers = &response.headers;
        if is_turned_away(response.status, headers) {
            return Run::NotRun;
        }
        if response.status == StatusCode::UNPROCESSABLE_ENTITY {
            return Run::Never;
        }
        if response.status == StatusCode::INTERNAL_SERVER_ERROR {
            return Run::Failed;
        }
        if !response.status.is_success() {
            return Run::Broken(format!("status {}", response.status));
        }
        let now = Instant::now();
        let load = header::parse_load(headers);
        self.facts.borrow_mut().answered(key, load, now);
        let mut version = header::parse_number(headers, header::VERSION);
        let mut events = Events::default();
        let mut meter = Meter::default();
        loop {
            let part = match response.next(PAUSE_TIME).await {
                None => {
                    text.borrow_mut().finish();
                    return Run::Whole;
                }
                Some(Err(e)) => return Run::Broken(e.to_string()),
                Some(Ok(part)) => part,
            };
            events.push(&part);
            while let Some(event) = events.next() {
                version = event.version.or(version);
                if let Some(problem) = unfit(version, terms, &text.borrow()) {
                    return Run::Broken(problem);
                }
                if text.borrow_mut().push(&event, version).is_err() {
                    return Run::Broken("an event is missing".to_string());
                }
                let measured = meter.count(Instant::now());
                if let Some(time) = measured
                    && self.note_pace(key, time, terms)
                    && !is_settled
                {
                    return Run::Moved;
                }
            }
        }
    }

    /// Notes the time that the endpoint `key` takes for an event, and returns
    /// whether the run is to go on elsewhere.
    fn note_pace(&self, key: Key, event: Duration, terms: &Terms) -> bool {
        let Some(model) = &terms.model else {
            return false;
        };
        let now = Instant::now();
        let mut facts = self.facts.borrow_mut();
        facts.note_pace(key, model, event, now);
        let Some(endpoint) = facts.endpoints.get(key) else {
            return false;
        };
        let need = Need {
            service: &endpoint.record.service,
            model: Some((model, terms.oldest)),
            is_bounded: true,
            ..Need::default()
        };
        place::should_move(&facts, key, need, event, now)
    }

    /// Has the text of an item scored, until `tries` answers said that the
    /// scoring failed, or its route allows no more.
    pub async fn score(&self, item: &Item, scorer: &Scorer, tries: u32, terms: &Terms) -> Score {
        let deadline = terms.deadline;
        let mut failures = 0;
        while Instant::now() < deadline {
            let config = self.facts.borrow().config.clone();
            let route = config
                .as_ref()
                .and_then(|c| c.route(&scorer.host, &scorer.path));
            let Some(route) = route else {
                monoio::time::sleep(SCORE_PAUSE).await;
                continue;
            };
            let limit = route.timeout_ms.unwrap_or(FIRST_TIME);
            let order = Order {
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
            if let End::Answered(found) = &outcome.end
                && found.status.is_success()
                && let Some(signature) = found.headers.get(header::SIGNATURE)
                && let Ok(signature) = signature.to_str()
            {
                return Score::Signed(signature.to_string());
            }
            if failures >= tries.max(route.max_attempts) {
                let (item, job) = (item.id.as_str(), terms.job.as_str());
                let request = scorer.id.as_str();
                spdlog::warn!("scoring given up", kv: { item, job, request, failures });
                return Score::GivenUp;
            }
            monoio::time::sleep(SCORE_PAUSE).await;
        }
        Score::GivenUp
    }
}

/// Returns why an event of `version` may not follow `text`.
fn unfit(version: Option<u64>, terms: &Terms, text: &Text) -> Option<String> {
    let version = version?;
    if version < terms.oldest {
        return Some(format!("weights of version {version} are too old"));
    }
    let others = text.versions().iter().any(|other| *other != version);
    (terms.is_single_version && others).then(|| "the weights changed".to_string())
}

fn order(item: &Item, terms: &Terms, text: &Text) -> Order {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.insert(name, value);
        }
    }
    let mut headers = header::forwarded_headers(&headers);
    if let Some(last) = text.last() {
        headers.insert(header::LAST_EVENT, HeaderValue::from(last));
    }
    Order {
        id: item.id.clone(),
        method: Method::POST,
        path: item.path.clone(),
        host: terms.host.clone(),
        headers,
        body: item.body.0.clone(),
        account: terms.account.clone(),
        may_repeat: true,
        deadline: terms.deadline,
    }
}
