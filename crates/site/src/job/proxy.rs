//! Forwards calls about jobs to the coordinators.
//!
//! All jobs go to the same coordinator as long as it responds. That VM then
//! knows all requests in flight at each endpoint, reuses its connections from
//! step to step, and answers reads of the samples that it produces.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    HeaderName, StatusCode,
    http::{
        self, Limits, Pool, Request,
        client::{Call, Fetched},
        server::Reply,
    },
};
use platform::{batch, header};
use policy::execution::Execution;

use super::{Jobs, api, rejection::not_done, submission};
use crate::coordinator::Coordinators;

/// The prefix of the path of a forwarded call, before the original path.
pub const PATH: &str = "/jobs";
/// The header with the host that the trainer addressed.
const ORIGINAL_HOST: HeaderName = HeaderName::from_static("x-job-host");
/// The header that tells the receiver not to forward the call again.
const LAST_HOP: HeaderName = HeaderName::from_static("x-job-last");
/// The headers of a response that are passed on to the trainer.
const FORWARDED_HEADERS: [&str; 2] = ["content-type", "retry-after"];
/// The key by which coordinators are ranked. It is the same for all jobs, so
/// that one coordinator runs them all.
const RENDEZVOUS_KEY: &str = "jobs";
/// How long a coordinator may take to accept a job: less than half of the time
/// in which a trainer expects the response to its submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a coordinator may take to end a job, which takes a write to the
/// store.
const END_TIMEOUT: Duration = Duration::from_millis(1000);
/// How much longer than its wait a read at a coordinator may take. This
/// includes the time in which the coordinator confirms that there are no more
/// samples.
const READ_MARGIN: Duration = Duration::from_millis(500);
/// The margin for a read that a coordinator forwards to the VM that runs the
/// job: less than [`READ_MARGIN`], so that the coordinator can still read the
/// store itself.
const RUNNER_READ_MARGIN: Duration = Duration::from_millis(300);
/// How long it may take to connect to a VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a VM may leave sent data unacknowledged before its connections are
/// reset. A VM that has a twelfth of a core answers from memory in a fraction
/// of this time.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum size of a response. A page of samples is smaller than 1 MB.
const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;
/// The maximum number of VMs that are tried for one call: the coordinators that
/// the settings of a deployment name, and two of their deputies.
const COORDINATORS_TRIED_MAX: usize = 5;
/// How long after its start a call may still be tried at another VM or answered
/// by this one. Trainers wait 1.5 s longer than they request.
const RETRY_TIME_MAX: Duration = Duration::from_millis(1800);

/// The options of a forwarded call.
#[derive(Clone, Copy, Debug, Default)]
struct Options {
    /// How long a read waits for samples.
    wait: Option<Duration>,
    /// Whether the receiver must answer the call itself.
    is_last_hop: bool,
}

/// Forwards calls to coordinators.
#[derive(Clone)]
pub struct Proxy {
    coordinators: Coordinators,
    pool: Pool,
    /// Whether this VM accepts no more jobs from other VMs.
    is_draining: Rc<Cell<bool>>,
}

impl Proxy {
    /// Returns a proxy for `coordinators`.
    pub fn new(coordinators: Coordinators) -> Self {
        let pool = Pool::new(Limits::new().body_bytes(RESPONSE_BYTES_MAX));
        Self {
            coordinators,
            pool: pool.silence_timeout(ACK_TIMEOUT).reset_on_close(),
            is_draining: Rc::default(),
        }
    }

    /// Stops accepting jobs from other VMs.
    pub fn drain(&self) {
        self.is_draining.set(true);
    }

    /// Returns whether this VM accepts no more jobs from other VMs.
    pub fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Submits a job to a coordinator, and returns its response.
    ///
    /// # Errors
    ///
    /// If this VM must accept the job: whether a coordinator may have accepted
    /// it, or may yet.
    pub async fn submit(
        &self,
        account: &Option<String>,
        request: &Request,
    ) -> Result<Reply, Execution> {
        let start = Instant::now();
        let mut execution = Execution::NotRun;
        // A coordinator accepts the job itself rather than try a third VM.
        let tries_max = match self.coordinators.is_coordinator(start) {
            true => 1,
            false => COORDINATORS_TRIED_MAX,
        };
        for coordinator in self.ranked_coordinators().into_iter().take(tries_max) {
            if self.coordinators.is_own(coordinator) {
                break;
            }
            let sent = self
                .send(
                    coordinator,
                    account,
                    request,
                    Options::default(),
                    SUBMIT_TIMEOUT,
                )
                .await;
            let job = request.header("request-id").unwrap_or_default();
            let vm = coordinator.to_string();
            // 0 stands for no response.
            let status = sent.as_ref().map_or(0, |response| response.status.as_u16());
            let attempt = execution_at_vm(&sent);
            let ran = attempt.code();
            spdlog::info!("submission forwarded", kv: { job, vm, status, ran });
            match sent {
                Ok(response) if response.status == StatusCode::ACCEPTED => {
                    return Ok(reply(response));
                }
                _ => execution = execution.and(attempt),
            }
        }
        Err(execution)
    }

    /// Forwards a call about a job to a coordinator, and returns its response. A
    /// response with status 503 is returned only if no other coordinator has a
    /// better one.
    ///
    /// # Errors
    ///
    /// If none responds: whether a coordinator may have carried the call out.
    pub async fn forward(
        &self,
        account: &Option<String>,
        call: &batch::Call,
        request: &Request,
    ) -> Result<Reply, Execution> {
        let start = Instant::now();
        let mut execution = Execution::NotRun;
        let mut unavailable = None;
        for coordinator in self
            .ranked_coordinators()
            .into_iter()
            .take(COORDINATORS_TRIED_MAX)
        {
            let elapsed = start.elapsed();
            let (wait, limit) = match call {
                batch::Call::Read { .. } => {
                    let wait = api::read_wait(request).saturating_sub(elapsed);
                    (Some(wait), wait + READ_MARGIN)
                }
                batch::Call::End { .. } => (None, END_TIMEOUT),
                batch::Call::Body { .. } => (None, READ_MARGIN),
            };
            let is_last_hop = false;
            let options = Options { wait, is_last_hop };
            let sent = self
                .send(coordinator, account, request, options, limit)
                .await;
            execution = execution.and(execution_of_call(call, &sent));
            match sent {
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    unavailable = Some(response);
                }
                Ok(response) => return Ok(reply(response)),
                Err(_) => {}
            }
            if start.elapsed() > RETRY_TIME_MAX {
                break;
            }
        }
        match unavailable {
            Some(_) if execution == Execution::Unknown => {
                let detail = "no coordinator confirmed the end of the job";
                Ok(not_done(execution, "not-confirmed", detail))
            }
            Some(response) => Ok(reply(response)),
            None => Err(execution),
        }
    }

    /// Forwards a call about a job to the VM `runner`, which runs the job, and
    /// returns its response.
    ///
    /// # Errors
    ///
    /// If this VM must answer itself: whether `runner` may have carried the call
    /// out.
    pub async fn forward_to_runner(
        &self,
        runner: SocketAddr,
        account: &Option<String>,
        call: &batch::Call,
        request: &Request,
    ) -> Result<Reply, Execution> {
        if self.coordinators.is_own(runner)
            || self.coordinators.is_backing_off(runner, Instant::now())
        {
            return Err(Execution::NotRun);
        }
        let wait = matches!(call, batch::Call::Read { .. }).then(|| api::read_wait(request));
        let limit = match call {
            batch::Call::End { .. } => END_TIMEOUT,
            batch::Call::Read { .. } | batch::Call::Body { .. } => {
                wait.unwrap_or_default() + RUNNER_READ_MARGIN
            }
        };
        let options = Options {
            wait,
            is_last_hop: true,
        };
        let sent = self.send(runner, account, request, options, limit).await;
        match sent {
            Ok(response) if response.status != StatusCode::SERVICE_UNAVAILABLE => {
                Ok(reply(response))
            }
            failed => Err(execution_of_call(call, &failed)),
        }
    }

    /// Returns whether this VM can still answer a call that began at `start` in
    /// time.
    pub fn has_time_left(start: Instant) -> bool {
        start.elapsed() < RETRY_TIME_MAX
    }

    fn ranked_coordinators(&self) -> Vec<SocketAddr> {
        self.coordinators
            .rank_with_deputies(RENDEZVOUS_KEY, Instant::now())
    }

    async fn send(
        &self,
        address: SocketAddr,
        account: &Option<String>,
        request: &Request,
        options: Options,
        limit: Duration,
    ) -> Result<Fetched, http::Error> {
        let path = request.target();
        let id = request.header("request-id").unwrap_or_default();
        let mut call = Call::new(request.method.clone(), format!("{PATH}{path}"))
            .body(request.body.clone())
            .header(header::REQUEST_ID, id)
            .header(ORIGINAL_HOST, request.header("host").unwrap_or_default())
            .idempotent(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .deadline(limit);
        if let Some(account) = account {
            call = call.header(header::ACCOUNT, account);
        }
        if options.is_last_hop {
            call = call.header(LAST_HOP, "1");
        }
        if let Some(wait) = options.wait {
            call = call.header(header::WAIT, wait.as_millis().to_string());
        }
        let vm = address.to_string();
        match self.pool.fetch(address, call).await {
            Ok(response) => {
                self.coordinators.record_success(address);
                if response.status.is_server_error() {
                    let status = response.status.as_u16();
                    spdlog::info!("VM responded to forwarded call with a server error", kv: { request = id, vm, status });
                }
                Ok(response)
            }
            Err(e) => {
                self.coordinators.record_failure(address, Instant::now());
                let problem = e.to_string();
                spdlog::warn!("VM did not respond to forwarded call", kv: { request = id, vm, problem });
                Err(e)
            }
        }
    }
}

/// Returns whether another VM may have carried out the call that it answered
/// with `sent`.
fn execution_at_vm(sent: &Result<Fetched, http::Error>) -> Execution {
    let is_rejected = match sent {
        Ok(response) if response.is_repeated => false,
        Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => true,
        Ok(response) => response.status.is_client_error(),
        Err(e) => e.is_unsent(),
    };
    match is_rejected {
        true => Execution::NotRun,
        false => Execution::Unknown,
    }
}

/// Returns whether another VM may have carried out `call`. Calls that only read
/// have no effect.
fn execution_of_call(call: &batch::Call, sent: &Result<Fetched, http::Error>) -> Execution {
    match call {
        batch::Call::End { .. } => execution_at_vm(sent),
        batch::Call::Read { .. } | batch::Call::Body { .. } => Execution::NotRun,
    }
}

fn reply(response: Fetched) -> Reply {
    let mut reply = Reply::new(response.status, response.body);
    for name in FORWARDED_HEADERS {
        if let Some(value) = response.headers.get(name) {
            reply.headers_mut().insert(name, value.clone());
        }
    }
    reply
}

/// Answers a call that another VM forwards.
pub async fn answer(jobs: &Jobs, mut request: Request) -> Reply {
    let account = request.header(header::ACCOUNT.as_str()).map(str::to_string);
    if let Some(host) = request.headers.remove(ORIGINAL_HOST) {
        request.headers.insert("host", host);
    }
    let path = request.target().strip_prefix(PATH);
    let Ok(uri) = path.unwrap_or("/").parse() else {
        return Reply::new(StatusCode::BAD_REQUEST, "");
    };
    request.uri = uri;
    let mode = match request.headers.contains_key(LAST_HOP) {
        true => api::FROM_COORDINATOR,
        false => {
            // The other VM takes this one for a coordinator, as it does with a
            // deputy. Only coordinators know all jobs from memory.
            jobs.coordinators
                .join_temporarily("another VM calls this VM about a job");
            api::FROM_PEER
        }
    };
    match batch::parse_call(&request) {
        Some(call) => api::answer(jobs, account, call, &request, mode, Execution::NotRun).await,
        None => submission::submit_from_peer(jobs, account, &request).await,
    }
}
