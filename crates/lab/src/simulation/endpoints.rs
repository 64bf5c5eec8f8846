//! How endpoints run requests and report their load.

use board::endpoint::Load;
use policy::limit;

use super::{
    POLL_INTERVAL, REPORT_INTERVAL, Simulation,
    event::{Attempt, Event},
};
use crate::endpoint::Work;

impl Simulation<'_> {
    pub(super) fn receive_attempt(&mut self, attempt: Attempt) {
        let request = &self.requests[attempt.request];
        let work = Work {
            request: attempt.request,
            units: request.units,
            prefix: request.prefix,
        };
        if self.endpoints[attempt.endpoint].accept(self.now, work) {
            self.schedule_completion(attempt.endpoint);
        } else {
            let delay = self.network_delay(attempt.vm, attempt.endpoint);
            self.schedule_after(
                delay,
                Event::AttemptResult {
                    attempt,
                    is_answer: false,
                },
            );
        }
    }

    pub(super) fn schedule_completion(&mut self, endpoint: usize) {
        let generation = self.endpoints[endpoint].generation;
        if let Some(at) = self.endpoints[endpoint].next_completion() {
            self.schedule_at(
                at,
                Event::Completion {
                    endpoint,
                    generation,
                },
            );
        }
    }

    pub(super) fn complete_work(&mut self, endpoint: usize, generation: u64) {
        if self.endpoints[endpoint].generation != generation {
            return;
        }
        for request in self.endpoints[endpoint].take_completed(self.now) {
            self.send_result(request, true);
        }
        self.schedule_completion(endpoint);
    }

    pub(super) fn send_result(&mut self, request: usize, is_answer: bool) {
        if let Some(attempt) = self.attempts[request] {
            let delay = self.network_delay(attempt.vm, attempt.endpoint);
            self.schedule_after(delay, Event::AttemptResult { attempt, is_answer });
        }
    }

    pub(super) fn update_report(&mut self, endpoint: usize) {
        self.endpoints[endpoint].update_report(self.now);
        self.schedule_after(REPORT_INTERVAL, Event::Report { endpoint });
    }

    pub(super) fn poll_reports(&mut self, vm: usize) {
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.is_removed {
                continue;
            }
            let (reported_at, load) = &endpoint.report;
            let load = Load {
                age_ms: (self.now - *reported_at).as_millis() as u64,
                ..load.clone()
            };
            let key = self.vms[vm].keys[index];
            if let Some(board_endpoint) = self.vms[vm].board.endpoints.get_mut(key) {
                limit::record_report(board_endpoint, self.now, load, self.setup.plan.vms as u32);
            }
        }
        self.schedule_after(POLL_INTERVAL, Event::Poll { vm });
    }
}
