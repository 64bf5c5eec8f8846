//! Arrivals of client requests.

use std::time::Duration;

use rand::Rng;

use super::{
    Simulation,
    event::{Event, Request},
};
use crate::traffic;

impl Simulation<'_> {
    pub(super) fn schedule_client_request(&mut self, service: usize, account: usize) {
        let rate = self.offered_rates[service][account];
        let gap = traffic::draw_exponential(&mut self.rng, 1.0 / rate);
        let at = self.now + Duration::from_secs_f64(gap);
        if at < self.end {
            self.schedule_at(at, Event::ClientRequest { service, account });
        }
    }

    pub(super) fn send_client_request(&mut self, service: usize, account: usize) {
        self.schedule_client_request(service, account);
        let spec = &self.setup.plan.services[service];
        let (_, prefixes) = spec.prefixes;
        let request = Request {
            service,
            account,
            vm: self.rng.random_range(0..self.vms.len()),
            sent_at: self.now,
            deadline: self.now + spec.deadline,
            units: traffic::draw_units(&mut self.rng, spec.mean_units),
            prefix: match prefixes {
                0 => 0,
                // Each account has its own prefixes; low numbers are more frequent.
                _ => {
                    1 + account as u64 * prefixes
                        + self.rng.random_range(0..prefixes).pow(2) / prefixes
                }
            },
            attempts: 0,
            avoid: Vec::new(),
            is_finished: false,
        };
        self.requests.push(request);
        self.attempts.push(None);
        let request = self.requests.len() - 1;
        self.schedule_after(self.setup.plan.client_delay, Event::VmArrival { request });
    }
}
