//! What endpoints do with requests, and what they report of it.

use board::endpoint::Load;
use policy::limit;

use super::{
    POLL_TIME, REPORT_TIME, World,
    event::{Attempt, Event},
};
use crate::endpoint::Work;

impl World<'_> {
    pub(super) fn reach(&mut self, attempt: Attempt) {
        let job = &self.jobs[attempt.job];
        let work = Work {
            job: attempt.job,
            units: job.units,
            prefix: job.prefix,
        };
        if self.endpoints[attempt.endpoint].take(self.now, work) {
            self.plan_completion(attempt.endpoint);
        } else {
            let delay = self.delay(attempt.vm, attempt.endpoint);
            self.after(
                delay,
                Event::Back {
                    attempt,
                    is_answer: false,
                },
            );
        }
    }

    pub(super) fn plan_completion(&mut self, endpoint: usize) {
        let change = self.endpoints[endpoint].change;
        if let Some(at) = self.endpoints[endpoint].next_done() {
            self.at(at, Event::Complete { endpoint, change });
        }
    }

    pub(super) fn complete(&mut self, endpoint: usize, change: u64) {
        if self.endpoints[endpoint].change != change {
            return;
        }
        for job in self.endpoints[endpoint].finish(self.now) {
            self.answer(job, true);
        }
        self.plan_completion(endpoint);
    }

    pub(super) fn answer(&mut self, job: usize, is_answer: bool) {
        if let Some(attempt) = self.attempts[job] {
            let delay = self.delay(attempt.vm, attempt.endpoint);
            self.after(delay, Event::Back { attempt, is_answer });
        }
    }

    pub(super) fn report(&mut self, endpoint: usize) {
        self.endpoints[endpoint].make_report(self.now);
        self.after(REPORT_TIME, Event::Report { endpoint });
    }

    pub(super) fn poll(&mut self, vm: usize) {
        for (place, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.is_gone {
                continue;
            }
            let (made, load) = &endpoint.report;
            let load = Load {
                age_ms: (self.now - *made).as_millis() as u64,
                ..load.clone()
            };
            let key = self.vms[vm].keys[place];
            if let Some(known) = self.vms[vm].board.endpoints.get_mut(key) {
                limit::record_report(known, self.now, load, self.setup.plan.vms as u32);
            }
        }
        self.after(POLL_TIME, Event::Poll { vm });
    }
}
