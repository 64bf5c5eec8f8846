//! The simulated time in which VMs, endpoints and clients meet.

mod event;
mod grants;
mod loss;
mod summary;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use board::{Time, endpoint::Load, ticket::Ticket};
use event::{Attempt, Due, Event, Job};
use policy::{
    call::Outcome,
    credit::{self, Pool},
    limit, owner, retry,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    account::{Account, End},
    endpoint::{Endpoint, Work},
    plan::{DOMAINS, Setup, WEIGHTS, Way},
    result::Cell,
    traffic,
    vm::{self, Move, Vm},
};

const NEAR_DELAY: Duration = Duration::from_micros(100);
const FAR_DELAY: Duration = Duration::from_micros(500);
const TICK_TIME: Duration = Duration::from_millis(10);
const REPORT_TIME: Duration = Duration::from_millis(500);
const POLL_TIME: Duration = Duration::from_millis(500);

/// A VM with waiting work asks the owners at most this often.
const ASK_GAP: Duration = Duration::from_millis(5);

/// The part of a run that is not measured, at its start.
const WARM_UP: u32 = 5;

const BASELINE_ATTEMPTS: u32 = 3;
const ATTEMPTS: u32 = 4;

struct World<'a> {
    setup: &'a Setup,
    now: Time,
    end: Time,
    rng: SmallRng,
    due: BinaryHeap<Due>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    number: u64,
    vms: Vec<Vm>,
    domains: Vec<&'static str>,
    endpoints: Vec<Endpoint>,
    pools: Vec<Pool>,
    offered: Vec<Vec<f64>>,
    jobs: Vec<Job>,
    attempts: Vec<Option<Attempt>>,
    accounts: Vec<Vec<Account>>,
    useful: Vec<f64>,
}

/// Runs `setup` and returns what came of it.
pub fn run(setup: &Setup, seed: u64) -> Cell {
    let mut world = World::new(setup, seed);
    world.start();
    while let Some(Reverse((at, _, slot))) = world.due.pop() {
        if at > world.end + Duration::from_secs(10) {
            break;
        }
        world.now = at;
        if let Some(event) = world.events[slot].take() {
            world.free.push(slot);
            world.handle(event);
        }
    }
    world.result(seed)
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup, seed: u64) -> Self {
        let plan = &setup.plan;
        let domains: Vec<_> = (0..plan.vms).map(|n| DOMAINS[n % DOMAINS.len()]).collect();
        let vm = |(n, domain): (usize, &&str)| {
            Vm::new(
                &format!("vm-{domain}{n}"),
                domain,
                plan,
                seed * 1000 + n as u64,
            )
        };
        let endpoints: Vec<_> = plan
            .services
            .iter()
            .enumerate()
            .flat_map(|(n, service)| {
                (0..service.count)
                    .map(move |place| Endpoint::new(n, service, service.endpoint(place).0))
            })
            .collect();
        Self {
            now: Time::ZERO,
            end: Time::ZERO + setup.length,
            rng: SmallRng::seed_from_u64(seed),
            due: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            number: 0,
            vms: domains.iter().enumerate().map(vm).collect(),
            pools: vec![Pool::default(); endpoints.len()],
            offered: plan
                .services
                .iter()
                .map(|s| traffic::offered(setup, s))
                .collect(),
            jobs: Vec::new(),
            attempts: Vec::new(),
            accounts: vec![vec![Account::new(); WEIGHTS.len()]; plan.services.len()],
            useful: vec![0.0; plan.services.len()],
            domains,
            endpoints,
            setup,
        }
    }

    fn at(&mut self, time: Time, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.number += 1;
        self.due.push(Reverse((time, self.number, slot)));
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn start(&mut self) {
        for service in 0..self.offered.len() {
            for account in 0..WEIGHTS.len() {
                self.offer_next(service, account);
            }
        }
        for vm in 0..self.vms.len() {
            let phase = self.rng.random_range(0.0..1.0);
            self.after(TICK_TIME.mul_f64(phase), Event::Tick { vm });
            self.after(POLL_TIME.mul_f64(phase), Event::Poll { vm });
            if self.setup.way == Way::Credits {
                self.after(credit::ASK_TIME.mul_f64(phase), Event::Ask { vm });
            }
        }
        for endpoint in 0..self.endpoints.len() {
            let phase = self.rng.random_range(0.0..1.0);
            self.after(REPORT_TIME.mul_f64(phase), Event::Report { endpoint });
        }
        if self.setup.loss {
            self.after(self.setup.length / 2, Event::Lose);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Offer { service, account } => self.offer(service, account),
            Event::Arrive { job } => self.arrive(job),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Complete { endpoint, change } => self.complete(endpoint, change),
            Event::Back { attempt, is_answer } => self.back(attempt, is_answer),
            Event::Tick { vm } => self.tick(vm),
            Event::Poll { vm } => self.poll(vm),
            Event::Report { endpoint } => self.report(endpoint),
            Event::Ask { vm } => {
                self.ask(vm);
                self.after(credit::ASK_TIME, Event::Ask { vm });
            }
            Event::Asked {
                vm,
                endpoint,
                wanted,
            } => self.asked(vm, endpoint, wanted),
            Event::Granted {
                vm,
                endpoint,
                credit,
            } => self.granted(vm, endpoint, credit),
            Event::Lose => self.lose(),
            Event::Notice => self.notice(),
        }
    }

    fn offer_next(&mut self, service: usize, account: usize) {
        let rate = self.offered[service][account];
        let gap = traffic::exponential(&mut self.rng, 1.0 / rate);
        let at = self.now + Duration::from_secs_f64(gap);
        if at < self.end {
            self.at(at, Event::Offer { service, account });
        }
    }

    fn offer(&mut self, service: usize, account: usize) {
        self.offer_next(service, account);
        let model = &self.setup.plan.services[service];
        let (_, prefixes) = model.prefixes;
        let job = Job {
            service,
            account,
            vm: self.rng.random_range(0..self.vms.len()),
            sent: self.now,
            deadline: self.now + model.deadline,
            units: traffic::units(&mut self.rng, model.mean_units),
            prefix: match prefixes {
                0 => 0,
                // Prefixes belong to accounts, and small numbers are common.
                _ => {
                    1 + account as u64 * prefixes
                        + self.rng.random_range(0..prefixes).pow(2) / prefixes
                }
            },
            attempts: 0,
            avoid: Vec::new(),
            is_over: false,
        };
        self.jobs.push(job);
        self.attempts.push(None);
        let job = self.jobs.len() - 1;
        self.after(self.setup.plan.client_delay, Event::Arrive { job });
    }

    fn arrive(&mut self, job: usize) {
        match self.setup.way {
            Way::RoundRobin | Way::LeastOutstanding => self.arrive_baseline(job),
            Way::Independent | Way::Credits => self.enqueue(job, self.jobs[job].vm),
            Way::Owner => self.enqueue(job, self.owner(job)),
        }
    }

    fn arrive_baseline(&mut self, job: usize) {
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
    fn owner(&self, job: usize) -> usize {
        let domain = self.domains[self.jobs[job].vm];
        let service = self.setup.plan.services[self.jobs[job].service].name;
        let names = self.vms.iter().zip(&self.domains);
        let members = names
            .filter(|(_, d)| **d == domain)
            .map(|(vm, _)| vm.board.vm.as_str());
        let owner = owner::of(members, service);
        let place = |name| self.vms.iter().position(|vm| vm.board.vm == name);
        owner.and_then(place).unwrap_or(self.jobs[job].vm)
    }

    fn enqueue(&mut self, number: usize, vm: usize) {
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

    fn pump(&mut self, vm: usize) {
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

    fn send(&mut self, attempt: Attempt, extra: Duration) {
        let delay = extra + self.delay(attempt.vm, attempt.endpoint);
        self.attempts[attempt.job] = Some(attempt);
        self.after(delay, Event::Reach(attempt));
    }

    fn delay(&self, vm: usize, endpoint: usize) -> Duration {
        if self.domains[vm] == self.endpoints[endpoint].domain {
            NEAR_DELAY
        } else {
            FAR_DELAY
        }
    }

    fn reach(&mut self, attempt: Attempt) {
        let job = &self.jobs[attempt.job];
        let work = Work {
            job: attempt.job,
            units: job.units,
            prefix: job.prefix,
        };
        if self.endpoints[attempt.endpoint].take(self.now, work) {
            self.plan_completion(attempt.endpoint);
        } else {
            let delay = self.delay(attempt.vm, attempt.endpoint);
            self.after(
                delay,
                Event::Back {
                    attempt,
                    is_answer: false,
                },
            );
        }
    }

    fn plan_completion(&mut self, endpoint: usize) {
        let change = self.endpoints[endpoint].change;
        if let Some(at) = self.endpoints[endpoint].next_done() {
            self.at(at, Event::Complete { endpoint, change });
        }
    }

    fn complete(&mut self, endpoint: usize, change: u64) {
        if self.endpoints[endpoint].change != change {
            return;
        }
        for job in self.endpoints[endpoint].finish(self.now) {
            self.answer(job, true);
        }
        self.plan_completion(endpoint);
    }

    fn answer(&mut self, job: usize, is_answer: bool) {
        if let Some(attempt) = self.attempts[job] {
            let delay = self.delay(attempt.vm, attempt.endpoint);
            self.after(delay, Event::Back { attempt, is_answer });
        }
    }

    fn back(&mut self, attempt: Attempt, is_answer: bool) {
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
    fn again(&mut self, attempt: Attempt) {
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
        if !is_late && job.attempts < ATTEMPTS && retry::take(&mut vm.board, service) {
            self.enqueue(attempt.job, attempt.vm);
        } else {
            self.over(attempt.job, End::Failed);
        }
    }

    fn over(&mut self, number: usize, end: End) {
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

    fn tick(&mut self, vm: usize) {
        if !self.vms[vm].board.queue.is_empty() {
            self.pump(vm);
        }
        self.after(TICK_TIME, Event::Tick { vm });
    }

    fn report(&mut self, endpoint: usize) {
        self.endpoints[endpoint].make_report(self.now);
        self.after(REPORT_TIME, Event::Report { endpoint });
    }

    fn poll(&mut self, vm: usize) {
        for (place, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.is_gone {
                continue;
            }
            let (made, load) = &endpoint.report;
            let load = Load {
                age_ms: (self.now - *made).as_millis() as u64,
                ..load.clone()
            };
            let key = self.vms[vm].keys[place];
            if let Some(known) = self.vms[vm].board.endpoints.get_mut(key) {
                limit::report(known, self.now, load, self.setup.plan.vms as u32);
            }
        }
        self.after(POLL_TIME, Event::Poll { vm });
    }
}
