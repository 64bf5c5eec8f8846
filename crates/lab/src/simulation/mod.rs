//! The simulated time in which VMs, endpoints and clients meet.

mod clients;
mod credits;
mod endpoints;
mod event;
mod loss;
mod summary;
mod vms;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use board::Time;
use event::{Attempt, Event, Request, Scheduled};
use policy::credit::{self, Pool};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    account::Account,
    endpoint::Endpoint,
    plan::{ACCOUNT_WEIGHTS, DOMAINS, Setup, Strategy},
    result::Cell,
    traffic,
    vm::Vm,
};

const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(100);
const CROSS_DOMAIN_DELAY: Duration = Duration::from_micros(500);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A VM with waiting work asks the owners at most this often.
const CREDIT_REQUEST_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// The part of a run that is not measured, at its start.
const WARM_UP_DIVISOR: u32 = 5;

const BASELINE_ATTEMPTS_MAX: u32 = 3;
const ATTEMPTS_MAX: u32 = 4;

struct Simulation<'a> {
    setup: &'a Setup,
    now: Time,
    end: Time,
    rng: SmallRng,
    schedule: BinaryHeap<Scheduled>,
    event_slots: Vec<Option<Event>>,
    free_slots: Vec<usize>,
    sequence: u64,
    vms: Vec<Vm>,
    vm_domains: Vec<&'static str>,
    endpoints: Vec<Endpoint>,
    credit_pools: Vec<Pool>,
    offered_rates: Vec<Vec<f64>>,
    requests: Vec<Request>,
    attempts: Vec<Option<Attempt>>,
    accounts: Vec<Vec<Account>>,
    useful_units: Vec<f64>,
}

/// Runs `setup` and returns what came of it.
pub fn run(setup: &Setup, seed: u64) -> Cell {
    let mut simulation = Simulation::new(setup, seed);
    simulation.start();
    while let Some(Reverse((time, _, slot))) = simulation.schedule.pop() {
        if time > simulation.end + Duration::from_secs(10) {
            break;
        }
        simulation.now = time;
        if let Some(event) = simulation.event_slots[slot].take() {
            simulation.free_slots.push(slot);
            simulation.handle(event);
        }
    }
    simulation.into_cell(seed)
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup, seed: u64) -> Self {
        let plan = &setup.plan;
        let vm_domains: Vec<_> = (0..plan.vms).map(|n| DOMAINS[n % DOMAINS.len()]).collect();
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
                (0..service.endpoint_count)
                    .map(move |index| Endpoint::new(n, service, service.placement(index).0))
            })
            .collect();
        Self {
            now: Time::ZERO,
            end: Time::ZERO + setup.duration,
            rng: SmallRng::seed_from_u64(seed),
            schedule: BinaryHeap::new(),
            event_slots: Vec::new(),
            free_slots: Vec::new(),
            sequence: 0,
            vms: vm_domains.iter().enumerate().map(vm).collect(),
            credit_pools: vec![Pool::default(); endpoints.len()],
            offered_rates: plan
                .services
                .iter()
                .map(|s| traffic::offered_rates(setup, s))
                .collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            accounts: vec![vec![Account::new(); ACCOUNT_WEIGHTS.len()]; plan.services.len()],
            useful_units: vec![0.0; plan.services.len()],
            vm_domains,
            endpoints,
            setup,
        }
    }

    fn schedule_at(&mut self, time: Time, event: Event) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.event_slots.push(None);
            self.event_slots.len() - 1
        });
        self.event_slots[slot] = Some(event);
        self.sequence += 1;
        self.schedule.push(Reverse((time, self.sequence, slot)));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn start(&mut self) {
        for service in 0..self.offered_rates.len() {
            for account in 0..ACCOUNT_WEIGHTS.len() {
                self.schedule_client_request(service, account);
            }
        }
        for vm in 0..self.vms.len() {
            let offset = self.rng.random_range(0.0..1.0);
            self.schedule_after(TICK_INTERVAL.mul_f64(offset), Event::Tick { vm });
            self.schedule_after(POLL_INTERVAL.mul_f64(offset), Event::Poll { vm });
            if self.setup.strategy == Strategy::Credits {
                self.schedule_after(
                    credit::RENEWAL_PERIOD.mul_f64(offset),
                    Event::RenewCredits { vm },
                );
            }
        }
        for endpoint in 0..self.endpoints.len() {
            let offset = self.rng.random_range(0.0..1.0);
            self.schedule_after(REPORT_INTERVAL.mul_f64(offset), Event::Report { endpoint });
        }
        if self.setup.has_loss {
            self.schedule_after(self.setup.duration / 2, Event::EndpointLoss);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientRequest { service, account } => self.send_client_request(service, account),
            Event::VmArrival { request } => self.receive_request(request),
            Event::EndpointArrival(attempt) => self.receive_attempt(attempt),
            Event::Completion {
                endpoint,
                generation,
            } => self.complete_work(endpoint, generation),
            Event::AttemptResult { attempt, is_answer } => self.receive_result(attempt, is_answer),
            Event::Tick { vm } => self.tick(vm),
            Event::Poll { vm } => self.poll_reports(vm),
            Event::Report { endpoint } => self.update_report(endpoint),
            Event::RenewCredits { vm } => {
                self.request_credits(vm);
                self.schedule_after(credit::RENEWAL_PERIOD, Event::RenewCredits { vm });
            }
            Event::CreditRequest {
                vm,
                endpoint,
                wanted,
            } => self.grant_credit(vm, endpoint, wanted),
            Event::CreditGrant {
                vm,
                endpoint,
                credit,
            } => self.receive_credit(vm, endpoint, credit),
            Event::EndpointLoss => self.remove_endpoints(),
            Event::LossNotice => self.apply_loss_notice(),
        }
    }
}
