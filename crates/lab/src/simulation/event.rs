//! What happens in a run, and the requests that it happens to.

use std::cmp::Reverse;

use board::{Time, limit::Credit, ticket};

/// One request of a client.
pub(super) struct Request {
    pub(super) service: usize,
    pub(super) account: usize,
    pub(super) vm: usize,
    pub(super) sent_at: Time,
    pub(super) deadline: Time,
    pub(super) units: f64,
    pub(super) prefix: u64,
    pub(super) attempts: u32,
    pub(super) avoid: Vec<board::endpoint::Key>,
    pub(super) is_finished: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client of an account sends its next request.
    ClientRequest {
        service: usize,
        account: usize,
    },
    /// A request comes in at a VM.
    VmArrival {
        request: usize,
    },
    /// An attempt comes in at an endpoint.
    EndpointArrival(Attempt),
    /// The next completion at an endpoint, unless it changed since.
    Completion {
        endpoint: usize,
        generation: u64,
    },
    /// An attempt's end comes in at its VM.
    AttemptResult {
        attempt: Attempt,
        is_answer: bool,
    },
    Tick {
        vm: usize,
    },
    Poll {
        vm: usize,
    },
    Report {
        endpoint: usize,
    },
    /// A VM asks every owner for slots.
    RenewCredits {
        vm: usize,
    },
    /// A question comes in at the owner of an endpoint.
    CreditRequest {
        vm: usize,
        endpoint: usize,
        wanted: u32,
    },
    CreditGrant {
        vm: usize,
        endpoint: usize,
        credit: Credit,
    },
    /// The cheap endpoints of a failure domain end.
    EndpointLoss,
    /// The VMs learn of that.
    LossNotice,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) vm: usize,
    pub(super) endpoint: usize,
    /// Absent for the baselines.
    pub(super) ticket: Option<ticket::Key>,
}

pub(super) type Scheduled = Reverse<(Time, u64, usize)>;
