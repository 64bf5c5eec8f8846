//! The figures of a finished run.

use std::collections::BTreeMap;

use super::{Simulation, WARM_UP_DIVISOR};
use crate::{
    plan::GREEDY_ACCOUNT,
    result::{self, Cell},
    traffic,
};

impl Simulation<'_> {
    pub(super) fn into_cell(self, seed: u64) -> Cell {
        let mut services = BTreeMap::new();
        for (index, service) in self.setup.plan.services.iter().enumerate() {
            let done_units: f64 = self
                .endpoints
                .iter()
                .filter(|e| e.service == index)
                .map(|e| e.done_units)
                .sum();
            let lost_fraction = if self.setup.has_loss {
                self.lost_fraction(index)
            } else {
                0.0
            };
            // Endpoints are lost for the second half of the run. The warm-up is
            // not measured, so this is more than half of the measured time.
            let measured_fraction = 1.0 - 1.0 / f64::from(WARM_UP_DIVISOR);
            let capacity = service.capacity() * (1.0 - lost_fraction * 0.5 / measured_fraction);
            let fair_rates = traffic::fair_rates(&self.offered_rates[index], capacity);
            let measured_s = self.setup.duration.as_secs_f64() * measured_fraction;
            let greedy = self.setup.has_greedy_account.then_some(GREEDY_ACCOUNT);
            let summary = result::summarize(
                &self.accounts[index],
                &fair_rates,
                measured_s,
                greedy,
                (1.0 - self.useful_units[index] / done_units.max(1.0)).max(0.0),
            );
            services.insert(service.name.to_string(), summary);
        }
        Cell::new(self.setup, seed, services)
    }
}
