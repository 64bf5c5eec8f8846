//! The slots of this VM's running jobs: which job may start its next item, and
//! which job to wake when a slot becomes free.
//!
//! The decision is [`policy::schedule`]. This module keeps one scheduler per
//! service in memory. Nothing of it is stored: a VM that takes a job over adds it
//! to its own scheduler.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use board::{
    Time,
    hash::{self, Map},
};
use platform::items::Items;
use policy::schedule::{Choice, Item, JobKey, Needs, Plan, Scheduler};

use super::{Registry, text::Source};
use crate::{
    facts::Facts,
    forward::Slot,
    metrics::Metrics,
    notify::Notifier,
    placement::{self, Criteria},
};

/// How long it is assumed that no endpoint can take an item, unless a slot
/// becomes free before.
const BLOCKED_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The minimum time between two log lines about the jobs of a service.
const LOG_PERIOD: Duration = Duration::from_secs(1);
/// The time that stands for the start of this process. Jobs may have been
/// submitted before it.
const START: Time = Time::from_millis(24 * 3600 * 1000);

/// The schedulers of this VM's running jobs. Clones share them.
#[derive(Clone)]
pub struct Schedule(Rc<Inner>);

struct Inner {
    facts: Rc<RefCell<Facts>>,
    metrics: Metrics,
    started_at: Instant,
    pools: RefCell<Map<String, Pool>>,
}

/// The running jobs of one service.
#[derive(Default)]
struct Pool {
    scheduler: Scheduler,
    /// Wakes the execution of each job.
    turns: Map<JobKey, Notifier>,
    logged_at: Option<Instant>,
}

/// What a job may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// All its items in its own order: there are slots for all waiting items, or all of
    /// them can be on time and no item of a more urgent job can start.
    All,
    /// The item with this index.
    Item(usize),
    /// Nothing now.
    Nothing,
}

impl Schedule {
    /// Returns a schedule without jobs for the endpoints of `facts`.
    pub fn new(facts: Rc<RefCell<Facts>>, metrics: Metrics) -> Self {
        Self(Rc::new(Inner {
            facts,
            metrics,
            started_at: Instant::now(),
            pools: RefCell::default(),
        }))
    }

    /// Returns the time for `at` in the schedulers.
    pub(super) fn time(&self, at: Instant) -> Time {
        let start = self.0.started_at;
        START + at.saturating_duration_since(start) - start.saturating_duration_since(at)
    }

    /// Adds a job of `service`, of which no item waits yet. It is removed when
    /// the entry is dropped.
    pub(super) fn add(&self, service: &str, plan: Plan, items: &[Item<'_>]) -> Entry {
        let turn = Notifier::default();
        let mut pools = self.0.pools.borrow_mut();
        let pool = pools.entry(service.to_string()).or_default();
        let key = pool.scheduler.add(plan, items);
        pool.turns.insert(key, turn.clone());
        Entry {
            schedule: self.clone(),
            service: service.to_string(),
            key,
            turn,
            rank: plan.rank,
        }
    }

    /// Wakes the job whose item gets the next slot of `service`.
    fn wake_next(&self, service: &str, now: Instant) {
        let mut pools = self.0.pools.borrow_mut();
        let Some(pool) = pools.get_mut(service) else {
            return;
        };
        pool.scheduler.release();
        if pool.scheduler.waiting() == 0 {
            return;
        }
        let slots = {
            let facts = self.0.facts.borrow();
            if free_slots(&facts, service, now) == 0 {
                return;
            }
            slots(&facts, service)
        };
        let choice = pool.scheduler.next(slots, self.time(now));
        let turn = choice.and_then(|choice| pool.turns.get(&choice.job).cloned());
        // The borrow ends first, since a waker may run code that borrows again.
        drop(pools);
        if let Some(turn) = turn {
            turn.notify();
        }
    }
}

/// Returns the number of free slots at all endpoints of `service` that accept
/// requests now, whatever their models.
fn free_slots(facts: &Facts, service: &str, now: Instant) -> usize {
    let criteria = Criteria {
        service,
        may_wait: true,
        ..Criteria::default()
    };
    placement::free_slots(facts, criteria, now)
}

/// Returns the number of slots of all endpoints of `service`.
fn slots(facts: &Facts, service: &str) -> usize {
    let endpoints = facts.endpoints.values();
    let own = endpoints.filter(|endpoint| endpoint.record.service == service);
    own.map(|endpoint| endpoint.record.slots as usize).sum()
}

/// A job in a [`Schedule`].
pub(super) struct Entry {
    schedule: Schedule,
    service: String,
    key: JobKey,
    turn: Notifier,
    rank: u8,
}

impl Entry {
    /// Returns the notifier of slots for this job.
    pub(super) fn turn(&self) -> &Notifier {
        &self.turn
    }

    /// Returns what the job may start while `usable` slots are free at endpoints
    /// that have its model. Wakes another job if an item of that one comes first.
    pub(super) fn next(&self, usable: usize, now: Instant, view_age: Duration) -> Turn {
        let inner = &self.schedule.0;
        let mut pools = inner.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&self.service) else {
            return Turn::Nothing;
        };
        if pool.scheduler.waiting() <= usable {
            return Turn::All;
        }
        let (free, slots) = {
            let facts = inner.facts.borrow();
            let free = free_slots(&facts, &self.service, now);
            (free, slots(&facts, &self.service))
        };
        if free == 0 {
            return Turn::Nothing;
        }
        let time = self.schedule.time(now);
        let Some(choice) = pool.scheduler.next(slots, time) else {
            return Turn::Nothing;
        };
        let put_last = pool.scheduler.take_put_last();
        pool.log(&self.service, choice, (free, slots), now, time, view_age);
        if !pool.scheduler.is_short(slots, time) {
            let urgent = pool.scheduler.urgent_before(self.key, time);
            let turn = urgent.and_then(|job| pool.turns.get(&job).cloned());
            drop(pools);
            return match turn {
                Some(turn) => {
                    turn.notify();
                    Turn::Nothing
                }
                None => Turn::All,
            };
        }
        for (rank, precedence) in put_last {
            inner.metrics.record_group_put_last(rank, precedence.name());
        }
        if choice.job == self.key {
            return Turn::Item(choice.item);
        }
        let turn = pool.turns.get(&choice.job).cloned();
        drop(pools);
        if let Some(turn) = turn {
            turn.notify();
        }
        Turn::Nothing
    }

    /// Wakes the other jobs with waiting items, after this one started all of its
    /// own.
    pub(super) fn wake_others(&self) {
        let turns: Vec<Notifier> = {
            let pools = self.schedule.0.pools.borrow();
            let Some(pool) = pools.get(&self.service) else {
                return;
            };
            let jobs = pool.scheduler.waiting_jobs().filter(|key| *key != self.key);
            jobs.filter_map(|key| pool.turns.get(&key).cloned())
                .collect()
        };
        turns.iter().for_each(Notifier::notify);
    }

    /// Records that `item` waits for a slot, which it can use from `not_before`
    /// on.
    pub(super) fn wait(&self, item: usize, not_before: Time, needs: Needs) {
        self.update(|scheduler| scheduler.wait(self.key, item, not_before, needs));
    }

    /// Records that `item` got `slot`, and returns a slot whose end wakes the next
    /// item.
    pub(super) fn start(&self, item: usize, slot: Slot, now: Instant) -> ScheduledSlot {
        let time = self.schedule.time(now);
        self.update(|scheduler| scheduler.start(self.key, item, time));
        self.schedule.0.metrics.record_scheduled_slot(self.rank);
        ScheduledSlot {
            slot: Some(slot),
            schedule: self.schedule.clone(),
            service: self.service.clone(),
        }
    }

    /// Records that `item` will not run again.
    pub(super) fn finish(&self, item: usize) {
        self.update(|scheduler| scheduler.finish(self.key, item));
    }

    /// Records that no endpoint can take items with `needs` now.
    pub(super) fn block(&self, needs: Needs, now: Instant) {
        let until = self.schedule.time(now + BLOCKED_RETRY_DELAY);
        self.update(|scheduler| scheduler.block(needs, until));
    }

    fn update(&self, change: impl FnOnce(&mut Scheduler)) {
        let mut pools = self.schedule.0.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&self.service) {
            change(&mut pool.scheduler);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        {
            let mut pools = self.schedule.0.pools.borrow_mut();
            if let Some(pool) = pools.get_mut(&self.service) {
                pool.scheduler.remove(self.key);
                pool.turns.remove(&self.key);
                if pool.turns.is_empty() {
                    pools.remove(&self.service);
                }
            }
        }
        // Its turn may be the next one.
        self.schedule.wake_next(&self.service, Instant::now());
    }
}

impl Pool {
    /// Logs what was decided with `free` slots of all, at most once per
    /// [`LOG_PERIOD`].
    fn log(
        &mut self,
        service: &str,
        choice: Choice,
        (free, slots): (usize, usize),
        now: Instant,
        time: Time,
        view_age: Duration,
    ) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOG_PERIOD;
        if self.logged_at.is_some_and(is_recent) {
            return;
        }
        self.logged_at = Some(now);
        let (waiting, jobs) = (self.scheduler.waiting(), self.turns.len());
        let summary = self.scheduler.summary(slots, time);
        let (on_time, late, unwanted) = (summary.on_time, summary.late, summary.unwanted);
        let (rank, precedence) = (choice.rank, choice.precedence.name());
        let (is_aged, view_age_ms) = (choice.is_aged, view_age.as_millis() as u64);
        spdlog::info!("slots are scarce, items start by urgency", kv: { service, waiting, jobs, free, slots, on_time, late, unwanted, rank, precedence, is_aged, view_age_ms });
    }
}

/// A slot at an endpoint. When it is dropped, the next waiting item is woken.
pub(super) struct ScheduledSlot {
    slot: Option<Slot>,
    schedule: Schedule,
    service: String,
}

impl Drop for ScheduledSlot {
    fn drop(&mut self) {
        self.slot = None;
        self.schedule.wake_next(&self.service, Instant::now());
    }
}

/// Returns a digest of what an item requires of an endpoint.
pub(super) fn needs(model: Option<&str>, oldest_version: u64, source: Option<Source<'_>>) -> Needs {
    Needs(hash::hash_value(&(model, oldest_version, source)))
}

/// Returns the items of a job for the scheduler. `is_finished` says which ended
/// before.
pub(super) fn scheduled_items<'a>(
    items: &'a Items,
    model: Option<&str>,
    registry: &Registry,
    is_finished: impl Fn(&str) -> bool,
) -> Vec<Item<'a>> {
    let scheduled = (0..items.len()).map(|position| {
        let expected = items.expected_tokens(position);
        let output = items.output_tokens(position);
        // No item generates more tokens than it may, whatever the estimate says.
        let tokens = match output {
            0 => expected,
            _ => expected.min(output),
        };
        Item {
            group: items.group(position).map(|group| items.group_name(group)),
            run_time: Duration::from_millis(registry.work_ms(model, tokens)),
            is_finished: is_finished(items.id(position)),
        }
    });
    scheduled.collect()
}
