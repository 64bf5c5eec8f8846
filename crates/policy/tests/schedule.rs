//! Tests of the order in which items of jobs get slots, against a small model
//! of slots and trainers.

use std::{collections::BTreeMap, time::Duration};

use board::Time;
use proptest::prelude::*;
use tarragonseam_policy::schedule::{
    AGED_AFTER, AGED_INTERVAL, Choice, Item, JobKey, Needs, Plan, Precedence, Scheduler,
};

/// How long after its submission a step is due, and given up.
const TARGET_MS: u64 = 7_500;
const GIVEN_UP_MS: u64 = 12_000;
/// How much later than due a group still earns its full credit.
const SLACK_MS: u64 = 700;
/// The credit of a group that is complete later.
const LATE_CREDIT: f64 = 0.4;

/// A trainer that submits a step every `every_ms`.
#[derive(Clone, Copy)]
struct Trainer {
    rank: u8,
    every_ms: u64,
    groups: usize,
    group_size: usize,
    mean_ms: u64,
}

/// Who gets a slot that becomes free.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    /// The scheduler decides.
    Scheduled,
    /// Each job starts its own items, the longest first: the job whose item
    /// ended, or else the next one in turn.
    OwnJob,
}

struct Step {
    trainer: usize,
    at: u64,
    /// The group, the true run time and the estimate of each item.
    items: Vec<(usize, u64, u64)>,
    started: Vec<bool>,
    ended: Vec<Option<u64>>,
}

/// Returns a number that is spread evenly over 0..1000 and depends on `seed`.
fn spread(seed: u64) -> u64 {
    let mixed = (seed + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) % 1_000
}

fn step(trainer: usize, of: &Trainer, at: u64) -> Step {
    let count = of.groups * of.group_size;
    let items = (0..count).map(|item| {
        let seed = at * 131 + (trainer * 7_919 + item) as u64;
        // Most items are short, a few are seven times as long as the mean.
        let time = match spread(seed) {
            n if n >= 980 => of.mean_ms * 7,
            n => of.mean_ms * (400 + n) / 880,
        };
        // Estimates are right in the median and off by up to a factor of two.
        let estimate = time * (500 + spread(seed ^ 0x5555)) / 1_000;
        (item / of.group_size, time, estimate)
    });
    let (started, ended) = (vec![false; count], vec![None; count]);
    Step {
        trainer,
        at,
        items: items.collect(),
        started,
        ended,
    }
}

impl Step {
    fn is_open(&self, now: u64) -> bool {
        (self.at..self.at + GIVEN_UP_MS).contains(&now)
    }

    /// Returns the part of the credit that the step earns.
    fn credit(&self, of: &Trainer) -> f64 {
        let wanted = of.groups * 9 / 10;
        let due = self.at + TARGET_MS + SLACK_MS;
        let group_end = |group: usize| -> Option<u64> {
            let range = group * of.group_size..(group + 1) * of.group_size;
            self.ended[range]
                .iter()
                .copied()
                .try_fold(0, |end, item| Some(end.max(item?)))
        };
        let mut ends: Vec<u64> = (0..of.groups).filter_map(group_end).collect();
        ends.sort();
        let worth = |end: &u64| if *end <= due { 1.0 } else { LATE_CREDIT };
        ends.iter().take(wanted).map(worth).sum::<f64>() / wanted as f64
    }
}

/// Runs trainers for `steps` steps each and returns the mean credit of each.
fn play(trainers: &[Trainer], slots: usize, steps: u64, order: Order) -> Vec<f64> {
    let submissions = trainers.iter().enumerate().flat_map(|(index, of)| {
        (0..steps).map(move |n| step(index, of, n * of.every_ms + (1300 * index as u64)))
    });
    let mut jobs: Vec<Step> = submissions.collect();
    jobs.sort_by_key(|job| (job.at, job.trainer));
    let (mut scheduler, mut keys) = (Scheduler::default(), vec![None; jobs.len()]);
    let mut running: Vec<(u64, usize, usize)> = Vec::new();
    let (mut last_job, mut free) = (0, slots);
    let end = jobs.last().map_or(0, |job| job.at) + GIVEN_UP_MS;
    for now in (0..=end).step_by(10) {
        let time = Time::from_millis(now);
        for (index, job) in jobs.iter().enumerate() {
            if job.at.div_ceil(10) * 10 == now {
                keys[index] = Some(submit(&mut scheduler, job, &trainers[job.trainer]));
            }
            if let Some(key) = keys[index].filter(|_| !job.is_open(now.max(job.at))) {
                scheduler.remove(key);
                keys[index] = None;
            }
        }
        running.retain(|(end, job, item)| {
            let is_running = *end > now && keys[*job].is_some();
            if !is_running {
                free += 1;
                last_job = *job;
                if let Some(key) = keys[*job] {
                    jobs[*job].ended[*item] = Some(now);
                    scheduler.finish(key, *item);
                }
            }
            is_running
        });
        while free > 0 {
            let chosen = match order {
                Order::Scheduled => scheduler.next(slots, time).and_then(|choice| {
                    let job = keys.iter().position(|key| *key == Some(choice.job))?;
                    Some((job, choice.item))
                }),
                Order::OwnJob => (0..jobs.len()).find_map(|n| {
                    let job = (last_job + n) % jobs.len();
                    let step = &jobs[job];
                    let waiting = (0..step.items.len()).filter(|item| !step.started[*item]);
                    keys[job]?;
                    Some((job, waiting.max_by_key(|item| step.items[*item].2)?))
                }),
            };
            let Some((job, item)) = chosen else { break };
            assert!(
                !std::mem::replace(&mut jobs[job].started[item], true),
                "started twice"
            );
            scheduler.start(keys[job].unwrap(), item, time);
            running.push((now + jobs[job].items[item].1, job, item));
            free -= 1;
        }
    }
    let mean = |(index, of): (usize, &Trainer)| {
        let own = jobs.iter().filter(|job| job.trainer == index);
        own.map(|job| job.credit(of)).sum::<f64>() / steps as f64
    };
    trainers.iter().enumerate().map(mean).collect()
}

fn submit(scheduler: &mut Scheduler, job: &Step, of: &Trainer) -> JobKey {
    let names: Vec<String> = job.items.iter().map(|item| item.0.to_string()).collect();
    let items = job.items.iter().zip(&names).map(|(item, name)| Item {
        group: Some(name),
        run_time: Duration::from_millis(item.2),
        is_finished: false,
    });
    let plan = Plan {
        rank: of.rank,
        submitted: Time::from_millis(job.at),
        due: Some(Time::from_millis(job.at + TARGET_MS)),
        groups_wanted: Some(of.groups * 9 / 10),
    };
    let key = scheduler.add(plan, &items.collect::<Vec<_>>());
    (0..job.items.len()).for_each(|item| scheduler.wait(key, item, Time::ZERO, Needs(0)));
    key
}

const URGENT: Trainer = Trainer {
    rank: 0,
    every_ms: 4_000,
    groups: 10,
    group_size: 16,
    mean_ms: 950,
};
const MIDDLE: Trainer = Trainer {
    rank: 1,
    every_ms: 4_200,
    groups: 12,
    group_size: 8,
    mean_ms: 700,
};
const SHORT: Trainer = Trainer {
    rank: 2,
    every_ms: 3_800,
    groups: 12,
    group_size: 8,
    mean_ms: 400,
};

/// The most urgent trainer got a smaller share of its credit than others, since
/// trainers with small groups and short items took the slots. All trainers lost a
/// third of their credit where a tenth of the slots was missing, since many groups
/// were whole only in part.
#[test]
fn three_trainers_with_too_few_slots() {
    let trainers = [URGENT, MIDDLE, SHORT];
    for slots in [68, 64, 60] {
        let before = play(&trainers, slots, 12, Order::OwnJob);
        let after = play(&trainers, slots, 12, Order::Scheduled);
        println!("{slots} slots: each job by itself {before:.3?}, scheduled {after:.3?}");
        assert!(after.iter().all(|share| *share >= 0.85), "{after:?}");
        let is_in_order = |pair: &[f64]| pair[0] >= pair[1] - 0.05;
        assert!(after.windows(2).all(is_in_order), "{after:?}");
    }
}

/// A trainer with groups of 16 lost them to one with short items.
#[test]
fn large_groups_beside_short_items() {
    let trainers = [URGENT, SHORT];
    let before = play(&trainers, 48, 12, Order::OwnJob);
    let after = play(&trainers, 48, 12, Order::Scheduled);
    println!("each job by itself {before:.3?}, scheduled {after:.3?}");
    assert!(after.iter().all(|share| *share >= 0.95), "{after:?}");
}

/// With slots for a part of the groups only, slots were spread over all groups
/// and few of them were whole in time.
#[test]
fn slots_for_some_groups_only() {
    let trainers = [URGENT, URGENT];
    let before = play(&trainers, 56, 12, Order::OwnJob);
    let after = play(&trainers, 56, 12, Order::Scheduled);
    println!("each job by itself {before:.3?}, scheduled {after:.3?}");
    // There are slots for about 0.65 of the items.
    assert!(after.iter().sum::<f64>() >= 1.2, "{after:?}");
}

/// A scheduler with one job, all items of which wait.
struct Single {
    scheduler: Scheduler,
    job: JobKey,
}

/// Returns a job due at 7.5 s with groups whose items have these run times in ms.
fn single(groups: &[&[u64]], wanted: usize) -> Single {
    let names: Vec<String> = (0..groups.len()).map(|group| group.to_string()).collect();
    let items = groups.iter().zip(&names).flat_map(|(times, name)| {
        times.iter().map(|time| Item {
            group: Some(name),
            run_time: Duration::from_millis(*time),
            is_finished: false,
        })
    });
    let items: Vec<Item<'_>> = items.collect();
    let mut scheduler = Scheduler::default();
    let plan = Plan {
        due: Some(Time::from_millis(TARGET_MS)),
        groups_wanted: Some(wanted),
        ..Plan::default()
    };
    let job = scheduler.add(plan, &items);
    (0..items.len()).for_each(|item| scheduler.wait(job, item, Time::ZERO, Needs(0)));
    Single { scheduler, job }
}

impl Single {
    /// Starts the next item at `ms`, and returns it.
    fn start(&mut self, ms: u64) -> Option<(usize, Precedence)> {
        let now = Time::from_millis(ms);
        let choice = self.scheduler.next(8, now)?;
        self.scheduler.start(choice.job, choice.item, now);
        Some((choice.item, choice.precedence))
    }
}

/// Starts all items at `ms`, and returns their order.
fn order(groups: &[&[u64]], wanted: usize, slots: usize, ms: u64) -> Vec<usize> {
    let Single { mut scheduler, job } = single(groups, wanted);
    let now = Time::from_millis(ms);
    let next = || {
        let choice = scheduler.next(slots, now)?;
        scheduler.start(job, choice.item, now);
        Some(choice.item)
    };
    std::iter::from_fn(next).collect()
}

/// Items of all groups started in turns, and long ones last, although slots were
/// short.
#[test]
fn group_that_has_begun_ends_first() {
    let groups: [&[u64]; 2] = [&[500, 900, 700], &[800, 600, 500]];
    assert_eq!(order(&groups, 2, 2, 6_700), [1, 2, 0, 3, 4, 5]);
}

/// The order by group was used although all items could be on time, so the long items
/// of later groups waited for the short ones of others, and steps ended later.
#[test]
fn slots_are_short_only_if_items_cannot_be_on_time() {
    let groups: [&[u64]; 2] = [&[500, 900, 700], &[800, 600, 500]];
    let is_short = |slots, ms| {
        let single = single(&groups, 2);
        single.scheduler.is_short(slots, Time::from_millis(ms))
    };
    assert!(!is_short(8, 0));
    assert!(!is_short(1, 0));
    assert!(!is_short(2, 5_000));
    assert!(is_short(2, 6_700));
    assert!(is_short(1, 5_000));
    // What cannot be on time alone is not late because of others.
    assert!(!is_short(1, 9_000));
}

/// A job that was submitted first kept the slots that both could use. A more urgent one
/// whose items find no endpoint must not hold up the others.
#[test]
fn urgent_job_goes_first_unless_it_is_passed_over() {
    let Single { mut scheduler, job } = single(&[&[500]], 1);
    let item = Item {
        group: None,
        run_time: Duration::from_millis(500),
        is_finished: false,
    };
    let now = Time::from_millis(10);
    let plan = Plan {
        rank: 1,
        ..Plan::default()
    };
    let later = scheduler.add(plan, &[item]);
    scheduler.wait(later, 0, Time::ZERO, Needs(1));
    assert_eq!(scheduler.urgent_before(later, now), Some(job));
    assert_eq!(scheduler.urgent_before(job, now), None);
    scheduler.block(Needs(0), Time::from_millis(60));
    assert_eq!(scheduler.urgent_before(later, now), None);
    assert_eq!(
        scheduler.urgent_before(later, Time::from_millis(60)),
        Some(job)
    );
    scheduler.start(job, 0, now);
    assert_eq!(scheduler.urgent_before(later, Time::from_millis(60)), None);
}

/// The step waited for the group with the longest item, although the trainer waits
/// for fewer groups than there are. The first groups may come again from an earlier
/// step, and are waited for.
#[test]
fn group_with_the_longest_item_is_not_wanted() {
    let groups: [&[u64]; 4] = [&[500], &[600], &[3_000], &[400]];
    assert_eq!(order(&groups, 3, 8, 0), [1, 0, 3, 2]);
    let groups: [&[u64]; 4] = [&[3_000], &[600], &[500], &[400]];
    assert_eq!(order(&groups, 3, 8, 0), [0, 1, 3, 2]);
}

/// A group that cannot be on time took slots from one that could, and a group that
/// the trainer does not wait for from both.
#[test]
fn late_and_unwanted_groups_come_last() {
    let mut single = single(&[&[6_000], &[500], &[500], &[500]], 3);
    assert_eq!(single.start(6_500), Some((1, Precedence::OnTime)));
    assert_eq!(single.start(6_500), Some((2, Precedence::OnTime)));
    // It takes the place of the late group, which would only be a fourth.
    assert_eq!(single.start(6_500), Some((3, Precedence::OnTime)));
    assert_eq!(single.start(6_500), Some((0, Precedence::Unwanted)));
    let mut single = self::single(&[&[6_000], &[500], &[500]], 2);
    assert_eq!(single.start(0), Some((0, Precedence::OnTime)));
    assert_eq!(single.start(0), Some((1, Precedence::OnTime)));
    assert_eq!(single.start(0), Some((2, Precedence::Unwanted)));
    assert_eq!(
        single.scheduler.take_put_last(),
        [(0, Precedence::Unwanted)]
    );
    // Past the due time all are late, and still run.
    let mut late = self::single(&[&[500], &[500]], 1);
    assert_eq!(late.start(9_000), Some((0, Precedence::Late)));
    assert_eq!(late.start(9_000), Some((1, Precedence::Unwanted)));
}

/// A group that waits for one straggler kept its place among the wanted ones, so
/// that another one was never started.
#[test]
fn straggler_gives_its_place_to_another_group() {
    let mut single = single(&[&[500], &[500]], 1);
    assert_eq!(single.start(0), Some((0, Precedence::OnTime)));
    let at = |single: &mut Single, ms| single.scheduler.next(8, Time::from_millis(ms));
    let precedence = |choice: Option<Choice>| choice.map(|choice| choice.precedence);
    assert_eq!(precedence(at(&mut single, 900)), Some(Precedence::Unwanted));
    assert_eq!(precedence(at(&mut single, 1_100)), Some(Precedence::OnTime));
    // Once the straggler ends, the trainer needs no other group.
    single.scheduler.finish(single.job, 0);
    assert_eq!(
        precedence(at(&mut single, 1_100)),
        Some(Precedence::Unwanted)
    );
}

/// An item that no endpoint could take held up all others.
#[test]
fn blocked_item_is_passed_over() {
    let mut single = single(&[&[900], &[500]], 2);
    single.scheduler.wait(single.job, 0, Time::ZERO, Needs(1));
    single.scheduler.block(Needs(1), Time::from_millis(50));
    let next = |single: &mut Single, ms| {
        let choice = single.scheduler.next(8, Time::from_millis(ms));
        choice.map(|choice| choice.item)
    };
    assert_eq!(next(&mut single, 0), Some(1));
    assert_eq!(next(&mut single, 50), Some(0));
    single.scheduler.block(Needs(1), Time::from_millis(200));
    assert_eq!(next(&mut single, 60), Some(1));
    single.scheduler.release();
    assert_eq!(next(&mut single, 60), Some(0));
    // An item that was rejected waits for a moment.
    single
        .scheduler
        .wait(single.job, 0, Time::from_millis(110), Needs(0));
    assert_eq!(next(&mut single, 60), Some(1));
}

/// A job without a due time or groups was not run as before: its longest items
/// first, after jobs that were submitted earlier.
#[test]
fn job_without_groups_or_due_time() {
    let mut scheduler = Scheduler::default();
    let times = [300, 900, 600];
    let items = times.map(|time| Item {
        group: None,
        run_time: Duration::from_millis(time),
        is_finished: false,
    });
    let mut add = |submitted_ms| {
        let submitted = Time::from_millis(submitted_ms);
        let plan = Plan {
            submitted,
            ..Plan::default()
        };
        let job = scheduler.add(plan, &items);
        (0..3).for_each(|item| scheduler.wait(job, item, Time::ZERO, Needs(0)));
        job
    };
    let (later, earlier) = (add(200), add(100));
    let mut order = Vec::new();
    while let Some(choice) = scheduler.next(8, Time::from_millis(300)) {
        assert_eq!(choice.precedence, Precedence::OnTime);
        scheduler.start(choice.job, choice.item, Time::from_millis(300));
        order.push((choice.job, choice.item));
    }
    let expected = [earlier, later].map(|job| [1, 2, 0].map(|item| (job, item)));
    assert_eq!(order, expected.concat());
}

/// An event of the property tests.
#[derive(Clone, Debug)]
enum Event {
    Submit {
        rank: u8,
        sizes: Vec<u8>,
        wanted: usize,
        has_due: bool,
    },
    Start,
    Finish(usize),
    Retry(usize),
    Block(u64),
    Remove(usize),
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let sizes = prop::collection::vec(1..5_u8, 0..4);
    prop_oneof![
        2 => (0..4_u8, sizes, 0..5_usize, any::<bool>()).prop_map(
            |(rank, sizes, wanted, has_due)| Event::Submit { rank, sizes, wanted, has_due }
        ),
        8 => Just(Event::Start),
        3 => any::<usize>().prop_map(Event::Finish),
        2 => any::<usize>().prop_map(Event::Retry),
        1 => (0..3_u64).prop_map(Event::Block),
        1 => any::<usize>().prop_map(Event::Remove),
        3 => (0..3_000_u64).prop_map(Event::Pass),
    ]
}

/// Runs `events` and returns the choices. Fails if an item is chosen that does not
/// wait, or if none is chosen although one could start.
fn run(events: &[Event]) -> Vec<Choice> {
    let (mut scheduler, mut choices) = (Scheduler::default(), Vec::new());
    let (mut waiting, mut running) = (BTreeMap::new(), Vec::new());
    let (mut blocked, mut now) = (None, Time::from_millis(10_000));
    for event in events {
        match event {
            Event::Submit {
                rank,
                sizes,
                wanted,
                has_due,
            } => {
                let names: Vec<String> = (0..sizes.len()).map(|n| n.to_string()).collect();
                let items = sizes.iter().zip(&names).flat_map(|(size, name)| {
                    (0..*size).map(move |n| Item {
                        group: (*size > 1).then_some(name.as_str()),
                        run_time: Duration::from_millis(u64::from(n) * 977),
                        is_finished: n == 3,
                    })
                });
                let items: Vec<Item<'_>> = items.collect();
                let due = has_due.then(|| now + Duration::from_millis(TARGET_MS));
                let groups_wanted = Some(*wanted);
                let plan = Plan {
                    rank: *rank,
                    submitted: now,
                    due,
                    groups_wanted,
                };
                let job = scheduler.add(plan, &items);
                for item in (0..items.len()).filter(|item| !items[*item].is_finished) {
                    scheduler.wait(job, item, now, Needs(item as u64 % 3));
                    waiting.insert((job, item), Needs(item as u64 % 3));
                }
            }
            Event::Start => match scheduler.next(4, now) {
                Some(choice) => {
                    let known = waiting.remove(&(choice.job, choice.item));
                    assert!(
                        known.is_some_and(|needs| Some(needs) != blocked),
                        "{choice:?}"
                    );
                    scheduler.start(choice.job, choice.item, now);
                    running.push((choice.job, choice.item));
                    choices.push(choice);
                }
                None => assert!(waiting.values().all(|needs| Some(*needs) == blocked)),
            },
            Event::Finish(n) | Event::Retry(n) if !running.is_empty() => {
                let (job, item) = running.swap_remove(n % running.len());
                scheduler.release();
                blocked = None;
                match event {
                    Event::Finish(_) => scheduler.finish(job, item),
                    _ => {
                        scheduler.wait(job, item, now, Needs(0));
                        waiting.insert((job, item), Needs(0));
                    }
                }
            }
            Event::Finish(_) | Event::Retry(_) => {}
            Event::Block(needs) => {
                scheduler.release();
                scheduler.block(Needs(*needs), Time::from_millis(u64::MAX / 2_000));
                blocked = Some(Needs(*needs));
            }
            Event::Remove(n) => {
                let jobs: Vec<JobKey> = waiting.keys().map(|(job, _)| *job).collect();
                if let Some(job) = jobs.get(n % jobs.len().max(1)) {
                    scheduler.remove(*job);
                    waiting.retain(|(known, _), _| known != job);
                    running.retain(|(known, _)| known != job);
                }
            }
            Event::Pass(ms) => now = now + Duration::from_millis(*ms),
        }
        assert_eq!(scheduler.waiting(), waiting.len());
    }
    choices
}

proptest! {
    /// An item was chosen twice, or was forgotten; the same events led to other
    /// choices.
    #[test]
    fn each_waiting_item_is_chosen_once_in_a_fixed_order(
        events in prop::collection::vec(event(), 0..120)
    ) {
        prop_assert_eq!(run(&events), run(&events));
    }

    /// Items of a job that no slot was left for waited for ever, under a load of
    /// more urgent jobs that never ends.
    #[test]
    fn no_item_starves(
        groups in 1..5_usize, size in 1..9_usize, wanted in 0..5_usize, urgent in 1..40_usize,
    ) {
        let mut single = single(&vec![&vec![500; size][..]; groups], wanted);
        let mut starts_left = (groups * size + 1) * AGED_INTERVAL as usize;
        // The job is late, so that it comes after all that is on time.
            let mut now = TARGET_MS + AGED_AFTER.as_millis() as u64;
        while single.scheduler.waiting_jobs().any(|job| job == single.job) {
            prop_assert!(starts_left > 0, "items wait although their job is old");
            starts_left -= 1;
            now += 20;
            if starts_left.is_multiple_of(urgent) {
                let plan = Plan {
                    rank: 0,
                    submitted: Time::from_millis(now),
                    due: Some(Time::from_millis(now + TARGET_MS)),
                    groups_wanted: Some(1),
                };
                let items = vec![Item {
                    group: Some("g"), run_time: Duration::ZERO, is_finished: false,
                }; urgent];
                let job = single.scheduler.add(plan, &items);
                (0..urgent).for_each(|n| single.scheduler.wait(job, n, Time::ZERO, Needs(0)));
            }
            prop_assert!(single.start(now).is_some());
        }
    }
}

/// Measures the time of a decision with 20 jobs of 24 groups of 16 items:
///
///     cargo test -p tarragonseam-policy --test schedule -- --ignored --nocapture
#[test]
#[ignore = "a measurement"]
fn decision_time() {
    let trainer = Trainer {
        groups: 24,
        ..URGENT
    };
    let mut scheduler = Scheduler::default();
    for n in 0..20 {
        submit(&mut scheduler, &step(0, &trainer, n * 10), &trainer);
    }
    let (now, mut count) = (Time::from_millis(300), 0);
    let start = std::time::Instant::now();
    while let Some(choice) = scheduler.next(216, now) {
        scheduler.start(choice.job, choice.item, now);
        count += 1;
    }
    println!("{count} decisions, {:?} each", start.elapsed() / count);
}
