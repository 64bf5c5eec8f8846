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
    batch::{Call, Item, Read, Sample, Submission},
    header,
    store::{Error, Written},
};

use super::{
    Handle, Jobs, paging,
    proxy::Proxy,
    record::{self, Head, Name, Part},
};
use crate::forward::rejection;

/// For how long a submission without an answer of the store is repeated.
const ACCEPT_RETRY_MAX: Duration = Duration::from_millis(2500);
/// For how long items are written again that the store did not take: less than
/// half of the time in which a trainer wants its answer.
const ITEMS_RETRY_MAX: Duration = Duration::from_millis(150);
/// The pause before a call of either kind is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest that a read waits for samples.
const READ_WAIT_MAX: Duration = Duration::from_millis(1000);
/// How much text one answer to a read holds; the platform allows 1 MB.
const READ_BYTES_MAX: usize = 700 * 1024;
/// How old what is known may be when a read is told that there is no more by
/// the VM that runs the job: what another VM has told of must be known within a
/// second.
const FRESH_AGE_MAX: Duration = Duration::from_millis(850);
/// How much longer than it asked for a read is kept until what is known is
/// fresh: trainers wait 1.5 s longer than they say.
const CONFIRM_TIME_MAX: Duration = Duration::from_millis(900);
/// The same where another VM asks, which can ask a second one instead.
const PEER_CONFIRM_TIME_MAX: Duration = Duration::from_millis(300);
/// How often a VM that does not run a job asks the store for its samples, for
/// a read that waits.
const STORE_READ_PERIOD: Duration = Duration::from_millis(400);
/// How often a read looks whether what is known is fresh.
const FRESHNESS_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Accepts a job, at the keeper that runs them if it answers, else here.
pub async fn submit(jobs: &Jobs, account: Option<String>, request: &Request) -> Reply {
    let id = request.header("request-id").unwrap_or_default();
    if !record::is_valid_id(id) {
        return Reply::error(StatusCode::BAD_REQUEST, "bad-id", "the job needs an id");
    }
    if let Some(known) = jobs.registry.get(id) {
        return already_accepted(&known, &account);
    }
    if let Some(reply) = jobs.proxy.submit(&account, request).await {
        return reply;
    }
    accept(jobs, account, request).await
}

/// Accepts a job here, once.
pub async fn accept(jobs: &Jobs, account: Option<String>, request: &Request) -> Reply {
    // A VM that runs a job must hear of its end.
    jobs.coordinators.join_temporarily("a job is taken here");
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
        address: jobs.coordinators.own_address(),
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
            jobs.metrics.record_job("accepted");
            let known = jobs.registry.put_head(id, head);
            {
                let mut known = known.borrow_mut();
                known.items = Some(Rc::new(submission.items));
                // It was accepted just now, so it has no pages yet.
                known.is_loaded = true;
            }
            jobs.executor.start(&known);
            accepted()
        }
        Ok(Written::Conflict(object)) => {
            spdlog::info!("job accepted before", kv: { job, ms });
            match object.and_then(|object| object.read()) {
                Some(existing) => {
                    let known = jobs.registry.put_head(id, existing);
                    if known.borrow().head.vm == jobs.vm {
                        // An earlier try of this call took effect late.
                        jobs.executor.start(&known);
                    }
                    already_accepted(&known, &account)
                }
                None => Reply::error(StatusCode::BAD_GATEWAY, "unclear", "the job cannot be read"),
            }
        }
        Err(Error::Unknown) => {
            spdlog::warn!("job may have been accepted", kv: { job, ms });
            jobs.metrics.record_job("unclear");
            Reply::error(
                StatusCode::GATEWAY_TIMEOUT,
                "unclear",
                "the store does not answer",
            )
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("job refused", kv: { job, problem, ms });
            jobs.metrics.record_job("refused");
            rejection("store-unreachable", "jobs cannot be kept now")
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
            Err(_) if start.elapsed() > ITEMS_RETRY_MAX => {
                return Err(Error::Refused(StatusCode::SERVICE_UNAVAILABLE));
            }
            Err(_) => monoio::time::sleep(WRITE_RETRY_DELAY).await,
        }
    }
    let mut may_exist = false;
    loop {
        let outcome = jobs.store.create(record::KIND, id, head).await;
        let error = match outcome {
            Err(Error::Unknown) => Error::Unknown,
            Err(_) if may_exist => Error::Unknown,
            other => return other,
        };
        may_exist = true;
        if start.elapsed() > ACCEPT_RETRY_MAX {
            return Err(error);
        }
        monoio::time::sleep(WRITE_RETRY_DELAY).await;
    }
}

fn accepted() -> Reply {
    Reply::json(StatusCode::ACCEPTED, &serde_json::json!({}))
}

fn already_accepted(job: &Handle, account: &Option<String>) -> Reply {
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
    if !jobs.coordinators.is_coordinator(start) {
        if let Some(reply) = jobs.proxy.forward(&account, &call, request).await {
            return reply;
        }
        jobs.coordinators.join_temporarily("no keeper answers");
        if !Proxy::has_time_left(start) {
            return rejection("no-keeper", "no VM that keeps the job answers");
        }
    }
    answer(jobs, account, call, request, FROM_CALLER).await
}

/// Returns how long a read waits for samples.
pub(crate) fn read_wait(request: &Request) -> Duration {
    let wait = header::number(&request.headers, header::WAIT).unwrap_or(0);
    Duration::from_millis(wait).min(READ_WAIT_MAX)
}

/// How a VM answers a call about a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mode {
    /// How much longer than a read waits it is kept until this VM is sure.
    pub(crate) confirm_time: Duration,
    /// Whether the VM that runs the job may be asked.
    pub(crate) may_forward: bool,
}

/// How a VM answers another one, which may ask a second VM.
pub(crate) const FROM_PEER: Mode = Mode {
    confirm_time: PEER_CONFIRM_TIME_MAX,
    may_forward: true,
};

/// How a VM answers a keeper that knows that the job runs here.
pub(crate) const FROM_COORDINATOR: Mode = Mode {
    confirm_time: PEER_CONFIRM_TIME_MAX,
    may_forward: false,
};

/// How a VM answers a caller of its own.
const FROM_CALLER: Mode = Mode {
    confirm_time: CONFIRM_TIME_MAX,
    may_forward: true,
};

/// Answers a call about a job here, or where the job is run.
pub(crate) async fn answer(
    jobs: &Jobs,
    account: Option<String>,
    call: Call,
    request: &Request,
    mode: Mode,
) -> Reply {
    let id = match &call {
        Call::Read { job, .. } | Call::End { job } | Call::Body { job, .. } => job.clone(),
    };
    let job = match find(jobs, &id).await {
        Ok(job) if job.borrow().head.account == account => job,
        Ok(_) => return Reply::error(StatusCode::NOT_FOUND, "no-job", "no such job"),
        Err(reply) => return reply,
    };
    job.borrow_mut().used_at = Instant::now();
    if mode.may_forward
        && let Some(runner) = runner_address(jobs, &job, &call)
        && let Some(reply) = jobs
            .proxy
            .forward_to_runner(runner, &account, &call, request)
            .await
    {
        return reply;
    }
    match call {
        Call::Read { from, .. } => {
            read(jobs, &job, from, read_wait(request), mode.confirm_time).await
        }
        Call::End { .. } => end_job(jobs, &job).await,
        Call::Body { item, .. } => item_body(jobs, &job, &item).await,
    }
}

/// Returns where `job` is run if that is elsewhere and the VM there knows
/// better than this one.
fn runner_address(jobs: &Jobs, job: &Handle, call: &Call) -> Option<SocketAddr> {
    let job = job.borrow();
    let is_known_here = match call {
        Call::Read { .. } => job.is_complete(),
        Call::Body { .. } => job.items.is_some(),
        Call::End { .. } => false,
    };
    if is_known_here || job.is_running || job.is_ended || job.holder == jobs.vm {
        return None;
    }
    job.holder_address
}

/// Returns the job `id`, asking the store if this VM has not heard of it.
async fn find(jobs: &Jobs, id: &str) -> Result<Handle, Reply> {
    if let Some(job) = jobs.registry.get(id) {
        return Ok(job);
    }
    let not_found = || Reply::error(StatusCode::NOT_FOUND, "no-job", "no such job");
    if !record::is_valid_id(id) {
        return Err(not_found());
    }
    match jobs.store.get(record::KIND, id).await {
        Ok(Some(object)) => match object.read() {
            Some(head) => Ok(jobs.registry.put_head(id, head)),
            None => Err(rejection("unclear", "the job cannot be read")),
        },
        Ok(None) => Err(not_found()),
        Err(_) => Err(rejection(
            "store-unreachable",
            "the job is not known here yet",
        )),
    }
}

/// Returns the samples from position `from` on, once there is one or `wait` is
/// over. What is not there is told by the VM that runs the job while it would
/// hear that another one does, and else by the store: another VM may have told
/// of it.
async fn read(
    jobs: &Jobs,
    job: &Handle,
    from: usize,
    wait: Duration,
    confirm_time: Duration,
) -> Reply {
    let start = Instant::now();
    let mut store_read_at: Option<Instant> = None;
    loop {
        let now = Instant::now();
        let waited = now - start;
        let is_runner = job.borrow().is_loaded && is_fresh(jobs, now);
        let is_complete = job.borrow().is_complete();
        if !is_runner
            && !is_complete
            && store_read_at.is_none_or(|at| now - at >= STORE_READ_PERIOD)
        {
            store_read_at = match jobs.content.read_pages(job).await {
                Ok(()) => Some(now),
                Err(_) => None,
            };
        }
        let known = job.borrow().samples.len();
        // What the store told is sure for this call: it was asked after that.
        let is_confirmed = is_runner || store_read_at.is_some();
        let is_complete = job.borrow().is_complete();
        if known > from || is_complete || (waited >= wait && is_confirmed && known == from) {
            break;
        }
        if waited >= wait + confirm_time {
            let (id, age) = (job.borrow().id.clone(), jobs.view.age(now));
            // Before anything was heard there is no age.
            let age_ms = age.map_or(-1, |age| age.as_millis() as i64);
            spdlog::warn!("read refused, not sure", kv: { job = id, from, known, age_ms });
            return rejection("not-sure", "there may be samples that are not known here");
        }
        let changes = job.borrow().changes.clone();
        let seen_changes = changes.count();
        let recheck_after = wait
            .saturating_sub(waited)
            .clamp(FRESHNESS_POLL_PERIOD, STORE_READ_PERIOD);
        changes.wait_timeout(seen_changes, recheck_after).await;
    }
    let job = job.borrow();
    let rest = job.samples.get(from..).unwrap_or_default();
    let page = paging::prefix_within(rest, READ_BYTES_MAX, |sample| sample.text.len());
    let samples: Vec<&Sample> = page.iter().map(|sample| &**sample).collect();
    let body = Read {
        total: job.head.items,
        next: from + samples.len(),
        samples: &samples,
    };
    Reply::json(StatusCode::OK, &body)
}

/// Returns whether this VM would have heard if another one ran its jobs.
fn is_fresh(jobs: &Jobs, now: Instant) -> bool {
    jobs.view.age(now).is_some_and(|age| age < FRESH_AGE_MAX)
}

async fn end_job(jobs: &Jobs, job: &Handle) -> Reply {
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
            jobs.metrics.record_job("ended");
            jobs.registry.put_end(id);
            Reply::json(StatusCode::OK, &serde_json::json!({}))
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("job not ended yet", kv: { job = id, problem });
            rejection("store-unreachable", "the end cannot be kept now")
        }
    }
}

async fn item_body(jobs: &Jobs, job: &Handle, item: &str) -> Reply {
    let Ok(items) = jobs.content.items(job).await else {
        return rejection("store-unreachable", "the items are not known here now");
    };
    match items.iter().find(|known| known.id == item) {
        Some(found) => Reply::new(StatusCode::OK, found.body.0.clone()),
        None => Reply::error(StatusCode::NOT_FOUND, "no-item", "the job has no such item"),
    }
}
