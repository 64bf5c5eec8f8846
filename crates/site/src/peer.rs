//! Serves calls from other VMs: reads from the mirror, submissions of usage
//! counts, calls about jobs, requests for permits, questions about streams, and
//! calls that this VM relays to the store.

use link::{
    StatusCode,
    http::{Request, server::Reply},
};
use platform::store::{self, Error};

use crate::{
    duty::collect::{self, Collector},
    job::{Jobs, proxy},
    mirror::Mirror,
    origin::{self, Origins},
    permit::{self, Permits},
};

/// Serves calls from other VMs.
#[derive(Clone)]
pub struct Server {
    jobs: Jobs,
    mirror: Mirror,
    collector: Collector,
    permits: Permits,
    origins: Origins,
}

impl Server {
    /// Returns a server for these components.
    pub fn new(
        jobs: Jobs,
        mirror: Mirror,
        collector: Collector,
        permits: Permits,
        origins: Origins,
    ) -> Self {
        Self {
            jobs,
            mirror,
            collector,
            permits,
            origins,
        }
    }

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
