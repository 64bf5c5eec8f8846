//! Serves calls from other VMs: reads from the mirror, submissions of usage
//! counts, calls about jobs, requests for permits, questions about streams and
//! VMs, attempts that this VM forwards to endpoints, and calls that it relays to
//! the store.

use link::{
    StatusCode,
    http::{Request, server::Reply},
};
use platform::store::{self, Error};

use crate::{
    duty::collect::{self, Collector},
    gateway::{self, Gateway},
    job::{Jobs, proxy},
    member::{self, Members},
    mirror::Mirror,
    origin::{self, Origins},
    permit::{self, Permits},
};

/// Serves calls from other VMs.
#[derive(Clone)]
pub struct Server {
    /// The jobs of this VM.
    pub jobs: Jobs,
    /// The copies of followed kinds.
    pub mirror: Mirror,
    /// Collects the usage counts of other VMs.
    pub collector: Collector,
    /// Grants permits.
    pub permits: Permits,
    /// Knows what began streams.
    pub origins: Origins,
    /// Knows the VMs.
    pub members: Members,
    /// Forwards attempts to endpoints.
    pub gateway: Gateway,
}

impl Server {
    /// Serves one call from another VM.
    pub async fn answer(&self, request: Request) -> Reply {
        let path = request.target();
        if let Some((kind, watch)) = path
            .strip_prefix(store::MIRROR)
            .and_then(store::parse_kind_path)
        {
            self.jobs.metrics.record_peer_call(kind);
            return self.mirror.answer(kind, watch).await;
        }
        if path.starts_with(collect::PATH) {
            self.jobs.metrics.record_peer_call("usage");
            return self.collector.answer(&request).await;
        }
        if path == permit::PATH {
            self.jobs.metrics.record_peer_call("permit");
            return self.permits.answer(&request);
        }
        if path == origin::PATH {
            self.jobs.metrics.record_peer_call("stream");
            return self.origins.answer(&request);
        }
        if path == member::PATH {
            self.jobs.metrics.record_peer_call("vm");
            return self.members.answer(&request);
        }
        if path == gateway::CHECK_PATH {
            self.jobs.metrics.record_peer_call("gateway-check");
            return self.gateway.check(&request).await;
        }
        if path.starts_with(gateway::PATH) {
            self.jobs.metrics.record_peer_call("gateway");
            return self.gateway.answer(request).await;
        }
        if path.starts_with(proxy::PATH) {
            self.jobs.metrics.record_peer_call("job");
            return proxy::answer(&self.jobs, request).await;
        }
        if path.starts_with(store::ROOT) {
            self.jobs.metrics.record_peer_call("store");
            return self.relay(path, &request).await;
        }
        Reply::new(StatusCode::NOT_FOUND, "")
    }

    async fn relay(&self, path: &str, request: &Request) -> Reply {
        if self.jobs.store.is_unreachable() {
            return Reply::new(StatusCode::SERVICE_UNAVAILABLE, "")
                .header(store::UNREACHABLE_HEADER, "1");
        }
        let (method, body) = (request.method.clone(), request.body.clone());
        match self.jobs.store.relay(method, path, body).await {
            Ok(response) => Reply::new(response.status, response.body)
                .header("content-type", "application/json"),
            Err(Error::Rejected(status)) => Reply::new(status, ""),
            // It is not known whether the store carried the call out, so the
            // connection is closed without an answer.
            Err(_) => Reply::cut(),
        }
    }
}
