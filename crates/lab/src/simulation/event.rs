//! The events of a simulation, and its requests and attempts.

use std::cmp::Reverse;

use board::{Time, limit::Credit, ticket};

/// One request of a client.
pub(super) struct Request {
    pub(super) service: usize,
    pub(super) account: usize,
    /// The VM that receives the request.
    pub(super) vm: usize,
    pub(super) sent_at: Time,
    pub(super) deadline: Time,
    /// Units of work at an endpoint.
    pub(super) units: f64,
    pub(super) prefix: u64,
    pub(super) attempts: u32,
    /// Endpoints at which an attempt failed.
    pub(super) avoid: Vec<board::endpoint::Key>,
    pub(super) is_finished: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client of an account sends a request.
    ClientRequest { service: usize, account: usize },
    /// A request arrives at a VM.
    VmArrival { request: usize },
    /// An attempt arrives at an endpoint.
    EndpointArrival(Attempt),
    /// Work completes at an endpoint. Ignored when the endpoint has another
    /// generation by then.
    Completion { endpoint: usize, generation: u64 },
    /// The result of an attempt arrives at its VM.
    AttemptResult { attempt: Attempt, is_answer: bool },
    /// A VM dispatches waiting requests.
    Tick { vm: usize },
    /// A VM reads the load reports of all endpoints.
    Poll { vm: usize },
    /// An endpoint updates its load report.
    Report { endpoint: usize },
    /// A VM requests credits from the owners of all endpoints.
    RenewCredits { vm: usize },
    /// A request for credits arrives at the owner of an endpoint.
    CreditRequest {
        vm: usize,
        endpoint: usize,
        wanted: u32,
    },
    /// A grant of credits arrives at the VM.
    CreditGrant {
        vm: usize,
        endpoint: usize,
        credit: Credit,
    },
    /// One failure domain loses its cheap endpoints.
    EndpointLoss,
    /// The VMs are notified of the lost endpoints.
    LossNotice,
}

/// One attempt to have an endpoint serve a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) vm: usize,
    pub(super) endpoint: usize,
    /// The ticket on the VM's board; `None` for the baselines.
    pub(super) ticket: Option<ticket::Key>,
}

/// The time, sequence number and slot of an event, in reverse order for a heap
/// that returns the earliest event first.
pub(super) type Scheduled = Reverse<(Time, u64, usize)>;
