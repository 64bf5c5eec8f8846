//! One VM: its board, and the baselines that decide without it.

use std::sync::Arc;

use board::{
    Board, Time,
    config::Account,
    endpoint::{self, Record, State},
    hash::Map,
    ticket::{self, Ticket},
};
use policy::call::{self, Decision, Outcome, Rejection};

use crate::plan::{Plan, WEIGHTS, Way};

/// A VM and what it knows.
pub(crate) struct Vm {
    pub(crate) board: Board,
    /// Keys of the endpoints on the board, by their place in the plan.
    pub(crate) keys: Vec<endpoint::Key>,
    /// The request behind each ticket.
    pub(crate) jobs: Map<ticket::Key, usize>,
    pub(crate) asked: Time,
    places: Map<endpoint::Key, usize>,
    /// What the baselines have in flight on each endpoint.
    in_flight: Vec<u32>,
    next: usize,
}

/// What a VM does with a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Move {
    /// Sends it to the endpoint at this place.
    Send {
        job: usize,
        ticket: ticket::Key,
        endpoint: usize,
    },
    /// Refuses it.
    Refuse { job: usize },
}

/// Returns the name of an account.
pub(crate) fn account(place: usize) -> Arc<str> {
    format!("account-{place}").into()
}

impl Vm {
    pub(crate) fn new(name: &str, domain: &str, plan: &Plan, seed: u64) -> Self {
        let mut board = Board::new(name, domain, seed);
        for (place, weight) in WEIGHTS.into_iter().enumerate() {
            let declared = Account {
                weight,
                ..Account::default()
            };
            board
                .config
                .accounts
                .insert(account(place).to_string(), declared);
        }
        let keys: Vec<_> = records(plan).map(|r| board.endpoints.put(r)).collect();
        let places = keys.iter().copied().zip(0..).collect();
        Self {
            in_flight: vec![0; keys.len()],
            next: seed as usize,
            jobs: Map::default(),
            asked: Time::ZERO,
            board,
            keys,
            places,
        }
    }

    /// Takes a request in.
    pub(crate) fn arrive(
        &mut self,
        now: Time,
        job: usize,
        ticket: Ticket,
    ) -> Result<(), Rejection> {
        let key = call::admit(&mut self.board, now, ticket)?;
        self.jobs.insert(key, job);
        Ok(())
    }

    /// Returns what is to be done now.
    pub(crate) fn dispatch(&mut self, now: Time) -> Vec<Move> {
        let orders = call::dispatch(&mut self.board, now);
        orders
            .into_iter()
            .filter_map(|order| self.follow(order))
            .collect()
    }

    fn follow(&mut self, order: Decision) -> Option<Move> {
        match order {
            Decision::Send { ticket, endpoint } => Some(Move::Send {
                job: *self.jobs.get(&ticket)?,
                ticket,
                endpoint: *self.places.get(&endpoint)?,
            }),
            Decision::Reject { ticket, .. } => Some(Move::Refuse {
                job: self.jobs.remove(&ticket)?,
            }),
        }
    }

    /// Notes the end of an attempt.
    pub(crate) fn finish(&mut self, now: Time, ticket: ticket::Key, outcome: Outcome) {
        self.jobs.remove(&ticket);
        call::finish(&mut self.board, now, ticket, outcome);
    }

    /// Returns where a baseline sends a request of `service`.
    pub(crate) fn baseline(&mut self, way: Way, service: &str) -> Option<usize> {
        let ready: Vec<usize> = self
            .board
            .endpoints
            .of_service(service)
            .iter()
            .filter(|key| self.is_ready(**key))
            .filter_map(|key| self.places.get(key).copied())
            .collect();
        self.next += 1;
        let turn = ready.get(self.next.checked_rem(ready.len())?).copied()?;
        let place = match way {
            Way::LeastOutstanding => {
                // Ties go round, or the first endpoint gets them all.
                let start = self.next % ready.len();
                let turns = ready[start..].iter().chain(&ready[..start]);
                turns.copied().min_by_key(|place| self.in_flight[*place])?
            }
            _ => turn,
        };
        self.in_flight[place] += 1;
        Some(place)
    }

    /// Notes the end of a baseline's attempt.
    pub(crate) fn release(&mut self, place: usize) {
        self.in_flight[place] -= 1;
    }

    /// Notes that the platform lists an endpoint as gone.
    pub(crate) fn lose(&mut self, place: usize) {
        if let Some(endpoint) = self.board.endpoints.get_mut(self.keys[place]) {
            endpoint.record.state = State::Removed;
        }
    }

    fn is_ready(&self, key: endpoint::Key) -> bool {
        let endpoint = self.board.endpoints.get(key);
        endpoint.is_some_and(|e| e.record.state == State::Ready)
    }
}

fn records(plan: &Plan) -> impl Iterator<Item = Record> {
    plan.services.iter().flat_map(|service| {
        (0..service.count).map(|place| {
            let (domain, capacity_class) = service.endpoint(place);
            Record {
                id: format!("{}-{domain}{}", service.name, place),
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
