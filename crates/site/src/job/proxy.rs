//! Calls about jobs, handed to the VMs that keep them. All jobs go to the same
//! keeper as long as it answers: it knows what it has sent to each endpoint,
//! its connections are used again from step to step, and reads come to the VM
//! that makes the samples.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use link::{
    HeaderName, StatusCode,
    http::{
        Limits, Pool, Request,
        client::{Call, Fetched},
        server::Reply,
    },
};
use platform::{batch, header};

use super::{Jobs, api};
use crate::coordinator::Coordinators;

/// What the path of a call begins with that is handed over; its own path
/// follows.
pub const PATH: &str = "/jobs";
/// The host that it was made to.
const ORIGINAL_HOST: HeaderName = HeaderName::from_static("x-job-host");
/// Says that the VM that is asked hands the call to no other one.
const LAST_HOP: HeaderName = HeaderName::from_static("x-job-last");
/// The headers of an answer that are passed on.
const FORWARDED_HEADERS: [&str; 2] = ["content-type", "retry-after"];
/// What keepers are ranked by: one of them runs all jobs.
const RENDEZVOUS_KEY: &str = "jobs";
/// How long a keeper may take to accept a job: less than half of the time in
/// which a trainer wants its answer.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a keeper may take to end a job, which is a call to the store.
const END_TIMEOUT: Duration = Duration::from_millis(1000);
/// How much longer than a read waits it may take, with the time in which a
/// keeper makes sure that it knows all.
const READ_MARGIN: Duration = Duration::from_millis(500);
/// The same where a keeper asks the VM that runs the job: under
/// [`READ_MARGIN`], so that the keeper can still read the store itself.
const RUNNER_READ_MARGIN: Duration = Duration::from_millis(300);
/// How long a connection to a keeper may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a keeper may acknowledge nothing: a few times what it takes to
/// answer from memory at a twelfth of a core.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// The largest answer: a page of samples is under 1 MB.
const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;
/// How many keepers are asked for one call: all that the settings name.
const COORDINATORS_TRIED_MAX: usize = 3;
/// After how long no other way is tried: trainers wait 1.5 s longer than they
/// say.
const RETRY_TIME_MAX: Duration = Duration::from_millis(1800);

/// What else is told to a VM that is asked.
#[derive(Clone, Copy, Debug, Default)]
struct Options {
    /// How long a read waits.
    wait: Option<Duration>,
    /// Whether that VM is to answer itself.
    is_last_hop: bool,
}

/// Hands calls over to keepers.
#[derive(Clone)]
pub struct Proxy {
    coordinators: Coordinators,
    pool: Pool,
    /// Whether this VM takes no jobs from others.
    is_draining: Rc<Cell<bool>>,
}

impl Proxy {
    /// Returns what hands calls over to `keepers`.
    pub fn new(coordinators: Coordinators) -> Self {
        let pool = Pool::new(Limits::new().body_bytes(RESPONSE_BYTES_MAX));
        Self {
            coordinators,
            pool: pool.silence(ACK_TIMEOUT).resets(),
            is_draining: Rc::default(),
        }
    }

    /// Takes no more jobs from other VMs.
    pub fn drain(&self) {
        self.is_draining.set(true);
    }

    /// Returns whether this VM takes no more jobs.
    pub fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Hands a job to the keeper that runs them, and returns its answer; `None`
    /// if this VM is to accept the job. A job that the other
    /// one has accepted without an answer is met again in the store.
    pub async fn submit(&self, account: &Option<String>, request: &Request) -> Option<Reply> {
        let start = Instant::now();
        // A keeper takes the job itself rather than ask a third VM.
        let tries_max = match self.coordinators.is_coordinator(start) {
            true => 1,
            false => COORDINATORS_TRIED_MAX,
        };
        for coordinator in self.ranked_coordinators().into_iter().take(tries_max) {
            if self.coordinators.is_own(coordinator) {
                return None;
            }
            let response = self
                .send(
                    coordinator,
                    account,
                    request,
                    Options::default(),
                    SUBMIT_TIMEOUT,
                )
                .await;
            if let Some(response) =
                response.filter(|response| response.status == StatusCode::ACCEPTED)
            {
                return Some(reply(response));
            }
        }
        None
    }

    /// Hands a call about a job to a keeper, and returns its answer; `None` if
    /// none answers.
    pub async fn forward(
        &self,
        account: &Option<String>,
        call: &batch::Call,
        request: &Request,
    ) -> Option<Reply> {
        let start = Instant::now();
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
            match self
                .send(coordinator, account, request, options, limit)
                .await
            {
                Some(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    unavailable = Some(response);
                }
                Some(response) => return Some(reply(response)),
                None => {}
            }
            if start.elapsed() > RETRY_TIME_MAX {
                break;
            }
        }
        unavailable.map(reply)
    }

    /// Has a call about a job answered by the VM `runner`, which runs it.
    pub async fn forward_to_runner(
        &self,
        runner: SocketAddr,
        account: &Option<String>,
        call: &batch::Call,
        request: &Request,
    ) -> Option<Reply> {
        if self.coordinators.is_own(runner)
            || self.coordinators.is_backing_off(runner, Instant::now())
        {
            return None;
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
        let response = self.send(runner, account, request, options, limit).await?;
        let is_answered = response.status != StatusCode::SERVICE_UNAVAILABLE;
        is_answered.then(|| reply(response))
    }

    /// Returns whether a call that began at `start` is answered in time if
    /// this VM does it itself.
    pub fn has_time_left(start: Instant) -> bool {
        start.elapsed() < RETRY_TIME_MAX
    }

    fn ranked_coordinators(&self) -> Vec<SocketAddr> {
        self.coordinators.rank(RENDEZVOUS_KEY, Instant::now())
    }

    async fn send(
        &self,
        address: SocketAddr,
        account: &Option<String>,
        request: &Request,
        options: Options,
        limit: Duration,
    ) -> Option<Fetched> {
        let path = request.target();
        let id = request.header("request-id").unwrap_or_default();
        let mut call = Call::new(request.method.clone(), format!("{PATH}{path}"))
            .body(request.body.clone())
            .header(header::REQUEST_ID, id)
            .header(ORIGINAL_HOST, request.header("host").unwrap_or_default())
            .idempotent(true)
            .connect_time(CONNECT_TIMEOUT)
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
                    spdlog::info!("call not taken by a keeper", kv: { request = id, vm, status });
                }
                Some(response)
            }
            Err(e) => {
                self.coordinators.record_failure(address, Instant::now());
                let problem = e.to_string();
                spdlog::warn!("keeper does not answer", kv: { request = id, vm, problem });
                None
            }
        }
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

/// Answers a call that another VM hands over.
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
        false => api::FROM_PEER,
    };
    match batch::call(&request) {
        Some(call) => api::answer(jobs, account, call, &request, mode).await,
        None if jobs.proxy.is_draining() => Reply::new(StatusCode::SERVICE_UNAVAILABLE, ""),
        None => api::accept(jobs, account, &request).await,
    }
}
