//! What came of a run.

use std::collections::BTreeMap;

use super::{WARM_UP, World};
use crate::{
    plan::GREEDY,
    result::{self, Cell},
    traffic,
};

impl World<'_> {
    pub(super) fn result(self, seed: u64) -> Cell {
        let mut services = BTreeMap::new();
        for (n, service) in self.setup.plan.services.iter().enumerate() {
            let done: f64 = self
                .endpoints
                .iter()
                .filter(|e| e.service == n)
                .map(|e| e.done)
                .sum();
            let lost = if self.setup.loss {
                self.lost_share(n)
            } else {
                0.0
            };
            // The loss takes its part of the capacity for half of the run, a
            // little more of the part that is measured.
            let measured = 1.0 - 1.0 / f64::from(WARM_UP);
            let capacity = service.capacity() * (1.0 - lost * 0.5 / measured);
            let fair = traffic::fair(&self.offered[n], capacity);
            let span = self.setup.length.as_secs_f64() * measured;
            let quiet = self.setup.greedy.then_some(GREEDY);
            let summary = result::summarize(
                &self.accounts[n],
                &fair,
                span,
                quiet,
                (1.0 - self.useful[n] / done.max(1.0)).max(0.0),
            );
            services.insert(service.name.to_string(), summary);
        }
        Cell::new(self.setup, seed, services)
    }
}
