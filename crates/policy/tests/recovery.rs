//! After an outage, admission reflects the current capacity of the endpoints,
//! not the failures of the outage.

mod common;

use std::time::Duration;

use board::{
    Board, Time,
    config::Class,
    endpoint::{self, CapacityClass, Load},
    ticket::{self, Ticket},
};
use common::{SERVICE, add_endpoint, dispatch_sent, empty_board, ticket as request};
use tarragonseam_policy::{
    call::{self, Decision, Outcome, Reason, Rejection},
    limit,
};

const SLOTS: u32 = 2;
const TIME_BUDGET: Duration = Duration::from_secs(2);
const SHORT_TIME_BUDGET: Duration = Duration::from_millis(250);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const STEP_TIME: Duration = Duration::from_millis(20);

/// A VM with simulated endpoints that answer, fail at once or hang.
struct Vm {
    board: Board,
    now: Time,
    running: Vec<(ticket::Key, Time, Outcome)>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Errors,
    /// No answer until the attempt times out after this time.
    Hang(Duration),
    /// No answer until the caller disconnects after this time, which does not
    /// count as a failure of the endpoint.
    CallerDisconnected(Duration),
}

impl Vm {
    fn new(endpoints: usize) -> Self {
        let mut board = empty_board();
        for number in 0..endpoints {
            add_endpoint(
                &mut board,
                &format!("e{number}"),
                "a",
                CapacityClass::Stable,
                SLOTS,
            );
        }
        Self {
            board,
            now: Time::ZERO,
            running: Vec::new(),
        }
    }

    fn ticket(&self) -> Ticket {
        let mut ticket = request("a", Class::Caller, self.now);
        ticket.deadline = self.now + TIME_BUDGET;
        ticket
    }

    fn arrive(&mut self) -> Result<ticket::Key, Rejection> {
        let ticket = self.ticket();
        call::admit(&mut self.board, self.now, ticket)
    }

    /// Simulates `time`, in which `arrivals_per_step` requests arrive in each
    /// step.
    fn run(&mut self, time: Duration, arrivals_per_step: usize, fault: Fault) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP_TIME;
            self.finish_due();
            for _ in 0..arrivals_per_step {
                // Some requests are expected to be rejected.
                let _ = self.arrive();
            }
            self.dispatch(fault);
        }
    }

    fn finish_due(&mut self) {
        let now = self.now;
        let running = std::mem::take(&mut self.running);
        let (due, remaining): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.1 <= now);
        self.running = remaining;
        for (key, _, outcome) in due {
            call::finish(&mut self.board, now, key, outcome);
        }
    }

    fn dispatch(&mut self, fault: Fault) {
        let (time, outcome) = match fault {
            Fault::None => (SERVICE_TIME, Outcome::Answered),
            Fault::Errors => (SERVICE_TIME, Outcome::Failed),
            Fault::Hang(time) => (time, Outcome::Failed),
            Fault::CallerDisconnected(time) => (time, Outcome::Abandoned),
        };
        for decision in call::dispatch(&mut self.board, self.now) {
            if let Decision::Send { ticket, .. } = decision {
                self.running.push((ticket, self.now + time, outcome));
            }
        }
    }

    fn endpoints(&self) -> Vec<&endpoint::Endpoint> {
        let keys = self.board.endpoints.of_service(SERVICE).iter();
        keys.filter_map(|key| self.board.endpoints.get(*key))
            .collect()
    }

    fn earliest_available(&self) -> Time {
        let backoffs = self.endpoints().into_iter().map(|e| e.backoff_until);
        backoffs.min().unwrap()
    }

    /// Finishes the running requests, then waits until the first endpoint ends
    /// its backoff.
    fn wait_for_backoff(&mut self) {
        while !self.running.is_empty() {
            self.now = self.now + STEP_TIME;
            self.finish_due();
        }
        self.now = self.now.max(self.earliest_available());
    }
}

fn faults() -> [Fault; 3] {
    [
        Fault::Errors,
        Fault::Hang(Duration::from_millis(500)),
        Fault::Hang(TIME_BUDGET),
    ]
}

#[test]
fn admit_idle_after_outage() {
    let caller_disconnected = Fault::CallerDisconnected(Duration::from_millis(1900));
    for fault in faults().into_iter().chain([caller_disconnected]) {
        for endpoints in [1, 3] {
            for seconds in 1..=12 {
                let mut vm = Vm::new(endpoints);
                vm.run(Duration::from_secs(3), 1, Fault::None);
                vm.run(Duration::from_secs(seconds), 1, fault);
                vm.wait_for_backoff();
                // Requests queued during the outage would be sent first and are
                // not under test.
                while vm.board.queue.len() > 1 {
                    let key = vm.board.tickets.keys().next().unwrap();
                    call::finish(&mut vm.board, vm.now, key, Outcome::Abandoned);
                }
                let case = format!("{fault:?}, {endpoints} endpoints, {seconds} s");
                let mut ticket = vm.ticket();
                ticket.deadline = vm.now + SHORT_TIME_BUDGET;
                let key = call::admit(&mut vm.board, vm.now, ticket);
                let key = key.unwrap_or_else(|rejection| panic!("{case}: {rejection:?}"));
                let sent = dispatch_sent(&mut vm.board, vm.now);
                assert!(sent.contains(&key), "{case}: not sent immediately");
            }
        }
    }
}

#[test]
fn retry_after_recovered_throughput() {
    // Twice the rate that the endpoint serves, so some requests are rejected at
    // any time.
    for fault in faults() {
        for seconds in 1..=12 {
            let mut vm = Vm::new(1);
            vm.run(Duration::from_secs(3), 1, Fault::None);
            vm.run(Duration::from_secs(seconds), 4, fault);
            vm.wait_for_backoff();
            vm.dispatch(Fault::None);
            let mut longest = Duration::ZERO;
            for _ in 0..100 {
                for _ in 0..4 {
                    if let Err(rejection) = vm.arrive() {
                        longest = longest.max(rejection.retry_after);
                    }
                }
                vm.run(STEP_TIME, 0, Fault::None);
            }
            // Up to 128 requests are queued, and 100 are served a second.
            let limit = Duration::from_millis(1500);
            assert!(
                longest <= limit,
                "{fault:?}, {seconds} s: retry after {longest:?}"
            );
        }
    }
}

#[test]
fn retry_after_during_backoff() {
    for fault in faults() {
        for endpoints in [1, 3] {
            let mut vm = Vm::new(endpoints);
            vm.run(Duration::from_secs(3), 1, Fault::None);
            while vm.earliest_available() <= vm.now + TIME_BUDGET {
                vm.run(STEP_TIME, 1, fault);
            }
            let backoff = vm.earliest_available() - vm.now;
            let rejection = vm
                .arrive()
                .expect_err("no endpoint ends its backoff in time");
            assert_eq!(rejection.reason, Reason::Deadline);
            let excess = rejection
                .retry_after
                .checked_sub(backoff)
                .expect("the retry delay ends before the backoff");
            assert!(
                excess < Duration::from_millis(1500),
                "{fault:?}: {excess:?} after the backoff"
            );
        }
    }
}

/// A new report after a gap ends the backoff of an endpoint that was
/// unreachable. A report from an endpoint that kept reporting while it failed
/// does not, nor does an old report that another VM repeats.
#[test]
fn backoff_ended_by_report() {
    // The seconds between the last report and the failures, the age of the new
    // report in seconds, and whether the endpoint remains in backoff.
    let cases = [(10, 0, false), (1, 0, true), (10, 10, true)];
    for (gap_s, age_s, is_backing_off) in cases {
        let mut board = empty_board();
        let key = add_endpoint(&mut board, "e1", "a", CapacityClass::Stable, SLOTS);
        let now = Time::from_millis(60_000);
        let report = |board: &mut Board, at: Time, age_s: u64| {
            let load = Load {
                slots: SLOTS,
                age_ms: age_s * 1000,
                ..Load::default()
            };
            limit::record_report(board.endpoints.get_mut(key).unwrap(), at, load, 1);
        };
        report(&mut board, now - Duration::from_secs(gap_s), 0);
        for _ in 0..6 {
            board.endpoints.get_mut(key).unwrap().backoff_until = Time::ZERO;
            let (ticket, _) = call::try_start(&mut board, now, request("a", Class::Caller, now))
                .expect("a free slot");
            call::finish(&mut board, now, ticket, Outcome::Failed);
        }
        let backoff = board.endpoints.get(key).unwrap().backoff_until - now;
        assert_eq!(backoff, Duration::from_secs(8));
        report(&mut board, now, age_s);
        let started = call::try_start(&mut board, now, request("a", Class::Caller, now));
        assert_eq!(
            started.is_none(),
            is_backing_off,
            "gap of {gap_s} s, report {age_s} s old"
        );
    }
}
