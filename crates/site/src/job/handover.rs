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
use crate::keeper::Keepers;

/// What the path of a call begins with that is handed over; its own path
/// follows.
pub const PATH: &str = "/jobs";
/// The host that it was made to.
const HOST: HeaderName = HeaderName::from_static("x-job-host");
/// Says that the VM that is asked hands the call to no other one.
const LAST: HeaderName = HeaderName::from_static("x-job-last");
/// The headers of an answer that are passed on.
const PASSED_ON: [&str; 2] = ["content-type", "retry-after"];
/// What keepers are ranked by: one of them runs all jobs.
const SUBJECT: &str = "jobs";
/// How long a keeper may take to accept a job: less than half of the time in
/// which a trainer wants its answer.
const SUBMIT_TIME: Duration = Duration::from_millis(200);
/// How long a keeper may take to end a job, which is a call to the store.
const END_TIME: Duration = Duration::from_millis(1000);
/// How much longer than a read waits it may take, with the time in which a
/// keeper makes sure that it knows all.
const READ_SLACK: Duration = Duration::from_millis(500);
/// The same where a keeper asks the VM that runs the job: under
/// [`READ_SLACK`], so that the keeper can still read the store itself.
const RUNNER_SLACK: Duration = Duration::from_millis(300);
/// How long a connection to a keeper may take.
const CONNECT_TIME: Duration = Duration::from_millis(100);
/// How long a keeper may acknowledge nothing: a few times what it takes to
/// answer from memory at a twelfth of a core.
const SILENCE: Duration = Duration::from_millis(400);
/// The largest answer: a page of samples is under 1 MB.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// How many keepers are asked for one call: all that the settings name.
const TRIES: usize = 3;
/// After how long no other way is tried: trainers wait 1.5 s longer than they
/// say.
const GIVE_UP_TIME: Duration = Duration::from_millis(1800);

/// What else is told to a VM that is asked.
#[derive(Clone, Copy, Debug, Default)]
struct Ask {
    /// How long a read waits.
    wait: Option<Duration>,
    /// Whether that VM is to answer itself.
    is_last: bool,
}

/// Hands calls over to keepers.
#[derive(Clone)]
pub struct Handover {
    keepers: Keepers,
    pool: Pool,
    /// Whether this VM takes no jobs from others.
    is_leaving: Rc<Cell<bool>>,
}

impl Handover {
    /// Returns what hands calls over to `keepers`.
    pub fn new(keepers: Keepers) -> Self {
        let pool = Pool::new(Limits::new().body_bytes(ANSWER_BYTES));
        Self {
            keepers,
            pool: pool.silence(SILENCE).resets(),
            is_leaving: Rc::default(),
        }
    }

    /// Takes no more jobs from other VMs.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Returns whether this VM takes no more jobs.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Hands a job to the keeper that runs them, and returns its answer; `None`
    /// if this VM is to accept the job. A job that the other
    /// one has accepted without an answer is met again in the store.
    pub async fn submit(&self, account: &Option<String>, request: &Request) -> Option<Reply> {
        let start = Instant::now();
        // A keeper takes the job itself rather than ask a third VM.
        let tries = match self.keepers.is_one(start) {
            true => 1,
            false => TRIES,
        };
        for to in self.order().into_iter().take(tries) {
            if self.keepers.is_own(to) {
                return None;
            }
            let found = self
                .ask(to, account, request, Ask::default(), SUBMIT_TIME)
                .await;
            if let Some(found) = found.filter(|found| found.status == StatusCode::ACCEPTED) {
                return Some(reply(found));
            }
        }
        None
    }

    /// Hands a call about a job to a keeper, and returns its answer; `None` if
    /// none answers.
    pub async fn call(
        &self,
        account: &Option<String>,
        call: &batch::Call,
        request: &Request,
    ) -> Option<Reply> {
        let start = Instant::now();
        let mut unsure = None;
        for to in self.order().into_iter().take(TRIES) {
            let spent = start.elapsed();
            let (wait, limit) = match call {
                batch::Call::Read { .. } => {
                    let wait = api::wait(request).saturating_sub(spent);
                    (Some(wait), wait + READ_SLACK)
                }
                batch::Call::End { .. } => (None, END_TIME),
                batch::Call::Body { .. } => (None, READ_SLACK),
            };
            let is_last = false;
            let ask = Ask { wait, is_last };
            match self.ask(to, account, request, ask, limit).await {
                Some(found) if found.status == StatusCode::SERVICE_UNAVAILABLE => {
                    unsure = Some(found);
                }
                Some(found) => return Some(reply(found)),
                None => {}
            }
            if start.elapsed() > GIVE_UP_TIME {
                break;
            }
        }
        unsure.map(reply)
    }

    /// Has a call about a job answered by the VM `runner`, which runs it.
    pub async fn run_by(
        &self,
        runner: SocketAddr,
        account: &Option<String>,
        call: &batch::Call,
        request: &Request,
    ) -> Option<Reply> {
        if self.keepers.is_own(runner) || self.keepers.rests(runner, Instant::now()) {
            return None;
        }
        let wait = matches!(call, batch::Call::Read { .. }).then(|| api::wait(request));
        let limit = match call {
            batch::Call::End { .. } => END_TIME,
            batch::Call::Read { .. } | batch::Call::Body { .. } => {
                wait.unwrap_or_default() + RUNNER_SLACK
            }
        };
        let last = Ask {
            wait,
            is_last: true,
        };
        let found = self.ask(runner, account, request, last, limit).await?;
        let is_answer = found.status != StatusCode::SERVICE_UNAVAILABLE;
        is_answer.then(|| reply(found))
    }

    /// Returns whether a call that began at `start` is answered in time if
    /// this VM does it itself.
    pub fn is_in_time(start: Instant) -> bool {
        start.elapsed() < GIVE_UP_TIME
    }

    fn order(&self) -> Vec<SocketAddr> {
        self.keepers.of(SUBJECT, Instant::now())
    }

    async fn ask(
        &self,
        to: SocketAddr,
        account: &Option<String>,
        request: &Request,
        how: Ask,
        limit: Duration,
    ) -> Option<Fetched> {
        let path = request.target();
        let id = request.header("request-id").unwrap_or_default();
        let mut call = Call::new(request.method.clone(), format!("{PATH}{path}"))
            .body(request.body.clone())
            .header(header::REQUEST_ID, id)
            .header(HOST, request.header("host").unwrap_or_default())
            .idempotent(true)
            .connect_time(CONNECT_TIME)
            .deadline(limit);
        if let Some(account) = account {
            call = call.header(header::ACCOUNT, account);
        }
        if how.is_last {
            call = call.header(LAST, "1");
        }
        if let Some(wait) = how.wait {
            call = call.header(header::WAIT, wait.as_millis().to_string());
        }
        let vm = to.to_string();
        match self.pool.fetch(to, call).await {
            Ok(found) => {
                self.keepers.answered(to);
                if found.status.is_server_error() {
                    let status = found.status.as_u16();
                    spdlog::info!("call not taken by a keeper", kv: { request = id, vm, status });
                }
                Some(found)
            }
            Err(e) => {
                self.keepers.failed(to, Instant::now());
                let problem = e.to_string();
                spdlog::warn!("keeper does not answer", kv: { request = id, vm, problem });
                None
            }
        }
    }
}

fn reply(found: Fetched) -> Reply {
    let mut reply = Reply::new(found.status, found.body);
    for name in PASSED_ON {
        if let Some(value) = found.headers.get(name) {
            reply.headers_mut().insert(name, value.clone());
        }
    }
    reply
}

/// Answers a call that another VM hands over.
pub async fn take(jobs: &Jobs, mut request: Request) -> Reply {
    let account = request.header(header::ACCOUNT.as_str()).map(str::to_string);
    if let Some(host) = request.headers.remove(HOST) {
        request.headers.insert("host", host);
    }
    let path = request.target().strip_prefix(PATH);
    let Ok(uri) = path.unwrap_or("/").parse() else {
        return Reply::new(StatusCode::BAD_REQUEST, "");
    };
    request.uri = uri;
    let manner = match request.headers.contains_key(LAST) {
        true => api::FOR_KEEPER,
        false => api::FOR_PEER,
    };
    match batch::parse_call(&request) {
        Some(call) => api::answer(jobs, account, call, &request, manner).await,
        None if jobs.handover.is_leaving() => Reply::new(StatusCode::SERVICE_UNAVAILABLE, ""),
        None => api::accept(jobs, account, &request).await,
    }
}
