//! A model of an endpoint: slots, a queue and a prefix cache.

use std::collections::VecDeque;

use board::{Time, endpoint::Load};

use crate::plan::Service;

/// A request as the endpoint sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) job: usize,
    pub(crate) units: f64,
    pub(crate) prefix: u64,
}

/// An endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) service: usize,
    pub(crate) domain: &'static str,
    pub(crate) is_gone: bool,
    /// Grows with each change of what runs, so that old completions are known.
    pub(crate) change: u64,
    /// Units done in all.
    pub(crate) done: f64,
    pub(crate) report: (Time, Load),
    model: Service,
    running: Vec<Work>,
    waiting: VecDeque<Work>,
    advanced: Time,
    cache: VecDeque<u64>,
}

/// Work left below this is done: rounding to microseconds loses as much.
const DONE_UNITS: f64 = 1e-3;

impl Endpoint {
    pub(crate) fn new(service: usize, model: &Service, domain: &'static str) -> Self {
        let mut endpoint = Self {
            service,
            domain,
            is_gone: false,
            change: 0,
            done: 0.0,
            report: (Time::ZERO, Load::default()),
            model: model.clone(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            advanced: Time::ZERO,
            cache: VecDeque::new(),
        };
        endpoint.make_report(Time::ZERO);
        endpoint
    }

    /// Takes work in, and returns whether there was room.
    pub(crate) fn take(&mut self, now: Time, work: Work) -> bool {
        self.advance(now);
        if self.is_gone || self.waiting.len() >= self.model.queue {
            return false;
        }
        self.waiting.push_back(work);
        self.fill();
        true
    }

    /// Returns the jobs that are done by `now`.
    pub(crate) fn finish(&mut self, now: Time) -> Vec<usize> {
        self.advance(now);
        let is_done = |work: &Work| work.units <= DONE_UNITS;
        let done = self.running.iter().filter(|work| is_done(work));
        let done: Vec<_> = done.map(|work| work.job).collect();
        self.running.retain(|work| !is_done(work));
        self.fill();
        done
    }

    /// Ends the endpoint, and returns the jobs that it had.
    pub(crate) fn end(&mut self) -> Vec<usize> {
        self.is_gone = true;
        self.change += 1;
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        all.map(|work| work.job).collect()
    }

    /// Returns when the next job is done, if nothing changes before.
    pub(crate) fn next_done(&self) -> Option<Time> {
        let speed = self.speed();
        let least = self.running.iter().map(|work| work.units);
        let least = least.min_by(f64::total_cmp)?;
        let micros = (least / speed * 1e6).ceil().max(1.0);
        Some(Time::from_micros(self.advanced.micros() + micros as u64))
    }

    /// Makes the report that VMs read until the next one.
    pub(crate) fn make_report(&mut self, now: Time) {
        let load = Load {
            in_flight: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            slots: self.model.slots,
            ..Load::default()
        };
        self.report = (now, load);
    }

    fn fill(&mut self) {
        self.change += 1;
        while self.running.len() < self.model.slots as usize {
            let Some(mut work) = self.waiting.pop_front() else {
                return;
            };
            work.units += self.miss(work.prefix);
            self.running.push(work);
        }
    }

    fn miss(&mut self, prefix: u64) -> f64 {
        let (places, _) = self.model.prefixes;
        if places == 0 {
            return 0.0;
        }
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(place) = found {
            self.cache.remove(place);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(places);
        if found.is_some() {
            0.0
        } else {
            self.model.miss_units
        }
    }

    fn advance(&mut self, now: Time) {
        let units = (now - self.advanced).as_secs_f64() * self.speed();
        self.advanced = now;
        for work in &mut self.running {
            self.done += units.min(work.units);
            work.units -= units;
        }
    }

    /// Units a second of each running job. A batch shares the endpoint's
    /// speed; the slots of a plain service are independent.
    fn speed(&self) -> f64 {
        let parts = match self.model.is_shared {
            true => self.running.len().max(1) as f64,
            false => f64::from(self.model.slots),
        };
        self.model.units_per_s / parts
    }
}
