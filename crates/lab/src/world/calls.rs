//! The way of a request through its VM.

use std::time::Duration;

use board::{Time, ticket::Ticket};
use policy::{call::Outcome, owner, retry};

use super::{
    ASK_GAP, ATTEMPTS, BASELINE_ATTEMPTS, FAR_DELAY, NEAR_DELAY, TICK_TIME, WARM_UP, World,
    event::{Attempt, Event},
};
use crate::{
    account::End,
    plan::Way,
    vm::{self, Move},
};

impl World<'_> {
    pub(super) fn arrive(&mut self, job: usize) {
        match self.setup.way {
            Way::RoundRobin | Way::LeastOutstanding => self.arrive_baseline(job),
            Way::Independent | Way::Credits => self.enqueue(job, self.jobs[job].vm),
            Way::Owner => self.enqueue(job, self.owner(job)),
        }
    }

    pub(super) fn arrive_baseline(&mut self, job: usize) {
        let vm = self.jobs[job].vm;
        let service = self.setup.plan.services[self.jobs[job].service].name;
        match self.vms[vm].baseline(self.setup.way, service) {
            Some(endpoint) => self.send(
                Attempt {
                    job,
                    vm,
                    endpoint,
                    ticket: None,
                },
                Duration::ZERO,
            ),
            None => self.over(job, End::Failed),
        }
    }

    /// Returns the VM that decides on all requests of a service that come in
    /// in its failure domain.
    pub(super) fn owner(&self, job: usize) -> usize {
        let domain = self.domains[self.jobs[job].vm];
        let service = self.setup.plan.services[self.jobs[job].service].name;
        let names = self.vms.iter().zip(&self.domains);
        let members = names
            .filter(|(_, d)| **d == domain)
            .map(|(vm, _)| vm.board.vm.as_str());
        let owner = owner::select(members, service);
        let place = |name| self.vms.iter().position(|vm| vm.board.vm == name);
        owner.and_then(place).unwrap_or(self.jobs[job].vm)
    }

    pub(super) fn enqueue(&mut self, number: usize, vm: usize) {
        let job = &mut self.jobs[number];
        job.attempts += 1;
        let model = &self.setup.plan.services[job.service];
        let cost = match model.is_shared {
            true => job.units.ceil() as u32,
            false => 1,
        };
        // The answer still has its way to the client.
        let deadline = job.deadline - self.setup.plan.client_delay;
        let ticket = Ticket::new(vm::account(job.account), model.name, self.now, deadline)
            .cost(cost)
            .prefix(job.prefix)
            .avoid(job.avoid.clone());
        if self.vms[vm].arrive(self.now, number, ticket).is_err() {
            self.over(number, End::Refused);
        }
        self.pump(vm);
    }

    pub(super) fn pump(&mut self, vm: usize) {
        for step in self.vms[vm].dispatch(self.now) {
            match step {
                Move::Send {
                    job,
                    ticket,
                    endpoint,
                } => {
                    let attempt = Attempt {
                        job,
                        vm,
                        endpoint,
                        ticket: Some(ticket),
                    };
                    // Through the owner, a request goes one hop further.
                    let is_own = self.jobs[job].vm == vm;
                    self.send(attempt, if is_own { Duration::ZERO } else { NEAR_DELAY });
                }
                Move::Refuse { job } => self.over(job, End::Refused),
            }
        }
        let is_credit = self.setup.way == Way::Credits;
        if is_credit
            && !self.vms[vm].board.queue.is_empty()
            && self.now - self.vms[vm].asked >= ASK_GAP
        {
            self.ask(vm);
        }
    }

    pub(super) fn send(&mut self, attempt: Attempt, extra: Duration) {
        let delay = extra + self.delay(attempt.vm, attempt.endpoint);
        self.attempts[attempt.job] = Some(attempt);
        self.after(delay, Event::Reach(attempt));
    }

    pub(super) fn delay(&self, vm: usize, endpoint: usize) -> Duration {
        if self.domains[vm] == self.endpoints[endpoint].domain {
            NEAR_DELAY
        } else {
            FAR_DELAY
        }
    }

    pub(super) fn back(&mut self, attempt: Attempt, is_answer: bool) {
        let outcome = if is_answer {
            Outcome::Answered
        } else {
            Outcome::Failed
        };
        match attempt.ticket {
            Some(ticket) => self.vms[attempt.vm].finish(self.now, ticket, outcome),
            None => self.vms[attempt.vm].release(attempt.endpoint),
        }
        if is_answer {
            let forwarded = if self.jobs[attempt.job].vm == attempt.vm {
                Duration::ZERO
            } else {
                NEAR_DELAY
            };
            let job = &self.jobs[attempt.job];
            let latency = self.now + forwarded + self.setup.plan.client_delay - job.sent;
            self.over(attempt.job, End::Answered(latency));
        } else {
            self.again(attempt);
        }
        if attempt.ticket.is_some() {
            self.pump(attempt.vm);
        }
    }

    /// Tries a failed request again, if there are attempts left.
    pub(super) fn again(&mut self, attempt: Attempt) {
        let job = &mut self.jobs[attempt.job];
        let is_late = self.now >= job.deadline;
        if attempt.ticket.is_none() {
            job.attempts += 1;
            return match !is_late && job.attempts < BASELINE_ATTEMPTS {
                true => self.arrive_baseline(attempt.job),
                false => self.over(attempt.job, End::Failed),
            };
        }
        let vm = &mut self.vms[attempt.vm];
        job.avoid.push(vm.keys[attempt.endpoint]);
        let service = self.setup.plan.services[job.service].name;
        if !is_late && job.attempts < ATTEMPTS && retry::try_spend(&mut vm.board, service) {
            self.enqueue(attempt.job, attempt.vm);
        } else {
            self.over(attempt.job, End::Failed);
        }
    }

    pub(super) fn over(&mut self, number: usize, end: End) {
        let job = &mut self.jobs[number];
        if std::mem::replace(&mut job.is_over, true) {
            return;
        }
        let model = &self.setup.plan.services[job.service];
        if let End::Answered(latency) = end
            && latency <= model.deadline
        {
            self.useful[job.service] += job.units;
        }
        if job.sent >= Time::ZERO + self.setup.length / WARM_UP {
            self.accounts[job.service][job.account].note(end, model.deadline);
        }
    }

    pub(super) fn tick(&mut self, vm: usize) {
        if !self.vms[vm].board.queue.is_empty() {
            self.pump(vm);
        }
        self.after(TICK_TIME, Event::Tick { vm });
    }
}
