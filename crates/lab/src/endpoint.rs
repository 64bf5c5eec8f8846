//! A model of an endpoint: slots, a queue and a prefix cache.

use std::collections::VecDeque;

use board::{Time, endpoint::Load};

use crate::plan::Service;

/// A request as the endpoint sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) request: usize,
    pub(crate) units: f64,
    pub(crate) prefix: u64,
}

/// An endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) service: usize,
    pub(crate) domain: &'static str,
    pub(crate) is_removed: bool,
    /// Grows with each change of what runs, so that old completions are known.
    pub(crate) generation: u64,
    /// Units done in all.
    pub(crate) done_units: f64,
    pub(crate) report: (Time, Load),
    spec: Service,
    running: Vec<Work>,
    waiting: VecDeque<Work>,
    advanced_at: Time,
    cache: VecDeque<u64>,
}

/// Work left below this is done: rounding to microseconds loses as much.
const UNITS_EPSILON: f64 = 1e-3;

impl Endpoint {
    pub(crate) fn new(service: usize, spec: &Service, domain: &'static str) -> Self {
        let mut endpoint = Self {
            service,
            domain,
            is_removed: false,
            generation: 0,
            done_units: 0.0,
            report: (Time::ZERO, Load::default()),
            spec: spec.clone(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            advanced_at: Time::ZERO,
            cache: VecDeque::new(),
        };
        endpoint.update_report(Time::ZERO);
        endpoint
    }

    /// Takes work in, and returns whether there was room.
    pub(crate) fn accept(&mut self, now: Time, work: Work) -> bool {
        self.advance(now);
        if self.is_removed || self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.waiting.push_back(work);
        self.start_waiting();
        true
    }

    /// Returns the jobs that are done by `now`.
    pub(crate) fn take_completed(&mut self, now: Time) -> Vec<usize> {
        self.advance(now);
        let is_done = |work: &Work| work.units <= UNITS_EPSILON;
        let done = self.running.iter().filter(|work| is_done(work));
        let done: Vec<_> = done.map(|work| work.request).collect();
        self.running.retain(|work| !is_done(work));
        self.start_waiting();
        done
    }

    /// Ends the endpoint, and returns the jobs that it had.
    pub(crate) fn remove(&mut self) -> Vec<usize> {
        self.is_removed = true;
        self.generation += 1;
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        all.map(|work| work.request).collect()
    }

    /// Returns when the next job is done, if nothing changes before.
    pub(crate) fn next_completion(&self) -> Option<Time> {
        let speed = self.speed();
        let smallest = self.running.iter().map(|work| work.units);
        let smallest = smallest.min_by(f64::total_cmp)?;
        let micros = (smallest / speed * 1e6).ceil().max(1.0);
        Some(Time::from_micros(self.advanced_at.micros() + micros as u64))
    }

    /// Makes the report that VMs read until the next one.
    pub(crate) fn update_report(&mut self, now: Time) {
        let load = Load {
            in_flight: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            slots: self.spec.slots,
            ..Load::default()
        };
        self.report = (now, load);
    }

    fn start_waiting(&mut self) {
        self.generation += 1;
        while self.running.len() < self.spec.slots as usize {
            let Some(mut work) = self.waiting.pop_front() else {
                return;
            };
            work.units += self.cache_miss_units(work.prefix);
            self.running.push(work);
        }
    }

    fn cache_miss_units(&mut self, prefix: u64) -> f64 {
        let (cached_max, _) = self.spec.prefixes;
        if cached_max == 0 {
            return 0.0;
        }
        let cached_at = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = cached_at {
            self.cache.remove(index);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(cached_max);
        if cached_at.is_some() {
            0.0
        } else {
            self.spec.miss_units
        }
    }

    fn advance(&mut self, now: Time) {
        let units = (now - self.advanced_at).as_secs_f64() * self.speed();
        self.advanced_at = now;
        for work in &mut self.running {
            self.done_units += units.min(work.units);
            work.units -= units;
        }
    }

    /// Units a second of each running job. A batch shares the endpoint's
    /// speed; the slots of a plain service are independent.
    fn speed(&self) -> f64 {
        let sharers = match self.spec.is_batched {
            true => self.running.len().max(1) as f64,
            false => f64::from(self.spec.slots),
        };
        self.spec.units_per_s / sharers
    }
}
