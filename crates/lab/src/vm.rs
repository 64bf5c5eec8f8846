//! A simulated VM: its board, and the state of the baseline strategies.

use std::sync::Arc;

use board::{
    Board, Time,
    config::Account,
    endpoint::{self, Record, State},
    hash::Map,
    ticket::{self, Ticket},
};
use policy::call::{self, Decision, Outcome, Rejection};

use crate::plan::{ACCOUNT_WEIGHTS, Plan, Strategy};

/// A simulated VM.
pub(crate) struct Vm {
    pub(crate) board: Board,
    /// The board's keys of the endpoints, by their index in the plan.
    pub(crate) keys: Vec<endpoint::Key>,
    /// The index of the request that each ticket is for.
    pub(crate) requests: Map<ticket::Key, usize>,
    /// When the VM last requested credits.
    pub(crate) credits_requested_at: Time,
    /// The inverse of `keys`.
    endpoint_indices: Map<endpoint::Key, usize>,
    /// Requests in flight at each endpoint under a baseline strategy.
    baseline_in_flight: Vec<u32>,
    /// The position of the baseline strategies in their rotation of endpoints.
    round_robin: usize,
}

/// What a VM does with a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    /// Sends the request to the endpoint with this index.
    Send {
        request: usize,
        ticket: ticket::Key,
        endpoint: usize,
    },
    /// Rejects the request.
    Reject { request: usize },
}

/// Returns the name of an account.
pub(crate) fn account_name(index: usize) -> Arc<str> {
    format!("account-{index}").into()
}

impl Vm {
    pub(crate) fn new(name: &str, domain: &str, plan: &Plan, seed: u64) -> Self {
        let mut board = Board::new(name, domain, seed);
        for (index, weight) in ACCOUNT_WEIGHTS.into_iter().enumerate() {
            let account = Account {
                weight,
                ..Account::default()
            };
            board
                .config
                .accounts
                .insert(account_name(index).to_string(), account);
        }
        let keys: Vec<_> = endpoint_records(plan)
            .map(|r| board.endpoints.put(r))
            .collect();
        let endpoint_indices = keys.iter().copied().zip(0..).collect();
        Self {
            baseline_in_flight: vec![0; keys.len()],
            round_robin: seed as usize,
            requests: Map::default(),
            credits_requested_at: Time::ZERO,
            board,
            keys,
            endpoint_indices,
        }
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// When the admission policy rejects the request.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        request: usize,
        ticket: Ticket,
    ) -> Result<(), Rejection> {
        let key = call::admit(&mut self.board, now, ticket)?;
        self.requests.insert(key, request);
        Ok(())
    }

    /// Returns the actions that the dispatch policy decides on.
    pub(crate) fn dispatch(&mut self, now: Time) -> Vec<Action> {
        let decisions = call::dispatch(&mut self.board, now);
        decisions
            .into_iter()
            .filter_map(|decision| self.resolve(decision))
            .collect()
    }

    /// Replaces the keys of a decision by indices.
    fn resolve(&mut self, decision: Decision) -> Option<Action> {
        match decision {
            Decision::Send { ticket, endpoint } => Some(Action::Send {
                request: *self.requests.get(&ticket)?,
                ticket,
                endpoint: *self.endpoint_indices.get(&endpoint)?,
            }),
            Decision::Reject { ticket, .. } => Some(Action::Reject {
                request: self.requests.remove(&ticket)?,
            }),
        }
    }

    /// Records the outcome of an attempt.
    pub(crate) fn finish_attempt(&mut self, now: Time, ticket: ticket::Key, outcome: Outcome) {
        self.requests.remove(&ticket);
        call::finish(&mut self.board, now, ticket, outcome);
    }

    /// Returns the endpoint to which a baseline strategy sends a request of
    /// `service`, and counts the request as in flight there.
    pub(crate) fn choose_baseline_endpoint(
        &mut self,
        strategy: Strategy,
        service: &str,
    ) -> Option<usize> {
        let ready: Vec<usize> = self
            .board
            .endpoints
            .of_service(service)
            .iter()
            .filter(|key| self.is_ready(**key))
            .filter_map(|key| self.endpoint_indices.get(key).copied())
            .collect();
        self.round_robin += 1;
        let next = ready
            .get(self.round_robin.checked_rem(ready.len())?)
            .copied()?;
        let index = match strategy {
            Strategy::LeastOutstanding => {
                // Start at a different endpoint each time, because ties would
                // otherwise all go to the first one.
                let start = self.round_robin % ready.len();
                let candidates = ready[start..].iter().chain(&ready[..start]);
                candidates
                    .copied()
                    .min_by_key(|index| self.baseline_in_flight[*index])?
            }
            _ => next,
        };
        self.baseline_in_flight[index] += 1;
        Some(index)
    }

    /// Records the end of an attempt of a baseline strategy.
    pub(crate) fn finish_baseline(&mut self, index: usize) {
        self.baseline_in_flight[index] -= 1;
    }

    /// Records that the platform lists an endpoint as removed.
    pub(crate) fn mark_removed(&mut self, index: usize) {
        if let Some(endpoint) = self.board.endpoints.get_mut(self.keys[index]) {
            endpoint.record.state = State::Removed;
        }
    }

    fn is_ready(&self, key: endpoint::Key) -> bool {
        let endpoint = self.board.endpoints.get(key);
        endpoint.is_some_and(|e| e.record.state == State::Ready)
    }
}

fn endpoint_records(plan: &Plan) -> impl Iterator<Item = Record> {
    plan.services.iter().flat_map(|service| {
        (0..service.endpoint_count).map(|index| {
            let (domain, capacity_class) = service.placement(index);
            Record {
                id: format!("{}-{domain}{}", service.name, index),
                address: ([127, 0, 0, 1], 1).into(),
                failure_domain: domain.to_string(),
                service: service.name.to_string(),
                capacity_class,
                state: State::Ready,
                checks_epoch: false,
                price: 0.0,
            }
        })
    })
}
