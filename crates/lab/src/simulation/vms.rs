//! How VMs receive, queue, dispatch and retry requests.

use std::time::Duration;

use board::{Time, ticket::Ticket};
use policy::{call::Outcome, owner, retry};

use super::{
    ATTEMPTS_MAX, BASELINE_ATTEMPTS_MAX, CREDIT_REQUEST_INTERVAL_MIN, CROSS_DOMAIN_DELAY,
    SAME_DOMAIN_DELAY, Simulation, TICK_INTERVAL, WARM_UP_DIVISOR,
    event::{Attempt, Event},
};
use crate::{
    account::Status,
    plan::Strategy,
    vm::{self, Action},
};

impl Simulation<'_> {
    pub(super) fn receive_request(&mut self, request: usize) {
        match self.setup.strategy {
            Strategy::RoundRobin | Strategy::LeastOutstanding => self.send_baseline(request),
            Strategy::Independent | Strategy::Credits => {
                self.enqueue(request, self.requests[request].vm)
            }
            Strategy::Owner => self.enqueue(request, self.owner_vm(request)),
        }
    }

    pub(super) fn send_baseline(&mut self, request: usize) {
        let vm = self.requests[request].vm;
        let service = self.setup.plan.services[self.requests[request].service].name;
        match self.vms[vm].choose_baseline_endpoint(self.setup.strategy, service) {
            Some(endpoint) => self.send_attempt(
                Attempt {
                    request,
                    vm,
                    endpoint,
                    ticket: None,
                },
                Duration::ZERO,
            ),
            None => self.finish_request(request, Status::Failed),
        }
    }

    /// Returns the VM that dispatches all requests of a service that arrive at
    /// VMs of its failure domain.
    pub(super) fn owner_vm(&self, request: usize) -> usize {
        let domain = self.vm_domains[self.requests[request].vm];
        let service = self.setup.plan.services[self.requests[request].service].name;
        let vms = self.vms.iter().zip(&self.vm_domains);
        let members = vms
            .filter(|(_, d)| **d == domain)
            .map(|(vm, _)| vm.board.vm.as_str());
        let owner = owner::select(members, service);
        let position = |name| self.vms.iter().position(|vm| vm.board.vm == name);
        owner
            .and_then(position)
            .unwrap_or(self.requests[request].vm)
    }

    pub(super) fn enqueue(&mut self, index: usize, vm: usize) {
        let request = &mut self.requests[index];
        request.attempts += 1;
        let spec = &self.setup.plan.services[request.service];
        let cost = match spec.is_batched {
            true => request.units.ceil() as u32,
            false => 1,
        };
        // The answer must leave the VM early enough to reach the client in time.
        let deadline = request.deadline - self.setup.plan.client_delay;
        let ticket = Ticket::new(
            vm::account_name(request.account),
            spec.name,
            self.now,
            deadline,
        )
        .cost(cost)
        .prefix(request.prefix)
        .avoid(request.avoid.clone());
        if self.vms[vm].admit(self.now, index, ticket).is_err() {
            self.finish_request(index, Status::Rejected);
        }
        self.dispatch_waiting(vm);
    }

    pub(super) fn dispatch_waiting(&mut self, vm: usize) {
        for action in self.vms[vm].dispatch(self.now) {
            match action {
                Action::Send {
                    request,
                    ticket,
                    endpoint,
                } => {
                    let attempt = Attempt {
                        request,
                        vm,
                        endpoint,
                        ticket: Some(ticket),
                    };
                    // A request that another VM received takes one more hop.
                    let is_received_here = self.requests[request].vm == vm;
                    self.send_attempt(
                        attempt,
                        if is_received_here {
                            Duration::ZERO
                        } else {
                            SAME_DOMAIN_DELAY
                        },
                    );
                }
                Action::Reject { request } => self.finish_request(request, Status::Rejected),
            }
        }
        let has_credits = self.setup.strategy == Strategy::Credits;
        if has_credits
            && !self.vms[vm].board.queue.is_empty()
            && self.now - self.vms[vm].credits_requested_at >= CREDIT_REQUEST_INTERVAL_MIN
        {
            self.request_credits(vm);
        }
    }

    pub(super) fn send_attempt(&mut self, attempt: Attempt, forward_delay: Duration) {
        let delay = forward_delay + self.network_delay(attempt.vm, attempt.endpoint);
        self.attempts[attempt.request] = Some(attempt);
        self.schedule_after(delay, Event::EndpointArrival(attempt));
    }

    pub(super) fn network_delay(&self, vm: usize, endpoint: usize) -> Duration {
        if self.vm_domains[vm] == self.endpoints[endpoint].domain {
            SAME_DOMAIN_DELAY
        } else {
            CROSS_DOMAIN_DELAY
        }
    }

    pub(super) fn receive_result(&mut self, attempt: Attempt, is_answer: bool) {
        let outcome = if is_answer {
            Outcome::Answered
        } else {
            Outcome::Failed
        };
        match attempt.ticket {
            Some(ticket) => self.vms[attempt.vm].finish_attempt(self.now, ticket, outcome),
            None => self.vms[attempt.vm].finish_baseline(attempt.endpoint),
        }
        if is_answer {
            let forward_delay = if self.requests[attempt.request].vm == attempt.vm {
                Duration::ZERO
            } else {
                SAME_DOMAIN_DELAY
            };
            let request = &self.requests[attempt.request];
            let latency = self.now + forward_delay + self.setup.plan.client_delay - request.sent_at;
            self.finish_request(attempt.request, Status::Answered(latency));
        } else {
            self.retry_attempt(attempt);
        }
        if attempt.ticket.is_some() {
            self.dispatch_waiting(attempt.vm);
        }
    }

    /// Retries the request of a failed attempt, or fails it when its deadline
    /// has passed, it has no attempts left, or the retry budget is spent.
    pub(super) fn retry_attempt(&mut self, attempt: Attempt) {
        let request = &mut self.requests[attempt.request];
        let is_late = self.now >= request.deadline;
        if attempt.ticket.is_none() {
            request.attempts += 1;
            return match !is_late && request.attempts < BASELINE_ATTEMPTS_MAX {
                true => self.send_baseline(attempt.request),
                false => self.finish_request(attempt.request, Status::Failed),
            };
        }
        let vm = &mut self.vms[attempt.vm];
        request.avoid.push(vm.keys[attempt.endpoint]);
        let service = self.setup.plan.services[request.service].name;
        if !is_late && request.attempts < ATTEMPTS_MAX && retry::try_spend(&mut vm.board, service) {
            self.enqueue(attempt.request, attempt.vm);
        } else {
            self.finish_request(attempt.request, Status::Failed);
        }
    }

    pub(super) fn finish_request(&mut self, index: usize, status: Status) {
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.is_finished, true) {
            return;
        }
        let spec = &self.setup.plan.services[request.service];
        if let Status::Answered(latency) = status
            && latency <= spec.deadline
        {
            self.useful_units[request.service] += request.units;
        }
        if request.sent_at >= Time::ZERO + self.setup.duration / WARM_UP_DIVISOR {
            self.accounts[request.service][request.account].record(status, spec.deadline);
        }
    }

    pub(super) fn tick(&mut self, vm: usize) {
        if !self.vms[vm].board.queue.is_empty() {
            self.dispatch_waiting(vm);
        }
        self.schedule_after(TICK_INTERVAL, Event::Tick { vm });
    }
}
