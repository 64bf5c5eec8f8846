//! The calls with which trainers read and end jobs.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use link::{
    StatusCode,
    http::{Request, server::Reply},
};
use platform::{
    batch::{Call, Page, Sample},
    header,
};
use policy::execution::Execution;

use super::{
    Handle, Jobs, paging,
    proxy::Proxy,
    record::{self, Name, Part},
    rejection::{execution_of_write, not_done},
};
use crate::forward::rejection;

/// How long a read may wait for samples, even if the trainer requests more.
const READ_WAIT_MAX: Duration = Duration::from_millis(1000);
/// The maximum encoded size of the samples in a response to a read. The platform
/// allows 1 MB in total.
const READ_BYTES_MAX: usize = 700 * 1024;
/// How old the view of the store may be for the VM that runs the job to answer
/// that there are no more samples. Samples that another VM has returned must be
/// visible at every VM within a second.
const VIEW_AGE_MAX: Duration = Duration::from_millis(850);
/// How much longer than its wait a read may take until the list of samples is
/// confirmed as up to date. Trainers wait 1.5 s longer than they request.
const CONFIRM_TIME_MAX: Duration = Duration::from_millis(900);
/// The counterpart of [`CONFIRM_TIME_MAX`] for calls that another VM forwards.
/// It is shorter because that VM can try another one.
const PEER_CONFIRM_TIME_MAX: Duration = Duration::from_millis(300);
/// How often a VM that does not run the job reads its samples from the store
/// while a read waits.
const STORE_READ_PERIOD: Duration = Duration::from_millis(400);
/// How often a read that has waited long enough checks whether the list of
/// samples is confirmed.
const CONFIRM_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Answers a call about a job. A VM that is no coordinator forwards the call to
/// one, and becomes a temporary coordinator if none responds.
pub async fn call(jobs: &Jobs, account: Option<String>, call: Call, request: &Request) -> Reply {
    let start = Instant::now();
    let mut execution = Execution::NotRun;
    if !jobs.coordinators.is_coordinator(start) {
        execution = match jobs.proxy.forward(&account, &call, request).await {
            Ok(reply) => return reply,
            Err(execution) => execution,
        };
        jobs.coordinators
            .join_temporarily("no coordinator responds");
        if !Proxy::has_time_left(start) {
            return not_done(execution, "no-keeper", "no coordinator responded in time");
        }
    }
    answer(jobs, account, call, request, FROM_CALLER, execution).await
}

/// Returns how long a read waits for samples.
pub(crate) fn read_wait(request: &Request) -> Duration {
    let wait = header::parse_number(&request.headers, header::WAIT).unwrap_or(0);
    Duration::from_millis(wait).min(READ_WAIT_MAX)
}

/// How a call about a job is answered, depending on who sent it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mode {
    /// How much longer than its wait a read may take until the list of samples
    /// is confirmed as up to date.
    pub(crate) confirm_time: Duration,
    /// Whether the call may be forwarded to the VM that runs the job.
    pub(crate) may_forward: bool,
}

/// The mode for calls that another VM forwards. That VM may try another one.
pub(crate) const FROM_PEER: Mode = Mode {
    confirm_time: PEER_CONFIRM_TIME_MAX,
    may_forward: true,
};

/// The mode for calls that a coordinator forwards because this VM runs the job.
pub(crate) const FROM_COORDINATOR: Mode = Mode {
    confirm_time: PEER_CONFIRM_TIME_MAX,
    may_forward: false,
};

/// The mode for calls that trainers send to this VM.
const FROM_CALLER: Mode = Mode {
    confirm_time: CONFIRM_TIME_MAX,
    may_forward: true,
};

/// Answers a call about a job, or forwards it to the VM that runs the job.
/// `execution` is whether a VM that did not respond may have carried it out.
pub(crate) async fn answer(
    jobs: &Jobs,
    account: Option<String>,
    call: Call,
    request: &Request,
    mode: Mode,
    mut execution: Execution,
) -> Reply {
    let id = match &call {
        Call::Read { job, .. } | Call::End { job } | Call::Body { job, .. } => job.clone(),
    };
    let job = match find(jobs, &id, execution).await {
        Ok(job) if job.borrow().head.account == account => job,
        Ok(_) => return Reply::error(StatusCode::NOT_FOUND, "no-job", "no such job"),
        Err(reply) => return reply,
    };
    job.borrow_mut().used_at = Instant::now();
    if mode.may_forward
        && let Some(runner) = runner_address(jobs, &job, &call)
    {
        let forwarded = jobs
            .proxy
            .forward_to_runner(runner, &account, &call, request);
        match forwarded.await {
            Ok(reply) => return reply,
            Err(attempt) => execution = execution.and(attempt),
        }
    }
    match call {
        Call::Read { from, .. } => {
            read_samples(jobs, &job, from, read_wait(request), mode.confirm_time).await
        }
        Call::End { .. } => end_job(jobs, &job, execution).await,
        Call::Body { item, .. } => item_body(jobs, &job, &item).await,
    }
}

/// Returns the address of the VM that runs `job`, if that is another VM and
/// this one cannot answer the call from memory.
fn runner_address(jobs: &Jobs, job: &Handle, call: &Call) -> Option<SocketAddr> {
    let job = job.borrow();
    let is_in_memory = match call {
        Call::Read { .. } => job.is_complete(),
        Call::Body { .. } => job.items.is_some(),
        Call::End { .. } => false,
    };
    if is_in_memory || job.is_running || job.is_ended || job.holder == jobs.vm {
        return None;
    }
    job.holder_address
}

/// Returns the job `id`. Reads its head from the store if this VM does not know
/// the job. `execution` is whether another VM may have carried out the call that
/// is about the job.
async fn find(jobs: &Jobs, id: &str, execution: Execution) -> Result<Handle, Reply> {
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
            None => Err(not_done(
                execution,
                "unclear",
                "the job's head in the store cannot be parsed",
            )),
        },
        Ok(None) => Err(not_found()),
        Err(_) => Err(not_done(
            execution,
            "store-unreachable",
            "the store, which may have the job, cannot be read",
        )),
    }
}

/// Returns the samples from position `from` on, once there is one or `wait` has
/// passed.
///
/// The response that there are no more samples must be confirmed, since another
/// VM may have returned more. The VM that runs the job confirms it from memory
/// as long as no other VM can add a page without a claim and its view of the
/// store is recent enough to show one; else it is confirmed by reading the
/// store.
async fn read_samples(
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
        let is_runner = job.borrow().is_sole_writer && is_view_recent(jobs);
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
        // A read of the store confirms the list, as it began after this call.
        let is_confirmed = is_runner || store_read_at.is_some();
        let is_complete = job.borrow().is_complete();
        if known > from || is_complete || (waited >= wait && is_confirmed && known == from) {
            break;
        }
        if waited >= wait + confirm_time {
            let (id, age) = (job.borrow().id.clone(), jobs.view.age());
            // The view has no age before the store was first read.
            let age_ms = age.map_or(-1, |age| age.as_millis() as i64);
            spdlog::warn!("read rejected, cannot confirm list of samples", kv: { job = id, from, known, age_ms });
            return rejection(
                "not-sure",
                "the store may have more samples but cannot be read now",
            );
        }
        let changes = job.borrow().changes.clone();
        let seen_changes = changes.count();
        let recheck_after = wait
            .saturating_sub(waited)
            .clamp(CONFIRM_POLL_PERIOD, STORE_READ_PERIOD);
        changes.wait_timeout(seen_changes, recheck_after).await;
    }
    let job = job.borrow();
    let rest = job.samples.get(from..).unwrap_or_default();
    let page = paging::prefix_within(rest, READ_BYTES_MAX, |sample| sample.encoded_bytes());
    let samples: Vec<&Sample> = page.iter().map(|sample| &**sample).collect();
    let body = Page {
        total: job.head.items,
        next: from + samples.len(),
        samples: &samples,
    };
    Reply::json(StatusCode::OK, &body)
}

/// Returns whether this VM's view of the store is recent enough to show that
/// another VM took over its jobs.
fn is_view_recent(jobs: &Jobs) -> bool {
    jobs.view.age().is_some_and(|age| age < VIEW_AGE_MAX)
}

/// Ends a job. `execution` is whether another VM may have ended it for the same
/// call.
async fn end_job(jobs: &Jobs, job: &Handle, execution: Execution) -> Reply {
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
            spdlog::warn!("cannot write end of job", kv: { job = id, problem });
            not_done(
                execution.and(execution_of_write(&e)),
                "store-unreachable",
                "the end of the job cannot be written to the store now",
            )
        }
    }
}

async fn item_body(jobs: &Jobs, job: &Handle, item: &str) -> Reply {
    let Ok(items) = jobs.content.items(job).await else {
        return rejection(
            "store-unreachable",
            "the items of the job cannot be read from the store now",
        );
    };
    let Some(position) = items.position(item) else {
        return Reply::error(StatusCode::NOT_FOUND, "no-item", "the job has no such item");
    };
    match items.decode(position) {
        Ok(found) => Reply::new(StatusCode::OK, found.body.0),
        Err(e) => {
            let (job, problem) = (job.borrow().id.clone(), e.to_string());
            spdlog::error!("cannot decode item of job", kv: { job, item, problem });
            rejection("unclear", "the item cannot be decoded")
        }
    }
}
