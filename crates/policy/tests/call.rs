//! A state-machine test of [`call`]: under any sequence of events, no request
//! is lost, sent twice or counted twice.

mod common;

use std::{collections::BTreeMap, time::Duration};

use board::{
    Board, Time,
    config::Class,
    endpoint::{CapacityClass, State},
    ticket,
};
use common::{SERVICE, add_endpoint, empty_board, record, report_load, ticket as request};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tarragonseam_policy::call::{self, Decision, Outcome};

const ENDPOINTS: [&str; 3] = ["e1", "e2", "e3"];
const SLOTS: u32 = 2;

/// An event at a VM.
#[derive(Clone, Debug)]
enum Event {
    Arrive {
        account: u8,
        class: Class,
        time_budget_ms: u64,
        cost: u32,
    },
    Wait {
        millis: u64,
    },
    Finish {
        nth: usize,
        outcome: u8,
    },
    Cancel {
        nth: usize,
    },
    Remove {
        endpoint: usize,
    },
    SetState {
        endpoint: usize,
        state: State,
    },
}

/// The reference model has no state and only generates events. The test
/// compares the board with the status of each request.
struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        let class = prop::sample::select(Class::ALL.to_vec());
        let states = prop::sample::select(vec![State::Ready, State::Draining, State::Removed]);
        let endpoint = 0..ENDPOINTS.len();
        prop_oneof![
            8 => (0_u8..4, class, 1_u64..400, 1_u32..5).prop_map(
                |(account, class, time_budget_ms, cost)| Event::Arrive { account, class, time_budget_ms, cost }
            ),
            4 => (1_u64..100).prop_map(|millis| Event::Wait { millis }),
            6 => (0_usize..64, 0_u8..3).prop_map(|(nth, outcome)| Event::Finish { nth, outcome }),
            2 => (0_usize..64).prop_map(|nth| Event::Cancel { nth }),
            1 => endpoint.clone().prop_map(|endpoint| Event::Remove { endpoint }),
            2 => (endpoint, states).prop_map(|(endpoint, state)| Event::SetState { endpoint, state }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

/// The status of a request according to the decisions returned so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Waiting,
    Sent,
    Done,
}

struct Vm {
    board: Board,
    now: Time,
    statuses: BTreeMap<ticket::Key, Status>,
}

impl Vm {
    fn nth_with(&self, status: Status, nth: usize) -> Option<ticket::Key> {
        let all: Vec<_> = self
            .statuses
            .iter()
            .filter(|(_, s)| **s == status)
            .collect();
        let (key, _) = all.get(nth.checked_rem(all.len())?)?;
        Some(**key)
    }

    fn set_state(&mut self, endpoint: usize, state: State) {
        let record = record(ENDPOINTS[endpoint], "a", CapacityClass::Stable, state);
        let key = self.board.endpoints.put(record);
        report_load(&mut self.board, key, self.now, SLOTS, 0);
    }

    fn finish(&mut self, key: ticket::Key, outcome: Outcome) {
        call::finish(&mut self.board, self.now, key, outcome);
        // Finishing a request a second time must change nothing.
        call::finish(&mut self.board, self.now, key, outcome);
        self.statuses.insert(key, Status::Done);
    }

    fn dispatch(&mut self) {
        for decision in call::dispatch(&mut self.board, self.now) {
            match decision {
                Decision::Send { ticket, endpoint } => {
                    let before = self.statuses.insert(ticket, Status::Sent);
                    assert_eq!(
                        before,
                        Some(Status::Waiting),
                        "sent twice or after it was finished"
                    );
                    let endpoint = self.board.endpoints.get(endpoint).expect("known");
                    assert_eq!(endpoint.record.state, State::Ready);
                    assert!(
                        self.board.tickets[ticket].deadline > self.now,
                        "sent after its deadline"
                    );
                }
                Decision::Reject { ticket, .. } => {
                    let before = self.statuses.insert(ticket, Status::Done);
                    assert_eq!(before, Some(Status::Waiting), "rejected after it was sent");
                }
            }
        }
    }
}

impl StateMachineTest for Vm {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test((): &()) -> Self {
        let mut board = empty_board();
        for id in ENDPOINTS {
            add_endpoint(&mut board, id, "a", CapacityClass::Stable, SLOTS);
        }
        Self {
            board,
            now: Time::ZERO,
            statuses: BTreeMap::new(),
        }
    }

    fn apply(mut vm: Self, (): &(), event: Event) -> Self {
        match event {
            Event::Arrive {
                account,
                class,
                time_budget_ms,
                cost,
            } => {
                let mut ticket = request(&format!("a{account}"), class, vm.now).cost(cost);
                ticket.deadline = vm.now + Duration::from_millis(time_budget_ms);
                if let Ok(key) = call::admit(&mut vm.board, vm.now, ticket) {
                    assert_eq!(vm.statuses.insert(key, Status::Waiting), None);
                }
            }
            Event::Wait { millis } => vm.now = vm.now + Duration::from_millis(millis),
            Event::Finish { nth, outcome } => {
                let outcomes = [Outcome::Answered, Outcome::Failed, Outcome::Abandoned];
                if let Some(key) = vm.nth_with(Status::Sent, nth) {
                    vm.finish(key, outcomes[usize::from(outcome)]);
                }
            }
            Event::Cancel { nth } => {
                if let Some(key) = vm.nth_with(Status::Waiting, nth) {
                    vm.finish(key, Outcome::Abandoned);
                }
            }
            Event::Remove { endpoint } => {
                if let Some(key) = vm.board.endpoints.find(ENDPOINTS[endpoint]) {
                    vm.board.endpoints.remove(key);
                }
            }
            Event::SetState { endpoint, state } => vm.set_state(endpoint, state),
        }
        vm.dispatch();
        vm
    }

    fn check_invariants(vm: &Self, (): &()) {
        let count = |status| vm.statuses.values().filter(|s| **s == status).count();
        let waiting = count(Status::Waiting);
        assert_eq!(
            vm.board.queue.len(),
            waiting,
            "queued requests lost or duplicated"
        );
        assert_eq!(vm.board.tickets.len(), waiting + count(Status::Sent));
        let queued: usize = vm
            .board
            .queue
            .iter()
            .flat_map(|(_, _, lane)| lane.waiting().map(|(_, flow)| flow.len()))
            .sum();
        assert_eq!(queued, waiting, "a queued request is in no flow");
        for key in vm.board.endpoints.of_service(SERVICE) {
            let own = vm
                .board
                .tickets
                .values()
                .filter(|t| t.endpoint == Some(*key));
            let endpoint = vm.board.endpoints.get(*key).expect("listed");
            assert_eq!(endpoint.in_flight as usize, own.count());
            assert!(endpoint.in_flight <= SLOTS, "more requests than slots");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn call_any_history(sequential 1..120 => Vm);
}
