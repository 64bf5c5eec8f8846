//! Credits: slots that the owners of endpoints grant to VMs.

use board::limit::Credit;
use policy::credit;

use super::{Simulation, event::Event};

impl Simulation<'_> {
    pub(super) fn request_credits(&mut self, vm: usize) {
        self.vms[vm].credits_requested_at = self.now;
        for endpoint in 0..self.endpoints.len() {
            let wanted = self.wanted_slots(vm, endpoint);
            let delay = self.network_delay(vm, endpoint);
            self.schedule_after(
                delay,
                Event::CreditRequest {
                    vm,
                    endpoint,
                    wanted,
                },
            );
        }
    }

    /// Returns how many slots a VM requests at an endpoint: one for each request
    /// in flight there, one for each request that waits for the service, and one
    /// spare.
    pub(super) fn wanted_slots(&self, vm: usize, endpoint: usize) -> u32 {
        let board = &self.vms[vm].board;
        let service = self.setup.plan.services[self.endpoints[endpoint].service].name;
        let in_flight = board
            .endpoints
            .get(self.vms[vm].keys[endpoint])
            .map_or(0, |e| e.in_flight);
        let lanes = board.queue.lanes(service);
        let waiting = lanes.into_iter().flatten().flat_map(|lane| lane.waiting());
        let waiting: usize = waiting.map(|(_, flow)| flow.len()).sum();
        in_flight + 1 + waiting as u32
    }

    pub(super) fn grant_credit(&mut self, vm: usize, endpoint: usize, wanted: u32) {
        if self.endpoints[endpoint].is_removed {
            return;
        }
        let name = self.vms[vm].board.vm.clone();
        let service = &self.setup.plan.services[self.endpoints[endpoint].service];
        let credit = credit::grant(
            &mut self.credit_pools[endpoint],
            self.now,
            &name,
            wanted,
            service.slots,
        );
        let delay = self.network_delay(vm, endpoint);
        self.schedule_after(
            delay,
            Event::CreditGrant {
                vm,
                endpoint,
                credit,
            },
        );
    }

    pub(super) fn receive_credit(&mut self, vm: usize, endpoint: usize, credit: Credit) {
        let key = self.vms[vm].keys[endpoint];
        if let Some(board_endpoint) = self.vms[vm].board.endpoints.get_mut(key) {
            board_endpoint.credit = Some(credit);
        }
        if !self.vms[vm].board.queue.is_empty() {
            self.dispatch_waiting(vm);
        }
    }
}
