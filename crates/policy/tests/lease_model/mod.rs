//! A simulation of the platform, its network and the processes that compete for
//! one lease.

use std::time::Duration;

use board::{
    Time,
    lease::{Lease, ORDER_DELIVERY_MAX, Record, Terms},
};
use proptest::test_runner::TestCaseError;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tarragonseam_policy::lease::{self, Outcome, Step};

const TICK_MS: u64 = 50;
const TIMEOUT_MS: u64 = 3_000;
const ORDER_PERIOD_MS: u64 = 200;
/// The longest way of a call that is not slow.
const CALL_MAX_MS: u64 = 150;

/// A fault of a process. A number is its duration in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Pause(u64),
    Restart,
    SlowCalls(u64),
    LostReplies(u64),
    /// Writes take effect late, while reads stay fast.
    LateWrites(u64),
    Outage(u64),
    /// The process releases the lease, and competes for it again.
    Release,
}

/// A fault injected into one process at a given time.
#[derive(Clone, Debug)]
pub(crate) struct Event {
    pub(crate) at_ms: u64,
    pub(crate) process: usize,
    pub(crate) fault: Fault,
}

/// A call to the platform: a write, or a read if `write` is `None`.
struct Call {
    write: Option<(u64, Record)>,
    sent: Time,
    arrives_ms: u64,
    answers_ms: u64,
    expires_ms: u64,
    is_lost: bool,
    answer: Option<Answer>,
}

enum Answer {
    Found(Option<(u64, Record)>),
    Written(u64),
    Conflict,
}

struct Process {
    name: &'static str,
    /// The speed of the process's clock relative to the global clock.
    clock_rate: f64,
    lease: Lease,
    paused_until: u64,
    slow_until: u64,
    lossy_until: u64,
    late_writes_until: u64,
    outage_until: u64,
    started_ms: u64,
    next_order_ms: u64,
    call: Option<Call>,
}

/// An order as recorded by its receiver, which does not check epochs.
#[derive(Clone, Debug)]
struct Order {
    arrived_ms: u64,
    epoch: u64,
    nonce: u64,
    vm: &'static str,
}

/// The state of the simulation, which runs in one thread with one global clock.
pub(crate) struct Simulation {
    terms: Terms,
    rng: SmallRng,
    version: u64,
    record: Option<Record>,
    processes: Vec<Process>,
    /// Calls that may still take effect although their process has restarted or
    /// timed out.
    in_transit: Vec<Call>,
    orders: Vec<Order>,
    next_nonce: u64,
    /// Whether a process takes the lease of the one before it on its VM.
    expires_predecessors: bool,
    /// The longest way of an order.
    delivery_max: Duration,
}

impl Simulation {
    /// Returns a simulation of five processes, two of them on VMs of the same
    /// name.
    pub(crate) fn new(terms: Terms, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names = ["vm-1", "vm-2", "vm-3", "vm-1", "vm-4"];
        let processes = names.iter().zip(1..).map(|(name, nonce)| Process {
            name,
            clock_rate: rng.random_range(0.95..1.05),
            lease: Lease::new(nonce),
            paused_until: 0,
            slow_until: 0,
            lossy_until: 0,
            late_writes_until: 0,
            outage_until: 0,
            started_ms: 0,
            next_order_ms: 0,
            call: None,
        });
        Self {
            terms,
            processes: processes.collect(),
            rng,
            version: 0,
            record: None,
            in_transit: Vec::new(),
            orders: Vec::new(),
            next_nonce: 100,
            expires_predecessors: false,
            delivery_max: ORDER_DELIVERY_MAX,
        }
    }

    /// Returns a simulation of at most five VMs, each of which runs one process at
    /// a time. A process takes the lease of the one before it on its VM.
    pub(crate) fn with_successors(terms: Terms, seed: u64, vms: usize) -> Self {
        let mut simulation = Self::new(terms, seed);
        simulation.processes[3].name = "vm-5";
        simulation.processes.truncate(vms);
        simulation.expires_predecessors = true;
        // The terms may be shorter than those that allow for slow orders.
        simulation.delivery_max = terms.margin;
        simulation
    }

    /// Removes all processes but the one at `index`.
    pub(crate) fn keep_only(&mut self, index: usize) {
        let process = self.processes.swap_remove(index);
        self.processes = vec![process];
    }

    /// Runs the simulation for `length` and injects `events`.
    pub(crate) fn run(&mut self, events: &[Event], length: Duration) {
        let end = length.as_millis() as u64;
        for now in (0..end).step_by(TICK_MS as usize) {
            let due = events.iter().filter(|e| e.at_ms / TICK_MS == now / TICK_MS);
            due.for_each(|event| self.inject(event, now));
            self.apply_calls(now);
            for index in 0..self.processes.len() {
                self.step_process(index, now);
            }
        }
    }

    /// Checks that the receiver saw orders with increasing epochs, and those of
    /// one epoch from one process only.
    pub(crate) fn check(&self) -> Result<(), TestCaseError> {
        let mut orders = self.orders.clone();
        orders.sort_by_key(|order| order.arrived_ms);
        for pair in orders.windows(2) {
            let [first, second] = pair else { continue };
            if second.epoch < first.epoch {
                return Err(TestCaseError::fail(format!("{first:?} then {second:?}")));
            }
            if second.epoch == first.epoch && second.nonce != first.nonce {
                return Err(TestCaseError::fail(format!("{first:?} and {second:?}")));
            }
        }
        if orders.is_empty() && self.processes.len() > 1 && self.record.is_none() {
            return Err(TestCaseError::fail("no process ever acquired the lease"));
        }
        Ok(())
    }

    /// Checks that no VM sent an order after one of another VM, within `span` of
    /// an order that it had sent before that.
    pub(crate) fn check_alternation(&self, span: Duration) -> Result<(), TestCaseError> {
        let mut orders = self.orders.clone();
        orders.sort_by_key(|order| order.arrived_ms);
        let span = span.as_millis() as u64;
        for (index, first) in orders.iter().enumerate() {
            let later = orders[index..].iter();
            let later = later.take_while(|order| order.arrived_ms < first.arrived_ms + span);
            let mut other = None;
            for order in later {
                match other {
                    None if order.vm != first.vm => other = Some(order),
                    Some(other) if order.vm == first.vm => {
                        let orders = format!("{first:?}, {other:?}, {order:?}");
                        return Err(TestCaseError::fail(orders));
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// Returns the epoch of the last order.
    pub(crate) fn last_epoch(&self) -> u64 {
        self.orders.last().map_or(0, |order| order.epoch)
    }

    fn inject(&mut self, event: &Event, now: u64) {
        let count = self.processes.len();
        let process = &mut self.processes[event.process % count];
        match event.fault {
            Fault::Release => {
                let local_now = process.clock(now);
                let name = process.name;
                let step = lease::release(&mut process.lease, local_now, self.terms, name);
                if let Some(Step::Write { version, record }) = step {
                    let arrives_ms = now + self.rng.random_range(0..CALL_MAX_MS);
                    self.in_transit.push(Call {
                        write: Some((version, record)),
                        sent: local_now,
                        arrives_ms,
                        answers_ms: arrives_ms,
                        expires_ms: arrives_ms,
                        is_lost: true,
                        answer: None,
                    });
                }
            }
            Fault::Pause(span) => process.paused_until = now + span,
            Fault::SlowCalls(span) => process.slow_until = now + span,
            Fault::LostReplies(span) => process.lossy_until = now + span,
            Fault::LateWrites(span) => process.late_writes_until = now + span,
            Fault::Outage(span) => process.outage_until = now + span,
            Fault::Restart => {
                self.next_nonce += 1;
                process.lease = Lease::new(self.next_nonce);
                process.started_ms = now;
                process.paused_until = 0;
                // A call of the old process may still take effect.
                self.in_transit.extend(process.call.take());
            }
        }
    }

    /// Applies the calls that reach the platform by `now`.
    fn apply_calls(&mut self, now: u64) {
        let own = self.processes.iter_mut().filter_map(|p| p.call.as_mut());
        for call in own.chain(self.in_transit.iter_mut()) {
            if call.answer.is_some() || now < call.arrives_ms {
                continue;
            }
            call.answer = Some(match &call.write {
                None => Answer::Found(self.record.clone().map(|record| (self.version, record))),
                Some((version, record)) if *version == self.version => {
                    self.version += 1;
                    self.record = Some(record.clone());
                    Answer::Written(self.version)
                }
                Some(_) => Answer::Conflict,
            });
        }
        self.in_transit.retain(|call| call.answer.is_none());
    }

    fn step_process(&mut self, index: usize, now: u64) {
        if now < self.processes[index].paused_until {
            return;
        }
        self.finish_call(index, now);
        self.send_order(index, now);
        self.start_call(index, now);
    }

    fn finish_call(&mut self, index: usize, now: u64) {
        let terms = self.terms;
        let process = &mut self.processes[index];
        let local_now = process.clock(now);
        let Some(call) = process.call.take() else {
            return;
        };
        let is_answered = call.answer.is_some() && now >= call.answers_ms && !call.is_lost;
        if !is_answered && now < call.expires_ms {
            process.call = Some(call);
            return;
        }
        let answer = if is_answered { &call.answer } else { &None };
        match (&call.write, answer) {
            (None, Some(Answer::Found(found))) => {
                lease::record_read(&mut process.lease, local_now, found.clone(), terms);
                if self.expires_predecessors {
                    let name = process.name;
                    lease::expire_predecessor(&mut process.lease, local_now, terms, name);
                }
            }
            (Some((_, record)), answer) => {
                let outcome = match answer {
                    Some(Answer::Written(version)) => Outcome::Written(*version),
                    _ => Outcome::Unknown,
                };
                lease::record_write(
                    &mut process.lease,
                    call.sent,
                    record.clone(),
                    outcome,
                    terms,
                );
            }
            (None, _) => {}
        }
        if call.answer.is_none() {
            self.in_transit.push(call);
        }
    }

    /// Sends an order if the process holds the lease at this moment.
    fn send_order(&mut self, index: usize, now: u64) {
        let process = &mut self.processes[index];
        if now < process.next_order_ms {
            return;
        }
        let Some(epoch) = lease::epoch(&process.lease, process.clock(now)) else {
            return;
        };
        process.next_order_ms = now + ORDER_PERIOD_MS;
        let delay_ms = self
            .rng
            .random_range(0..=self.delivery_max.as_millis() as u64);
        self.orders.push(Order {
            arrived_ms: now + delay_ms,
            epoch,
            nonce: process.lease.nonce,
            vm: process.name,
        });
    }

    fn start_call(&mut self, index: usize, now: u64) {
        let process = &mut self.processes[index];
        if process.call.is_some() {
            return;
        }
        let local_now = process.clock(now);
        let write = match lease::step(&mut process.lease, local_now, self.terms, process.name) {
            Step::Wait => return,
            Step::Read => None,
            Step::Write { version, record } => Some((version, record)),
        };
        if now < process.outage_until {
            if let Some((_, record)) = write {
                lease::record_write(
                    &mut process.lease,
                    local_now,
                    record,
                    Outcome::Unknown,
                    self.terms,
                );
            }
            return;
        }
        let is_late_write = write.is_some() && now < process.late_writes_until;
        let delay_max_ms = if now < process.slow_until || is_late_write {
            12_000
        } else {
            CALL_MAX_MS
        };
        let timeout_ms = if is_late_write {
            CALL_MAX_MS
        } else {
            TIMEOUT_MS
        };
        let arrives_ms = now + self.rng.random_range(0..delay_max_ms);
        let is_lossy = now < process.lossy_until;
        process.call = Some(Call {
            write,
            sent: local_now,
            arrives_ms,
            answers_ms: arrives_ms + self.rng.random_range(0..delay_max_ms),
            expires_ms: now + timeout_ms,
            is_lost: is_lossy && self.rng.random_bool(0.7),
            answer: None,
        });
    }
}

impl Process {
    /// Returns the monotonic clock of the process, which restarts with the
    /// process and drifts at its own rate.
    fn clock(&self, now: u64) -> Time {
        let elapsed_ms = (now - self.started_ms) as f64 * self.clock_rate;
        Time::from_millis(1_000_000 + elapsed_ms as u64)
    }
}
