//! Which VM runs a job: the same one for all jobs of a route, so that its
//! connections to endpoints are used again from step to step.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use board::hash;
use link::{
    HeaderName, StatusCode,
    http::{Pool, Request, client::Call, server::Reply},
};
use platform::{config::Route, header};

use super::{Jobs, api};

/// What the path of a job begins with that is handed over; the path that it
/// was submitted to follows.
pub const PATH: &str = "/jobs";
/// The host that a job was submitted to.
const HOST: HeaderName = HeaderName::from_static("x-job-host");
/// How long the other VM may take to accept a job: less than half of the time
/// in which a trainer wants its answer.
const HAND_TIME: Duration = Duration::from_millis(200);
/// How long a connection to it may take.
const CONNECT_TIME: Duration = Duration::from_millis(100);

/// The VMs that jobs are handed to.
#[derive(Clone)]
pub struct Runners {
    vms: Rc<RefCell<Vec<SocketAddr>>>,
    own: Option<SocketAddr>,
    pool: Pool,
    /// Whether this VM takes no jobs from others.
    is_leaving: Rc<Cell<bool>>,
}

impl Runners {
    /// Returns the runners at the peer addresses `vms`, of which `own` is this
    /// VM's.
    pub fn new(vms: Vec<SocketAddr>, own: Option<SocketAddr>, pool: Pool) -> Self {
        let vms = Rc::new(RefCell::new(vms));
        let is_leaving = Rc::default();
        Self {
            vms,
            own,
            pool,
            is_leaving,
        }
    }

    /// Takes no more jobs from other VMs.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Replaces the VMs that jobs are handed to.
    pub fn set(&self, vms: Vec<SocketAddr>) {
        *self.vms.borrow_mut() = vms;
    }

    /// Hands a job of `route` to the VM that runs them, and returns its
    /// answer; `None` if this VM is to accept the job. A job that the other
    /// one has accepted without an answer is met again in the store.
    pub async fn hand(
        &self,
        route: &Route,
        account: &Option<String>,
        request: &Request,
    ) -> Option<Reply> {
        let seed = hash::mix(route.path_prefix.as_bytes(), 0);
        let rank = |vm: &SocketAddr| hash::rendezvous(seed, &vm.to_string());
        let to = self.vms.borrow().iter().copied().max_by_key(rank)?;
        if Some(to) == self.own {
            return None;
        }
        let id = request.header("request-id").unwrap_or_default();
        let mut call = Call::post(
            format!("{PATH}{}", request.uri.path()),
            request.body.clone(),
        )
        .identified_as(header::REQUEST_ID, id)
        .header(HOST, request.header("host").unwrap_or_default())
        .connect_time(CONNECT_TIME)
        .deadline(HAND_TIME);
        if let Some(account) = account {
            call = call.header(header::ACCOUNT, account);
        }
        let found = self.pool.fetch(to, call).await;
        match found {
            Ok(found) if found.status == StatusCode::ACCEPTED => Some(
                Reply::new(found.status, found.body).header("content-type", "application/json"),
            ),
            Ok(found) => {
                let (status, vm) = (found.status.as_u16(), to.to_string());
                spdlog::info!("job not taken by its VM", kv: { job = id, vm, status });
                None
            }
            Err(e) => {
                let (problem, vm) = (e.to_string(), to.to_string());
                spdlog::info!("job not taken by its VM", kv: { job = id, vm, problem });
                None
            }
        }
    }
}

/// Accepts a job that another VM hands over.
pub async fn take(jobs: &Jobs, mut request: Request) -> Reply {
    let id = request.header("request-id").unwrap_or_default().to_string();
    if jobs.runners.is_leaving.get() {
        let reply = Reply::new(StatusCode::SERVICE_UNAVAILABLE, "");
        return reply.header(header::REQUEST_ID, id);
    }
    let account = request.header(header::ACCOUNT.as_str()).map(str::to_string);
    if let Some(host) = request.headers.remove(HOST) {
        request.headers.insert("host", host);
    }
    let path = request
        .uri
        .path()
        .strip_prefix(PATH)
        .unwrap_or("/")
        .to_string();
    let Ok(uri) = path.parse() else {
        return Reply::new(StatusCode::BAD_REQUEST, "");
    };
    request.uri = uri;
    let reply = api::accept(jobs, account, &request).await;
    // The caller takes only an answer to its own request.
    reply.header(header::REQUEST_ID, id)
}
