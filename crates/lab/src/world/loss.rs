//! The loss of a failure domain's cheap endpoints in mid-run.

use std::time::Duration;

use board::endpoint::CapacityClass;

use super::{World, event::Event};
use crate::plan::DOMAINS;

/// How long VMs take to learn that the platform lost an endpoint.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// The domain whose cheap endpoints end in mid-run.
const LOST_DOMAIN: &str = DOMAINS[0];

impl World<'_> {
    pub(super) fn lost(&self) -> Vec<usize> {
        let services = self.setup.plan.services.iter();
        let all =
            services.flat_map(|service| (0..service.count).map(|place| service.endpoint(place)));
        let lost = |(domain, capacity_class)| {
            domain == LOST_DOMAIN && capacity_class == CapacityClass::Cheap
        };
        all.enumerate()
            .filter(|(_, e)| lost(*e))
            .map(|(place, _)| place)
            .collect()
    }

    pub(super) fn lose(&mut self) {
        for place in self.lost() {
            for job in self.endpoints[place].end() {
                self.answer(job, false);
            }
        }
        self.after(NOTICE_TIME, Event::Notice);
    }

    pub(super) fn notice(&mut self) {
        for place in self.lost() {
            for vm in &mut self.vms {
                vm.lose(place);
            }
        }
    }

    pub(super) fn lost_share(&self, service: usize) -> f64 {
        let model = &self.setup.plan.services[service];
        let lost = (0..model.count).map(|place| model.endpoint(place));
        let lost = lost.filter(|(domain, capacity_class)| {
            *domain == LOST_DOMAIN && *capacity_class == CapacityClass::Cheap
        });
        lost.count() as f64 / model.count as f64
    }
}
