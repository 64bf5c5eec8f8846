//! The simulated time in which VMs, endpoints and clients meet.

mod calls;
mod clients;
mod endpoints;
mod event;
mod grants;
mod loss;
mod summary;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use board::Time;
use event::{Attempt, Due, Event, Job};
use policy::credit::{self, Pool};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    account::Account,
    endpoint::Endpoint,
    plan::{DOMAINS, Setup, WEIGHTS, Way},
    result::Cell,
    traffic,
    vm::Vm,
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
                self.after(credit::RENEWAL_PERIOD.mul_f64(phase), Event::Ask { vm });
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
                self.after(credit::RENEWAL_PERIOD, Event::Ask { vm });
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
}
