//! Which item of which job gets the next slot of a service, over all jobs that
//! one VM runs.
//!
//! The load: trainers of different ranks submit a job every few seconds. Its
//! items form groups, and a group is worth its full credit only if all its items
//! end by the due time of the job. With too few slots, the order decides how
//! many groups are whole in time, so it is by group:
//!
//! 1. groups that their trainer waits for and that can still be on time,
//!    earliest latest start first; each rank adds [`RANK_STEP`] to it,
//! 2. groups that it waits for and that cannot be on time any more, which earn
//!    less,
//! 3. groups beyond the number that it waits for.
//!
//! The latest start of a group is its due time less the time that its longest
//! waiting item needs. It is a fixed time, so groups that wait come before groups
//! of any rank that are submitted some seconds later. A job waits for the groups
//! that have begun, then for those that come first in it, among them the items
//! that come again from an earlier step. Within a group, the longest item comes
//! first.
//!
//! One in [`AGED_INTERVAL`] slots goes to the oldest job that has waited for
//! [`AGED_AFTER`], so that late and unwanted groups do not starve either.
//!
//! A decision is made for each slot that becomes free. It looks at the groups of
//! those jobs of which an item has changed, and sorts the groups of these.

use std::{collections::BTreeMap, time::Duration};

use board::{Time, hash::Map};

/// How long after its due time a group still counts as on time.
const GRACE: Duration = Duration::from_millis(700);
/// The part of its estimated run time after which an item may have ended.
/// Estimates are right in the median, but too high by a factor of two for many
/// items. A group that has begun must not be put last for a wrong estimate. One that
/// has not begun has to fit with its full estimate: with half of it, two trainers
/// with slots for two thirds of their items got 0.55 of their credit in place of
/// 0.78 in trials on the model of `tests/schedule.rs`, since they began groups that
/// were not whole in time.
const OPTIMISM_DIVISOR: u32 = 2;
/// How much later a group of one rank may have to start than a group of the next,
/// less urgent rank and still come before it. In trials on the model of
/// `tests/schedule.rs`, a strict order by rank cost the least urgent trainer two
/// thirds of its credit where a tenth of the slots was missing. Without a step, the
/// most urgent trainer got up to 0.1 less than others.
pub const RANK_STEP: Duration = Duration::from_secs(1);
/// How much earlier than others of its job a group comes that has begun, so that
/// whole groups end. Only one with a much longer item comes before it.
const BEGUN_ADVANCE: Duration = Duration::from_secs(2);
/// How long after its submission a job may get slots for its age. A trainer
/// submits a step about every 4 s, so an older job competes with its successor.
pub const AGED_AFTER: Duration = Duration::from_secs(4);
/// One in this many slots goes to an aged job. The share is small because it is
/// taken from groups that can still be on time.
pub const AGED_INTERVAL: u32 = 16;
/// How long the order of a job's groups is used while its items do not change.
/// It is much less than the time between two reads of a trainer.
const RANKS_AGE_MAX: Duration = Duration::from_millis(20);
/// How many times its estimated run time an item has to run to count as a
/// straggler. While its group waits only for stragglers, another group takes its
/// place among those that the trainer waits for.
const STRAGGLER_FACTOR: u32 = 2;
/// The due time of a job without one, for its order among jobs of its rank.
const DEFAULT_TARGET: Duration = Duration::from_secs(10);

board::record! {
    /// Identifies a job in a [`Scheduler`]. Keys rise in the order of addition.
    copy pub struct JobKey(u64);
}

/// A job to schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// When it was submitted.
    pub submitted: Time,
    /// When its groups are due.
    pub due: Option<Time>,
    /// The number of groups that its trainer waits for.
    pub groups_wanted: Option<usize>,
}

/// An item of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item<'a> {
    /// The name of its group.
    pub group: Option<&'a str>,
    /// The estimated time that it occupies a slot.
    pub run_time: Duration,
    /// Whether it ended before the job was added.
    pub is_finished: bool,
}

/// A digest of what an item requires of an endpoint. Items with the same digest
/// can run at the same endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Needs(pub u64);

/// The precedence of a group, the highest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// It is wanted and can be on time.
    #[default]
    OnTime,
    /// It is wanted and cannot be on time.
    Late,
    /// The trainer does not wait for it.
    Unwanted,
}

impl Precedence {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OnTime => "on-time",
            Self::Late => "late",
            Self::Unwanted => "unwanted",
        }
    }
}

/// The item that gets the next slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its job.
    pub job: JobKey,
    /// Its index in the job.
    pub item: usize,
    /// The rank of its job.
    pub rank: u8,
    /// The precedence of its group.
    pub precedence: Precedence,
    /// Whether it was chosen for the age of its job.
    pub is_aged: bool,
}

/// Numbers of unfinished groups, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Wanted groups that can be on time.
    pub on_time: usize,
    /// Wanted groups that cannot be on time.
    pub late: usize,
    /// Groups that no trainer waits for.
    pub unwanted: usize,
}

/// Chooses among the waiting items of jobs that share the slots of a service.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    jobs: BTreeMap<JobKey, Job>,
    next_key: u64,
    /// Requirements that no endpoint meets now, and until when this is assumed.
    blocked: Vec<(Needs, Time)>,
    /// The number of starts since the last one for the age of a job.
    starts_since_aged: u32,
    /// Groups that were put last and not yet reported.
    put_last: Vec<(u8, Precedence)>,
}

#[derive(Clone, Debug)]
struct Job {
    plan: Plan,
    items: Vec<ItemState>,
    groups: Vec<Group>,
    /// Whether the groups and the due time determine the order.
    is_timed: bool,
    /// The number of waiting items.
    waiting: usize,
    /// The number of groups of which all items ended.
    groups_complete: usize,
    /// When the precedence of its groups was determined; `None` if an item has
    /// changed since.
    ranked_at: Option<Time>,
    /// The result of [`Job::best_group`] if it depends on nothing else.
    best: Option<(GroupOrder, usize)>,
}

#[derive(Clone, Copy, Debug)]
struct ItemState {
    group: usize,
    run_time: Duration,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Neither waiting nor running, for instance not yet queued.
    Idle,
    Waiting {
        not_before: Time,
        needs: Needs,
    },
    Running,
    Finished,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// The waiting items, the longest first.
    waiting: Vec<usize>,
    /// The estimated run time of the waiting items.
    waiting_time: Duration,
    /// The number of running items.
    running: usize,
    /// When the running items may have ended.
    running_until: Time,
    /// When the running items have taken much longer than estimated.
    running_limit: Time,
    /// The number of items that have not ended.
    unfinished: usize,
    /// Whether an item was started or ended.
    has_begun: bool,
    /// Whether its items have no group. The trainer waits for none of them.
    is_ungrouped: bool,
    /// Whether it cannot be on time any more.
    is_late: bool,
    precedence: Precedence,
    /// Whether [`Scheduler::take_put_last`] has counted it.
    was_put_last: bool,
}

/// The position of a group among those of its job, the smallest first.
type GroupOrder = (Precedence, Time, usize);

impl Scheduler {
    /// Adds a job, of which no item waits yet.
    pub fn add(&mut self, plan: Plan, items: &[Item<'_>]) -> JobKey {
        let key = JobKey(self.next_key);
        self.next_key += 1;
        self.jobs.insert(key, Job::new(plan, items));
        key
    }

    /// Removes a job.
    pub fn remove(&mut self, job: JobKey) {
        self.jobs.remove(&job);
    }

    /// Records that an item waits for a slot, which it can use from `not_before`
    /// on.
    pub fn wait(&mut self, job: JobKey, item: usize, not_before: Time, needs: Needs) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.set(item, State::Waiting { not_before, needs }, Time::ZERO);
        }
    }

    /// Records that an item got a slot.
    pub fn start(&mut self, job: JobKey, item: usize, now: Time) {
        let is_aged_turn = self.is_aged_turn();
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        job.set(item, State::Running, now);
        self.starts_since_aged = match is_aged_turn && job.is_aged(now) {
            true => 0,
            false => self.starts_since_aged.saturating_add(1),
        };
    }

    /// Records that an item ended and will not run again.
    pub fn finish(&mut self, job: JobKey, item: usize) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.set(item, State::Finished, Time::ZERO);
        }
    }

    /// Records that no endpoint can take items with `needs`. They are passed over
    /// until `until`, or until a slot becomes free.
    pub fn block(&mut self, needs: Needs, until: Time) {
        self.blocked.retain(|(known, _)| *known != needs);
        self.blocked.push((needs, until));
    }

    /// Records that a slot became free.
    pub fn release(&mut self) {
        self.blocked.clear();
    }

    /// Returns the number of waiting items, also of those that cannot start now.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|job| job.waiting).sum()
    }

    /// Returns the jobs with waiting items.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = JobKey> {
        let jobs = self.jobs.iter().filter(|(_, job)| job.waiting > 0);
        jobs.map(|(key, _)| *key)
    }

    /// Returns the item that gets the next slot of a service with `slots` slots.
    /// `None` if no waiting item can start now.
    pub fn next(&mut self, slots: usize, now: Time) -> Option<Choice> {
        self.blocked.retain(|(_, until)| *until > now);
        if self.is_aged_turn()
            && let Some(choice) = self.next_aged(slots, now)
        {
            return Some(choice);
        }
        let mut best = None;
        for (key, job) in &mut self.jobs {
            let found = job.best_group(slots, now, &self.blocked, &mut self.put_last);
            let Some((order, item)) = found else {
                continue;
            };
            let plan = &job.plan;
            let start = order.1 + RANK_STEP * u32::from(plan.rank);
            let rank = (order.0, start, plan.rank, plan.submitted, *key);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, item));
            }
        }
        let ((precedence, _, rank, _, job), item) = best?;
        let is_aged = false;
        Some(Choice {
            job,
            item,
            rank,
            precedence,
            is_aged,
        })
    }

    /// Returns whether some waiting items cannot end by their due time because of the
    /// others that wait. If not, the order by group only delays steps: a step ends
    /// with its longest item, and its trainer asks for the next one then.
    pub fn is_short(&self, slots: usize, now: Time) -> bool {
        let waiting = self.jobs.values().map(|job| job.waiting_time());
        let waiting = waiting.fold(Duration::ZERO, Duration::saturating_add);
        let backlog = waiting / (slots.clamp(1, u32::MAX as usize) as u32);
        let mut timed = self.jobs.values().filter(|job| job.is_timed);
        timed.any(|job| job.is_short(backlog, now))
    }

    /// Returns a job of a more urgent rank than `job` with an item that can start now.
    /// `None` if `job` may start its own items before that one.
    pub fn urgent_before(&self, job: JobKey, now: Time) -> Option<JobKey> {
        let own = self.jobs.get(&job)?;
        if self.is_aged_turn() && own.is_aged(now) {
            return None;
        }
        let urgent = self.jobs.iter().filter(|(_, other)| {
            let is_urgent = other.plan.rank < own.plan.rank;
            is_urgent && other.can_start(&self.blocked, now)
        });
        let first = urgent.min_by_key(|(key, other)| (other.plan.rank, **key));
        first.map(|(key, _)| *key)
    }

    /// Returns the groups that were put last since the last call, each once, with
    /// the rank of their job.
    pub fn take_put_last(&mut self) -> Vec<(u8, Precedence)> {
        std::mem::take(&mut self.put_last)
    }

    /// Returns how many unfinished groups have each precedence.
    pub fn summary(&mut self, slots: usize, now: Time) -> Summary {
        let mut summary = Summary::default();
        for job in self.jobs.values_mut() {
            job.rank_groups(slots, now);
            for group in job.groups.iter().filter(|group| group.unfinished > 0) {
                match group.precedence {
                    Precedence::OnTime => summary.on_time += 1,
                    Precedence::Late => summary.late += 1,
                    Precedence::Unwanted => summary.unwanted += 1,
                }
            }
        }
        summary
    }

    fn is_aged_turn(&self) -> bool {
        self.starts_since_aged >= AGED_INTERVAL - 1
    }

    /// Returns the item of the oldest job that waits for a long time.
    fn next_aged(&mut self, slots: usize, now: Time) -> Option<Choice> {
        let mut best = None;
        for (key, job) in &mut self.jobs {
            let order = (job.plan.submitted, *key);
            if !job.is_aged(now) || best.is_some_and(|(least, _)| order >= least) {
                continue;
            }
            let found = job.best_group(slots, now, &self.blocked, &mut self.put_last);
            if let Some(((precedence, _, _), item)) = found {
                let choice = Choice {
                    job: *key,
                    item,
                    rank: job.plan.rank,
                    precedence,
                    is_aged: true,
                };
                best = Some((order, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }
}

impl Job {
    fn new(plan: Plan, items: &[Item<'_>]) -> Self {
        let has_groups = items.iter().any(|item| item.group.is_some());
        // A trainer that waits for no group says nothing about its groups.
        let is_wanted = plan.groups_wanted.is_some_and(|groups| groups > 0);
        let is_timed = has_groups && plan.due.is_some() && is_wanted;
        let mut job = Self {
            plan,
            items: Vec::with_capacity(items.len()),
            groups: Vec::new(),
            is_timed,
            waiting: 0,
            groups_complete: 0,
            ranked_at: None,
            best: None,
        };
        let mut numbers: Map<Option<&str>, usize> = Map::default();
        for item in items {
            // A job that is not timed is one group, so its longest items come
            // first.
            let name = item.group.filter(|_| is_timed);
            let group = *numbers.entry(name).or_insert_with(|| {
                job.groups.push(Group {
                    is_ungrouped: name.is_none(),
                    ..Group::default()
                });
                job.groups.len() - 1
            });
            job.groups[group].unfinished += 1;
            job.items.push(ItemState {
                group,
                run_time: item.run_time,
                state: State::Idle,
            });
        }
        for (index, item) in items.iter().enumerate() {
            if item.is_finished {
                job.set(index, State::Finished, Time::ZERO);
            }
        }
        job
    }

    fn is_aged(&self, now: Time) -> bool {
        now - self.plan.submitted >= AGED_AFTER
    }

    /// Returns whether an item waits that is not passed over.
    fn can_start(&self, blocked: &[(Needs, Time)], now: Time) -> bool {
        self.waiting > 0
            && self.items.iter().any(|item| match item.state {
                State::Waiting { not_before, needs } => {
                    let is_blocked =
                        |(known, until): &(Needs, Time)| *known == needs && *until > now;
                    not_before <= now && !blocked.iter().any(is_blocked)
                }
                _ => false,
            })
    }

    fn waiting_time(&self) -> Duration {
        let times = self.groups.iter().map(|group| group.waiting_time);
        times.fold(Duration::ZERO, Duration::saturating_add)
    }

    /// Returns whether the longest waiting item that can be on time alone cannot be
    /// after `backlog`.
    fn is_short(&self, backlog: Duration, now: Time) -> bool {
        let left = (self.plan.due.unwrap_or_default() + GRACE) - now;
        let first = self.groups.iter().filter_map(|group| group.waiting.first());
        let mut times = first.map(|item| self.items[*item].run_time / OPTIMISM_DIVISOR);
        times.any(|time| time <= left && time.saturating_add(backlog) > left)
    }

    fn set(&mut self, index: usize, state: State, now: Time) {
        let Some(item) = self.items.get_mut(index) else {
            return;
        };
        (self.ranked_at, self.best) = (None, None);
        let (run_time, group) = (item.run_time, &mut self.groups[item.group]);
        let former = std::mem::replace(&mut item.state, state);
        match former {
            State::Idle => {}
            State::Waiting { .. } => {
                self.waiting -= 1;
                group.waiting.retain(|known| *known != index);
                group.waiting_time = group.waiting_time.saturating_sub(run_time);
            }
            State::Running => group.running -= 1,
            // An item that has ended stays so.
            State::Finished => {
                item.state = former;
                return;
            }
        }
        match state {
            State::Idle => {}
            State::Waiting { .. } => {
                self.waiting += 1;
                group.waiting_time = group.waiting_time.saturating_add(run_time);
                let items = &self.items;
                let is_before =
                    |known: &usize| (items[*known].run_time, index) > (run_time, *known);
                let position = group.waiting.partition_point(is_before);
                group.waiting.insert(position, index);
            }
            State::Running => {
                group.has_begun = true;
                if group.running == 0 {
                    group.running_until = Time::ZERO;
                    group.running_limit = Time::ZERO;
                }
                let until = now + run_time / OPTIMISM_DIVISOR;
                let limit = now + run_time.saturating_mul(STRAGGLER_FACTOR);
                group.running_until = group.running_until.max(until);
                group.running_limit = group.running_limit.max(limit);
                group.running += 1;
            }
            State::Finished => {
                group.has_begun = true;
                group.unfinished -= 1;
                if group.unfinished == 0 && !group.is_ungrouped {
                    self.groups_complete += 1;
                }
            }
        }
    }

    /// Determines the precedence of each unfinished group.
    fn rank_groups(&mut self, slots: usize, now: Time) {
        let is_recent = |at: Time| now - at < RANKS_AGE_MAX;
        if !self.is_timed || self.ranked_at.is_some_and(is_recent) {
            return;
        }
        (self.ranked_at, self.best) = (Some(now), None);
        let due = self.plan.due.unwrap_or_default() + GRACE;
        // The number of groups that may be wanted: those that can be on time and
        // late ones, of each those that have begun and the others.
        let mut counts = [[0_usize; 2]; 2];
        for group in &mut self.groups {
            group.is_late = group.earliest_end(&self.items, slots, now) > due;
            if group.may_be_wanted(now) {
                counts[usize::from(group.is_late)][usize::from(!group.has_begun)] += 1;
            }
        }
        let wanted = self.plan.groups_wanted.unwrap_or_default();
        let mut missing = wanted.saturating_sub(self.groups_complete);
        for count in counts.iter_mut().flatten() {
            *count = missing.min(*count);
            missing -= *count;
        }
        // Groups that come again from an earlier step are the first ones, at most half
        // of those wanted. Of the others, those with the shortest longest item end the
        // step soonest.
        let kept = wanted.div_ceil(2);
        let mut order: Vec<usize> = (0..self.groups.len()).collect();
        order.sort_by_key(|index| match *index < kept {
            true => (Duration::ZERO, *index),
            false => (self.groups[*index].longest_waiting(&self.items), *index),
        });
        for index in order {
            let group = &mut self.groups[index];
            group.precedence = Precedence::Unwanted;
            let left = &mut counts[usize::from(group.is_late)][usize::from(!group.has_begun)];
            if group.may_be_wanted(now) && *left > 0 {
                *left -= 1;
                group.precedence = match group.is_late {
                    true => Precedence::Late,
                    false => Precedence::OnTime,
                };
            }
        }
    }

    /// Returns the first group with a waiting item that can start, and this item.
    fn best_group(
        &mut self,
        slots: usize,
        now: Time,
        blocked: &[(Needs, Time)],
        put_last: &mut Vec<(u8, Precedence)>,
    ) -> Option<(GroupOrder, usize)> {
        if self.waiting == 0 {
            return None;
        }
        self.rank_groups(slots, now);
        if self.best.is_some() && blocked.is_empty() {
            return self.best;
        }
        let due = self.plan.due.filter(|_| self.is_timed);
        let due = due.unwrap_or(self.plan.submitted + DEFAULT_TARGET);
        let can_start = |item: &&usize| match self.items[**item].state {
            State::Waiting { not_before, needs } => {
                not_before <= now && blocked.iter().all(|(known, _)| *known != needs)
            }
            _ => false,
        };
        let mut best: Option<(GroupOrder, usize)> = None;
        let groups = self.groups.iter_mut().enumerate();
        for (index, group) in groups.filter(|(_, group)| !group.waiting.is_empty()) {
            if group.precedence != Precedence::OnTime && !group.was_put_last {
                group.was_put_last = true;
                put_last.push((self.plan.rank, group.precedence));
            }
            let longest = group.waiting.first().map(|item| self.items[*item].run_time);
            let longest = longest.filter(|_| self.is_timed).unwrap_or_default();
            let advance = match group.has_begun && self.is_timed {
                true => BEGUN_ADVANCE,
                false => Duration::ZERO,
            };
            let order = (
                group.precedence,
                due - longest / OPTIMISM_DIVISOR - advance,
                index,
            );
            if best.is_none_or(|(least, _)| order < least)
                && let Some(item) = group.waiting.iter().find(can_start)
            {
                best = Some((order, *item));
            }
        }
        self.best = best.filter(|_| blocked.is_empty());
        best
    }
}

impl Group {
    /// Returns whether the trainer may still wait for the group.
    fn may_be_wanted(&self, now: Time) -> bool {
        let is_straggling = self.waiting.is_empty() && now > self.running_limit;
        self.unfinished > 0 && !self.is_ungrouped && !(self.running > 0 && is_straggling)
    }

    /// Returns the estimated run time of its longest waiting item.
    fn longest_waiting(&self, items: &[ItemState]) -> Duration {
        let first = self.waiting.first();
        first.map_or(Duration::ZERO, |index| items[*index].run_time)
    }

    /// Returns when all items of the group are expected to have ended at the
    /// earliest.
    fn earliest_end(&self, items: &[ItemState], slots: usize, now: Time) -> Time {
        let longest = self.longest_waiting(items);
        let longest = match self.has_begun {
            true => longest / OPTIMISM_DIVISOR,
            false => longest,
        };
        // Errors of the estimates average out over a group.
        let shared = self.waiting_time / (slots.clamp(1, u32::MAX as usize) as u32);
        let running_until = match self.running {
            0 => now,
            _ => self.running_until,
        };
        (now + longest.max(shared)).max(running_until)
    }
}
