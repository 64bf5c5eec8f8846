//! What VMs ask of each other: what they have heard of the store, to pass
//! calls on to it, to answer calls about jobs, and to have usage kept.

use link::{
    StatusCode,
    http::{Request, server::Reply},
};
use platform::store::{self, Error};

use crate::{
    duty::gather::{self, Gather},
    job::{Jobs, handover},
    mirror::Mirror,
};

/// What answers other VMs.
#[derive(Clone)]
pub struct Peer {
    jobs: Jobs,
    mirror: Mirror,
    gather: Gather,
}

impl Peer {
    /// Returns what answers other VMs from these parts.
    pub fn new(jobs: Jobs, mirror: Mirror, gather: Gather) -> Self {
        Self {
            jobs,
            mirror,
            gather,
        }
    }

    /// Answers a call of another VM.
    pub async fn answer(&self, request: Request) -> Reply {
        let path = request.target();
        if let Some((kind, watch)) = path
            .strip_prefix(store::MIRROR)
            .and_then(store::parse_kind_path)
        {
            self.jobs.metrics.peer_call(kind);
            return self.mirror.answer(kind, watch).await;
        }
        if path.starts_with(gather::PATH) {
            self.jobs.metrics.peer_call("usage");
            return self.gather.answer(&request).await;
        }
        if path.starts_with(handover::PATH) {
            self.jobs.metrics.peer_call("job");
            return handover::take(&self.jobs, request).await;
        }
        if path.starts_with(store::ROOT) {
            self.jobs.metrics.peer_call("store");
            return self.pass_on(path, &request).await;
        }
        Reply::new(StatusCode::NOT_FOUND, "")
    }

    async fn pass_on(&self, path: &str, request: &Request) -> Reply {
        let (method, body) = (request.method.clone(), request.body.clone());
        match self.jobs.store.relay(method, path, body).await {
            Ok(found) => {
                Reply::new(found.status, found.body).header("content-type", "application/json")
            }
            Err(Error::Rejected(status)) => Reply::new(status, ""),
            // Whether the store has done it is not known: no answer is given.
            Err(_) => Reply::cut(),
        }
    }
}
