//! The loss of one failure domain's cheap endpoints halfway through a run.

use std::time::Duration;

use board::endpoint::CapacityClass;

use super::{Simulation, event::Event};
use crate::plan::DOMAINS;

/// The time until VMs are notified that the platform has lost endpoints.
const LOSS_NOTICE_DELAY: Duration = Duration::from_secs(1);

/// The failure domain that loses its cheap endpoints.
const LOST_DOMAIN: &str = DOMAINS[0];

impl Simulation<'_> {
    /// Returns the indices of the endpoints that are lost.
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

    /// Returns the fraction of a service's endpoints that is lost.
    pub(super) fn lost_fraction(&self, service: usize) -> f64 {
        let spec = &self.setup.plan.services[service];
        let lost = (0..spec.endpoint_count).map(|index| spec.placement(index));
        let lost = lost.filter(|(domain, capacity_class)| {
            *domain == LOST_DOMAIN && *capacity_class == CapacityClass::Cheap
        });
        lost.count() as f64 / spec.endpoint_count as f64
    }
}
