//! What clients send.

use std::time::Duration;

use rand::Rng;

use super::{
    World,
    event::{Event, Job},
};
use crate::traffic;

impl World<'_> {
    pub(super) fn offer_next(&mut self, service: usize, account: usize) {
        let rate = self.offered[service][account];
        let gap = traffic::exponential(&mut self.rng, 1.0 / rate);
        let at = self.now + Duration::from_secs_f64(gap);
        if at < self.end {
            self.at(at, Event::Offer { service, account });
        }
    }

    pub(super) fn offer(&mut self, service: usize, account: usize) {
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
}
