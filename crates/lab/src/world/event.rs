//! What happens in a run, and the requests that it happens to.

use std::cmp::Reverse;

use board::{Time, limit::Credit, ticket};

/// One request of a client.
pub(super) struct Job {
    pub(super) service: usize,
    pub(super) account: usize,
    pub(super) vm: usize,
    pub(super) sent: Time,
    pub(super) deadline: Time,
    pub(super) units: f64,
    pub(super) prefix: u64,
    pub(super) attempts: u32,
    pub(super) avoid: Vec<board::endpoint::Key>,
    pub(super) is_over: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client of an account sends its next request.
    Offer {
        service: usize,
        account: usize,
    },
    /// A request comes in at a VM.
    Arrive {
        job: usize,
    },
    /// An attempt comes in at an endpoint.
    Reach(Attempt),
    /// The next completion at an endpoint, unless it changed since.
    Complete {
        endpoint: usize,
        change: u64,
    },
    /// An attempt's end comes in at its VM.
    Back {
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
    Ask {
        vm: usize,
    },
    /// A question comes in at the owner of an endpoint.
    Asked {
        vm: usize,
        endpoint: usize,
        wanted: u32,
    },
    Granted {
        vm: usize,
        endpoint: usize,
        credit: Credit,
    },
    /// The cheap endpoints of a failure domain end.
    Lose,
    /// The VMs learn of that.
    Notice,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) job: usize,
    pub(super) vm: usize,
    pub(super) endpoint: usize,
    /// Absent for the baselines.
    pub(super) ticket: Option<ticket::Key>,
}

pub(super) type Due = Reverse<(Time, u64, usize)>;
