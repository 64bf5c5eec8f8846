//! The loss of a failure domain's cheap endpoints in mid-run.

use std::time::Duration;

use board::endpoint::CapacityClass;

use super::{Simulation, event::Event};
use crate::plan::DOMAINS;

/// How long VMs take to learn that the platform lost an endpoint.
const LOSS_NOTICE_DELAY: Duration = Duration::from_secs(1);

/// The domain whose cheap endpoints end in mid-run.
const LOST_DOMAIN: &str = DOMAINS[0];

impl Simulation<'_> {
    pub(super) fn lost_endpoints(&self) -> Vec<usize> {
        let services = self.setup.plan.services.iter();
        let all = services
            .flat_map(|service| (0..service.endpoint_count).map(|index| service.placement(index)));
        let is_lost = |(domain, capacity_class)| {
            domain == LOST_DOMAIN && capacity_class == CapacityClass::Cheap
        };
        all.enumerate()
            .filter(|(_, e)| is_lost(*e))
            .map(|(index, _)| index)
            .collect()
    }

    pub(super) fn remove_endpoints(&mut self) {
        for index in self.lost_endpoints() {
            for request in self.endpoints[index].remove() {
                self.send_result(request, false);
            }
        }
        self.schedule_after(LOSS_NOTICE_DELAY, Event::LossNotice);
    }

    pub(super) fn apply_loss_notice(&mut self) {
        for index in self.lost_endpoints() {
            for vm in &mut self.vms {
                vm.mark_removed(index);
            }
        }
    }

    pub(super) fn lost_fraction(&self, service: usize) -> f64 {
        let spec = &self.setup.plan.services[service];
        let lost = (0..spec.endpoint_count).map(|index| spec.placement(index));
        let lost = lost.filter(|(domain, capacity_class)| {
            *domain == LOST_DOMAIN && *capacity_class == CapacityClass::Cheap
        });
        lost.count() as f64 / spec.endpoint_count as f64
    }
}
