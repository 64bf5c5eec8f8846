//! Calls of trainers about jobs.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    StatusCode, clock,
    http::{Request, server::Reply},
};
use platform::{
    batch::{Call, Item, Page, Sample, Submission},
    header,
    store::{Error, Written},
};

use super::{
    Jobs, Shared,
    handover::Handover,
    listing,
    record::{self, Head, Name, Part},
};
use crate::forward::refusal;

/// For how long a submission without an answer of the store is repeated.
const ACCEPT_TIME: Duration = Duration::from_millis(2500);
/// For how long items are written again that the store did not take: less than
/// half of the time in which a trainer wants its answer.
const ITEMS_TIME: Duration = Duration::from_millis(150);
/// The pause before a call of either kind is repeated.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The longest that a read waits for samples.
const READ_WAIT_MAX: Duration = Duration::from_millis(1000);
/// How much text one answer to a read holds; the platform allows 1 MB.
const READ_BYTES: usize = 700 * 1024;
/// How old what is known may be when a read is told that there is no more by
/// the VM that runs the job: what another VM has told of must be known within a
/// second.
const SETTLE_TIME: Duration = Duration::from_millis(850);
/// How much longer than it asked for a read is kept until what is known is
/// fresh: trainers wait 1.5 s longer than they say.
const SURE_TIME: Duration = Duration::from_millis(900);
/// The same where another VM asks, which can ask a second one instead.
const PEER_SURE_TIME: Duration = Duration::from_millis(300);
/// How often a VM that does not run a job asks the store for its samples, for
/// a read that waits.
const ASK_PERIOD: Duration = Duration::from_millis(400);
/// How often a read looks whether what is known is fresh.
const LOOK_TIME: Duration = Duration::from_millis(50);

/// Accepts a job, at the keeper that runs them if it answers, else here.
pub async fn submit(jobs: &Jobs, account: Option<String>, request: &Request) -> Reply {
    let id = request.header("request-id").unwrap_or_default();
    if !record::is_id(id) {
        return Reply::error(StatusCode::BAD_REQUEST, "bad-id", "the job needs an id");
    }
    if let Some(known) = jobs.registry.get(id) {
        return accepted_before(&known, &account);
    }
    if let Some(reply) = jobs.handover.submit(&account, request).await {
        return reply;
    }
    accept(jobs, account, request).await
}

/// Accepts a job here, once.
pub async fn accept(jobs: &Jobs, account: Option<String>, request: &Request) -> Reply {
    // A VM that runs a job must hear of its end.
    jobs.keepers.stand_in("a job is taken here");
    let id = request.header("request-id").unwrap_or_default();
    let submission: Submission = match request.json() {
        Ok(submission) => submission,
        Err(reply) => return reply,
    };
    let expected = submission.items.iter().map(Item::expected_tokens).sum();
    let work_ms = jobs.registry.work_ms(submission.model.as_deref(), expected);
    let head = Head {
        account: account.clone(),
        host: request.header("host").unwrap_or_default().to_string(),
        path: request.uri.path().to_string(),
        vm: jobs.vm.clone(),
        address: jobs.keepers.own(),
        submitted_ms: clock::wall_millis(),
        model: submission.model,
        oldest_version: submission.oldest_version,
        items: submission.items.len(),
        work_ms,
    };
    let start = Instant::now();
    let written = create(jobs, id, &head, &submission.items).await;
    let (job, items) = (id, head.items);
    let ms = start.elapsed().as_millis() as u64;
    match written {
        Ok(Written::Done(_)) => {
            let account = account.as_deref().unwrap_or_default();
            spdlog::info!("job accepted", kv: { job, account, items, ms });
            jobs.metrics.job("accepted");
            let known = jobs.registry.put_head(id, head);
            {
                let mut known = known.borrow_mut();
                known.items = Some(Rc::new(submission.items));
                // It was accepted just now, so it has no pages yet.
                known.is_current = true;
            }
            jobs.producer.start(&known);
            accepted()
        }
        Ok(Written::Conflict(object)) => {
            spdlog::info!("job accepted before", kv: { job, ms });
            match object.and_then(|object| object.read()) {
                Some(standing) => {
                    let known = jobs.registry.put_head(id, standing);
                    if known.borrow().head.vm == jobs.vm {
                        // An earlier try of this call took effect late.
                        jobs.producer.start(&known);
                    }
                    accepted_before(&known, &account)
                }
                None => Reply::error(StatusCode::BAD_GATEWAY, "unclear", "the job cannot be read"),
            }
        }
        Err(Error::Unknown) => {
            spdlog::warn!("job may have been accepted", kv: { job, ms });
            jobs.metrics.job("unclear");
            Reply::error(
                StatusCode::GATEWAY_TIMEOUT,
                "unclear",
                "the store does not answer",
            )
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("job refused", kv: { job, problem, ms });
            jobs.metrics.job("refused");
            refusal("store-unreachable", "jobs cannot be kept now")
        }
    }
}

/// Creates a job: its items first, since it is accepted once its head stands.
/// A call that may have created the head is repeated, since the job cannot be
/// refused before that is known.
async fn create(jobs: &Jobs, id: &str, head: &Head, items: &[Item]) -> Result<Written, Error> {
    let start = Instant::now();
    loop {
        match jobs.content.write_items(id, items).await {
            Ok(()) => break,
            // Without a head no VM runs them.
            Err(_) if start.elapsed() > ITEMS_TIME => {
                return Err(Error::Rejected(StatusCode::SERVICE_UNAVAILABLE));
            }
            Err(_) => monoio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    let mut is_unclear = false;
    loop {
        let outcome = jobs.store.create(record::KIND, id, head).await;
        let failed = match outcome {
            Err(Error::Unknown) => Error::Unknown,
            Err(_) if is_unclear => Error::Unknown,
            other => return other,
        };
        is_unclear = true;
        if start.elapsed() > ACCEPT_TIME {
            return Err(failed);
        }
        monoio::time::sleep(ACCEPT_PAUSE).await;
    }
}

fn accepted() -> Reply {
    Reply::json(StatusCode::ACCEPTED, &serde_json::json!({}))
}

fn accepted_before(job: &Shared, account: &Option<String>) -> Reply {
    match job.borrow().head.account == *account {
        true => accepted(),
        false => Reply::error(
            StatusCode::NOT_FOUND,
            "no-job",
            "the job belongs to another account",
        ),
    }
}

/// Answers a call about a job, through a keeper unless this VM is one.
pub async fn call(jobs: &Jobs, account: Option<String>, call: Call, request: &Request) -> Reply {
    let start = Instant::now();
    if !jobs.keepers.is_one(start) {
        if let Some(reply) = jobs.handover.call(&account, &call, request).await {
            return reply;
        }
        jobs.keepers.stand_in("no keeper answers");
        if !Handover::is_in_time(start) {
            return refusal("no-keeper", "no VM that keeps the job answers");
        }
    }
    answer(jobs, account, call, request, DIRECT).await
}

/// Returns how long a read waits for samples.
pub(crate) fn wait(request: &Request) -> Duration {
    let wait = header::parse_number(&request.headers, header::WAIT).unwrap_or(0);
    Duration::from_millis(wait).min(READ_WAIT_MAX)
}

/// How a VM answers a call about a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Manner {
    /// How much longer than a read waits it is kept until this VM is sure.
    pub(crate) sure: Duration,
    /// Whether the VM that runs the job may be asked.
    pub(crate) may_hand: bool,
}

/// How a VM answers another one, which may ask a second VM.
pub(crate) const FOR_PEER: Manner = Manner {
    sure: PEER_SURE_TIME,
    may_hand: true,
};

/// How a VM answers a keeper that knows that the job runs here.
pub(crate) const FOR_KEEPER: Manner = Manner {
    sure: PEER_SURE_TIME,
    may_hand: false,
};

/// How a VM answers a caller of its own.
const DIRECT: Manner = Manner {
    sure: SURE_TIME,
    may_hand: true,
};

/// Answers a call about a job here, or where the job is run.
pub(crate) async fn answer(
    jobs: &Jobs,
    account: Option<String>,
    call: Call,
    request: &Request,
    manner: Manner,
) -> Reply {
    let id = match &call {
        Call::Read { job, .. } | Call::End { job } | Call::Body { job, .. } => job.clone(),
    };
    let job = match find(jobs, &id).await {
        Ok(job) if job.borrow().head.account == account => job,
        Ok(_) => return Reply::error(StatusCode::NOT_FOUND, "no-job", "no such job"),
        Err(reply) => return reply,
    };
    job.borrow_mut().used = Instant::now();
    if manner.may_hand
        && let Some(runner) = runner(jobs, &job, &call)
        && let Some(reply) = jobs.handover.run_by(runner, &account, &call, request).await
    {
        return reply;
    }
    match call {
        Call::Read { from, .. } => read(jobs, &job, from, wait(request), manner.sure).await,
        Call::End { .. } => end(jobs, &job).await,
        Call::Body { item, .. } => body(jobs, &job, &item).await,
    }
}

/// Returns where `job` is run if that is elsewhere and the VM there knows
/// better than this one.
fn runner(jobs: &Jobs, job: &Shared, call: &Call) -> Option<SocketAddr> {
    let job = job.borrow();
    let is_settled = match call {
        Call::Read { .. } => job.is_whole(),
        Call::Body { .. } => job.items.is_some(),
        Call::End { .. } => false,
    };
    if is_settled || job.is_running || job.is_ended || job.holder == jobs.vm {
        return None;
    }
    job.holder_address
}

/// Returns the job `id`, asking the store if this VM has not heard of it.
async fn find(jobs: &Jobs, id: &str) -> Result<Shared, Reply> {
    if let Some(job) = jobs.registry.get(id) {
        return Ok(job);
    }
    let none = || Reply::error(StatusCode::NOT_FOUND, "no-job", "no such job");
    if !record::is_id(id) {
        return Err(none());
    }
    match jobs.store.get(record::KIND, id).await {
        Ok(Some(object)) => match object.read() {
            Some(head) => Ok(jobs.registry.put_head(id, head)),
            None => Err(refusal("unclear", "the job cannot be read")),
        },
        Ok(None) => Err(none()),
        Err(_) => Err(refusal(
            "store-unreachable",
            "the job is not known here yet",
        )),
    }
}

/// Returns the samples from position `from` on, once there is one or `wait` is
/// over. What is not there is told by the VM that runs the job while it would
/// hear that another one does, and else by the store: another VM may have told
/// of it.
async fn read(jobs: &Jobs, job: &Shared, from: usize, wait: Duration, sure: Duration) -> Reply {
    let start = Instant::now();
    let mut asked: Option<Instant> = None;
    loop {
        let now = Instant::now();
        let waited = now - start;
        let is_runner = job.borrow().is_current && is_fresh(jobs, now);
        let is_whole = job.borrow().is_whole();
        if !is_runner && !is_whole && asked.is_none_or(|at| now - at >= ASK_PERIOD) {
            asked = match jobs.content.read_pages(job).await {
                Ok(()) => Some(now),
                Err(_) => None,
            };
        }
        let known = job.borrow().samples.len();
        // What the store told is sure for this call: it was asked after that.
        let is_sure = is_runner || asked.is_some();
        let is_whole = job.borrow().is_whole();
        if known > from || is_whole || (waited >= wait && is_sure && known == from) {
            break;
        }
        if waited >= wait + sure {
            let (id, age) = (job.borrow().id.clone(), jobs.contact.age(now));
            // Before anything was heard there is no age.
            let age_ms = age.map_or(-1, |age| age.as_millis() as i64);
            spdlog::warn!("read refused, not sure", kv: { job = id, from, known, age_ms });
            return refusal("not-sure", "there may be samples that are not known here");
        }
        let notice = job.borrow().notice.clone();
        let seen = notice.count();
        let left = wait.saturating_sub(waited).clamp(LOOK_TIME, ASK_PERIOD);
        notice.past_or(seen, left).await;
    }
    let job = job.borrow();
    let rest = job.samples.get(from..).unwrap_or_default();
    let page = listing::first_of(rest, READ_BYTES, |sample| sample.text.len());
    let samples: Vec<&Sample> = page.iter().map(|sample| &**sample).collect();
    let body = Page {
        total: job.head.items,
        next: from + samples.len(),
        samples: &samples,
    };
    Reply::json(StatusCode::OK, &body)
}

/// Returns whether this VM would have heard if another one ran its jobs.
fn is_fresh(jobs: &Jobs, now: Instant) -> bool {
    jobs.contact.age(now).is_some_and(|age| age < SETTLE_TIME)
}

async fn end(jobs: &Jobs, job: &Shared) -> Reply {
    let id = job.borrow().id.clone();
    if job.borrow().is_ended {
        return Reply::json(StatusCode::OK, &serde_json::json!({}));
    }
    let name = Name::new(&id, Part::End).encode();
    let written = jobs
        .store
        .create(record::KIND, &name, &serde_json::json!({}))
        .await;
    let id = id.as_str();
    match written {
        Ok(_) => {
            spdlog::info!("job ended", kv: { job = id });
            jobs.metrics.job("ended");
            jobs.registry.put_end(id);
            Reply::json(StatusCode::OK, &serde_json::json!({}))
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("job not ended yet", kv: { job = id, problem });
            refusal("store-unreachable", "the end cannot be kept now")
        }
    }
}

async fn body(jobs: &Jobs, job: &Shared, item: &str) -> Reply {
    let Ok(items) = jobs.content.items(job).await else {
        return refusal("store-unreachable", "the items are not known here now");
    };
    match items.iter().find(|known| known.id == item) {
        Some(found) => Reply::new(StatusCode::OK, found.body.0.clone()),
        None => Reply::error(StatusCode::NOT_FOUND, "no-item", "the job has no such item"),
    }
}
