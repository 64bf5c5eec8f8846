//! The duties, which one VM at a time performs under a lease: loading weights,
//! reporting usage, and retiring VMs with disks.

pub mod collect;
mod late;
pub mod lease;
pub mod loading;
pub mod report;
pub mod retire;
pub mod weights;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use link::http::Pool;
use platform::store::Store;

use self::{collect::Collector, lease::Manager};
use crate::{
    facts::Facts,
    follow::View,
    job::{Registry, content::Content},
    metrics::Metrics,
    path::Paths,
    permit::Permits,
    usage::Usage,
};

/// The state that the duties share. Clones share the same state.
#[derive(Clone)]
pub struct Duties {
    /// The duty lease.
    pub lease: Manager,
    /// The jobs that this VM knows, from which the demand for models follows.
    pub jobs: Registry,
    /// Reads and removes the items and samples of jobs.
    pub content: Content,
    /// The facts that this VM knows.
    pub facts: Rc<RefCell<Facts>>,
    /// The platform's store.
    pub store: Store,
    /// This VM's view of the store.
    pub view: View,
    /// The paths to endpoints.
    pub paths: Paths,
    /// Permits to send to cold endpoints.
    pub permits: Permits,
    /// Connections to the provider.
    pub pool: Pool,
    /// The address of the provider, which accepts usage reports.
    pub provider: SocketAddr,
    /// The usage counts of this VM.
    pub usage: Usage,
    /// Collects usage counts and writes them to the store.
    pub collector: Collector,
    /// The metrics of this VM.
    pub metrics: Metrics,
}
