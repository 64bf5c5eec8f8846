//! Duties that one VM has at a time: weights, usage reports, retirements.

pub mod collect;
pub mod lease;
pub mod loading;
pub mod report;
pub mod retire;
pub mod weights;

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use link::http::Pool;
use platform::store::Store;

use self::{collect::Collector, lease::Steward};
use crate::{
    facts::Facts,
    follow::View,
    job::{Registry, content::Content},
    usage::Usage,
};

/// What duties are done with.
#[derive(Clone)]
pub struct Duties {
    /// Whether this VM has them.
    pub steward: Steward,
    /// The jobs that are open, which weights are wanted for.
    pub jobs: Registry,
    /// What jobs consist of.
    pub content: Content,
    /// What it knows.
    pub facts: Rc<RefCell<Facts>>,
    /// The platform's store.
    pub store: Store,
    /// How this VM stands with it.
    pub view: View,
    /// Connections to endpoints and the provider.
    pub pool: Pool,
    /// The part of the platform that takes reports and orders.
    pub provider: SocketAddr,
    /// The counts of this VM.
    pub usage: Usage,
    /// What has them kept.
    pub collector: Collector,
}
