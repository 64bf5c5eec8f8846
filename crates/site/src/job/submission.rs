//! The submission of jobs.
//!
//! Several VMs may attempt to accept a job: the one that the trainer called and
//! the coordinators that it forwards the submission to. The submission is
//! rejected only if none of them may have accepted the job, since a rejection
//! promises that no part of it runs.

use std::{
    future::Future,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    StatusCode, clock,
    http::{Request, server::Reply},
};
use platform::{
    batch::Submission,
    items::{self, Items},
    store::{Error, Written},
};
use policy::execution::Execution;

use super::{
    Handle, Jobs, failover,
    record::{self, Head},
    rejection::{execution_of_write, not_done},
};
use crate::pace::Pace;

/// How long after its arrival a submission is retried while the job may have
/// been accepted already. It is answered by then.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long the write of a head may take if writing the items took most of
/// [`ACCEPT_TIMEOUT`], as with a job of many parts on a slow store.
const HEAD_TIMEOUT_MIN: Duration = Duration::from_millis(1000);
/// The largest submission that is forwarded. It is sent and stored in a fraction of the
/// time that a coordinator has to accept a job.
const FORWARD_BYTES_MAX: usize = 1024 * 1024;
/// The pause before a write of a head is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long an attempt to accept a job without a known outcome is remembered:
/// an older job is not run any more.
const UNSETTLED_RETENTION: Duration = failover::TAKEOVER_AGE_MAX;

/// Submits a job to the coordinator that runs jobs. If no coordinator accepts
/// the job, this VM does.
pub async fn submit(jobs: &Jobs, account: Option<String>, request: &Request) -> Reply {
    let id = request.header("request-id").unwrap_or_default();
    if !record::is_valid_id(id) {
        return Reply::error(
            StatusCode::BAD_REQUEST,
            "bad-id",
            "request-id must have 1 to 100 letters, digits, '-' or '_'",
        );
    }
    if let Some(known) = jobs.registry.get(id) {
        return already_accepted(&known, &account);
    }
    let arrival = Arrival::now(Sender::Caller);
    let work = async {
        let token = jobs.unsettled.begin(id, UNSETTLED_RETENTION, arrival.at);
        let forwarded = match is_large(request) {
            // Another VM would need as much memory, and more time than it is given.
            true => Err(Execution::NotRun),
            false => jobs.proxy.submit(&account, request).await,
        };
        if !matches!(forwarded, Err(Execution::Unknown)) {
            jobs.unsettled.settle(token);
        }
        match forwarded {
            Ok(reply) => reply,
            Err(_) => accept(jobs, account.clone(), request, arrival).await,
        }
    };
    log_if_dropped(id, arrival, work).await
}

/// Returns whether a submission is too large to be forwarded.
fn is_large(request: &Request) -> bool {
    request.body.len() > FORWARD_BYTES_MAX
}

/// Accepts a job that another VM forwards.
pub(crate) async fn submit_from_peer(
    jobs: &Jobs,
    account: Option<String>,
    request: &Request,
) -> Reply {
    let id = request.header("request-id").unwrap_or_default();
    let arrival = Arrival::now(Sender::Peer);
    log_if_dropped(id, arrival, accept(jobs, account, request, arrival)).await
}

/// Who sent a submission to this VM.
#[derive(Clone, Copy, Debug)]
enum Sender {
    /// The trainer.
    Caller,
    /// A VM that the trainer called.
    Peer,
}

impl Sender {
    /// Returns the sender's name in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Peer => "peer",
        }
    }
}

/// The arrival of a submission at this VM.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    sender: Sender,
    at: Instant,
}

impl Arrival {
    fn now(sender: Sender) -> Self {
        let at = Instant::now();
        Self { sender, at }
    }

    /// Returns when the submission is answered if the job may have been accepted.
    fn deadline(self) -> Instant {
        self.at + ACCEPT_TIMEOUT
    }

    fn elapsed_ms(self) -> u64 {
        self.at.elapsed().as_millis() as u64
    }
}

/// Answers a submission with the result of `work`. Logs if the sender closes the
/// connection before, which drops `work`: the job may exist, and no other line
/// on this VM would say so.
async fn log_if_dropped(job: &str, arrival: Arrival, work: impl Future<Output = Reply>) -> Reply {
    let mut unanswered = Unanswered {
        job,
        arrival,
        is_answered: false,
    };
    let reply = work.await;
    unanswered.is_answered = true;
    reply
}

/// A submission that has not been answered yet.
struct Unanswered<'a> {
    job: &'a str,
    arrival: Arrival,
    is_answered: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let (job, sender) = (self.job, self.arrival.sender.name());
        let ms = self.arrival.elapsed_ms();
        spdlog::warn!("sender closed connection before its submission was answered", kv: { job, sender, ms });
    }
}

/// Accepts a job on this VM. A job that was accepted before, here or on another
/// VM, is not accepted again.
async fn accept(
    jobs: &Jobs,
    account: Option<String>,
    request: &Request,
    arrival: Arrival,
) -> Reply {
    let sender = arrival.sender;
    let id = request.header("request-id").unwrap_or_default();
    // Known jobs are accepted also while the store cannot be reached.
    if let Some(known) = jobs.registry.get(id) {
        return already_accepted(&known, &account);
    }
    if matches!(sender, Sender::Peer) && jobs.proxy.is_draining() {
        return not_accepted(jobs, id, "draining", "this VM accepts no more jobs");
    }
    // Only coordinators know all jobs, and a large one takes many writes.
    if is_large(request)
        && let Ok(Some(object)) = jobs.store.get(record::KIND, id).await
        && let Some(existing) = object.read()
    {
        spdlog::info!("job was accepted before", kv: { job = id, sender = sender.name() });
        return already_accepted(&jobs.registry.put_head(id, existing), &account);
    }
    // A VM that runs a job must see when the job is ended, and only
    // coordinators watch jobs. Writing the job to the store takes time, in which
    // the settings may change.
    let _tenure = jobs.coordinators.hold("a job was submitted to this VM");
    let submission = match read_submission(request).await {
        Ok(submission) => submission,
        Err(e) => return Reply::error(StatusCode::BAD_REQUEST, "bad-json", &e.to_string()),
    };
    let expected = (0..submission.items.len())
        .map(|position| submission.items.expected_tokens(position))
        .sum();
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
        groups_wanted: submission.groups_wanted,
    };
    // A job that may have been accepted cannot be rejected, so it is worth
    // waiting for the store. A VM that forwards a submission does not wait.
    let is_worth_waiting = matches!(sender, Sender::Caller) && jobs.unsettled.contains(id);
    let deadline = is_worth_waiting.then(|| arrival.deadline());
    let written = create(jobs, id, &head, &submission.items, deadline, arrival).await;
    let (job, items, sender) = (id, head.items, sender.name());
    let ms = arrival.elapsed_ms();
    match written {
        Ok(Written::Done(_)) => {
            let account = account.as_deref().unwrap_or_default();
            spdlog::info!("job accepted", kv: { job, account, items, sender, ms });
            jobs.metrics.record_job("accepted");
            let known = jobs.registry.put_head(id, head);
            {
                let mut known = known.borrow_mut();
                known.items = Some(Rc::new(submission.items));
                // A new job has no pages that would have to be read, and no
                // other VM has run it.
                known.is_loaded = true;
                known.is_sole_writer = true;
            }
            jobs.executor.start(&known);
            accepted()
        }
        Ok(Written::Conflict(object)) => {
            spdlog::info!("job was accepted before", kv: { job, sender, ms });
            match object.and_then(|object| object.read()) {
                Some(existing) => {
                    let known = jobs.registry.put_head(id, existing);
                    if known.borrow().head.vm == jobs.vm {
                        // An earlier attempt of this call created the head.
                        jobs.executor.start(&known);
                    }
                    already_accepted(&known, &account)
                }
                None => Reply::error(
                    StatusCode::BAD_GATEWAY,
                    "unclear",
                    "the job's head in the store cannot be parsed",
                ),
            }
        }
        Err(e) => {
            let problem = e.to_string();
            spdlog::warn!("cannot write job to the store", kv: { job, problem, sender, ms });
            not_accepted(
                jobs,
                id,
                "store-unreachable",
                "the job cannot be written to the store now",
            )
        }
    }
}

/// The number of items of a submission that are read before other tasks may run.
const READ_ITEMS: usize = 16;

/// Reads the submission in the body of `request`.
async fn read_submission(request: &Request) -> Result<Submission, items::Error> {
    let mut submission = Submission::parse(&request.body)?;
    let mut pace = Pace::start();
    while submission.items.read_next(READ_ITEMS)? {
        pace.pause_if_due().await;
    }
    Ok(submission)
}

/// Returns the reply to a submission that this VM does not accept: a rejection,
/// unless the job may have been accepted or may yet be.
fn not_accepted(jobs: &Jobs, id: &str, code: &str, detail: &str) -> Reply {
    if jobs.unsettled.contains(id) {
        spdlog::warn!("job not confirmed, it may have been accepted", kv: { job = id, code });
        jobs.metrics.record_job("unclear");
        return not_done(Execution::Unknown, code, detail);
    }
    spdlog::warn!("job rejected", kv: { job = id, code });
    jobs.metrics.record_job("refused");
    not_done(Execution::NotRun, code, detail)
}

/// Writes a job to the store: its items first, since the job is accepted once
/// its head exists. If there is a `deadline`, writes are retried until then and
/// end then. The write of the head remains unsettled unless its outcome becomes
/// known.
async fn create(
    jobs: &Jobs,
    id: &str,
    head: &Head,
    items: &Items,
    deadline: Option<Instant>,
    arrival: Arrival,
) -> Result<Written, Error> {
    jobs.content.write_items(id, items, deadline).await?;
    // Also recorded if this future is dropped while it waits for the store.
    let now = Instant::now();
    let token = jobs.unsettled.begin(id, UNSETTLED_RETENTION, now);
    let deadline = deadline.unwrap_or_else(|| arrival.deadline().max(now + HEAD_TIMEOUT_MIN));
    let (written, execution) = write_head(jobs, id, head, deadline).await;
    if execution == Execution::NotRun {
        jobs.unsettled.settle(token);
    }
    written
}

/// Writes the head of a job, and retries until `deadline` as long as it is
/// unknown whether the head was written. Returns also whether the head may exist
/// although this VM has not seen it.
async fn write_head(
    jobs: &Jobs,
    id: &str,
    head: &Head,
    deadline: Instant,
) -> (Result<Written, Error>, Execution) {
    let mut execution = Execution::NotRun;
    loop {
        let written = jobs.store.create_until(record::KIND, id, head, deadline);
        let error = match written.await {
            Ok(written) => return (Ok(written), Execution::NotRun),
            Err(e) => e,
        };
        let is_first = execution == Execution::NotRun;
        execution = execution.and(execution_of_write(&error));
        if execution == Execution::NotRun || Instant::now() > deadline - WRITE_RETRY_DELAY {
            return (Err(error), execution);
        }
        if is_first {
            let problem = error.to_string();
            spdlog::warn!("cannot confirm head of job, retrying", kv: { job = id, problem });
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
