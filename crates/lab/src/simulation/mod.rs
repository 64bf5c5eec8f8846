//! A discrete-event simulation of clients, VMs and endpoints.

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

/// One-way network delay within a failure domain.
const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(100);
/// One-way network delay between failure domains.
const CROSS_DOMAIN_DELAY: Duration = Duration::from_micros(500);
/// How often a VM dispatches waiting requests without another event.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// How often an endpoint updates its load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How often a VM reads the load reports of all endpoints.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum time after a VM's last request for credits before waiting work
/// makes it request them again.
const CREDIT_REQUEST_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// Requests sent in the first `1 / WARM_UP_DIVISOR` of a run are not measured.
const WARM_UP_DIVISOR: u32 = 5;

/// Attempts of a request under a baseline strategy.
const BASELINE_ATTEMPTS_MAX: u32 = 3;
/// Attempts of a request under the strategies of `policy`.
const ATTEMPTS_MAX: u32 = 4;

struct Simulation<'a> {
    setup: &'a Setup,
    now: Time,
    end: Time,
    rng: SmallRng,
    /// Future events, earliest first, as indices into `event_slots`.
    schedule: BinaryHeap<Scheduled>,
    event_slots: Vec<Option<Event>>,
    /// Indices of the empty slots of `event_slots`.
    free_slots: Vec<usize>,
    /// The number of events scheduled so far; orders events of the same time.
    sequence: u64,
    vms: Vec<Vm>,
    /// The failure domain of each VM.
    vm_domains: Vec<&'static str>,
    endpoints: Vec<Endpoint>,
    /// The slots that the owner of each endpoint grants to VMs.
    credit_pools: Vec<Pool>,
    /// Requests per second, by service and account.
    offered_rates: Vec<Vec<f64>>,
    requests: Vec<Request>,
    /// The last attempt of each request.
    attempts: Vec<Option<Attempt>>,
    /// Outcomes by service and account.
    accounts: Vec<Vec<Account>>,
    /// Units of work of requests answered on time, by service.
    useful_units: Vec<f64>,
}

/// Simulates `setup` and returns the figures of the run.
///
/// Requests in flight at the end get 10 more simulated seconds to finish.
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
