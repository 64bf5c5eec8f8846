//! After an outage, what the endpoints can do now counts, not the outage.

mod common;

use std::time::Duration;

use board::{
    Board, Time,
    config::Class,
    endpoint::{self, CapacityClass, Load},
    ticket::{self, Ticket},
};
use common::{SERVICE, add, empty, sent, ticket as request};
use tarragonseam_policy::{
    call::{self, Order, Outcome, Reason, Refusal},
    limit,
};

const SLOTS: u32 = 2;
const PATIENCE: Duration = Duration::from_secs(2);
const SHORT_PATIENCE: Duration = Duration::from_millis(250);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(20);

/// A VM whose endpoints answer, fail at once or keep silent.
struct Vm {
    board: Board,
    now: Time,
    running: Vec<(ticket::Key, Time, Outcome)>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Errors,
    /// No answer until the attempt is given up after this time.
    Silence(Duration),
    /// No answer until the caller leaves after this time, which says nothing
    /// of the endpoint's health.
    Left(Duration),
}

impl Vm {
    fn new(endpoints: usize) -> Self {
        let mut board = empty();
        for number in 0..endpoints {
            add(
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
        ticket.deadline = self.now + PATIENCE;
        ticket
    }

    fn arrive(&mut self) -> Result<ticket::Key, Refusal> {
        let ticket = self.ticket();
        call::arrive(&mut self.board, self.now, ticket)
    }

    /// Lets requests arrive and end for `time`, `each_step` of them in a step.
    fn run(&mut self, time: Duration, each_step: usize, fault: Fault) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.end_due();
            for _ in 0..each_step {
                // Refusals are part of the history.
                let _ = self.arrive();
            }
            self.dispatch(fault);
        }
    }

    fn end_due(&mut self) {
        let now = self.now;
        let running = std::mem::take(&mut self.running);
        let (due, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.1 <= now);
        self.running = rest;
        for (key, _, outcome) in due {
            call::finish(&mut self.board, now, key, outcome);
        }
    }

    fn dispatch(&mut self, fault: Fault) {
        let (time, outcome) = match fault {
            Fault::None => (SERVICE_TIME, Outcome::Answered),
            Fault::Errors => (SERVICE_TIME, Outcome::Failed),
            Fault::Silence(time) => (time, Outcome::Failed),
            Fault::Left(time) => (time, Outcome::Abandoned),
        };
        for order in call::dispatch(&mut self.board, self.now) {
            if let Order::Send { ticket, .. } = order {
                self.running.push((ticket, self.now + time, outcome));
            }
        }
    }

    fn endpoints(&self) -> Vec<&endpoint::Endpoint> {
        let keys = self.board.endpoints.of_service(SERVICE).iter();
        keys.filter_map(|key| self.board.endpoints.get(*key))
            .collect()
    }

    fn first_back(&self) -> Time {
        let rests = self.endpoints().into_iter().map(|e| e.backoff_until);
        rests.min().unwrap()
    }

    /// Ends what runs, and waits until the first endpoint has rested.
    fn rest(&mut self) {
        while !self.running.is_empty() {
            self.now = self.now + STEP;
            self.end_due();
        }
        self.now = self.now.max(self.first_back());
    }
}

fn faults() -> [Fault; 3] {
    [
        Fault::Errors,
        Fault::Silence(Duration::from_millis(500)),
        Fault::Silence(PATIENCE),
    ]
}

#[test]
fn admit_idle_after_outage() {
    let left = Fault::Left(Duration::from_millis(1900));
    for fault in faults().into_iter().chain([left]) {
        for endpoints in [1, 3] {
            for seconds in 1..=12 {
                let mut vm = Vm::new(endpoints);
                vm.run(Duration::from_secs(3), 1, Fault::None);
                vm.run(Duration::from_secs(seconds), 1, fault);
                vm.rest();
                // Those that waited go first, and are not the matter here.
                while vm.board.queue.len() > 1 {
                    let key = vm.board.tickets.keys().next().unwrap();
                    call::finish(&mut vm.board, vm.now, key, Outcome::Abandoned);
                }
                let what = format!("{fault:?}, {endpoints} endpoints, {seconds} s");
                let mut ticket = vm.ticket();
                ticket.deadline = vm.now + SHORT_PATIENCE;
                let key = call::arrive(&mut vm.board, vm.now, ticket);
                let key = key.unwrap_or_else(|refusal| panic!("{what}: {refusal:?}"));
                let sent = sent(&mut vm.board, vm.now);
                assert!(sent.contains(&key), "{what}: not sent at once");
            }
        }
    }
}

#[test]
fn retry_after_recovered_pace() {
    // Twice what the endpoint serves, so that some are refused at any time.
    for fault in faults() {
        for seconds in 1..=12 {
            let mut vm = Vm::new(1);
            vm.run(Duration::from_secs(3), 1, Fault::None);
            vm.run(Duration::from_secs(seconds), 4, fault);
            vm.rest();
            vm.dispatch(Fault::None);
            let mut worst = Duration::ZERO;
            for _ in 0..100 {
                for _ in 0..4 {
                    if let Err(refusal) = vm.arrive() {
                        worst = worst.max(refusal.retry_after);
                    }
                }
                vm.run(STEP, 0, Fault::None);
            }
            // 128 may wait, and 100 are served in a second.
            let limit = Duration::from_millis(1500);
            assert!(worst <= limit, "{fault:?}, {seconds} s: {worst:?}");
        }
    }
}

#[test]
fn retry_after_rest() {
    for fault in faults() {
        for endpoints in [1, 3] {
            let mut vm = Vm::new(endpoints);
            vm.run(Duration::from_secs(3), 1, Fault::None);
            while vm.first_back() <= vm.now + PATIENCE {
                vm.run(STEP, 1, fault);
            }
            let rest = vm.first_back() - vm.now;
            let refusal = vm.arrive().expect_err("none comes back in time");
            assert_eq!(refusal.reason, Reason::Deadline);
            let late = refusal.retry_after.checked_sub(rest).expect("too early");
            assert!(late < Duration::from_millis(1500), "{fault:?}: {late:?}");
        }
    }
}

/// A fresh report after a silence ends the rest of an endpoint that was out of
/// reach. Reports that went on while it failed do not, nor does an old one that
/// another VM tells again.
#[test]
fn rest_ended_by_report() {
    // Seconds since the last report before the failures, age of the new one,
    // and whether the endpoint rests on.
    let cases = [(10, 0, false), (1, 0, true), (10, 10, true)];
    for (silence_s, age_s, is_resting) in cases {
        let mut board = empty();
        let key = add(&mut board, "e1", "a", CapacityClass::Stable, SLOTS);
        let now = Time::from_millis(60_000);
        let report = |board: &mut Board, at: Time, age_s: u64| {
            let load = Load {
                slots: SLOTS,
                age_ms: age_s * 1000,
                ..Load::default()
            };
            limit::report(board.endpoints.get_mut(key).unwrap(), at, load, 1);
        };
        report(&mut board, now - Duration::from_secs(silence_s), 0);
        for _ in 0..6 {
            board.endpoints.get_mut(key).unwrap().backoff_until = Time::ZERO;
            let (ticket, _) = call::start_now(&mut board, now, request("a", Class::Caller, now))
                .expect("a free place");
            call::finish(&mut board, now, ticket, Outcome::Failed);
        }
        let rest = board.endpoints.get(key).unwrap().backoff_until - now;
        assert_eq!(rest, Duration::from_secs(8));
        report(&mut board, now, age_s);
        let sent = call::start_now(&mut board, now, request("a", Class::Caller, now));
        assert_eq!(sent.is_none(), is_resting, "{silence_s} s, {age_s} s old");
    }
}
