//! A simulated endpoint with slots, a queue and a prefix cache.

use std::collections::VecDeque;

use board::{Time, endpoint::Load};

use crate::plan::Service;

/// A request at an endpoint, with the work that remains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) request: usize,
    pub(crate) units: f64,
    pub(crate) prefix: u64,
}

/// A simulated endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) service: usize,
    pub(crate) domain: &'static str,
    pub(crate) is_removed: bool,
    /// Increases whenever the set of running requests may change, which makes
    /// completion events scheduled earlier obsolete.
    pub(crate) generation: u64,
    /// Units of work done so far.
    pub(crate) done_units: f64,
    /// The last load report, with the time at which it was made.
    pub(crate) report: (Time, Load),
    spec: Service,
    running: Vec<Work>,
    waiting: VecDeque<Work>,
    /// The time up to which work is accounted for.
    advanced_at: Time,
    /// Cached prefixes, most recently used first.
    cache: VecDeque<u64>,
}

/// A request with at most this much work left is complete, because times are
/// rounded to microseconds.
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

    /// Queues work and starts it when a slot is free. Returns false when the
    /// endpoint is removed or its queue is full.
    pub(crate) fn accept(&mut self, now: Time, work: Work) -> bool {
        self.advance(now);
        if self.is_removed || self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.waiting.push_back(work);
        self.start_waiting();
        true
    }

    /// Removes and returns the requests that are complete at `now`.
    pub(crate) fn take_completed(&mut self, now: Time) -> Vec<usize> {
        self.advance(now);
        let is_done = |work: &Work| work.units <= UNITS_EPSILON;
        let done = self.running.iter().filter(|work| is_done(work));
        let done: Vec<_> = done.map(|work| work.request).collect();
        self.running.retain(|work| !is_done(work));
        self.start_waiting();
        done
    }

    /// Removes the endpoint and returns the requests that it had.
    pub(crate) fn remove(&mut self) -> Vec<usize> {
        self.is_removed = true;
        self.generation += 1;
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        all.map(|work| work.request).collect()
    }

    /// Returns the time at which the next request completes if no other request
    /// starts before.
    pub(crate) fn next_completion(&self) -> Option<Time> {
        let speed = self.speed();
        let smallest = self.running.iter().map(|work| work.units);
        let smallest = smallest.min_by(f64::total_cmp)?;
        let micros = (smallest / speed * 1e6).ceil().max(1.0);
        Some(Time::from_micros(self.advanced_at.micros() + micros as u64))
    }

    /// Replaces the load report that VMs read.
    pub(crate) fn update_report(&mut self, now: Time) {
        let load = Load {
            in_flight: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            slots: self.spec.slots,
            ..Load::default()
        };
        self.report = (now, load);
    }

    /// Starts waiting requests while slots are free.
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

    /// Caches a prefix and returns the extra work when it was not cached yet.
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

    /// Accounts for the work done up to `now`.
    fn advance(&mut self, now: Time) {
        let units = (now - self.advanced_at).as_secs_f64() * self.speed();
        self.advanced_at = now;
        for work in &mut self.running {
            self.done_units += units.min(work.units);
            work.units -= units;
        }
    }

    /// Returns the units of work per second for each running request. A batch
    /// shares the endpoint's speed; the slots of a plain service do not affect
    /// one another.
    fn speed(&self) -> f64 {
        let sharers = match self.spec.is_batched {
            true => self.running.len().max(1) as f64,
            false => f64::from(self.spec.slots),
        };
        self.spec.units_per_s / sharers
    }
}
